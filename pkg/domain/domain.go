package domain

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Gate permits or holds automatic actions.
type Gate interface {
	Allow(kind gate.Kind, workspace string, p gate.Proposal) bool
}

// Options configure a Domain.
type Options struct {
	Name  string
	Epoch int64
	// Scheduler is the pure scheduler of this failure domain.
	Scheduler *sched.Domain
	Dialer    target.Dialer
	Reporter  Reporter
	Gate      Gate
	Recorder  timeline.Recorder
	Log       logr.Logger
	// VMs returns the newest platform list and the targets that any member saw leaving.
	VMs            func() []platform.VM
	LeavingTargets func() map[string]bool
	// ReportLeaving tells the other members that a target is leaving.
	ReportLeaving func(worker string)
	// LeaseTTL is the lease of tasks at their target; other timings derive from it.
	LeaseTTL time.Duration
	// CallTimeout bounds one call to a target other than Sync.
	CallTimeout time.Duration
	// MaxResultBytes is the largest result of a job; a larger one fails it. Zero means
	// no limit.
	MaxResultBytes int64
	// OnFenced is called once when a target shows that the failure domain has a
	// newer owner; nil ignores it.
	OnFenced func()
	// Metrics may be shared by several domains; nil counts nothing that is shown.
	Metrics *Metrics
}

// Timings derived from the task lease: a renewal may fail twice before the
// lease lapses, and a lost worker's tasks are given up only once the target
// itself has stopped them.
func (o Options) syncWait() time.Duration  { return o.LeaseTTL / 3 }
func (o Options) lostAfter() time.Duration { return o.LeaseTTL + o.LeaseTTL/10 }

// refreshInterval is how often the VM list and the members' reports of leaving
// targets are looked at. With the list's own poll of 1 s it leaves half of the
// 3 s within which a leaving target must get no new work.
const refreshInterval = 500 * time.Millisecond

// tickInterval bounds how late a time-driven decision and a change of the VM
// list are noticed.
const tickInterval = 100 * time.Millisecond

// Domain owns one failure domain under one epoch.
type Domain struct {
	opts Options

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu        sync.Mutex
	workers   map[string]*worker
	attempts  map[api.JobID]*attempt
	byTask    map[api.TaskID]*task
	round     int // numbers the placements of this epoch
	drained   map[string]bool
	proposals map[string]sched.Action
	requeues  []requeued
	forgotten forgotten
	postponed []sched.Action // refused by the gate; due again at the next tick
	stopped   bool
	listed    bool // the VM list has been read
	fenced    bool // a target knows a newer owner: nothing more is decided or reported
	started   time.Time
}

// New returns a domain that is not yet running.
func New(opts Options) *Domain {
	ctx, cancel := context.WithCancel(context.Background())
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	return &Domain{
		opts: opts, ctx: ctx, cancel: cancel,
		wake:      make(chan struct{}, 1),
		workers:   map[string]*worker{},
		attempts:  map[api.JobID]*attempt{},
		byTask:    map[api.TaskID]*task{},
		drained:   map[string]bool{},
		proposals: map[string]sched.Action{},
	}
}

// Start begins to sync the workers and to decide.
func (d *Domain) Start() {
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
	d.goRun(d.loop)
}

// Stop ends the service. Running tasks go on; their leases at the targets give
// the next owner the time to adopt them. Reports that are due are still sent
// until ctx ends.
func (d *Domain) Stop(ctx context.Context, flush bool) {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	if flush {
		d.awaitSettled(ctx)
	}
	d.cancel()
	d.wg.Wait()
}

// awaitSettled waits until no placement and no report is in progress.
func (d *Domain) awaitSettled(ctx context.Context) {
	for ctx.Err() == nil && d.unsettled() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (d *Domain) unsettled() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, a := range d.attempts {
		if a.placing || a.reporting && !d.fenced {
			n++
		}
	}
	return n
}

func (d *Domain) goRun(fn func()) {
	if d.ctx.Err() != nil {
		return
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn()
	}()
}

