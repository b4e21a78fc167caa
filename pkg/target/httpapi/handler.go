package httpapi

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/internal/httpjson"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// Paths of the target and of the stand-in's admin route.
const (
	pathReserve      = "/v1/reserve"
	pathStart        = "/v1/start"
	pathSync         = "/v1/sync"
	pathFence        = "/v1/fence"
	pathRelease      = "/v1/release"
	pathCheckpoint   = "/v1/checkpoint"
	pathThrottle     = "/v1/throttle"
	pathStop         = "/v1/stop"
	pathAdminFaults  = "/admin/faults"
	pathAdminStarts  = "/admin/starts"
	pathAdminLeaving = "/admin/leaving"
	pathAdminRestart = "/admin/restart"
)

// maxRequestBytes bounds one request: a payload of 1 MiB and its envelope.
const maxRequestBytes = 2 << 20

// taskRequest is the body of the calls that name one task.
type taskRequest struct {
	Task  api.TaskID `json:"task"`
	Epoch int64      `json:"epoch"`
	Share float64    `json:"share,omitempty"` // Throttle only
}

// NewHandler serves a worker and the admin route of the stand-in: faults, the
// start log, leaving and restart. The admin route answers while the worker is
// paused or refuses connections.
func NewHandler(w *memory.Worker) http.Handler {
	engine := httpjson.NewEngine()
	v1 := engine.Group("", breakOff(w))
	v1.POST(pathReserve, serve(w.Reserve))
	v1.POST(pathStart, serve(discard(w.Start)))
	v1.POST(pathSync, serve(w.Sync))
	v1.POST(pathFence, serve(func(ctx context.Context, r taskRequest) (target.TaskStatus, error) {
		return w.Fence(ctx, r.Task, r.Epoch)
	}))
	v1.POST(pathRelease, serve(onTask(w.Release)))
	v1.POST(pathCheckpoint, serve(onTask(w.Checkpoint)))
	v1.POST(pathStop, serve(onTask(w.Stop)))
	v1.POST(pathThrottle, serve(discard(func(ctx context.Context, r taskRequest) error {
		return w.Throttle(ctx, r.Task, r.Epoch, r.Share)
	})))
	addAdmin(engine, w)
	return engine
}

// breakOff closes the connection without an answer while the worker refuses
// connections.
func breakOff(w *memory.Worker) gin.HandlerFunc {
	return func(*gin.Context) {
		if w.Faults().RefuseConnections {
			panic(http.ErrAbortHandler)
		}
	}
}

// serve decodes a request, calls f and encodes the answer.
func serve[Req, Resp any](f func(context.Context, Req) (Resp, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		var req Req
		if err := httpjson.Decode(c, maxRequestBytes, &req); err != nil {
			httpjson.Fail(c, err)
			return
		}
		resp, err := f(c.Request.Context(), req)
		httpjson.Answer(c, resp, err)
	}
}

// discard gives a call without a result an empty one.
func discard[Req any](f func(context.Context, Req) error) func(context.Context, Req) (struct{}, error) {
	return func(ctx context.Context, req Req) (struct{}, error) { return struct{}{}, f(ctx, req) }
}

func onTask(f func(context.Context, api.TaskID, int64) error) func(context.Context, taskRequest) (struct{}, error) {
	return discard(func(ctx context.Context, r taskRequest) error { return f(ctx, r.Task, r.Epoch) })
}

func addAdmin(engine *gin.Engine, w *memory.Worker) {
	engine.GET(pathAdminFaults, func(c *gin.Context) { c.JSON(http.StatusOK, w.Faults()) })
	engine.PUT(pathAdminFaults, serve(discard(func(_ context.Context, f memory.Faults) error {
		w.SetFaults(f)
		return nil
	})))
	engine.GET(pathAdminStarts, func(c *gin.Context) { c.JSON(http.StatusOK, w.Starts()) })
	engine.PUT(pathAdminLeaving, serve(discard(func(_ context.Context, leaving bool) error {
		w.SetLeaving(leaving)
		return nil
	})))
	engine.POST(pathAdminRestart, func(c *gin.Context) { c.JSON(http.StatusOK, w.Restart()) })
}
