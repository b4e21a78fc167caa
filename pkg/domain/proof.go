package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// pendingEnd is an end without a run that is not proved yet.
type pendingEnd struct {
	outcome api.Outcome
	why     sched.EndReason
	blame   string
	reason  string
}

// provesNotRun reports whether an attempt of which this owner started nothing
// was started by nobody. An attempt that was offered soon after a takeover may
// run at a worker that has not answered yet. An at-most-once attempt starts
// only with a claim, which its offer names. The proof has one gap, for work that
// may be repeated: a worker that restarts between the takeover and its first
// answer has forgotten what it ran.
func (d *Domain) provesNotRun(a *attempt) bool {
	if a.offer.Spec.AtMostOnce || a.offeredAt.Sub(d.started) > d.opts.lostAfter() {
		return true
	}
	for _, w := range d.workers {
		if !w.met {
			return false
		}
	}
	return d.listed
}

// withholds keeps an end without a run back until it is proved; the caller
// holds the lock.
func (d *Domain) withholds(a *attempt, end pendingEnd) bool {
	if d.provesNotRun(a) || d.graceOver(time.Now()) {
		return false
	}
	a.pending = &end
	return true
}

func (d *Domain) graceOver(now time.Time) bool { return now.Sub(d.started) > d.opts.lostAfter() }

// checkPending ends the attempts whose proof has come, or cannot come any more;
// the caller holds the lock.
func (d *Domain) checkPending() {
	for _, a := range d.attempts {
		p := a.pending
		if p == nil || a.ended {
			continue
		}
		a.pending = nil
		if a.runs() {
			d.advance(a)
			continue
		}
		d.finishAttempt(a, p.outcome, p.why, p.blame, p.reason)
	}
}

// runs reports whether a copy of the attempt is not over.
func (a *attempt) runs() bool {
	for _, c := range a.copies {
		if !c.allOver() {
			return true
		}
	}
	return false
}
