package domain

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Limits of placing.
const (
	// gangConcurrency bounds the calls in progress for one gang.
	gangConcurrency = 64
	// startRetry is the pause before a start without an answer is repeated.
	startRetry = 100 * time.Millisecond
	// startTries bounds the repetitions; after them the start is resolved by Fence.
	startTries = 5
)

// place reserves and starts an attempt on the places that the scheduler chose.
func (d *Domain) place(act sched.Action) {
	d.mu.Lock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.placing || a.withdrawn != "" || len(a.copies) > 0 {
		d.mu.Unlock()
		d.opts.Scheduler.Ended(time.Now(), act.Job, act.Attempt, sched.EndCancelled, "")
		return
	}
	c, blame := d.newCopy(a, act.Placements, false)
	if c == nil {
		d.requeue(a, blame)
		d.mu.Unlock()
		return
	}
	a.placing = true
	a.copies = []*placedCopy{c}
	a.state = api.StateReserved
	d.mu.Unlock()
	d.goRun(func() { d.placeCopy(a, c) })
}

// newCopy makes the tasks of a placement; the caller holds the lock. It returns
// nil and the worker's ID when a worker is no longer there.
func (d *Domain) newCopy(a *attempt, places []sched.Placement, hedge bool) (*placedCopy, string) {
	d.round++
	c := &placedCopy{hedge: hedge}
	for i, p := range places {
		w, ok := d.workers[p.Worker]
		if !ok || !w.synced {
			return nil, p.Worker
		}
		t := &task{id: taskID(a.offer, d.opts.Epoch, d.round, i), index: i, job: a.offer.Job, copy: c, worker: w}
		t.status = target.TaskStatus{Task: t.id, State: target.TaskReserved, Accelerators: p.Accelerators}
		c.tasks = append(c.tasks, t)
		c.places = append(c.places, api.Allocation{Worker: w.id, Incarnation: w.incarnation, Accelerators: p.Accelerators, Task: t.id})
	}
	for _, t := range c.tasks {
		d.byTask[t.id] = t
	}
	return c, ""
}

// placeCopy takes a copy through its steps: reserve on all workers, claim for
// an at-most-once job, start on all workers.
func (d *Domain) placeCopy(a *attempt, c *placedCopy) {
	single := len(c.tasks) == 1 && !a.offer.Spec.AtMostOnce
	blame, err := d.reserveAll(a, c, single)
	if err != nil {
		d.placeFailed(a, c, blame, err)
		return
	}
	d.mu.Lock()
	d.event(timeline.Reserved, a, "")
	d.mu.Unlock()
	if a.offer.Spec.AtMostOnce {
		if err := d.claim(a, c); err != nil {
			d.claimFailed(a, c, err)
			return
		}
	}
	if !single {
		d.startAll(a, c)
	}
	d.startedCopy(a, c)
}

// reserveAll reserves every task, or none: after a failure the others are given
// back by the caller. It returns the worker to blame.
func (d *Domain) reserveAll(a *attempt, c *placedCopy, start bool) (string, error) {
	d.mu.Lock()
	meta := taskMeta{Offer: metaOffer(a.offer), Places: slices.Clone(c.places), Hedge: c.hedge}
	d.mu.Unlock()
	g, ctx := errgroup.WithContext(d.ctx)
	g.SetLimit(gangConcurrency)
	var first sync.Once // the calls that the first failure cancels blame nobody
	blamed := ""
	for _, t := range c.tasks {
		g.Go(func() error {
			err := d.reserve(ctx, a, t, meta, start)
			if err != nil {
				first.Do(func() { blamed = t.worker.id })
			}
			return err
		})
	}
	err := g.Wait()
	return blamed, err
}

func (d *Domain) reserve(ctx context.Context, a *attempt, t *task, about taskMeta, start bool) error {
	about.Index = t.index
	meta, err := json.Marshal(about)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode task of job %s", a.offer.Job)
	}
	req := target.ReserveRequest{
		Task: t.id, Epoch: d.opts.Epoch, Accelerators: t.status.Accelerators,
		TTL: d.opts.LeaseTTL, Meta: meta,
	}
	if start {
		s := d.startRequest(a, t)
		req.Start = &s
	}
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	res, err := d.conn(t).Reserve(callCtx, req)
	if err != nil {
		if ctx.Err() == nil { // not cancelled by the failure of another reservation
			d.noteRefusal(t.worker, err)
		}
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.copy.places[t.index].Incarnation, t.reserved = res.Incarnation, true
	t.worker.refusals = nil
	return nil
}

// metaOffer leaves out what the next owner does not need from the target.
func metaOffer(o Offer) Offer {
	o.ClaimedAllocations = nil
	return o
}

