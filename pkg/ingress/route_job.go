package ingress

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// status handles GET /v1/jobs/{id}.
func (in *Ingress) status(c *gin.Context) {
	status, err := in.newJobExchange(c, 0, in.Service.Get).run(c.Request.Context())
	if err != nil {
		in.fail(c, clientError(err))
		return
	}
	in.writeJSON(c, statusOK, status)
}

// result handles GET /v1/jobs/{id}/result.
func (in *Ingress) result(c *gin.Context) {
	wait, _, err := parseWait(c.Request, in.Limits.MaxWait)
	if err != nil {
		in.fail(c, err)
		return
	}
	x := in.newJobExchange(c, wait, in.Service.Get)
	status, err := x.run(c.Request.Context())
	if err != nil && x.knownJournaled() && isTransient(err) {
		err = nil // a durable job continues, so the last known status is returned
	}
	if err != nil {
		in.fail(c, clientError(err))
		return
	}
	in.writeOutcome(c, status)
}

// cancel handles DELETE /v1/jobs/{id}.
func (in *Ingress) cancel(c *gin.Context) {
	x := in.newJobExchange(c, 0, in.Service.Cancel)
	status, err := x.run(c.Request.Context())
	if err != nil {
		ran := errkind.Lookup(errkind.Of(clientError(err))).Ran
		if x.mayHaveStarted {
			ran = errkind.Unknown
		}
		in.failWithRan(c, clientError(err), ran)
		return
	}
	in.writeJSON(c, statusOK, status)
}

// newJobExchange returns an exchange for the job ID in the request path. op makes
// the initial call.
func (in *Ingress) newJobExchange(c *gin.Context, wait time.Duration, op func(context.Context, string, api.JobID) (api.JobStatus, error)) *exchange {
	call, now := callOf(c), time.Now()
	return &exchange{
		in: in, call: call, waitUntil: now.Add(wait), retryUntil: now.Add(max(wait, in.Limits.AcceptTimeout)),
		initialCall: func(ctx context.Context) (api.JobStatus, error) { return op(ctx, call.workspace, call.job) },
	}
}
