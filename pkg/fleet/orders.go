package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// orderQueue is the number of orders that may wait for a worker; more than a
// worker can run.
const orderQueue = 256

// orderKind is what the order loop of a worker does.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderSettle // stop, and look whether the run is there
	orderAdopt  // look whether a former owner's run is there; settle it if not
	orderPace   // set the share of a filler
	orderStray  // stop a run that belongs to no assignment
)

type order struct {
	kind  orderKind
	run   *run
	stray RunState
}

// settle orders that the fate of a run be found out; the lock is held.
func (o *Owner) settle(r *run) {
	r.phase = settling
	o.send(r.worker, order{kind: orderSettle, run: r})
}

// send queues an order; the lock is held. A full queue cannot occur with the
// runs of one worker, but must not block the owner.
func (o *Owner) send(w *worker, ord order) {
	if w.stopped {
		return
	}
	select {
	case w.orders <- ord:
	default:
		o.opts.Log.Info("order queue is full", "worker", w.ID)
		if ord.run != nil {
			o.sendLater(w, ord)
		}
	}
}

// orderLoop sends the orders of a worker one after the other.
func (o *Owner) orderLoop(w *worker) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case ord, ok := <-w.orders:
			if !ok || !o.awaitOwnership() {
				return
			}
			o.carryOut(w, ord)
		}
	}
}

func (o *Owner) carryOut(w *worker, ord order) {
	switch ord.kind {
	case orderStart:
		o.sendStart(w, ord.run)
	case orderStop:
		o.sendStop(w, ord.run)
	case orderSettle:
		o.sendSettle(w, ord.run)
	case orderAdopt:
		o.sendAdopt(w, ord.run)
	case orderPace:
		o.sendPace(w, ord.run)
	case orderStray:
		o.stopTask(w, ord.stray.Task, ord.stray.Run)
	}
}

// contact makes sure that a worker's present life has answered under the
// present token and that its clock is known.
func (o *Owner) contact(w *worker) bool {
	o.mu.Lock()
	now := o.opts.Clock()
	fresh := w.contacted && now-w.clockAt < contactAge
	o.mu.Unlock()
	return fresh || o.look(w, 0, false)
}

// sendStart sends a start until it is answered, and records what came of it.
func (o *Owner) sendStart(w *worker, r *run) {
	if !o.contact(w) {
		o.startFailed(w, r, NotSent)
		return
	}
	if !o.stillStarting(r) {
		return
	}
	if !o.mayStartOn(w) {
		o.startFailed(w, r, Withdrawn)
		return
	}
	o.mu.Lock()
	now := o.opts.Clock()
	task := &r.group.tasks()[r.index]
	start := StartOrder{
		Task: r.group.taskID(r.index), Run: r.number, Payload: r.group.job.Payload, Checkpoint: task.Checkpoint,
		DeadlineMS: w.clockNow(now) + startWindow.Milliseconds(), Token: o.ownership.token,
	}
	if a := r.group.advice; a != nil {
		start.Ticket = a.tickets[w.ID].value
	}
	w.maxDeadline = max(w.maxDeadline, start.DeadlineMS)
	r.orderedAt = now
	address, id := w.Address, w.ID
	o.mu.Unlock()

	if verdict := o.tryStart(r, address, id, start); verdict == Accepted {
		o.startAccepted(w, r)
	} else {
		o.startFailed(w, r, verdict)
	}
}