func (d *Domain) startRequest(a *attempt, t *task) target.StartRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return target.StartRequest{
		Task: t.id, Epoch: d.opts.Epoch, Incarnation: t.place().Incarnation,
		Class: a.offer.Spec.Class, Payload: a.offer.Spec.Payload, Checkpoint: a.offer.Checkpoint,
	}
}

// noteRefusal stops new work to a worker that says it is leaving or refuses connections.
func (d *Domain) noteRefusal(w *worker, err error) {
	kind := errkind.Of(err)
	d.mu.Lock()
	switch kind {
	case errkind.TargetLeaving:
		w.leaving = true
		d.updateState(w)
	case errkind.StaleEpoch:
		d.noteFenced(w, err)
	case errkind.Unavailable:
		w.failing = true
		if w.interrupt != nil {
			w.interrupt() // the sync loop finds out at once whether it is back
		}
		d.updateState(w)
	}
	d.mu.Unlock()
	if kind == errkind.TargetLeaving {
		d.opts.ReportLeaving(w.id)
	}
}

// claim journals the places of an at-most-once attempt at its partition.
func (d *Domain) claim(a *attempt, c *placedCopy) error {
	d.mu.Lock()
	places := append([]api.Allocation(nil), c.places...)
	withdrawn, partition := a.withdrawn != "", a.offer.Partition
	d.mu.Unlock()
	if withdrawn {
		return errkind.New(errkind.Cancelled, "withdrawn before the start")
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.LeaseTTL/2)
	defer cancel()
	err := d.opts.Reporter.Claim(ctx, partition, Claim{
		Job: a.offer.Job, Attempt: a.offer.Attempt, Domain: d.opts.Name, Allocations: places, Epoch: d.opts.Epoch,
	})
	d.opts.Metrics.claims.WithLabelValues(resultLabel(err)).Inc()
	return err
}

