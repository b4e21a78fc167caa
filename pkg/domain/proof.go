package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// pendingEnd is an end of an attempt as not run that is not proved yet.
type pendingEnd struct {
	outcome      api.Outcome
	endReason    sched.EndReason
	blamedWorker string
	reason       string
}

// provablyNotRun reports whether no owner can have started an attempt that this owner
// did not start. An attempt that was offered soon after a takeover may run at a worker
// that has not answered yet. An at-most-once attempt starts only with a claim, which
// its offer lists. The proof has one gap, for work that may run more than once: a worker
// that restarts between the takeover and its first answer has no record of its tasks.
func (d *Domain) provablyNotRun(a *attempt) bool {
	if a.offer.Spec.AtMostOnce || a.offeredAt.Sub(d.started) > d.opts.lostTimeout() {
		return true
	}
	for _, w := range d.workers {
		if !w.everSynced {
			return false
		}
	}
	return d.vmListRead
}

// deferUnprovenEnd defers an end as not run until it is proved, and reports whether it
// did so; the caller holds the lock.
func (d *Domain) deferUnprovenEnd(a *attempt, end pendingEnd) bool {
	if d.provablyNotRun(a) || d.graceOver(time.Now()) {
		return false
	}
	a.pendingEnd = &end
	return true
}

func (d *Domain) graceOver(now time.Time) bool { return now.Sub(d.started) > d.opts.lostTimeout() }

// resolvePendingEnds retries the deferred ends: finishAttempt defers them again until
// they are proved or the time for a proof is over. The caller holds the lock.
func (d *Domain) resolvePendingEnds() {
	for _, a := range d.attempts {
		p := a.pendingEnd
		if p == nil || a.ended {
			continue
		}
		a.pendingEnd = nil
		if a.hasLiveCopy() {
			d.advance(a)
			continue
		}
		d.finishAttempt(a, p.outcome, p.endReason, p.blamedWorker, p.reason)
	}
}

// hasLiveCopy reports whether a copy of the attempt has not ended.
func (a *attempt) hasLiveCopy() bool {
	for _, c := range a.copies {
		if !c.allFinished() {
			return true
		}
	}
	return false
}