// tryStart sends a start, and sends it again while it is not answered; the worker
// starts a run once. Only an acceptance settles the matter after an unanswered
// try: a refusal speaks of the repetition.
func (o *Owner) tryStart(r *run, address, id string, start StartOrder) Verdict {
	ctx, cancel := context.WithTimeout(o.ctx, startPatience)
	defer cancel()
	answers := make(chan Verdict, startTries)
	next := time.NewTimer(0)
	defer next.Stop()
	for sent, open := 0, 0; ; {
		select {
		case <-next.C:
			if !o.awaitOwnership() || !o.stillStarting(r) {
				return Unanswered
			}
			sent++
			open++
			go func() { answers <- o.startOnce(ctx, address, id, start) }()
			if sent < startTries {
				next.Reset(o.startTimeout.HedgeAfter() << (sent - 1))
			}
			if sent > 1 {
				o.noteUnanswered(r)
			}
		case v := <-answers:
			open--
			if v == Accepted || v == Fenced || (sent == 1 && v != Unanswered) {
				return v
			}
			o.noteUnanswered(r)
			if open == 0 && sent == startTries {
				return Unanswered
			}
		case <-ctx.Done():
			o.noteUnanswered(r)
			return Unanswered
		}
	}
}

// startOnce sends a start once.
func (o *Owner) startOnce(ctx context.Context, address, id string, start StartOrder) Verdict {
	sentAt := time.Now()
	reply, err := o.opts.Workers.Start(ctx, address, id, start)
	if reply.Verdict != Unanswered {
		o.startTimeout.RecordAnswer(time.Since(sentAt))
		return reply.Verdict
	}
	if !errors.Is(err, context.Canceled) { // another try was answered
		o.opts.Log.V(1).Info("start not answered", "task", start.Task.String(), "run", start.Run, "worker", id, "error", errorText(err))
	}
	return Unanswered
}

// noteUnanswered notes that a start of the run may still be on its way.
func (o *Owner) noteUnanswered(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.unanswered = true
}

func (o *Owner) startAccepted(w *worker, r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.failing = 0
	if _, present := w.runs[r]; !present || r.phase != starting {
		return
	}
	o.confirm(r)
	o.kick(w)
}

// confirm notes that a run is present on its worker; the lock is held.
func (o *Owner) confirm(r *run) {
	now := o.opts.Clock()
	r.phase, r.startedAt, r.progressAt, r.missing = running, now, now, 0
	o.opts.Log.V(1).Info("run started", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", r.worker.ID)
}

// Pauses before a worker is used again after it did not take a start.
const (
	roomPause      = 300 * time.Millisecond // its room frees within the stop grace
	unhealthyPause = 2 * time.Second
	silentPause    = 2 * time.Second
)

// stillStarting reports whether the start of a run is still due. Its end may be
// known before the answer to its start, and a new life of the worker would not
// know of either.
func (o *Owner) stillStarting(r *run) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, present := r.worker.runs[r]
	return present && r.phase == starting
}

// mayStartOn reports whether a worker still takes new work. A start may have
// waited behind orders that took seconds, so this is asked again before it is sent.
func (o *Owner) mayStartOn(w *worker) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.listed && !w.Draining && !w.cordoned
}

// startFailed handles a start that was not accepted. Only an unanswered start
// may still be carried out.
func (o *Owner) startFailed(w *worker, r *run, v Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	id := r.group.taskID(r.index)
	o.opts.Log.Info("start not accepted", "task", id.String(), "run", r.number, "worker", w.ID, "verdict", v)
	if _, present := w.runs[r]; !present || r.phase != starting {
		return
	}
	switch v {
	case Fenced:
		o.endOwnership("worker " + w.ID + " has seen a higher token")
		return
	case OtherIncarnation:
		o.endLife(w)
		o.noteFailing(w)
	case Unanswered:
		w.backoffTill = now + silentPause
		o.noteFailing(w)
		o.settle(r)
		return
	case InsufficientCapacity:
		w.backoffTill = now + roomPause
	case NotSent:
		w.backoffTill = now + silentPause
	case TooLate:
		w.contacted = false // its clock is not where it was thought to be
	case NoTicket:
		if a := r.group.advice; a != nil {
			delete(a.tickets, w.ID)
			delete(a.asked, lifeKey(w))
		}
	case StaleRun, Accepted, Withdrawn:
	case Unhealthy, BadOrder:
		w.backoffTill = now + unhealthyPause
		r.group.shun(w, now)
	}
	o.notStarted(r)
}

