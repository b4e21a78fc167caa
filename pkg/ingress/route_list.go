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

// Page sizes of a job list, in jobs.
const (
	defaultPageSize = 100
	maxPageSize     = 500
)

// list handles GET /v1/jobs.
func (in *Ingress) list(c *gin.Context) {
	req, err := listRequest(c)
	if err != nil {
		in.fail(c, err)
		return
	}
	jobs, err := retryRead(c.Request.Context(), in.Limits, func(ctx context.Context) ([]api.JobStatus, error) {
		jobs, err := in.Service.List(ctx, req)
		if err == nil && !allInWorkspace(jobs, req.Workspace) {
			in.metrics.mismatches.Inc()
			return nil, errMismatchedAnswer
		}
		return jobs, err
	})
	if err != nil {
		in.fail(c, clientError(err))
		return
	}
	in.writeJSON(c, statusOK, page(jobs, req.Limit))
}

func allInWorkspace(jobs []api.JobStatus, workspace string) bool {
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
		After: api.JobID(c.Query("after")), Limit: defaultPageSize,
	}
	if req.State != "" && !validState(req.State) {
		return req, invalid("state: %q is not a job state", req.State)
	}
	if req.After != "" {
		if _, ok := partitionOf(req.After); !ok {
			return req, invalid("after: %q is not a job ID", req.After)
		}
	}
	if text, ok := c.GetQuery("limit"); ok {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPageSize {
			return req, invalid("limit: must be from 1 to %d", maxPageSize)
		}
		req.Limit = n
	}
	return req, nil
}

func validState(s api.State) bool {
	switch s {
	case api.StateQueued, api.StateReserved, api.StateRunning, api.StateCheckpointing:
		return true
	default:
		return s.Terminal()
	}
}

// workers handles GET /v1/workers.
func (in *Ingress) workers(c *gin.Context) {
	workers, err := retryRead(c.Request.Context(), in.Limits, in.Workers.Workers)
	if err != nil {
		in.fail(c, clientError(err))
		return
	}
	if workers == nil {
		workers = []api.WorkerStatus{}
	}
	in.writeJSON(c, statusOK, api.WorkerList{Workers: workers})
}

// retryRead calls op and retries it after transient failures, until
// limits.AcceptTimeout is over. op must be read-only.
func retryRead[T any](ctx context.Context, limits Limits, op func(context.Context) (T, error)) (T, error) {
	retryUntil, delays := time.Now().Add(limits.AcceptTimeout), newBackoff()
	for {
		v, err := attemptOnce(ctx, limits.AttemptTimeout, op)
		if err == nil || ctx.Err() != nil || !isTransient(err) || !waitBackoff(ctx, delays, err, retryUntil) {
			return v, err
		}
	}
}

func attemptOnce[T any](ctx context.Context, timeout time.Duration, op func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return op(ctx)
}

// NoRoute handles requests whose path matches no route.
func NoRoute(c *gin.Context) { writeNotFound(c, "no route serves this path") }

// NoMethod handles requests whose method the path does not support.
func NoMethod(c *gin.Context) { writeNotFound(c, "the path does not have this method") }

func writeNotFound(c *gin.Context, message string) {
	writeProblem(c, errkind.New(errkind.NotFound, "%s", message))
}
