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

// answer sends the outcome of a job: 200 with the whole result, 202 while it
// goes on, or a problem document that carries the status.
func (in *Ingress) answer(c *gin.Context, status api.JobStatus) {
	switch {
	case !status.State.Terminal():
		c.Header("Location", location(status.ID))
		c.Header("Retry-After", "1")
		in.writeJSON(c, statusAccepted, status)
	case status.State == api.StateSucceeded:
		in.writeJSON(c, statusOK, status)
	default:
		in.answerEnded(c, status)
	}
}

// answerEnded sends the problem document of a job that ended without success.
func (in *Ingress) answerEnded(c *gin.Context, status api.JobStatus) {
	err := errkind.New(endKind(status), "%s", endReason(status))
	p := problem.FromError(err, callOf(c).requestID)
	p.Ran = endRan(status)
	// Repeating a job that ran, or may have run, is the caller's decision.
	p.Retryable = p.Retryable && p.Ran == errkind.NotRun
	p.Job = &status
	in.write(c, p, err)
}

func endKind(status api.JobStatus) errkind.Kind {
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

func endReason(status api.JobStatus) string {
	if status.Reason != "" {
		return status.Reason
	}
	return "the job ended as " + string(status.State)
}

// endRan takes what the owner knows. It never concludes "no" from a missing
// value.
func endRan(status api.JobStatus) errkind.Ran {
	switch {
	case status.Ran != "":
		return errkind.Ran(status.Ran)
	case !status.StartedAt.IsZero():
		return errkind.HasRun
	default:
		return errkind.Unknown
	}
}

// writeJSON sends the whole answer with its length, so that a client notices
// one that was cut off.
func (in *Ingress) writeJSON(c *gin.Context, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		in.failAfter(c, errkind.Wrap(err, errkind.Internal, "the answer could not be encoded"), errkind.Unknown)
		return
	}
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Data(code, "application/json; charset=utf-8", body)
}

// writeProblem answers a request that no filter has seen.
func writeProblem(c *gin.Context, err error) {
	problem.Write(c.Writer, problem.FromError(err, requestID(c)))
	c.Abort()
}
