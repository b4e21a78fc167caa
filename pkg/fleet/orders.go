package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// maxQueuedOrders is the capacity of a worker's order queue. With more runs on a worker,
// orders for the others are queued again after a pause.
const maxQueuedOrders = 256

// orderKind selects the action of a worker's order loop.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderResolve        // stop the run and poll the worker to find out whether it started
	orderAdopt          // contact the worker for a run of a former owner or incarnation; resolve it if it is not listed
	orderThrottle       // set the speed of a filler run
	orderStopUnassigned // stop a run that belongs to no assignment
)

type order struct {
	kind       orderKind
	run        *run
	unassigned RunState
}

// queueResolve queues an order that finds out whether a run has started; the
// lock is held.
func (o *Owner) queueResolve(r *run) {
	o.setPhase(r, phaseUncertain)
	o.enqueueOrder(r.worker, order{kind: orderResolve, run: r})
}

// enqueueOrder queues an order for a worker; the lock is held. If the queue is full, the
// owner must not block.
func (o *Owner) enqueueOrder(w *worker, ord order) {
	if w.removed {
		return
	}
	select {
	case w.orders <- ord:
	default:
		if o.fullQueueLines.allow(o.opts.Clock()) {
			o.opts.Log.Info("order queue of the worker is full", "worker", w.ID, "runs", len(w.runs))
		}
		if ord.run != nil {
			o.retryOrderLater(w, ord)
		}
	}
}

// orderLoop executes the orders for a worker one at a time.
func (o *Owner) orderLoop(w *worker) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case ord, ok := <-w.orders:
			if !ok || !o.awaitOwnership() {
				return
			}
			o.executeOrder(w, ord)
			// It may have left a run that only a poll resolves, as one that was stopped
			// while it started.
			o.wakeLeaseLoop(w)
		}
	}
}

func (o *Owner) executeOrder(w *worker, ord order) {
	switch ord.kind {
	case orderStart:
		o.executeStart(w, ord.run)
	case orderStop:
		o.executeStop(w, ord.run)
	case orderResolve:
		o.executeResolve(w, ord.run)
	case orderAdopt:
		o.executeAdopt(w, ord.run)
	case orderThrottle:
		o.executeThrottle(w, ord.run)
	case orderStopUnassigned:
		o.sendStopOnce(w, ord.unassigned.Task, ord.unassigned.Run)
	}
}

// ensureContact reports whether the current incarnation of a worker has answered
// under the current fencing token, within maxAge, and its clock is known; it polls the worker
// if needed.
func (o *Owner) ensureContact(w *worker, maxAge time.Duration) bool {
	if o.inContact(w, maxAge) {
		return true
	}
	before := o.unansweredCallsOf(w)
	// One call at a time to a worker: for one that does not answer, a second call would
	// take another slot in vain.
	select {
	case w.contacting <- struct{}{}:
	case <-o.ctx.Done():
		return false
	}
	defer func() { <-w.contacting }()
	if o.inContact(w, maxAge) {
		return true
	}
	if o.unansweredCallsOf(w) > before {
		return false
	}
	select {
	case o.contactSlots <- struct{}{}:
	case <-o.ctx.Done():
		return false
	}
	release := sync.OnceFunc(func() { <-o.contactSlots })
	defer release()
	if o.inContact(w, maxAge) {
		return true
	}
	// Workers that answer do not wait for those that do not.
	late := time.AfterFunc(max(minContactSlotHold, o.adaptiveContactTimeout.HedgeAfter()), release)
	defer late.Stop()
	sentAt := time.Now()
	answered := o.pollWorker(w, 0, false)
	if answered {
		o.adaptiveContactTimeout.RecordAnswer(time.Since(sentAt))
	}
	return answered
}

func (o *Owner) inContact(w *worker, maxAge time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.clockKnown() && o.opts.Clock()-w.clockReadAt < maxAge
}

