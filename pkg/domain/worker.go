package domain

import (
	"context"
	"sort"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// worker is the owner's record of one target; the domain's lock guards it.
type worker struct {
	id, rack, address string
	conn              target.Target
	accelerators      int
	slots             int
	// synced is set by the first successful sync under this epoch at this address: from
	// then on the target rejects the former owner.
	synced      bool
	everSynced  bool // synced at least once under this epoch, at any address
	incarnation int64
	seq         int64
	usage       target.Usage
	// lastRenewal is when the newest successful sync was sent; the leases at the target
	// last for at least LeaseTTL from then.
	lastRenewal   time.Time
	failing       bool // the newest sync failed
	leaving       bool // according to the target, the VM list or another member
	listed        bool
	state         sched.WorkerState
	cancelSync    context.CancelFunc // cancels the current long poll
	stateReported bool               // state has been passed to the scheduler
	// lostTasks holds the tasks that were declared lost while the worker did not
	// answer. The worker may still run them when it is back.
	lostTasks map[api.TaskID]bool
	// backoffUntil is when the worker may get new work again after it rejected some.
	backoffUntil   time.Time
	refusalBackoff *backoff.ExponentialBackOff
	cancel         context.CancelFunc
}

// refreshWorkers updates the workers from the platform's list and the members' reports.
func (d *Domain) refreshWorkers() {
	vms := d.opts.VMs()
	leaving := d.opts.LeavingTargets()
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != platform.RoleTarget || vm.FailureDomain != d.opts.Name {
			continue
		}
		listed[vm.ID] = true
		w := d.ensureWorker(vm)
		w.leaving = w.leaving || vm.State == platform.VMLeaving || leaving[vm.ID]
	}
	d.vmListRead = true
	for id, w := range d.workers {
		w.listed = listed[id]
		d.updateState(w)
		if !w.listed && w.failing && !d.hasTasks(w) {
			w.cancel()
			delete(d.workers, id)
		}
	}
}

// ensureWorker adds a worker that is new in the list, or has a new address there.
func (d *Domain) ensureWorker(vm platform.VM) *worker {
	w, ok := d.workers[vm.ID]
	if ok && w.address == vm.Address {
		return w
	}
	ctx, cancel := context.WithCancel(d.ctx)
	if ok {
		// The worker keeps its tasks. The first sync at the new address shows
		// whether the worker process is another one.
		w.cancel()
		w.seq, w.synced = 0, false
	} else {
		w = &worker{id: vm.ID, lastRenewal: time.Now(), state: sched.WorkerDown}
		d.workers[vm.ID] = w
	}
	w.rack, w.address, w.conn = vm.Rack, vm.Address, d.opts.Dialer.Dial(vm.Address)
	w.accelerators, w.slots, w.listed, w.cancel = vm.Accelerators, vm.Slots, true, cancel
	d.opts.Scheduler.UpsertWorker(time.Now(), sched.Worker{
		ID: w.id, Rack: w.rack, Accelerators: w.accelerators, Slots: w.slots, State: sched.WorkerDown,
	})
	d.runAsync(func() { d.syncLoop(ctx, w) })
	return w
}

func (d *Domain) hasTasks(w *worker) bool {
	for _, t := range d.byTask {
		if t.worker == w && !t.finished() {
			return true
		}
	}
	return false
}

// updateState computes the worker's state and passes a change to the scheduler; the
// caller holds the lock.
func (d *Domain) updateState(w *worker) {
	state := sched.WorkerReady
	switch {
	case !w.synced || w.failing:
		state = sched.WorkerDown
	case w.leaving || !w.listed:
		state = sched.WorkerLeaving
	case !w.backoffUntil.IsZero() || d.drainedNames[w.id] || d.drainedNames["rack:"+w.rack]:
		state = sched.WorkerDrained
	}
	if w.stateReported && state == w.state {
		return
	}
	w.state, w.stateReported = state, true
	d.opts.Scheduler.SetWorkerState(time.Now(), w.id, state)
	d.opts.Recorder.Record(timeline.Event{
		Type: timeline.WorkerState, Worker: w.id, Domain: d.opts.Name, Reason: stateNames[state],
	})
	d.requestDecide()
}

var stateNames = map[sched.WorkerState]string{
	sched.WorkerReady:   "ready",
	sched.WorkerDrained: "drained",
	sched.WorkerLeaving: "leaving",
	sched.WorkerDown:    "down",
}

// syncLoop renews the leases at one target and tracks its tasks. A worker that does not
// answer is polled until the VM list no longer has it and its tasks have ended.
func (d *Domain) syncLoop(ctx context.Context, w *worker) {
	delays := newBackoff()
	for ctx.Err() == nil {
		if d.syncOnce(ctx, w) {
			delays.Reset()
		} else {
			wait.Sleep(ctx, delays.NextBackOff())
		}
	}
}

