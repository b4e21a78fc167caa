package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// lateOrders is how long an unanswered order to a former life may still reach
// the new one, whose clock starts anew and thus does not refuse it as late.
const lateOrders = 13 * time.Second

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

// addWorker creates a worker and its loops; the lock is held.
func (o *Owner) addWorker(entry WorkerEntry) *worker {
	w := &worker{
		WorkerEntry: entry, runs: map[*run]struct{}{}, strikes: map[string]bool{},
		orders: make(chan order, orderQueue), poke: make(chan struct{}, 1), acked: make(chan struct{}),
		// A former owner may have renewed the lease just before it lost ownership.
		unknownTill: o.tookOverAt + LeaseTTL + lapseBound,
	}
	o.workers[entry.ID] = w
	o.goRun(func() { o.orderLoop(w) })
	o.goRun(func() { o.lookLoop(w) })
	return w
}

// applyWorker takes over a worker's entry; the lock is held.
func (o *Owner) applyWorker(key string, value []byte) {
	entry, ok := o.opts.Decode(key, value)
	if !ok {
		o.opts.Log.V(1).Info("worker entry ignored", "key", key)
		return
	}
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
		w.listed, w.drainSince = true, o.opts.Clock()
		return
	}
	before := w.WorkerEntry
	w.listed = true
	if before.Address != "" && entry.Born < before.Born {
		return // an older entry than what the worker itself has said
	}
	w.WorkerEntry = entry
	if entry.Draining && !before.Draining {
		w.drainSince = o.opts.Clock()
		o.opts.Log.Info("worker drains", "worker", w.ID, "leavesInMS", entry.Leaves.Milliseconds(), "runs", len(w.runs))
	}
	if before.Address == "" {
		o.kick(w)
	}
	if before.Born != entry.Born {
		o.newLife(w, "entry in the store")
	}
}

// unlistWorker notes that the store no longer has a worker's entry. What runs
// there may go on until its lease lapses; the lock is held.
func (o *Owner) unlistWorker(key string) {
	w := o.workers[strings.TrimPrefix(key, o.opts.WorkerDir)]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	o.opts.Log.Info("worker is no longer listed", "worker", w.ID, "runs", len(w.runs))
	o.forgetIfGone(w)
}

// forgetIfGone ends the loops of a worker that is neither listed nor used; the
// lock is held.
func (o *Owner) forgetIfGone(w *worker) {
	if w.listed || len(w.runs) > 0 || w.stopped {
		return
	}
	w.stopped = true
	delete(o.workers, w.ID)
	close(w.orders)
	o.kick(w)
}

// newLife handles a worker that has started anew: nothing of its former life
// runs. Orders to it may still be on their way, so each run is settled at the
// new life; the lock is held.
func (o *Owner) newLife(w *worker, source string) {
	o.opts.Log.Info("worker has started anew", "worker", w.ID, "source", source, "runs", len(w.runs))
	w.contacted, w.endSeen, w.ackTo, w.unacked, w.ackDue = false, 0, 0, nil, false
	w.maxDeadline, w.unknownTill = 0, o.opts.Clock()+lateOrders
	clear(w.strikes)
	for r := range w.runs {
		if r.phase != planned {
			o.settle(r)
		}
	}
	o.signal()
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
			ord.run.phase = settling
		}
	}
}