// unansweredCallsOf returns the number of consecutive calls that a worker did not answer.
func (o *Owner) unansweredCallsOf(w *worker) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.unansweredCalls
}

// maxContactAge returns the age of the worker's last answer from which it is asked again before
// a start. An idle worker is not polled, and may have started anew as another kind.
func maxContactAge(r *run) time.Duration {
	if r.group.spec().RequiredLabel != "" {
		return maxLabelAge
	}
	return maxClockReadingAge
}

// executeStart sends a start order, with retries, and handles its outcome.
func (o *Owner) executeStart(w *worker, r *run) {
	if !o.ensureContact(w, maxContactAge(r)) {
		o.handleStartFailure(w, r, NotSent)
		return
	}
	if !o.startSlots.acquire(o.ctx, 0) {
		return
	}
	release := sync.OnceFunc(o.startSlots.release)
	defer release()
	if !o.stillStarting(r) {
		return
	}
	if !o.acceptsNewRuns(w) || !o.atAssignedAddress(w, r) {
		o.handleStartFailure(w, r, Withdrawn)
		return
	}
	o.mu.Lock()
	now := o.opts.Clock()
	ttl, ok := o.startTTL(now)
	if !ok {
		o.mu.Unlock()
		o.deferStart(w, r)
		return
	}
	task := &r.group.tasks()[r.index]
	start := StartOrder{
		Task: r.group.taskID(r.index), Run: r.number, Payload: r.group.job.Payload, Checkpoint: task.Checkpoint,
		DeadlineMS: w.estimatedClockMS(now) + ttl.Milliseconds(), Token: o.ownership.token,
	}
	if a := r.group.advice; a != nil {
		start.Ticket = a.tickets[w.ID].value
	}
	w.recordStartDeadline(start.DeadlineMS)
	r.startSentAt, w.unconfirmedStartAt = now, now
	address, id := w.Address, w.ID
	o.mu.Unlock()

	if verdict := o.sendStartWithRetries(r, address, id, start, release); verdict == Accepted {
		o.handleStartAccepted(w, r)
	} else {
		o.handleStartFailure(w, r, verdict)
	}
}

// sendStartWithRetries sends a start order and repeats it while it is unanswered;
// a worker starts a run only once. After an unanswered attempt only an acceptance
// (or a fenced answer) is conclusive: another refusal may refer to the repeated
// order only. Each attempt holds a slot until its answer is late, so that workers that do
// not answer do not delay starts on others; releaseSlot gives back that of the first one.
func (o *Owner) sendStartWithRetries(r *run, address, id string, start StartOrder, releaseSlot func()) Verdict {
	ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
	defer cancel()
	answers := make(chan Verdict, maxStartSends)
	late := time.NewTimer(startTimeout)
	defer late.Stop()
	sent, open := 0, 0
	send := func() {
		sent++
		open++
		go func() { answers <- o.sendStartOnce(ctx, r, address, id, start) }()
		late.Reset(o.adaptiveStartTimeout.HedgeAfter() << (sent - 1))
	}
	if !o.awaitOwnership() || !o.stillStarting(r) {
		return Unanswered
	}
	if o.isEvacuated(r.worker) {
		return Withdrawn
	}
	send()
	var repeat *slotRequest // for the next attempt
	var repeatGranted chan struct{}
	defer func() {
		releaseSlot()
		if repeat != nil {
			o.startSlots.withdraw(repeat)
		}
	}()
	for {
		select {
		case <-late.C:
			releaseSlot()
			if sent < maxStartSends {
				repeat = o.startSlots.request(1, repeatShare)
				repeatGranted = repeat.granted
			}
		case <-repeatGranted:
			repeat, repeatGranted = nil, nil
			releaseSlot = sync.OnceFunc(o.startSlots.release)
			if !o.awaitOwnership() || !o.stillStarting(r) || o.isEvacuated(r.worker) {
				if open > 0 {
					o.recordUnawaitedStart(r)
				}
				return Unanswered
			}
			send()
			o.markStartUnanswered(r)
		case v := <-answers:
			open--
			if v == Accepted || v == Fenced || (sent == 1 && v != Unanswered) {
				return v
			}
			o.markStartUnanswered(r)
			if open == 0 && sent == maxStartSends {
				return Unanswered
			}
		case <-ctx.Done():
			o.markStartUnanswered(r)
			return Unanswered
		}
	}
}