func (d *Domain) syncOnce(ctx context.Context, w *worker) bool {
	d.mu.Lock()
	req := target.SyncRequest{
		Epoch: d.opts.Epoch, TTL: d.opts.LeaseTTL, SinceSeq: w.seq,
		Incarnation: w.incarnation, MaxWait: jittered(d.opts.syncMaxWait()),
	}
	if !w.synced || w.failing {
		req.MaxWait = 0 // learn the state at once
	}
	sent := time.Now()
	conn := w.conn
	callCtx, cancel := context.WithTimeout(ctx, req.MaxWait+d.opts.CallTimeout)
	defer cancel()
	w.cancelSync = cancel
	d.mu.Unlock()
	resp, err := conn.Sync(callCtx, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.handleSyncFailure(w, err)
		return false
	}
	d.handleSync(w, req, resp, sent)
	return true
}

func (d *Domain) handleSyncFailure(w *worker, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleStaleEpoch(w, err)
	w.failing = true
	d.updateState(w)
}

func (d *Domain) handleSync(w *worker, req target.SyncRequest, resp target.SyncResponse, sent time.Time) {
	d.mu.Lock()
	restarted := w.incarnation != 0 && resp.Incarnation != w.incarnation
	first := !w.synced
	w.synced, w.everSynced, w.failing = true, true, false
	w.incarnation, w.seq, w.usage, w.lastRenewal = resp.Incarnation, resp.Seq, resp.Usage, sent
	if restarted {
		d.loseRestartedTasks(w)
		w.leaving = false
	}
	newlyLeaving := resp.Leaving && !w.leaving
	w.leaving = w.leaving || resp.Leaving
	if first || restarted || req.SinceSeq == 0 {
		d.adoptTasks(w, resp.Tasks)
	}
	d.applyStatuses(w, resp.Tasks)
	d.endUnknownTasks(w, resp.Tasks)
	if req.SinceSeq == 0 {
		w.lostTasks = nil // those that still run are being ended as unknown tasks
	}
	d.updateState(w)
	d.mu.Unlock()
	if newlyLeaving {
		d.opts.ReportLeaving(w.id)
	}
	d.requestDecide()
}

// loseUnreachableWorkers declares the tasks of workers lost whose leases have expired;
// the caller holds the lock.
func (d *Domain) loseUnreachableWorkers(now time.Time) {
	for _, w := range d.workers {
		if w.failing && now.Sub(w.lastRenewal) > d.opts.lostTimeout() {
			d.loseUnreachableTasks(w)
		}
	}
}

// loseRestartedTasks declares the tasks of an earlier incarnation of the worker lost. A
// reservation that is not confirmed yet gets its incarnation from the confirmation.
func (d *Domain) loseRestartedTasks(w *worker) {
	d.loseTasks(w, "the worker restarted", func(t *task) bool {
		return t.reserved && t.allocation().Incarnation != w.incarnation
	})
}

// loseUnreachableTasks declares the tasks of an unreachable worker lost. The next sync
// requests all tasks: a call whose answer was lost may have renewed their leases.
func (d *Domain) loseUnreachableTasks(w *worker) {
	w.seq = 0
	d.loseTasks(w, "the worker did not answer until its lease had lapsed", func(t *task) bool {
		if w.lostTasks == nil {
			w.lostTasks = map[api.TaskID]bool{}
		}
		w.lostTasks[t.id] = true
		return true
	})
}

// loseTasks declares the matching tasks of the worker lost; the caller holds the lock.
func (d *Domain) loseTasks(w *worker, reason string, match func(*task) bool) {
	for _, t := range d.byTask {
		if t.worker != w || t.finished() || !match(t) {
			continue
		}
		t.lost = true
		if a := d.attempts[t.job]; a != nil {
			a.report.Reason = reason
			d.advance(a)
		}
	}
}

// WorkerInfo describes a worker to operators.
type WorkerInfo struct {
	ID                string       `cbor:"1,keyasint"`
	FailureDomain     string       `cbor:"2,keyasint"`
	Rack              string       `cbor:"3,keyasint"`
	Address           string       `cbor:"4,keyasint"`
	State             string       `cbor:"5,keyasint"`
	Accelerators      int          `cbor:"6,keyasint"`
	Slots             int          `cbor:"7,keyasint"`
	Tasks             int          `cbor:"8,keyasint"`
	AcceleratorsInUse int          `cbor:"9,keyasint"`
	Usage             target.Usage `cbor:"10,keyasint"`
}

// Workers lists the domain's workers, ordered by ID.
func (d *Domain) Workers() []WorkerInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]WorkerInfo, 0, len(d.workers))
	index := map[string]int{}
	for _, w := range d.workers {
		out = append(out, WorkerInfo{
			ID: w.id, FailureDomain: d.opts.Name, Rack: w.rack, Address: w.address,
			State: stateNames[w.state], Accelerators: w.accelerators, Slots: w.slots, Usage: w.usage,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	for i := range out {
		index[out[i].ID] = i
	}
	for _, t := range d.byTask {
		i, ok := index[t.worker.id]
		if ok && !t.finished() {
			out[i].Tasks++
			out[i].AcceleratorsInUse += len(t.status.Accelerators)
		}
	}
	return out
}