// kick wakes the look loop of a worker.
func (o *Owner) kick(w *worker) {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// orderLoop sends the orders of a worker one after the other.
func (o *Owner) orderLoop(w *worker) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case ord, ok := <-w.orders:
			if !ok || !o.awaitValid() {
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
	o.mu.Lock()
	now := o.opts.Clock()
	task := &r.group.tasks()[r.index]
	start := StartOrder{
		Task: r.group.taskID(r.index), Run: r.number, Payload: r.group.job.Payload, Checkpoint: task.Checkpoint,
		Deadline: w.clockNow(now) + startWindow.Milliseconds(), Token: o.lease.token,
	}
	if a := r.group.advice; a != nil {
		start.Ticket = a.tickets[w.ID].value
	}
	w.maxDeadline = max(w.maxDeadline, start.Deadline)
	address, id := w.Address, w.ID
	r.orderedAt = now
	o.mu.Unlock()

	if verdict := o.tryStart(r, address, id, start); verdict == Accepted {
		o.startAccepted(w, r)
	} else {
		o.startFailed(w, r, verdict)
	}
}

// tryStart repeats a start until it is answered. After an unanswered try only
// an acceptance settles the matter: a refusal speaks of the repetition.
func (o *Owner) tryStart(r *run, address, id string, start StartOrder) Verdict {
	for try := 0; try < orderTries && o.awaitValid() && o.stillStarting(r); try++ {
		ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
		reply, err := o.opts.Workers.Start(ctx, address, id, start)
		cancel()
		if reply.Verdict == Accepted || reply.Verdict == Fenced || (try == 0 && reply.Verdict != Unanswered) {
			return reply.Verdict
		}
		o.opts.Log.V(1).Info("start not answered", "task", start.Task.String(), "run", start.Run, "worker", id, "try", try+1,
			"verdict", reply.Verdict, "error", errorText(err))
	}
	return Unanswered
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
		o.lose("worker " + w.ID + " has seen a higher token")
		return
	case Unanswered, OtherLife:
		w.backoffTill = now + silentPause
		w.failing++
		o.kick(w)
		o.settle(r)
		return
	case NoRoom:
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
	case StaleRun, Accepted:
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
	o.signal()
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
	reply, err := o.opts.Workers.Stop(ctx, address, id, task, number, o.lease.token)
	if err != nil {
		o.opts.Log.V(1).Info("stop not answered", "task", task.String(), "run", number, "worker", id, "reason", err.Error())
	}
	if reply.Verdict == Fenced {
		o.lose("worker " + id + " has seen a higher token")
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
	if v := o.stop(w, r); v == Accepted {
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

// lookLoop renews the lease of a busy worker and waits for ends on it.
func (o *Owner) lookLoop(w *worker) {
	for o.ctx.Err() == nil {
		busy, pending, failing, shared, stopped := o.lookState(w)
		if stopped {
			return
		}
		if !busy {
			select {
			case <-w.poke:
			case <-o.ctx.Done():
			}
			continue
		}
		if !o.awaitValid() {
			return
		}
		delay := holdWait
		if shared {
			delay = sharedLook
		}
		if pending || failing {
			delay = 0 // the worker would answer at once with the same ends
		}
		if !o.look(w, delay, true) {
			wait.Sleep(o.ctx, o.probePause(w))
			continue
		}
		o.awaitAck(w)
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

// lookState reports whether a worker needs looks and whether ends of it wait
// for their durable note.
func (o *Owner) lookState(w *worker) (busy, pending, failing, shared, stopped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := false
	for r := range w.runs {
		present = present || r.phase != planned
	}
	return w.Address != "" && (present || w.ackTo < w.endSeen || w.ackDue || (w.failing > 0 && w.listed)), w.ackTo < w.endSeen, w.failing > 0, w.shares(), w.stopped
}

// awaitAck waits until the ends of the last look are durable, so that the next
// look acknowledges them.
func (o *Owner) awaitAck(w *worker) {
	for deadline := o.opts.Clock() + ackPause; o.opts.Clock() < deadline; {
		o.mu.Lock()
		pending, acked := w.ackTo < w.endSeen, w.acked
		o.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-acked:
		case <-time.After(ackPause):
		case <-o.ctx.Done():
			return
		}
	}
}

// look sends one hold and applies the answer; extend renews the lease.
func (o *Owner) look(w *worker, delay time.Duration, extend bool) bool {
	o.mu.Lock()
	now := o.opts.Clock()
	request := HoldRequest{Token: o.lease.token, AckedTo: w.ackTo, Wait: delay}
	// A look that is not answered may still have renewed the lease, so a worker
	// that does not answer gets no further renewals and lapses.
	before := w.maxDeadline
	if extend && w.contacted && w.failing == 0 && now < o.validUntil {
		request.Deadline = w.clockNow(now) + workerLease.Milliseconds()
		w.maxDeadline = max(w.maxDeadline, request.Deadline)
	}
	address, id := w.Address, w.ID
	o.mu.Unlock()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, delay+holdMargin)
	defer cancel()
	reply, verdict, err := o.opts.Workers.Hold(ctx, address, id, request)
	if verdict == Accepted {
		o.applyLook(w, request, reply, now)
		return true
	}
	if verdict == Fenced {
		o.lose("worker " + id + " has seen a higher token")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if verdict == NotSent && w.maxDeadline == request.Deadline {
		w.maxDeadline = before
	}
	w.failing++
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