// sendStartOnce makes one attempt to send a start order.
func (o *Owner) sendStartOnce(ctx context.Context, r *run, address, id string, start StartOrder) Verdict {
	sentAt := time.Now()
	reply, err := o.opts.Workers.Start(ctx, address, id, start)
	if reply.Verdict != Unanswered {
		o.adaptiveStartTimeout.RecordAnswer(time.Since(sentAt))
		o.checkStartClock(r, reply)
		return reply.Verdict
	}
	if !errors.Is(err, context.Canceled) { // another attempt was answered
		o.opts.Log.V(1).Info("start order was not answered", "task", start.Task.String(), "run", start.Run, "worker", id, "error", errorText(err))
	}
	return Unanswered
}

// checkStartClock compares the clock in the answer to the start of a run with that of the known
// incarnation. A lower one shows that the worker has started anew, which its entry may not say
// yet; it is polled at once.
func (o *Owner) checkStartClock(r *run, reply OrderReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := r.worker
	if reply.ClockMS == 0 || !w.contacted || r.startSentAt < w.incarnationSince {
		return
	}
	if expected := w.earliestClockMS(r.startSentAt); reply.ClockMS < expected {
		o.opts.Log.Info("the clock of the worker went back; it may have started anew", "worker", w.ID, "clockMS", reply.ClockMS, "expectedMS", expected, "runs", len(w.runs))
		o.opts.Metrics.Event("worker_clock_back")
		o.goRun(func() { o.pollWorker(w, 0, false) })
		return
	}
	if w.unconfirmedStartAt == r.startSentAt && !r.startUnanswered {
		w.unconfirmedStartAt = 0
	}
}

// markStartUnanswered records that a start order of the run may still reach the
// worker.
func (o *Owner) markStartUnanswered(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.startUnanswered = true
}

// recordUnawaitedStart records what is known of a start whose answer is not awaited any
// more: if a poll has confirmed the run, its only order has reached the worker, otherwise
// the order may be on its way.
func (o *Owner) recordUnawaitedStart(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.startedAt > 0 {
		o.recordStartSettled(r)
	} else {
		r.startUnanswered = true
	}
}

func (o *Owner) handleStartAccepted(w *worker, r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.unansweredCalls = 0
	o.queueAwaitingOrders(w)
	if _, present := w.runs[r]; !present {
		return
	}
	o.recordStartSettled(r)
	if r.phase != phaseStarting {
		return
	}
	o.confirmRunning(r)
}

// recordStartSettled records that a run has started and that no order to start it is
// still on its way, so that a successor need not wait for one; the lock is held.
func (o *Owner) recordStartSettled(r *run) {
	t := &r.group.tasks()[r.index]
	if r.startUnanswered || t.Phase != workload.Assigned || t.Run != r.number || t.Assigned.StartSettled {
		return
	}
	t.Assigned.StartSettled, t.Assigned.StartAgeS = true, 0
	o.markUnsaved(r.group.job)
}

// noteBegun records that a worker has started a task of a job; the lock is held.
func (o *Owner) noteBegun(j *job) {
	if !j.progress.Begun {
		j.progress.Begun = true
		o.markUnsaved(j)
	}
}

// markUnsaved makes a later cycle write what is known of the starts of a job; the lock is held.
func (o *Owner) markUnsaved(j *job) {
	o.activate(j)
	if j.unsavedSince == 0 {
		j.unsavedSince = o.opts.Clock()
	}
}

