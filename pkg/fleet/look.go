package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// lookLoop renews the lease of a busy worker and waits for ends on it.
func (o *Owner) lookLoop(w *worker) {
	unacked := 0 // looks in a row whose ends were not durable in time
	for o.ctx.Err() == nil {
		need := o.lookNeeds(w)
		if need.stopped {
			return
		}
		if !need.busy {
			select {
			case <-w.poke:
			case <-o.ctx.Done():
			}
			continue
		}
		if !o.awaitOwnership() {
			return
		}
		delay := holdWait
		if need.shared {
			delay = sharedLook
		}
		if need.pending || need.failing {
			delay = 0 // the worker would answer at once with the same ends
		}
		if !o.look(w, delay, true) {
			wait.Sleep(o.ctx, o.probePause(w))
			continue
		}
		pause := ackPause
		if unacked >= patientLooks {
			pause = outagePause
		}
		if unacked++; o.awaitAck(w, pause) {
			unacked = 0
		}
	}
}

// Pauses between looks at a worker that does not answer.
const (
	probeBusy = 300 * time.Millisecond // runs of it wait to be settled
	probeIdle = time.Second            // it only waits to be used again
)

func (o *Owner) probePause(w *worker) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(w.runs) > 0 {
		return probeBusy
	}
	return probeIdle
}

// lookNeed is what the look loop of a worker has to do.
type lookNeed struct {
	busy    bool // there is something to look at
	pending bool // ends of it wait for their durable note
	failing bool // it did not answer the last call
	shared  bool // fillers run beside services
	stopped bool // it is forgotten
}

func (o *Owner) lookNeeds(w *worker) lookNeed {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := lookNeed{pending: w.ackTo < w.endSeen, failing: w.failing > 0, shared: w.shares(), stopped: w.stopped}
	for r := range w.runs {
		n.busy = n.busy || r.phase != planned
	}
	n.busy = w.Address != "" && (n.busy || n.pending || w.ackDue || (n.failing && w.listed))
	return n
}

// awaitAck waits a while until the ends of the last look are durable, so that the
// next look acknowledges them, and reports whether they are.
func (o *Owner) awaitAck(w *worker, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		o.mu.Lock()
		pending, acked := w.ackTo < w.endSeen, w.acked
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

// look sends one hold and applies the answer; extend renews the lease.
func (o *Owner) look(w *worker, delay time.Duration, extend bool) bool {
	o.mu.Lock()
	now := o.opts.Clock()
	request := RenewLeaseRequest{Token: o.ownership.token, AckedThrough: w.ackTo, MaxWait: delay}
	// A look that is not answered may still have renewed the lease, so a worker
	// that does not answer gets no further renewals and lapses.
	before := w.maxDeadline
	if extend && w.contacted && w.failing == 0 && now < o.validUntil {
		request.LeaseEndMS = w.clockNow(now) + o.workerLease().Milliseconds()
		w.maxDeadline = max(w.maxDeadline, request.LeaseEndMS)
	}
	address, id := w.Address, w.ID
	o.mu.Unlock()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, delay+holdMargin)
	defer cancel()
	reply, verdict, err := o.opts.Workers.RenewLease(ctx, address, id, request)
	if verdict == Accepted {
		o.applyLook(w, request, reply, now)
		return true
	}
	if verdict == Fenced {
		o.endOwnership("worker " + id + " has seen a higher token")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if verdict == OtherIncarnation {
		o.endLife(w)
	}
	if verdict == NotSent && w.maxDeadline == request.LeaseEndMS {
		w.maxDeadline = before
	}
	o.noteFailing(w)
	w.backoffTill = max(w.backoffTill, o.opts.Clock()+silentPause)
	if w.failing == 1 && o.ctx.Err() == nil {
		reason := string(verdict)
		if err != nil {
			reason = err.Error()
		}
		o.opts.Log.Info("worker does not answer", "worker", id, "runs", len(w.runs), "reason", reason)
	}
	return false
}
