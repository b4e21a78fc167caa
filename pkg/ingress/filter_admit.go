package ingress

import (
	"math"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// shortRetryAfter is the Retry-After of refusals with a short-lived cause.
const shortRetryAfter = time.Second

// admit rejects submissions whose deadline has passed and those that exceed the
// workspace's request rate quota.
func (in *Ingress) admit(c *gin.Context) {
	call := callOf(c)
	deadline := call.submit.Spec.Deadline
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		in.refuse(c, errkind.New(errkind.DeadlinePassed, "the deadline %s has passed", deadline.Format(time.RFC3339)))
		return
	}
	if err := in.requestLimiters.take(call.config, call.workspace, liveMembers(in.Members)); err != nil {
		in.refuse(c, err)
		return
	}
	c.Next()
}

// refuse rejects a submission that was not started and records the refusal in
// the timeline.
func (in *Ingress) refuse(c *gin.Context, err error) {
	in.Recorder.Record(timeline.Event{
		Type: timeline.Refused, Workspace: callOf(c).workspace, Reason: errkind.As(err).Message, By: string(errkind.Of(err)),
	})
	in.fail(c, err)
}

// liveMembers returns the number of VMs that share a quota, including this one.
func liveMembers(view membership.View) int {
	n := 0
	for _, m := range view.Members() {
		if m.State == membership.Alive {
			n++
		}
	}
	return max(n, 1)
}

// requestLimiters holds one rate limiter for each workspace with a request rate
// quota that has sent a submission. It follows the current configuration
// document.
type requestLimiters struct {
	mu       sync.Mutex
	doc      *policy.Document
	limiters map[string]*rate.Limiter
}

// take consumes one request from this VM's share of the workspace's quota, or
// returns a QuotaExceeded error.
func (q *requestLimiters) take(doc *policy.Document, workspace string, members int) error {
	perSecond := doc.Workspaces[workspace].Quota.RequestsPerSecond
	if perSecond <= 0 {
		return nil
	}
	share := rate.Limit(perSecond / float64(members))
	reservation := q.limiter(doc, workspace, share).Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		return errkind.New(errkind.QuotaExceeded, "the workspace's quota of %g requests per second is used up", perSecond).WithRetryAfter(delay)
	}
	return nil
}

// limiter returns the workspace's limiter, set to the current share and a burst
// of one second. After a configuration change it drops the limiters of removed
// workspaces.
func (q *requestLimiters) limiter(doc *policy.Document, workspace string, share rate.Limit) *rate.Limiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.doc != doc {
		q.doc = doc
		for name := range q.limiters {
			if _, ok := doc.Workspaces[name]; !ok {
				delete(q.limiters, name)
			}
		}
	}
	burst := max(1, int(math.Ceil(float64(share))))
	l := q.limiters[workspace]
	if l == nil {
		if q.limiters == nil {
			q.limiters = map[string]*rate.Limiter{}
		}
		l = rate.NewLimiter(share, burst)
		q.limiters[workspace] = l
	}
	if l.Limit() != share {
		l.SetLimit(share)
		l.SetBurst(burst)
	}
	return l
}