// notStarted forgets a run that was certainly never started. The rest of its
// gang is stopped; the lock is held.
func (o *Owner) notStarted(r *run) {
	o.unassign(r)
	if r.group.spec().Gang {
		o.stopGroup(r.group, "a member did not start")
	}
	o.triggerCycle()
}

// dropRun frees the room of a run that has ended for certain; the lock is held.
func (o *Owner) dropRun(r *run) {
	delete(r.worker.runs, r)
	if r.group.runs[r.index] == r {
		delete(r.group.runs, r.index)
	}
	o.forgetIfGone(r.worker)
}

// sendStop orders a run to stop. The end shows in the worker's list; without
// an answer the run is settled.
func (o *Owner) sendStop(w *worker, r *run) {
	if v := o.stop(w, r); v != Accepted && v != Fenced {
		o.mu.Lock()
		if _, present := w.runs[r]; present && r.phase == stopping {
			o.settle(r)
		}
		o.mu.Unlock()
		return
	}
	o.kick(w)
}

func (o *Owner) stop(w *worker, r *run) Verdict {
	o.mu.Lock()
	_, present := w.runs[r]
	o.mu.Unlock()
	if !present {
		return Accepted
	}
	return o.stopTask(w, r.group.taskID(r.index), r.number)
}

func (o *Owner) stopTask(w *worker, task workload.TaskID, number int64) Verdict {
	o.mu.Lock()
	address, id := w.Address, w.ID
	o.mu.Unlock()
	if address == "" {
		return NotSent
	}
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	reply, err := o.opts.Workers.Stop(ctx, address, id, task, number, o.ownership.token)
	if err != nil {
		o.opts.Log.V(1).Info("stop not answered", "task", task.String(), "run", number, "worker", id, "reason", err.Error())
	}
	if reply.Verdict == Fenced {
		o.endOwnership("worker " + id + " has seen a higher token")
	}
	return reply.Verdict
}

// settlePause is the pause between two tries to settle a run at a worker that
// does not answer.
const settlePause = 300 * time.Millisecond

// sendSettle bars a run from starting and looks whether it is or was there. It
// tries again until the worker answers or its lease has lapsed.
func (o *Owner) sendSettle(w *worker, r *run) {
	o.mu.Lock()
	_, present := w.runs[r]
	wanted := present && r.phase == settling
	if wanted {
		r.barred = true
	}
	o.mu.Unlock()
	if !wanted {
		return
	}
	v := o.stop(w, r)
	if v == OtherIncarnation {
		o.mu.Lock()
		o.endLife(w)
		o.mu.Unlock()
		return
	}
	if v == Accepted {
		if lookedAt := o.opts.Clock(); o.look(w, 0, false) {
			o.settled(w, r, lookedAt)
			return
		}
	}
	o.sendLater(w, order{kind: orderSettle, run: r})
}

// sendLater repeats an order after a pause if its run is still there.
func (o *Owner) sendLater(w *worker, ord order) {
	time.AfterFunc(settlePause, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, present := w.runs[ord.run]; present && o.ctx.Err() == nil {
			o.send(w, ord)
		}
	})
}

// sendAdopt looks for a run that a former owner has assigned. A run that is
// listed goes on; one that is not is settled.
func (o *Owner) sendAdopt(w *worker, r *run) {
	if !o.look(w, 0, false) {
		o.sendLater(w, order{kind: orderAdopt, run: r})
		return
	}
	o.sendSettle(w, r)
}

// settled concludes from a look that followed the stop of a run: if the worker
// lists the run neither as present nor as ended, it was never started.
func (o *Owner) settled(w *worker, r *run, lookedAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, present := w.runs[r]; !present || r.phase != settling || r.listedAt >= lookedAt {
		return
	}
	o.opts.Log.Info("run was not started", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", w.ID)
	o.notStarted(r)
}
