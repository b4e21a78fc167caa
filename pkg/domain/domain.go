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

// Gate allows automatic actions or holds them back as proposals.
type Gate interface {
	Allow(kind gate.Kind, workspace string, p gate.Proposal) bool
}

// Options configures a Domain.
type Options struct {
	Name  string
	Epoch int64
	// Scheduler makes the placement decisions of this failure domain; it does no I/O.
	Scheduler *sched.Domain
	Dialer    target.Dialer
	Reporter  Reporter
	Gate      Gate
	Recorder  timeline.Recorder
	Log       logr.Logger
	// VMs returns the newest VM list of the platform; LeavingTargets the targets that
	// any member reported as leaving.
	VMs            func() []platform.VM
	LeavingTargets func() map[string]bool
	// ReportLeaving informs the other members that a target is leaving.
	ReportLeaving func(worker string)
	// LeaseTTL is the lease duration of tasks at their target; other timings derive from it.
	LeaseTTL time.Duration
	// CallTimeout bounds one call to a target other than Sync.
	CallTimeout time.Duration
	// MaxResultBytes limits the result of a job; a job with a larger one fails. Zero
	// means no limit.
	MaxResultBytes int64
	// OnFenced is called once when a target rejects this owner's epoch, that is, when
	// the failure domain has a newer owner. It may be nil.
	OnFenced func()
	// Metrics may be shared by several domains; nil means unregistered metrics.
	Metrics *Metrics
}

// Timings derived from the task lease: a renewal may fail twice before the
// lease expires, and the tasks of an unreachable worker are declared lost only
// after the target itself has stopped them.
func (o Options) syncMaxWait() time.Duration { return o.LeaseTTL / 3 }
func (o Options) lostTimeout() time.Duration { return o.LeaseTTL + o.LeaseTTL/10 }

// refreshInterval is the interval at which the VM list and the members' reports of
// leaving targets are read. Together with the list's own poll interval of 1 s it uses
// half of the 3 s after which a leaving target must get no new work.
const refreshInterval = 500 * time.Millisecond

// tickInterval bounds the delay of time-driven decisions and of the reaction to a
// change of the VM list.
const tickInterval = 100 * time.Millisecond

// Domain owns one failure domain under one epoch.
type Domain struct {
	opts Options

	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	decideRequested chan struct{}

	mu              sync.Mutex
	workers         map[string]*worker
	attempts        map[api.JobID]*attempt
	byTask          map[api.TaskID]*task
	placementSeq    int // counts the placements of this epoch; part of task IDs
	drainedNames    map[string]bool
	proposals       map[string]sched.Action
	delayedRequeues []delayedRequeue
	recentlyEnded   endedAttempts
	deniedActions   []sched.Action // rejected by the gate; retried at the next tick
	stopped         bool
	vmListRead      bool // the VM list has been read at least once
	fenced          bool // a target has seen a newer epoch: no more decisions or reports
	started         time.Time
}

// New returns a Domain that has not been started.
func New(opts Options) *Domain {
	ctx, cancel := context.WithCancel(context.Background())
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	return &Domain{
		opts: opts, ctx: ctx, cancel: cancel,
		decideRequested: make(chan struct{}, 1),
		workers:         map[string]*worker{},
		attempts:        map[api.JobID]*attempt{},
		byTask:          map[api.TaskID]*task{},
		drainedNames:    map[string]bool{},
		proposals:       map[string]sched.Action{},
	}
}

// Start begins to sync with the workers and to schedule.
func (d *Domain) Start() {
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
	d.runAsync(d.loop)
}

// Stop stops the owner. Running tasks continue; their leases at the targets give
// the next owner time to adopt them. If flush is set, Stop first waits for placements
// and reports in progress until ctx ends.
func (d *Domain) Stop(ctx context.Context, flush bool) {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	if flush {
		d.awaitOperations(ctx)
	}
	d.cancel()
	d.wg.Wait()
}

