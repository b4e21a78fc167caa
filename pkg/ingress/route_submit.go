package ingress

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// submit handles POST /v1/jobs.
func (in *Ingress) submit(c *gin.Context) {
	call := callOf(c)
	call.partition = in.choosePartition(call.workspace, call.submit.IdempotencyKey)
	call.job = newJobID(call.partition)
	call.submit.ID = call.job
	now := time.Now()
	budget := call.wait
	if call.submit.Durable {
		budget = max(budget, in.Limits.AcceptTimeout)
	}
	x := &exchange{
		in: in, call: call, waitUntil: now.Add(call.wait), retryUntil: now.Add(budget),
		initialCall: func(ctx context.Context) (api.JobStatus, error) { return in.Service.Submit(ctx, call.submit) },
	}
	status, err := x.run(c.Request.Context())
	if err != nil && x.knownJournaled() && isTransient(err) {
		err = nil // the job is journaled and continues without its caller
	}
	if err != nil {
		in.failSubmit(c, x, clientError(err))
		return
	}
	call.job = status.ID
	c.Header("Location", location(status.ID))
	in.writeOutcome(c, status)
}

// knownJournaled reports whether the owner has confirmed that the job is
// journaled.
func (x *exchange) knownJournaled() bool { return x.last.ID != "" && x.durable() }

func (in *Ingress) failSubmit(c *gin.Context, x *exchange, err error) {
	if x.mayHaveStarted {
		in.failWithRan(c, err, errkind.Unknown)
		return
	}
	in.refuse(c, err)
}

func location(id api.JobID) string { return "/v1/jobs/" + string(id) }