// claimFailed gives all reservations back. No start was sent, so the attempt
// certainly did not run, whether or not the claim was written.
func (d *Domain) claimFailed(a *attempt, c *placedCopy, err error) {
	d.releaseAll(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.goesOnWithout(a, c) {
		return
	}
	a.report.Allocations = slices.Clone(c.places) // the partition releases the claim of these places only
	d.finishAttempt(a, api.OutcomeNotRun, sched.EndReservationFailed, "", "the claim was refused: "+err.Error())
}

// startAll starts every task. A start without an answer is repeated; what stays
// unclear shows in the next sync or is resolved as lost.
func (d *Domain) startAll(a *attempt, c *placedCopy) {
	var g errgroup.Group
	g.SetLimit(gangConcurrency)
	for _, t := range c.tasks {
		g.Go(func() error {
			d.startTask(a, t)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

func (d *Domain) startTask(a *attempt, t *task) {
	req := d.startRequest(a, t)
	unanswered := false
	for try := 0; try < startTries; try++ {
		ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
		err := d.conn(t).Start(ctx, req)
		cancel()
		if err == nil {
			return
		}
		d.noteRefusal(t.worker, err)
		if !errkind.Is(err, errkind.Unavailable) {
			if unanswered {
				break // an earlier try may have taken effect
			}
			d.startRefused(a, t, err)
			return
		}
		unanswered = true
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(startRetry):
		}
	}
	d.goRun(func() { d.resolveTask(a, t) })
}

// startRefused marks a task that the target will certainly not run, for example
// because its reservation lapsed before the start arrived.
func (d *Domain) startRefused(a *attempt, t *task, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.status.State.Ended() || t.status.Started {
		return
	}
	t.lost = false // wherever its worker is, the task did not start there
	t.status.State = target.TaskFenced
	t.status.Error = err.Error()
	d.advance(a)
}

// startedCopy makes the start known and does what was asked for meanwhile.
func (d *Domain) startedCopy(a *attempt, c *placedCopy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.placing = false
	c.started = true
	d.loseOutrun(a, c)
	if !c.hedge {
		d.markRunning(a)
	}
	switch {
	case a.withdrawn != "":
		d.stopCopies(a)
	case a.preempt != nil:
		d.beginPreemption(a)
	}
	d.advance(a)
}

// markRunning reports that the attempt runs; the caller holds the lock.
func (d *Domain) markRunning(a *attempt) {
	now := time.Now()
	d.opts.Scheduler.Started(now, a.offer.Job, a.offer.Attempt)
	a.state, a.startedAt = api.StateRunning, now
	d.opts.Metrics.queueWait.WithLabelValues(a.offer.Spec.Class).Observe(now.Sub(a.offeredAt).Seconds())
	d.event(timeline.Started, a, "")
	d.sendState(a)
}

// loseOutrun gives up tasks whose worker was seen to restart after their
// reservation was made and before it was confirmed here.
func (d *Domain) loseOutrun(a *attempt, c *placedCopy) {
	for _, t := range c.tasks {
		if !t.over() && t.reserved && t.place().Incarnation < t.worker.incarnation {
			t.lost = true
			a.report.Reason = "the worker restarted"
		}
	}
}

// placeFailed gives back what was reserved and queues the attempt again.
func (d *Domain) placeFailed(a *attempt, c *placedCopy, blame string, err error) {
	if len(c.tasks) == 1 && !a.offer.Spec.AtMostOnce && errkind.Is(err, errkind.Unavailable) && d.mayHaveStarted(c.tasks[0]) {
		// The combined reserve and start got no answer, and the fence did not rule
		// out that the task ran. Its worker's next answer or the lapsed lease decides.
		d.startedCopy(a, c)
		d.goRun(func() { d.resolveTask(a, c.tasks[0]) })
		return
	}
	d.releaseAll(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.goesOnWithout(a, c) {
		return
	}
	switch {
	case a.withdrawn != "":
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", a.withdrawn)
	case a.preempt != nil:
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndPreempted, "", a.preempt.reason)
	default:
		d.event(timeline.Queued, a, "placement refused by "+blame+": "+err.Error())
		d.requeue(a, blame)
	}
}

// goesOnWithout forgets a copy that was not started. It reports whether there is
// another: c was a hedge, or a copy of the former owner has turned up.
func (d *Domain) goesOnWithout(a *attempt, c *placedCopy) bool {
	a.placing = false
	d.forgetCopy(c)
	a.copies = slices.DeleteFunc(a.copies, func(o *placedCopy) bool { return o == c })
	if len(a.copies) == 0 {
		return false
	}
	if a.withdrawn != "" {
		d.stopCopies(a)
	} else if a.preempt != nil {
		d.beginPreemption(a)
	}
	d.advance(a)
	return true
}

func (d *Domain) mayHaveStarted(t *task) bool {
	d.mu.Lock()
	w, place := t.worker, t.place()
	d.mu.Unlock()
	st, same, err := d.fence(w, place)
	return err != nil || st.Started || !same
}

// releaseAll gives every reservation of a copy back. One that cannot be given
// back now is in the background, because each sync renews its lease.
func (d *Domain) releaseAll(c *placedCopy) {
	var g errgroup.Group
	g.SetLimit(gangConcurrency)
	for _, t := range c.tasks {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
			defer cancel()
			if err := d.conn(t).Release(ctx, t.id, d.opts.Epoch); err != nil {
				d.noteRefusal(t.worker, err)
				d.goRun(func() { d.releaseTask(t) })
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

// forgetCopy drops the tasks of a copy from the index; the caller holds the lock.
func (d *Domain) forgetCopy(c *placedCopy) {
	for _, t := range c.tasks {
		delete(d.byTask, t.id)
	}
}

// hedge starts a second copy of a straggling repeatable job.
func (d *Domain) hedge(act sched.Action) {
	d.mu.Lock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.placing || a.withdrawn != "" || a.preempt != nil || len(a.copies) != 1 || a.offer.Spec.AtMostOnce {
		d.mu.Unlock()
		return
	}
	c, _ := d.newCopy(a, act.Placements, true)
	if c == nil {
		d.mu.Unlock()
		return
	}
	a.placing = true
	a.copies = append(a.copies, c)
	d.event(timeline.Hedged, a, act.Reason)
	d.mu.Unlock()
	d.goRun(func() { d.placeCopy(a, c) })
}

func (d *Domain) throttle(act sched.Action) {
	d.mu.Lock()
	var tasks []*task
	for _, t := range d.byTask {
		if t.job == act.Job && !t.over() {
			tasks = append(tasks, t)
		}
	}
	d.mu.Unlock()
	for _, t := range tasks {
		d.goRun(func() {
			ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
			defer cancel()
			if err := d.conn(t).Throttle(ctx, t.id, d.opts.Epoch, act.Share); err != nil {
				d.opts.Log.V(1).Info("throttle failed", "task", t.id, "error", err.Error())
			}
		})
	}
}

func (d *Domain) refuse(act sched.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended {
		return
	}
	a.report.ErrorKind = string(act.Kind)
	d.event(timeline.Refused, a, act.Reason)
	d.finishAttempt(a, api.OutcomeRefused, sched.EndCancelled, "", act.Reason)
}

// event records an event about the attempt; the caller holds the lock.
func (d *Domain) event(t timeline.Type, a *attempt, reason string) {
	e := timeline.Event{
		Type: t, Job: a.offer.Job, Workspace: a.offer.Spec.Workspace, Domain: d.opts.Name, Reason: reason,
	}
	if len(a.copies) > 0 && len(a.copies[0].places) > 0 {
		e.Worker = a.copies[0].places[0].Worker
	}
	d.opts.Recorder.Record(e)
}