// startAgeStep is the step in which the age of an unsettled start is stored.
const startAgeStep = 5 * time.Second

// recordStartAge records the age of an unsettled start, so that a successor continues the
// wait for it; the lock is held.
func (o *Owner) recordStartAge(r *run, now time.Duration) {
	t := &r.group.tasks()[r.index]
	stored := time.Duration(t.Assigned.StartAgeS) * time.Second
	age := (now - r.startSentAt).Truncate(startAgeStep)
	if t.Phase == workload.Assigned && t.Run == r.number && stored < min(age, maxOrderDelay) {
		t.Assigned.StartAgeS = int64(age / time.Second)
		o.markUnsaved(r.group.job)
	}
}

// settleOldStarts settles the starts of running runs that were sent so long ago that no
// copy of the order can still be on its way, and records the age of the other unsettled
// starts; the lock is held.
func (o *Owner) settleOldStarts(now time.Duration) {
	for _, w := range o.workers {
		for r := range w.runs {
			switch {
			case !r.startUnanswered || r.phase == phaseStarting:
			case r.phase == phaseRunning && now-r.startSentAt >= maxOrderDelay:
				r.startUnanswered = false
				o.recordStartSettled(r)
			default:
				o.recordStartAge(r, now)
			}
		}
	}
}

// confirmRunning records that a worker has confirmed a run; the lock is held.
func (o *Owner) confirmRunning(r *run) {
	now := o.opts.Clock()
	o.noteBegun(r.group.job)
	o.setPhase(r, phaseRunning)
	r.startedAt, r.progressAt, r.missedPolls = now, now, 0
	if r.adopted {
		// Without this its remaining time and its stop cost would be taken for those of a
		// run that has just begun.
		r.startedAt -= time.Duration(float64(r.progressPercent) / completePercent * float64(o.expectedRunTimeOn(r)))
	}
	o.opts.Log.V(1).Info("run started", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", r.worker.ID)
}

// Backoff of a worker after it did not accept a start.
const (
	capacityBackoff   = 300 * time.Millisecond // capacity becomes free within the stop grace period
	unhealthyBackoff  = 2 * time.Second
	unansweredBackoff = 2 * time.Second
)

// stillStarting reports whether the start of a run is still due. The end of the run
// may be known before the answer to its start; a new incarnation of the worker knows
// neither and would start the run again.
func (o *Owner) stillStarting(r *run) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, present := r.worker.runs[r]
	return present && r.phase == phaseStarting
}

// acceptsNewRuns reports whether a worker may get new runs. A start may have been
// queued for seconds behind other orders, so this is checked again before it is sent.
func (o *Owner) acceptsNewRuns(w *worker) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.listed && w.describesProcess() && !w.Draining && !o.cordoned[w.Machine]
}

// atAssignedAddress reports whether the address of a worker is the one that the assignment of
// a run names: a successor looks for the run there.
func (o *Owner) atAssignedAddress(w *worker, r *run) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.group.tasks()[r.index].Assigned.Address == w.Address
}

