package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// leaseLoop polls a busy worker, which renews its lease and collects the ends of its
// runs, until the worker is removed or ownership ends.
func (o *Owner) leaseLoop(w *worker) {
	unstored := 0 // consecutive polls whose ends were not stored in time
	for o.ctx.Err() == nil {
		state := o.leaseLoopStateOf(w)
		if state.removed {
			return
		}
		if !state.busy {
			select {
			case <-w.wake:
			case <-o.ctx.Done():
			}
			continue
		}
		if !o.awaitOwnership() {
			return
		}
		if !state.clockKnown && state.unanswered == 0 && !o.ensureContact(w, maxClockReadingAge) {
			wait.Sleep(o.ctx, o.probeInterval(w))
			continue
		}
		delay := renewMaxWait
		if state.fillersColocated {
			delay = colocatedMaxWait
		}
		if state.endsPending || state.unanswered > 0 {
			delay = 0 // the worker would reply at once with the same ends
		}
		if answered := o.renewOrProbe(w, delay, state.unanswered); !answered {
			wait.Sleep(o.ctx, o.probeInterval(w))
			continue
		}
		pause := ackWait
		if unstored >= outageAfterRenewals {
			pause = outageAckWait
		}
		if unstored++; o.awaitDurableEnds(w, pause) {
			unstored = 0
		}
	}
}

// renewOrProbe polls a worker. If the worker has not answered the last calls, it waits for a
// slot first, before workers with more unanswered calls, up to maxProbeRank of them.
func (o *Owner) renewOrProbe(w *worker, delay time.Duration, unanswered int) (answered bool) {
	if unanswered > 0 {
		if !o.probeSlots.acquire(o.ctx, min(unanswered, maxProbeRank)) {
			return false
		}
		defer o.probeSlots.release()
	}
	return o.pollWorker(w, delay, true)
}

// maxProbeRank is the number of unanswered calls from which workers are polled in turn.
const maxProbeRank = 4

// Intervals between polls of a worker that does not answer.
const (
	probeIntervalBusy = 300 * time.Millisecond // it has runs that have to be resolved
	probeIntervalIdle = time.Second            // it has no runs and gets none until it answers
)

func (o *Owner) probeInterval(w *worker) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(w.runs) > 0 {
		return probeIntervalBusy
	}
	return probeIntervalIdle
}

// leaseLoopState is the state of a worker on which its lease loop decides what to do next.
type leaseLoopState struct {
	busy             bool // the worker has to be polled
	endsPending      bool // ends on it are not yet stored
	unanswered       int  // consecutive calls without an answer
	clockKnown       bool
	fillersColocated bool // fillers run beside long-running tasks
	removed          bool // the worker was removed
}

func (o *Owner) leaseLoopStateOf(w *worker) leaseLoopState {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := leaseLoopState{endsPending: w.ackThrough < w.lastEndSeq, unanswered: w.unansweredCalls, clockKnown: w.clockKnown(), fillersColocated: w.colocatesFillers(), removed: w.removed}
	for r := range w.runs {
		s.busy = s.busy || r.phase != phasePlanned
	}
	s.busy = w.Address != "" && (s.busy || s.endsPending || w.ackDue || (s.unanswered > 0 && w.listed))
	return s
}

// awaitDurableEnds waits until the ends of the last poll are stored, so that the next
// poll acknowledges them, but no longer than timeout. It reports whether they are stored.
func (o *Owner) awaitDurableEnds(w *worker, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		o.mu.Lock()
		pending, acked := w.ackThrough < w.lastEndSeq, w.ackAdvanced
		o.mu.Unlock()
		if !pending {
			return true
		}
		select {
		case <-acked:
		case <-timer.C:
			return false
		case <-o.ctx.Done():
			return false
		}
	}
}

// pollWorker makes one RenewLease call and applies the reply; extend sets whether it
// renews the lease. It reports whether the worker accepted the call and its reply was applied.
func (o *Owner) pollWorker(w *worker, delay time.Duration, extend bool) bool {
	o.mu.Lock()
	now := o.opts.Clock()
	request := RenewLeaseRequest{Token: o.ownership.token, AckedThrough: w.ackToSend(), MaxWait: delay}
	// An unanswered poll may still have renewed the lease, so a worker that does not
	// answer gets no further renewals and its lease expires.
	before := w.maxDeadlineMS
	if extend && w.clockKnown() && w.unansweredCalls == 0 && now < o.validUntil() {
		request.LeaseEndMS = w.estimatedClockMS(now) + o.workerLeaseTTL().Milliseconds()
		w.maxDeadlineMS = max(w.maxDeadlineMS, request.LeaseEndMS)
	}
	address, id, incarnation := w.Address, w.ID, w.Incarnation
	o.mu.Unlock()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, delay+renewTimeoutMargin)
	defer cancel()
	reply, verdict, err := o.opts.Workers.RenewLease(ctx, address, id, request)
	if verdict == Accepted {
		return o.applyLeaseReply(w, request, reply, now)
	}
	if verdict == Fenced {
		o.endOwnership("worker " + id + " has seen a higher token")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if verdict == OtherIncarnation {
		o.endIncarnation(w, incarnation)
	}
	if verdict == NotSent && request.LeaseEndMS > 0 && w.maxDeadlineMS == request.LeaseEndMS {
		w.maxDeadlineMS = max(before, w.maxStartDeadlineMS) // a start may have been sent meanwhile
	}
	o.countUnansweredCall(w)
	if until := o.opts.Clock() + unansweredBackoff; until > w.backoffUntil {
		w.backoffUntil, w.backoffReason = until, verdict
	}
	if w.unansweredCalls == 1 && o.ctx.Err() == nil {
		reason := string(verdict)
		if err != nil {
			reason = err.Error()
		}
		o.opts.Log.Info("worker does not answer", "worker", id, "runs", len(w.runs), "reason", reason)
	}
	return false
}
