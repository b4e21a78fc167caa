package ingress

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

// callKey is the key of the call in the gin context.
const callKey = "carawayusher.call"

// call is what the filters learn of one request.
type call struct {
	requestID string
	workspace string
	config    *policy.Document
	job       api.JobID
	submit    partition.SubmitRequest
	partition int
	// wait is the time for which the caller waits for the end of the job.
	wait time.Duration
	// kind is the error kind of the answer, empty for success.
	kind errkind.Kind
}

func callOf(c *gin.Context) *call { return c.MustGet(callKey).(*call) }

// fail ends the chain with the problem document of err.
func (in *Ingress) fail(c *gin.Context, err error) {
	in.write(c, problem.FromError(err, callOf(c).requestID), err)
}

// failAfter is fail for a request that may have been started in spite of err.
func (in *Ingress) failAfter(c *gin.Context, err error, ran errkind.Ran) {
	p := problem.FromError(err, callOf(c).requestID)
	p.Ran = ran
	in.write(c, p, err)
}

func (in *Ingress) write(c *gin.Context, p problem.Problem, err error) {
	call := callOf(c)
	call.kind = p.Kind
	if p.Kind == errkind.Internal {
		in.Log.Error(err, "request failed", "requestId", call.requestID, "workspace", call.workspace, "job", call.job)
	}
	problem.Write(c.Writer, p)
	c.Abort()
}
