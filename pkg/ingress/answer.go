package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

const (
	statusOK       = http.StatusOK
	statusAccepted = http.StatusAccepted
)

// writeOutcome responds with 200 and the full result of a succeeded job, 202
// for a job that has not ended, or a problem document that includes the job
// status.
func (in *Ingress) writeOutcome(c *gin.Context, status api.JobStatus) {
	switch {
	case !status.State.Terminal():
		c.Header("Location", location(status.ID))
		c.Header("Retry-After", "1")
		in.writeJSON(c, statusAccepted, status)
	case status.State == api.StateSucceeded:
		in.writeJSON(c, statusOK, status)
	default:
		in.writeUnsuccessful(c, status)
	}
}

// writeUnsuccessful responds with the problem document of a job that ended
// without success.
func (in *Ingress) writeUnsuccessful(c *gin.Context, status api.JobStatus) {
	err := errkind.New(endedErrorKind(status), "%s", endedReason(status))
	p := problem.FromError(err, callOf(c).requestID)
	p.Ran = endedRan(status)
	// A job that ran, or may have run, is not reported as retryable: whether to
	// submit it again is the caller's decision.
	p.Retryable = p.Retryable && p.Ran == errkind.NotRun
	p.Job = &status
	in.abortWithProblem(c, p, err)
}

func endedErrorKind(status api.JobStatus) errkind.Kind {
	if status.ErrorKind != "" {
		return errkind.Kind(status.ErrorKind)
	}
	switch status.State {
	case api.StateFailed:
		return errkind.TaskFailed
	case api.StateCancelled:
		return errkind.Cancelled
	case api.StateExpired:
		return errkind.DeadlinePassed
	case api.StateRefused:
		return errkind.Impossible
	case api.StateUnknown:
		return errkind.OutcomeUnknown
	default:
		return errkind.Internal
	}
}

func endedReason(status api.JobStatus) string {
	if status.Reason != "" {
		return status.Reason
	}
	return "the job ended as " + string(status.State)
}

// endedRan reports whether an ended job ran, as far as its owner recorded it. A
// missing value never counts as "no".
func endedRan(status api.JobStatus) errkind.Ran {
	switch {
	case status.Ran != "":
		return errkind.Ran(status.Ran)
	case !status.StartedAt.IsZero():
		return errkind.HasRun
	default:
		return errkind.Unknown
	}
}

// writeJSON sends the response with a Content-Length, so that a client can
// detect a truncated body.
func (in *Ingress) writeJSON(c *gin.Context, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		in.failWithRan(c, errkind.Wrap(err, errkind.Internal, "the answer could not be encoded"), errkind.Unknown)
		return
	}
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Data(code, "application/json; charset=utf-8", body)
}

// writeProblem sends the problem document of a request that did not pass
// through the filter chain.
func writeProblem(c *gin.Context, err error) {
	problem.Write(c.Writer, problem.FromError(err, requestID(c)))
	c.Abort()
}
