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

// worker is a target as the domain's owner sees it; the domain's lock guards it.
type worker struct {
	id, rack, address string
	conn              target.Target
	accelerators      int
	slots             int
	// synced is set by the first successful sync under this epoch: from then on
	// the target refuses the former owner.
	synced      bool
	met         bool // synced at least once under this epoch, at any address
	incarnation int64
	seq         int64
	usage       target.Usage
	// lastRenewal is when the newest successful sync was sent; the target's lease
	// lasts at least LeaseTTL from there.
	lastRenewal time.Time
	failing     bool // the newest sync failed
	leaving     bool // by the target's own word, the list or another member
	listed      bool
	state       sched.WorkerState
	interrupt   context.CancelFunc // ends the present long poll
	reported    bool               // state has been told to the scheduler
	// givenUp names the tasks that were reported as lost while the worker did not
	// answer. The worker may still run them when it is back.
	givenUp map[api.TaskID]bool
	// restUntil is when the worker may get new work again after it refused some.
	restUntil time.Time
	refusals  *backoff.ExponentialBackOff
	cancel    context.CancelFunc
}

// refreshWorkers follows the platform's list and the members' reports.
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
	d.listed = true
	for id, w := range d.workers {
		w.listed = listed[id]
		d.updateState(w)
		if !w.listed && w.failing && !d.hasTasks(w) {
			w.cancel()
			delete(d.workers, id)
		}
	}
}

// ensureWorker adds a worker that the list shows for the first time, or at a new address.
func (d *Domain) ensureWorker(vm platform.VM) *worker {
	w, ok := d.workers[vm.ID]
	if ok && w.address == vm.Address {
		return w
	}
	ctx, cancel := context.WithCancel(d.ctx)
	if ok {
		// The tasks stay with the worker. The first sync at the new address shows
		// whether another process is there.
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
	d.goRun(func() { d.syncLoop(ctx, w) })
	return w
}

func (d *Domain) hasTasks(w *worker) bool {
	for _, t := range d.byTask {
		if t.worker == w && !t.over() {
			return true
		}
	}
	return false
}

// updateState tells the scheduler whether the worker may get new work.
func (d *Domain) updateState(w *worker) {
	state := sched.WorkerReady
	switch {
	case !w.synced || w.failing:
		state = sched.WorkerDown
	case w.leaving || !w.listed:
		state = sched.WorkerLeaving
	case !w.restUntil.IsZero() || d.drained[w.id] || d.drained["rack:"+w.rack]:
		state = sched.WorkerDrained
	}
	if w.reported && state == w.state {
		return
	}
	w.state, w.reported = state, true
	d.opts.Scheduler.SetWorkerState(time.Now(), w.id, state)
	d.opts.Recorder.Record(timeline.Event{
		Type: timeline.WorkerState, Worker: w.id, Domain: d.opts.Name, Reason: stateNames[state],
	})
	d.notify()
}

var stateNames = map[sched.WorkerState]string{
	sched.WorkerReady:   "ready",
	sched.WorkerDrained: "drained",
	sched.WorkerLeaving: "leaving",
	sched.WorkerDown:    "down",
}

// syncLoop renews the leases at one target and follows its tasks. A worker that
// does not answer is asked again until the VM list drops it and its tasks are over.
func (d *Domain) syncLoop(ctx context.Context, w *worker) {
	pauses := newBackoff()
	for ctx.Err() == nil {
		if d.syncOnce(ctx, w) {
			pauses.Reset()
		} else {
			wait.Sleep(ctx, pauses.NextBackOff())
		}
	}
}

func (d *Domain) syncOnce(ctx context.Context, w *worker) bool {
	d.mu.Lock()
	req := target.SyncRequest{
		Epoch: d.opts.Epoch, TTL: d.opts.LeaseTTL, SinceSeq: w.seq,
		Incarnation: w.incarnation, MaxWait: jittered(d.opts.syncWait()),
	}
	if !w.synced || w.failing {
		req.MaxWait = 0 // learn the state at once
	}
	sent := time.Now()
	conn := w.conn
	callCtx, cancel := context.WithTimeout(ctx, req.MaxWait+d.opts.CallTimeout)
	defer cancel()
	w.interrupt = cancel
	d.mu.Unlock()
	resp, err := conn.Sync(callCtx, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.syncFailed(w, err)
		return false
	}
	d.synced(w, req, resp, sent)
	return true
}

func (d *Domain) syncFailed(w *worker, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteFenced(w, err)
	w.failing = true
	d.updateState(w)
}

func (d *Domain) synced(w *worker, req target.SyncRequest, resp target.SyncResponse, sent time.Time) {
	d.mu.Lock()
	restarted := w.incarnation != 0 && resp.Incarnation != w.incarnation
	first := !w.synced
	w.synced, w.met, w.failing = true, true, false
	w.incarnation, w.seq, w.usage, w.lastRenewal = resp.Incarnation, resp.Seq, resp.Usage, sent
	if restarted {
		d.loseRestarted(w)
		w.leaving = false
	}
	newlyLeaving := resp.Leaving && !w.leaving
	w.leaving = w.leaving || resp.Leaving
	if first || restarted || req.SinceSeq == 0 {
		d.adoptTasks(w, resp.Tasks)
	}
	d.applyStatuses(w, resp.Tasks)
	d.endStrays(w, resp.Tasks)
	if req.SinceSeq == 0 {
		w.givenUp = nil // the strays among them are being ended
	}
	d.updateState(w)
	d.mu.Unlock()
	if newlyLeaving {
		d.opts.ReportLeaving(w.id)
	}
	d.notify()
}

// checkLost gives up the tasks of workers whose lease has lapsed; the caller
// holds the lock.
func (d *Domain) checkLost(now time.Time) {
	for _, w := range d.workers {
		if w.failing && now.Sub(w.lastRenewal) > d.opts.lostAfter() {
			d.giveUp(w)
		}
	}
}

// loseRestarted gives up the tasks of an earlier process of the worker. A
// reservation that is not confirmed yet tells its process when it is.
func (d *Domain) loseRestarted(w *worker) {
	d.loseTasks(w, "the worker restarted", func(t *task) bool {
		return t.reserved && t.place().Incarnation != w.incarnation
	})
}

// giveUp reports the tasks of a silent worker as lost. The next sync asks for
// all tasks: a call whose answer was lost may have renewed their leases.
func (d *Domain) giveUp(w *worker) {
	w.seq = 0
	d.loseTasks(w, "the worker did not answer until its lease had lapsed", func(t *task) bool {
		if w.givenUp == nil {
			w.givenUp = map[api.TaskID]bool{}
		}
		w.givenUp[t.id] = true
		return true
	})
}

// loseTasks gives up the tasks of the worker that match; the caller holds the lock.
func (d *Domain) loseTasks(w *worker, reason string, match func(*task) bool) {
	for _, t := range d.byTask {
		if t.worker != w || t.over() || !match(t) {
			continue
		}
		t.lost = true
		if a := d.attempts[t.job]; a != nil {
			a.report.Reason = reason
			d.advance(a)
		}
	}
}

// WorkerInfo describes a worker for people.
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
		if ok && !t.over() {
			out[i].Tasks++
			out[i].AcceleratorsInUse += len(t.status.Accelerators)
		}
	}
	return out
}