// awaitOperations waits until no placement and no report is in progress.
func (d *Domain) awaitOperations(ctx context.Context) {
	for ctx.Err() == nil && d.operationsInProgress() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (d *Domain) operationsInProgress() int {
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

func (d *Domain) runAsync(fn func()) {
	if d.ctx.Err() != nil {
		return
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn()
	}()
}

// requestDecide triggers a scheduling round without waiting for it.
func (d *Domain) requestDecide() {
	select {
	case d.decideRequested <- struct{}{}:
	default:
	}
}

// loop is the domain's only scheduling goroutine.
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
			d.moveOffLeavingWorkers()
			d.retryDeniedActions()
		case <-d.decideRequested:
		}
		d.decide()
	}
}

// tick handles everything that is due by time.
func (d *Domain) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fenced {
		return // the new owner decides
	}
	d.loseUnreachableWorkers(now)
	d.stopPreempted(now)
	d.resolveAdoptedGangs(now)
	d.resolvePendingEnds()
	d.endWorkerBackoffs(now)
	d.enqueueDelayed(now)
	d.recentlyEnded.prune(now)
}

// decide runs one scheduling round and executes its actions.
func (d *Domain) decide() {
	if d.isStopped() {
		return
	}
	for _, a := range d.opts.Scheduler.Decide(time.Now()) {
		d.handleAction(a)
	}
}

func (d *Domain) isStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped || d.fenced
}

func (d *Domain) recordAction(t timeline.Type, a sched.Action, reason string) {
	d.opts.Recorder.Record(timeline.Event{
		Type: t, Job: a.Job, Workspace: a.Workspace, Worker: a.Worker,
		Domain: d.opts.Name, Reason: reason, By: a.For,
	})
}

// SetPolicy applies a new configuration document.
func (d *Domain) SetPolicy(doc *policy.Document) {
	now := time.Now()
	d.mu.Lock()
	clear(d.drainedNames)
	for name := range doc.Drained {
		d.drainedNames[name] = true
	}
	// The scheduler rejects the confirmation of a proposal whose workspace is no longer
	// on hold; without any automation hold all proposals are dropped here.
	if !anyAutomationHold(doc, now) {
		clear(d.proposals)
	}
	d.mu.Unlock()
	d.opts.Scheduler.SetPolicy(now, doc)
	d.refreshWorkers()
	d.requestDecide()
}

func anyAutomationHold(doc *policy.Document, now time.Time) bool {
	for workspace := range doc.Holds {
		if _, onHold := doc.Held(workspace, now); onHold {
			return true
		}
	}
	return false
}

// Preview returns what doc would change in this domain.
func (d *Domain) Preview(doc *policy.Document) sched.Preview {
	return d.opts.Scheduler.Preview(time.Now(), doc)
}

// Summary returns the domain's current summary.
func (d *Domain) Summary() sched.Summary { return d.opts.Scheduler.Summary(time.Now()) }

// Explain returns a sentence that states why a queued job is waiting.
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

// PreviewReclaim returns the preemptions that reclaiming the workspace's guaranteed
// cells would cause.
func (d *Domain) PreviewReclaim(workspace string) []sched.Action {
	return d.opts.Scheduler.PreviewReclaim(time.Now(), workspace)
}

// PreviewDefragment returns the moves that defragmentation would make.
func (d *Domain) PreviewDefragment() []sched.Action {
	return d.opts.Scheduler.PreviewDefragment(time.Now())
}

// Reclaim reclaims the workspace's guaranteed cells from borrowers at once.
func (d *Domain) Reclaim(workspace string) {
	for _, a := range d.opts.Scheduler.Reclaim(time.Now(), workspace) {
		d.execute(a) // ordered by an operator, not automatic
	}
}

// Defragment moves jobs to free larger blocks of accelerators.
func (d *Domain) Defragment() {
	for _, a := range d.opts.Scheduler.Defragment(time.Now()) {
		d.execute(a) // ordered by an operator, not automatic
	}
}
