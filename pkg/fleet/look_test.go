package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// refusingClient refuses polls, and calls beforeRefusal first.
type refusingClient struct {
	WorkerClient
	beforeRefusal func()
	verdict       Verdict
}

func (c refusingClient) RenewLease(context.Context, string, string, RenewLeaseRequest) (RenewLeaseReply, Verdict, error) {
	c.beforeRefusal()
	return RenewLeaseReply{}, c.verdict, nil
}

func (c refusingClient) Stop(context.Context, string, string, workload.TaskID, int64, int64) (OrderReply, error) {
	c.beforeRefusal()
	return OrderReply{Verdict: c.verdict}, nil
}

// Guards against a refused poll that withdraws the deadline of a start sent meanwhile, so
// that a run counts as lapsed while its start may still be carried out.
func TestRefusedPollKeepsDeadlineOfLaterStart(t *testing.T) {
	const (
		now           = time.Minute
		startDeadline = 3000 // ms on the worker's clock
	)
	for name, before := range map[string]int64{"no deadline before": 0, "an earlier deadline": startDeadline - 700} {
		t.Run(name, func(t *testing.T) {
			w := &worker{WorkerEntry: WorkerEntry{ID: "w", Address: "w"}, incarnationState: incarnationState{contacted: true, clockReadAt: now}, wake: make(chan struct{}, 1)}
			w.recordStartDeadline(before)
			var o *Owner
			client := refusingClient{verdict: NotSent, beforeRefusal: func() {
				o.mu.Lock()
				defer o.mu.Unlock()
				w.recordStartDeadline(startDeadline)
			}}
			o = newOwner(Options{Workers: client, Clock: func() time.Duration { return now }, Log: logr.Discard()}, ownershipLease{validUntil: 2 * now})
			defer o.cancel()
			o.pollWorker(w, 0, true)
			if w.unansweredCalls != 1 || w.maxDeadlineMS != startDeadline {
				t.Errorf("after %d refused polls, orders and leases end at %d ms, want %d ms", w.unansweredCalls, w.maxDeadlineMS, startDeadline)
			}
		})
	}
}

// Guards against a refused poll of a former worker process that brings back its deadlines:
// on the clock of the new process they end too late, and runs on it do not lapse.
func TestRefusedPollOfFormerProcessSetsNoDeadline(t *testing.T) {
	const (
		now            = time.Minute
		formerDeadline = 3_600_000 // ms on the clock of the former process
	)
	w := &worker{WorkerEntry: WorkerEntry{ID: "w", Address: "w"}, incarnationState: incarnationState{contacted: true, clockReadAt: now}, unansweredCalls: 1, wake: make(chan struct{}, 1)}
	w.maxDeadlineMS = formerDeadline
	o, clock, _ := newIdleOwner()
	defer o.cancel()
	*clock = now
	o.opts.Workers = refusingClient{verdict: NotSent, beforeRefusal: func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.beginIncarnation(w, "test")
	}}
	o.pollWorker(w, 0, true)
	if w.unansweredCalls != 2 || w.maxDeadlineMS != 0 {
		t.Errorf("after %d refused polls, orders and leases of the new process end at %d ms", w.unansweredCalls, w.maxDeadlineMS)
	}
}

// Guards against a refusal at the address of a former worker process that abandons runs of
// the new process, which run twice then.
func TestRefusalAtFormerAddressAbandonsNoRunOfTheNewProcess(t *testing.T) {
	calls := map[string]func(o *Owner, w *worker, former *run){
		"poll":    func(o *Owner, w *worker, _ *run) { o.pollWorker(w, 0, true) },
		"resolve": func(o *Owner, w *worker, former *run) { o.executeResolve(w, former) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			o, _, _ := newIdleOwner()
			defer o.cancel()
			w := &worker{
				WorkerEntry: WorkerEntry{ID: "w", Address: "former", Incarnation: 1}, listed: true, incarnationState: incarnationState{contacted: true},
				runs: map[*run]struct{}{}, orders: make(chan order, maxQueuedOrders), wake: make(chan struct{}, 1),
			}
			job := &workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 2}}}
			g := newJob(job, workload.NewProgress(job)).group(0, 0)
			addRun := func(index int, phase runPhase) *run {
				r := &run{group: g, index: index, number: 1, worker: w, phase: phase}
				g.addRun(r)
				return r
			}
			former := addRun(0, phaseUncertain)
			var current *run
			o.opts.Workers = refusingClient{verdict: OtherIncarnation, beforeRefusal: func() {
				o.mu.Lock()
				defer o.mu.Unlock()
				w.Address, w.Incarnation = "new", 2
				o.beginIncarnation(w, "test")
				current = addRun(1, phaseRunning)
			}}
			call(o, w, former)
			if _, present := w.runs[current]; !present {
				t.Error("the run of the new process was abandoned")
			}
		})
	}
}

// Guards against a task that runs twice: a start that a worker refused as late ended the contact
// with it, and its other runs counted as lapsed at once, though their lease went on.
func TestLateStartKeepsTheLeaseOfOtherRuns(t *testing.T) {
	const lease = 10 * time.Second
	o, now, _ := newIdleOwner()
	*now = time.Minute
	record := &workload.Job{ID: "a", Steps: []workload.Step{{Tasks: 2}}}
	j := newJob(record, workload.NewProgress(record))
	o.jobs["a"] = j
	o.addLive(j)
	w := &worker{
		WorkerEntry:      WorkerEntry{ID: "w", Address: "w"},
		incarnationState: incarnationState{contacted: true, clockMS: 1000, clockReadAt: *now, maxDeadlineMS: 1000 + lease.Milliseconds()},
		runs:             map[*run]struct{}{}, orders: make(chan order, 4), wake: make(chan struct{}, 1), listed: true,
	}
	o.workers["w"] = w
	g := j.group(0, 0)
	add := func(index int, phase runPhase) *run {
		g.tasks()[index].Phase, g.tasks()[index].Run = workload.Assigned, 1
		r := &run{group: g, index: index, number: 1, worker: w, phase: phase}
		g.addRun(r)
		return r
	}
	running, late := add(0, phaseRunning), add(1, phaseStarting)
	o.handleStartFailure(w, late, TooLate)
	present := func() bool {
		_, ok := w.runs[running]
		return ok
	}
	if o.abandonExpiredRuns(*now); !present() {
		t.Error("the run beside a late start has lapsed at once")
	}
	if o.inContact(w, time.Minute) {
		t.Error("the next start would rely on the clock that was wrong")
	}
	*now += lease + lease/10
	if o.abandonExpiredRuns(*now); present() {
		t.Error("the run has not lapsed after its lease")
	}
}
