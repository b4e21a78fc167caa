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

// call holds what the filters determined about one request.
type call struct {
	requestID string
	workspace string
	config    *policy.Document
	job       api.JobID
	submit    partition.SubmitRequest
	partition int
	// wait is how long the caller waits for the job to end.
	wait time.Duration
	// errorKind is the error kind of the response, empty on success.
	errorKind errkind.Kind
}

func callOf(c *gin.Context) *call { return c.MustGet(callKey).(*call) }

// fail responds with the problem document of err and aborts the filter chain.
func (in *Ingress) fail(c *gin.Context, err error) {
	in.abortWithProblem(c, problem.FromError(err, callOf(c).requestID), err)
}

// failWithRan is like fail but sets whether the job ran, for a request that may
// have taken effect despite err.
func (in *Ingress) failWithRan(c *gin.Context, err error, ran errkind.Ran) {
	p := problem.FromError(err, callOf(c).requestID)
	p.Ran = ran
	in.abortWithProblem(c, p, err)
}

func (in *Ingress) abortWithProblem(c *gin.Context, p problem.Problem, err error) {
	call := callOf(c)
	call.errorKind = p.Kind
	if p.Kind == errkind.Internal {
		in.Log.Error(err, "request failed", "requestId", call.requestID, "workspace", call.workspace, "job", call.job)
	}
	problem.Write(c.Writer, p)
	c.Abort()
}
