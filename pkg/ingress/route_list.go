package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/partition"
)

// Page sizes of a list, in jobs.
const (
	defaultPage = 100
	maxPage     = 500
)

// list answers GET /v1/jobs.
func (in *Ingress) list(c *gin.Context) {
	req, err := listRequest(c)
	if err != nil {
		in.fail(c, err)
		return
	}
	jobs, err := repeat(c.Request.Context(), in.Limits, func(ctx context.Context) ([]api.JobStatus, error) {
		jobs, err := in.Service.List(ctx, req)
		if err == nil && !allOf(jobs, req.Workspace) {
			in.metrics.mismatches.Inc()
			return nil, errMismatch
		}
		return jobs, err
	})
	if err != nil {
		in.fail(c, answerError(err))
		return
	}
	in.writeJSON(c, statusOK, page(jobs, req.Limit))
}

func allOf(jobs []api.JobStatus, workspace string) bool {
	for _, j := range jobs {
		if j.Spec.Workspace != workspace {
			return false
		}
	}
	return true
}

func page(jobs []api.JobStatus, limit int) api.JobList {
	out := api.JobList{Jobs: []api.JobStatus{}}
	for _, j := range jobs[:min(len(jobs), limit)] {
		j.Result, j.Spec.Payload = nil, nil
		out.Jobs = append(out.Jobs, j)
	}
	if len(out.Jobs) == limit {
		out.Next = out.Jobs[limit-1].ID
	}
	return out
}

func listRequest(c *gin.Context) (partition.ListRequest, error) {
	req := partition.ListRequest{
		Workspace: callOf(c).workspace, Class: c.Query("class"), State: api.State(c.Query("state")),
		After: api.JobID(c.Query("after")), Limit: defaultPage,
	}
	if req.State != "" && !knownState(req.State) {
		return req, invalid("state: %q is not a job state", req.State)
	}
	if req.After != "" {
		if _, ok := partitionOf(req.After); !ok {
			return req, invalid("after: %q is not a job ID", req.After)
		}
	}
	if text, ok := c.GetQuery("limit"); ok {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPage {
			return req, invalid("limit: must be from 1 to %d", maxPage)
		}
		req.Limit = n
	}
	return req, nil
}

func knownState(s api.State) bool {
	switch s {
	case api.StateQueued, api.StateReserved, api.StateRunning, api.StateCheckpointing:
		return true
	default:
		return s.Terminal()
	}
}

// workers answers GET /v1/workers.
func (in *Ingress) workers(c *gin.Context) {
	workers, err := repeat(c.Request.Context(), in.Limits, in.Workers.Workers)
	if err != nil {
		in.fail(c, answerError(err))
		return
	}
	if workers == nil {
		workers = []api.WorkerStatus{}
	}
	in.writeJSON(c, statusOK, api.WorkerList{Workers: workers})
}

// repeat makes a reading call again after transient failures, until the time
// of Limits is over.
func repeat[T any](ctx context.Context, limits Limits, op func(context.Context) (T, error)) (T, error) {
	giveUp, delays := time.Now().Add(limits.AcceptTimeout), newBackoff()
	for {
		v, err := attemptOnce(ctx, limits.AttemptTimeout, op)
		if err == nil || ctx.Err() != nil || !isTransient(err) || !pause(ctx, delays, err, giveUp) {
			return v, err
		}
	}
}

func attemptOnce[T any](ctx context.Context, timeout time.Duration, op func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return op(ctx)
}

// NoRoute answers a path that no route serves.
func NoRoute(c *gin.Context) { notServed(c, "no route serves this path") }

// NoMethod answers a method that the path does not have.
func NoMethod(c *gin.Context) { notServed(c, "the path does not have this method") }

func notServed(c *gin.Context, message string) {
	writeProblem(c, errkind.New(errkind.NotFound, "%s", message))
}