// handleStartFailure handles a start that was not accepted. Only an unanswered start
// may still be executed by the worker.
func (o *Owner) handleStartFailure(w *worker, r *run, v Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	id := r.group.taskID(r.index)
	o.opts.Log.Info("start not accepted", "task", id.String(), "run", r.number, "worker", w.ID, "verdict", v)
	if _, present := w.runs[r]; !present || r.phase != phaseStarting {
		return
	}
	r.group.refusal = v
	switch v {
	case Fenced:
		o.endOwnership("worker " + w.ID + " has seen a higher token")
		return
	case OtherIncarnation:
		// If another incarnation had become known since the start was sent, the run would no
		// longer be starting.
		o.endIncarnation(w, w.Incarnation)
		o.countUnansweredCall(w)
	case Unanswered:
		w.backoffUntil, w.backoffReason = now+unansweredBackoff, v
		o.countUnansweredCall(w)
		o.queueResolve(r)
		return
	case InsufficientCapacity:
		w.backoffUntil, w.backoffReason = now+capacityBackoff, v
	case NotSent:
		w.backoffUntil, w.backoffReason = now+unansweredBackoff, v
	case TooLate:
		// The last reading still shows when the lease of its runs ends: a clock that is ahead of the
		// estimate ends it earlier.
		w.clockDoubtful = true
	case NoTicket:
		r.group.ticketRefused = true
		if a := r.group.advice; a != nil {
			delete(a.tickets, w.ID)
			delete(a.checkedWorkers, incarnationKey(w))
		}
		if o.opts.Advice == nil {
			r.group.exclude(w, now) // no service issues tickets; the worker may stop asking for them
		}
	case Withdrawn:
		if o.evacuated(w) {
			o.countWithheldStart()
			o.withdrawStart(r, "a start of its gang was withdrawn")
			return
		}
	case StaleRun, Accepted:
	case Unhealthy, BadOrder:
		w.backoffUntil, w.backoffReason = now+unhealthyBackoff, v
		r.group.exclude(w, now)
	}
	o.abandonRun(r)
}

// abandonRun removes a run that has certainly not started or no longer runs, and
// makes its task pending again. The rest of its gang is stopped; the lock is held.
func (o *Owner) abandonRun(r *run) {
	o.unassign(r)
	if r.group.spec().Gang {
		o.stopGroup(r.group, "the run of a gang member was abandoned")
	}
	o.triggerCycle()
}

// removeRun removes a run that has certainly ended and frees its capacity; the
// lock is held.
func (o *Owner) removeRun(r *run) {
	if r.phase == phaseRunning {
		r.noteRan(o.opts.Clock())
	}
	o.recordGivenUp(r)
	delete(r.worker.runs, r)
	if r.group.runs[r.index] == r {
		delete(r.group.runs, r.index)
		if t := &r.group.tasks()[r.index]; t.Stopping {
			t.Stopping = false
			o.markDirty(r.group.job)
		}
	}
	o.removeIfUnused(r.worker)
}

// executeStop sends a stop order for a run. The worker lists the end of the run
// later; if the order was neither accepted nor fenced, the run is resolved.
func (o *Owner) executeStop(w *worker, r *run) {
	if v := o.stopIfPresent(w, r); v != Accepted && v != Fenced {
		o.mu.Lock()
		if _, present := w.runs[r]; present && r.phase == phaseStopping {
			o.queueResolve(r)
		}
		o.mu.Unlock()
	}
}

func (o *Owner) stopIfPresent(w *worker, r *run) Verdict {
	o.mu.Lock()
	_, present := w.runs[r]
	o.mu.Unlock()
	if !present {
		return Accepted
	}
	return o.sendStopOnce(w, r.group.taskID(r.index), r.number)
}

func (o *Owner) sendStopOnce(w *worker, task workload.TaskID, number int64) Verdict {
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
		o.opts.Log.V(1).Info("stop order was not answered", "task", task.String(), "run", number, "worker", id, "reason", err.Error())
	}
	if reply.Verdict == Fenced {
		o.endOwnership("worker " + id + " has seen a higher token")
	}
	return reply.Verdict
}

// orderRetryDelay is the pause before an order is repeated, as for a run that is
// resolved at a worker that does not answer.
const orderRetryDelay = 300 * time.Millisecond

