package ingress

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// status answers GET /v1/jobs/{id}.
func (in *Ingress) status(c *gin.Context) {
	status, err := in.ask(c, 0, in.Service.Get).run(c.Request.Context())
	if err != nil {
		in.fail(c, answerError(err))
		return
	}
	in.writeJSON(c, statusOK, status)
}

// result answers GET /v1/jobs/{id}/result.
func (in *Ingress) result(c *gin.Context) {
	wait, _, err := parseWait(c.Request, in.Limits.MaxWait)
	if err != nil {
		in.fail(c, err)
		return
	}
	x := in.ask(c, wait, in.Service.Get)
	status, err := x.run(c.Request.Context())
	if err != nil && x.accepted() && isTransient(err) {
		err = nil // the last known status is still true of a durable job
	}
	if err != nil {
		in.fail(c, answerError(err))
		return
	}
	in.answer(c, status)
}

// cancel answers DELETE /v1/jobs/{id}.
func (in *Ingress) cancel(c *gin.Context) {
	x := in.ask(c, 0, in.Service.Cancel)
	status, err := x.run(c.Request.Context())
	if err != nil {
		ran := errkind.Lookup(errkind.Of(answerError(err))).Ran
		if x.reached {
			ran = errkind.Unknown
		}
		in.failAfter(c, answerError(err), ran)
		return
	}
	in.writeJSON(c, statusOK, status)
}

// ask prepares an exchange about a job that exists.
func (in *Ingress) ask(c *gin.Context, wait time.Duration, op func(context.Context, string, api.JobID) (api.JobStatus, error)) *exchange {
	call, now := callOf(c), time.Now()
	return &exchange{
		in: in, call: call, waitUntil: now.Add(wait), giveUp: now.Add(max(wait, in.Limits.AcceptTimeout)),
		open: func(ctx context.Context) (api.JobStatus, error) { return op(ctx, call.workspace, call.job) },
	}
}
