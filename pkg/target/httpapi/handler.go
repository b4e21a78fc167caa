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

// Paths of the target's calls and of the stand-in's admin routes.
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

// maxRequestBytes limits the size of one request: a payload of 1 MiB and the
// fields around it.
const maxRequestBytes = 2 << 20

// taskRequest is the request body of the calls on a single task.
type taskRequest struct {
	Task  api.TaskID `json:"task"`
	Epoch int64      `json:"epoch"`
	Share float64    `json:"share,omitempty"` // Throttle only
}

// NewHandler returns a handler for the calls of a target and for the admin routes
// of the stand-in: faults, the start log, leaving and restart. The admin routes
// also work while the worker is paused or refuses connections.
func NewHandler(w *memory.Worker) http.Handler {
	engine := httpjson.NewEngine()
	v1 := engine.Group("", abortIfRefusing(w))
	v1.POST(pathReserve, serve(w.Reserve))
	v1.POST(pathStart, serve(withoutResult(w.Start)))
	v1.POST(pathSync, serve(w.Sync))
	v1.POST(pathFence, serve(func(ctx context.Context, r taskRequest) (target.TaskStatus, error) {
		return w.Fence(ctx, r.Task, r.Epoch)
	}))
	v1.POST(pathRelease, serve(taskCall(w.Release)))
	v1.POST(pathCheckpoint, serve(taskCall(w.Checkpoint)))
	v1.POST(pathStop, serve(taskCall(w.Stop)))
	v1.POST(pathThrottle, serve(withoutResult(func(ctx context.Context, r taskRequest) error {
		return w.Throttle(ctx, r.Task, r.Epoch, r.Share)
	})))
	addAdmin(engine, w)
	return engine
}

// abortIfRefusing closes the connection without a response while the injected
// faults make the worker refuse connections.
func abortIfRefusing(w *memory.Worker) gin.HandlerFunc {
	return func(*gin.Context) {
		if w.Faults().RefuseConnections {
			panic(http.ErrAbortHandler)
		}
	}
}

// serve returns a handler that decodes a request, calls f and encodes the result.
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

// withoutResult adapts a call that returns only an error to one with an empty
// result.
func withoutResult[Req any](f func(context.Context, Req) error) func(context.Context, Req) (struct{}, error) {
	return func(ctx context.Context, req Req) (struct{}, error) { return struct{}{}, f(ctx, req) }
}

func taskCall(f func(context.Context, api.TaskID, int64) error) func(context.Context, taskRequest) (struct{}, error) {
	return withoutResult(func(ctx context.Context, r taskRequest) error { return f(ctx, r.Task, r.Epoch) })
}

func addAdmin(engine *gin.Engine, w *memory.Worker) {
	engine.GET(pathAdminFaults, func(c *gin.Context) { c.JSON(http.StatusOK, w.Faults()) })
	engine.PUT(pathAdminFaults, serve(withoutResult(func(_ context.Context, f memory.Faults) error {
		w.SetFaults(f)
		return nil
	})))
	engine.GET(pathAdminStarts, func(c *gin.Context) { c.JSON(http.StatusOK, w.Starts()) })
	engine.PUT(pathAdminLeaving, serve(withoutResult(func(_ context.Context, leaving bool) error {
		w.SetLeaving(leaving)
		return nil
	})))
	engine.POST(pathAdminRestart, func(c *gin.Context) { c.JSON(http.StatusOK, w.Restart()) })
}