// executeResolve stops a run, so that it can no longer start, and polls the worker to
// find out whether it started. It is retried until the worker's lease has expired, while
// the worker answers the polls of the lease loop.
func (o *Owner) executeResolve(w *worker, r *run) {
	if o.awaitAnswer(w, order{kind: orderResolve, run: r}) {
		return
	}
	o.mu.Lock()
	_, present := w.runs[r]
	wanted, incarnation := present && r.phase == phaseUncertain, w.Incarnation
	if wanted {
		r.stopOrdered = true
	}
	o.mu.Unlock()
	if !wanted {
		return
	}
	v := o.stopIfPresent(w, r)
	if v == OtherIncarnation {
		o.mu.Lock()
		o.endIncarnation(w, incarnation)
		_, present = w.runs[r]
		o.mu.Unlock()
		if present {
			o.repeatOrder(w, order{kind: orderResolve, run: r})
		}
		return
	}
	if v == Accepted {
		polledAt := o.opts.Clock()
		if o.pollWorker(w, 0, false) && o.abandonIfNeverStarted(w, r, polledAt) {
			return
		}
	}
	o.repeatOrder(w, order{kind: orderResolve, run: r})
}

// retryOrderLater queues an order again after a pause if its run is still there.
func (o *Owner) retryOrderLater(w *worker, ord order) {
	time.AfterFunc(orderRetryDelay, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, present := w.runs[ord.run]; present && o.ctx.Err() == nil {
			o.enqueueOrder(w, ord)
		}
	})
}

// repeatOrder queues an order again: once its worker answers with all ends of its runs, or
// else after a pause.
func (o *Owner) repeatOrder(w *worker, ord order) {
	if !o.awaitAnswer(w, ord) && !o.awaitAllEnds(w, ord) {
		o.retryOrderLater(w, ord)
	}
}

// awaitAnswer puts an order aside if its worker has not answered the last call, until it
// answers: the lease loop polls it meanwhile. It reports whether it did.
func (o *Owner) awaitAnswer(w *worker, ord order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.putAside(ord, w.unansweredCalls > 0)
}

// awaitAllEnds puts an order aside if its worker listed only a part of the ends of its
// runs, until it lists all of them: the lease loop acknowledges those that it listed. It
// reports whether it did.
func (o *Owner) awaitAllEnds(w *worker, ord order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return w.putAside(ord, w.endsCut())
}

// putAside puts an order aside under a condition, which it returns; the lock is held.
func (w *worker) putAside(ord order, condition bool) bool {
	if condition && !slices.Contains(w.awaitingAnswer, ord) {
		w.awaitingAnswer = append(w.awaitingAnswer, ord)
	}
	return condition
}

// queueAwaitingOrders queues the orders that were put aside until the worker answers; the
// lock is held.
func (o *Owner) queueAwaitingOrders(w *worker) {
	orders := w.awaitingAnswer
	w.awaitingAnswer = nil
	for _, ord := range orders {
		if _, present := w.runs[ord.run]; present && ord.run.phase == phaseUncertain {
			o.enqueueOrder(w, ord)
		}
	}
}

// executeAdopt contacts the worker of a run that a former owner or an order to a former
// incarnation may have started. A run that the worker lists continues; another is resolved.
func (o *Owner) executeAdopt(w *worker, r *run) {
	if o.awaitAnswer(w, order{kind: orderAdopt, run: r}) {
		return
	}
	if !o.ensureContact(w, maxClockReadingAge) {
		o.repeatOrder(w, order{kind: orderAdopt, run: r})
		return
	}
	if o.awaitAllEnds(w, order{kind: orderAdopt, run: r}) {
		return
	}
	o.executeResolve(w, r)
}

// abandonIfNeverStarted applies the result of a poll that followed the stop of a
// run: if the worker listed the run neither as running nor as ended, and listed all
// ends, it was never started. It returns false if the run has to be resolved again.
func (o *Owner) abandonIfNeverStarted(w *worker, r *run, polledAt time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, present := w.runs[r]; !present || r.phase != phaseUncertain || r.lastListedAt >= polledAt {
		return true
	}
	if w.wholeListSentAt < polledAt {
		return false
	}
	o.opts.Log.Info("run was not started", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", w.ID,
		"endsCut", w.endsCut(), "endsSeenThrough", w.lastEndSeq, "listAgeMS", (o.opts.Clock() - polledAt).Milliseconds())
	o.abandonRun(r)
	return true
}