// notify asks for a round of decisions soon.
func (d *Domain) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// loop is the domain's single decision thread.
func (d *Domain) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var refreshed time.Time
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-tick.C:
			if now.Sub(refreshed) >= refreshInterval {
				d.refreshWorkers()
				refreshed = now
			}
			d.tick(now)
			d.moveFromLeaving()
			d.retryPostponed()
		case <-d.wake:
		}
		d.decide()
	}
}

// tick does what is due by time.
func (d *Domain) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fenced {
		return // the new owner decides
	}
	d.checkLost(now)
	d.checkPreemptions(now)
	d.checkAdopted(now)
	d.checkPending()
	d.wakeRested(now)
	d.enqueueDue(now)
	d.forgotten.prune(now)
}

// decide carries out one round of decisions.
func (d *Domain) decide() {
	if d.isStopped() {
		return
	}
	for _, a := range d.opts.Scheduler.Decide(time.Now()) {
		d.act(a)
	}
}

func (d *Domain) isStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped || d.fenced
}

func (d *Domain) record(t timeline.Type, a sched.Action, reason string) {
	d.opts.Recorder.Record(timeline.Event{
		Type: t, Job: a.Job, Workspace: a.Workspace, Worker: a.Worker,
		Domain: d.opts.Name, Reason: reason, By: a.For,
	})
}

// SetPolicy puts a new configuration document in force.
func (d *Domain) SetPolicy(doc *policy.Document) {
	now := time.Now()
	d.mu.Lock()
	clear(d.drained)
	for name := range doc.Drained {
		d.drained[name] = true
	}
	// A proposal of a workspace that is no longer held is refused by the scheduler
	// when it is confirmed; all go when no hold is left.
	if !anyHeld(doc, now) {
		clear(d.proposals)
	}
	d.mu.Unlock()
	d.opts.Scheduler.SetPolicy(now, doc)
	d.refreshWorkers()
	d.notify()
}

func anyHeld(doc *policy.Document, now time.Time) bool {
	for workspace := range doc.Holds {
		if _, held := doc.Held(workspace, now); held {
			return true
		}
	}
	return false
}

// Preview says what doc would change in this domain.
func (d *Domain) Preview(doc *policy.Document) sched.Preview {
	return d.opts.Scheduler.Preview(time.Now(), doc)
}

// Summary returns the domain's present summary.
func (d *Domain) Summary() sched.Summary { return d.opts.Scheduler.Summary(time.Now()) }

// Explain says in one sentence why a queued job waits.
func (d *Domain) Explain(job api.JobID) string { return d.opts.Scheduler.Explain(time.Now(), job) }

// Name returns the failure domain's name.
func (d *Domain) Name() string { return d.opts.Name }

// Inventory returns the domain's workers as if all were ready.
func (d *Domain) Inventory() []sched.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]sched.Worker, 0, len(d.workers))
	for _, w := range d.workers {
		out = append(out, sched.Worker{ID: w.id, Rack: w.rack, Accelerators: w.accelerators, Slots: w.slots})
	}
	return out
}

// PreviewReclaim says what taking the workspace's guaranteed cells back would preempt.
func (d *Domain) PreviewReclaim(workspace string) []sched.Action {
	return d.opts.Scheduler.PreviewReclaim(time.Now(), workspace)
}

// PreviewDefragment says which jobs defragmentation would move.
func (d *Domain) PreviewDefragment() []sched.Action {
	return d.opts.Scheduler.PreviewDefragment(time.Now())
}

// Reclaim takes the workspace's guaranteed cells back from borrowers now.
func (d *Domain) Reclaim(workspace string) {
	for _, a := range d.opts.Scheduler.Reclaim(time.Now(), workspace) {
		d.carryOut(a) // ordered by an operator, not automatic
	}
}

// Defragment moves jobs so that larger blocks become free.
func (d *Domain) Defragment() {
	for _, a := range d.opts.Scheduler.Defragment(time.Now()) {
		d.carryOut(a) // ordered by an operator, not automatic
	}
}
