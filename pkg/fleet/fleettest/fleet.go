package fleettest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// publishPause is the time between two tries of a worker to write its entry.
const publishPause = 500 * time.Millisecond

// WorkerPrefix is the prefix of the workers' entries.
const WorkerPrefix = "workers/"

// callDelay is the usual time of a call to a worker and back.
const callDelay = time.Millisecond

// Fleet is a set of emulated workers. It implements fleet.WorkerClient.
type Fleet struct {
	store   platform.Transactor
	encode  Encoder
	mu      sync.Mutex
	workers map[string]*Worker
	jobs    map[string]*workload.Job
	takes   func(workload.TaskID, int64) Outcome
	delay   time.Duration

	violations []string
	rejected   int
	alone      int
	drains     bool
	starts     map[workload.TaskID]int
	running    map[workload.TaskID]int
	doneAcked  map[workload.TaskID]bool
	failed     map[workload.TaskID][]*failedEnd
	overBudget []lateStart
	tickets    map[string]time.Time // end of a ticket by step and worker; nil asks for none
}

// Encoder returns the key and the value of a worker's entry in the store.
type Encoder func(fleet.WorkerEntry) (key string, value []byte)

// New returns a fleet of n workers with the given capacity, in racks.
func New(store platform.Transactor, n, perRack int, capacity workload.Resources) *Fleet {
	return NewWithEncoder(store, n, perRack, capacity, encode, func(i int) string { return workerAddress(i) })
}

// workerAddress is the address of a worker within the fleet.
func workerAddress(i int) string { return fmt.Sprintf("w%02d:1", i) }

// NewWithEncoder is New with another encoding of the entries and other addresses.
func NewWithEncoder(store platform.Transactor, n, perRack int, capacity workload.Resources, encoder Encoder, address func(int) string) *Fleet {
	f := &Fleet{
		store: store, encode: encoder, delay: callDelay, workers: map[string]*Worker{}, jobs: map[string]*workload.Job{},
		takes:  func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} },
		starts: map[workload.TaskID]int{}, running: map[workload.TaskID]int{}, doneAcked: map[workload.TaskID]bool{}, failed: map[workload.TaskID][]*failedEnd{},
	}
	for i := range n {
		rack := fmt.Sprintf("r%d", i/perRack)
		f.add(fleet.WorkerEntry{
			ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Service: "service", Address: address(i),
			Rack: rack, Labels: []string{"a", rack}, Capacity: capacity,
		})
	}
	return f
}

func (f *Fleet) add(e fleet.WorkerEntry) {
	w := &Worker{
		fleet: f, entry: e, bornAt: time.Now(), runs: map[workload.TaskID]*activeRun{}, highest: map[workload.TaskID]int64{},
		changed: make(chan struct{}), rate: 1, endedAt: map[int64]int64{}, failedEnds: map[int64]*failedEnd{},
	}
	f.workers[e.ID+":1"] = w
	f.publish(w)
}

func (f *Fleet) publish(w *Worker) {
	f.mu.Lock()
	key, value := f.encode(w.entry)
	f.mu.Unlock()
	_, err := f.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
	if err != nil {
		time.AfterFunc(publishPause, func() { f.publish(w) }) // the store is down
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.entry.Draining && w.drainedAt.IsZero() {
		w.drainedAt = time.Now()
	}
}

// AddJob registers a job, so that the fleet can check the orders for its tasks.
func (f *Fleet) AddJob(j *workload.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// SetOutcome chooses how runs end.
func (f *Fleet) SetOutcome(takes func(task workload.TaskID, run int64) Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takes = takes
}

// CheckDrains reports starts that come too late after the word of a worker that it
// leaves. The users' rule holds while the store and the links are untroubled.
func (f *Fleet) CheckDrains() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains = true
}

// SetDelay changes the time of a call to a worker and back.
func (f *Fleet) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// UpdateFaults changes the faults of the worker with an index, under the lock.
func (f *Fleet) UpdateFaults(i int, change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	faults := Faults{w.silent, w.failAll, w.hang, w.slow, w.rate, w.wireLost, w.late, w.lateBy, w.refuse}
	change(&faults)
	w.silent, w.failAll, w.hang, w.slow, w.rate = faults.Unreachable, faults.FailAll, faults.Hang, faults.Slowdown, faults.ClockRate
	w.wireLost, w.late, w.lateBy, w.refuse = faults.LoseAnswers, faults.LateOrders, faults.LateBy, faults.RefuseOrders
}

// Faults are the switches of a worker.
type Faults struct {
	Unreachable bool    // calls do not reach the worker
	FailAll     bool    // all that it starts fails
	Hang        bool    // what it starts stands still
	Slowdown    float64 // factor of the run time of tasks
	ClockRate   float64
	LoseAnswers int // next orders that are carried out without an answer
	LateOrders  int // next orders that are carried out late, without an answer
	LateBy      time.Duration
	// RefuseOrders is how many orders after the lost ones are refused as unhealthy.
	RefuseOrders int
}

// Restart lets a worker crash and start anew under its ID.
func (f *Fleet) Restart(i int) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	f.revive(id)
}

// crash ends a worker's life: it runs and remembers nothing, and no call
// reaches it.
func (f *Fleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id+":1"]
	w.dead = true
	for _, r := range w.runs {
		f.running[r.task]--
	}
	w.runs, w.highest = map[workload.TaskID]*activeRun{}, map[workload.TaskID]int64{}
	w.ended, w.number, w.token, w.lease, w.bornAt = nil, 0, 0, 0, time.Now()
	w.endedAt, w.failedEnds, w.lapsedAt = map[int64]int64{}, map[int64]*failedEnd{}, 0
	w.entry.Incarnation++
	w.entry.Draining, w.drainedAt = false, time.Time{}
}

// revive starts a crashed worker anew.
func (f *Fleet) revive(id string) {
	f.mu.Lock()
	w := f.workers[id+":1"]
	wasDead := w.dead
	if wasDead {
		w.dead, w.bornAt = false, time.Now()
	}
	f.mu.Unlock()
	if wasDead { // not started anew by another fault meanwhile
		f.publish(w)
	}
}

// Crash lets a worker end without a word; it starts anew under its ID after a while.
func (f *Fleet) Crash(i int, down time.Duration) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	time.AfterFunc(down, func() { f.revive(id) })
}

// allow notes a ticket, and that starts need one from now on.
func (f *Fleet) allow(step, worker string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tickets == nil {
		f.tickets = map[string]time.Time{}
	}
	f.tickets[step+"@"+worker] = until
}

// report notes a broken promise.
func (f *Fleet) report(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violate(format, args...)
}

// Replace lets a worker crash and another one start at its address, under an ID
// of its own. The entry of the former one stays for a while.
func (f *Fleet) Replace(i int) {
	f.crash(fmt.Sprintf("w%02d", i))
	f.mu.Lock()
	w := f.workers[workerAddress(i)]
	old, _ := f.encode(w.entry)
	w.entry.ID += "b"
	w.dead, w.bornAt = false, time.Now()
	f.mu.Unlock()
	f.publish(w)
	time.AfterFunc(silentEntry, func() {
		_, _ = f.store.Commit(context.Background(), platform.Txn{Deletes: []string{old}}) // a stale entry harms nothing
	})
}

// silentEntry is how long the entry of a worker that crashed stays.
const silentEntry = 4500 * time.Millisecond

// Drain lets a worker report that it leaves.
func (f *Fleet) Drain(i int, left time.Duration) {
	f.mu.Lock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	w.entry.Draining, w.entry.MinRemaining = true, left
	f.mu.Unlock()
	f.publish(w)
}

// Leave lets a worker exit: everything on it ends without a word, and its entry
// is removed.
func (f *Fleet) Leave(i int) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	f.mu.Lock()
	w := f.workers[id+":1"]
	w.gone = true
	key, _ := f.encode(w.entry)
	f.mu.Unlock()
	_, err := f.store.Commit(context.Background(), platform.Txn{Deletes: []string{key}})
	if err != nil {
		time.AfterFunc(publishPause, func() { f.Leave(i) })
	}
}

// Busy reports whether anything runs on a worker.
func (f *Fleet) Busy(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers[fmt.Sprintf("w%02d:1", i)].runs) > 0
}

// Violations returns the promises that were broken so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append([]string(nil), f.violations...)
	for _, s := range f.overBudget {
		if n := s.notedFailures(); n >= s.attempts {
			all = append(all, fmt.Sprintf("%s started again on %s after %d failed runs", s.task, s.worker, n))
		}
	}
	return all
}

// failedEnd is a run that ended as failed. It counts as an attempt once its end
// was taken note of, now or later.
type failedEnd struct{ noted bool }

// lateStart is a start after as many failed runs as a task may have.
type lateStart struct {
	task     workload.TaskID
	worker   string
	attempts int
	failed   []*failedEnd
}

func (s lateStart) notedFailures() int {
	n := 0
	for _, e := range s.failed {
		if e.noted {
			n++
		}
	}
	return n
}

// Starts returns how many runs of a task have started.
func (f *Fleet) Starts(task workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// IncompleteGangEnds returns the number of runs that ended because other members of
// their gang did not start in time, which only faults may cause.
func (f *Fleet) IncompleteGangEnds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alone
}

// RejectedStarts returns the number of starts that did not fit on the worker.
func (f *Fleet) RejectedStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *Fleet) stepOf(task workload.TaskID) (*workload.Step, bool) {
	j := f.jobs[task.Job]
	if j == nil || task.Step >= len(j.Steps) || task.Index >= j.Steps[task.Step].Tasks {
		return nil, false
	}
	return &j.Steps[task.Step], true
}

func (f *Fleet) outcome(task workload.TaskID, run int64) Outcome { return f.takes(task, run) }

func (f *Fleet) noteStart(w *Worker, r *activeRun) {
	f.starts[r.task]++
	f.running[r.task]++
	if f.running[r.task] > 1 {
		f.violate("two runs of %s at the same time, the second on %s; %s", r.task, w.entry.ID, f.otherRuns(r))
	}
	if f.doneAcked[r.task] {
		f.violate("%s started again on %s after its successful end was acknowledged", r.task, w.entry.ID)
	}
	if attempts := max(1, f.jobs[r.task.Job].Class.MaxAttempts); len(f.failed[r.task]) >= attempts {
		f.overBudget = append(f.overBudget, lateStart{r.task, w.entry.ID, attempts, slices.Clone(f.failed[r.task])})
	}
}

// otherRuns describes the present runs of a task beside r.
func (f *Fleet) otherRuns(r *activeRun) string {
	text := ""
	for _, w := range f.workers {
		if other := w.runs[r.task]; other != nil && other != r {
			text += fmt.Sprintf("run %d on %s since %v, lease for %d ms, life %d, silent %v", other.number, w.entry.ID,
				time.Since(other.arrived), w.lease-w.clockMS(), w.entry.Incarnation, w.silent)
		}
	}
	return text
}

func (f *Fleet) noteEnd(w *Worker, r *activeRun, reason fleet.EndReason) {
	f.running[r.task]--
	if reason == fleet.EndFailed {
		e := &failedEnd{}
		f.failed[r.task] = append(f.failed[r.task], e)
		w.failedEnds[w.number] = e
	}
	if reason == fleet.EndGangIncomplete {
		f.alone++
	}
}

func (f *Fleet) noteAck(w *Worker, e fleet.RunEnd) {
	if failed := w.failedEnds[e.Sequence]; failed != nil {
		failed.noted = true
	}
	if step, ok := f.stepOf(e.Task); ok && e.Reason == fleet.EndDone && !step.LongRunning {
		f.doneAcked[e.Task] = true
	}
}

// members returns the present runs of a gang.
func (f *Fleet) members(r *activeRun) map[*Worker][]*activeRun {
	all := map[*Worker][]*activeRun{}
	for _, w := range f.workers {
		for _, other := range w.runs {
			if other.task.Job == r.task.Job && other.task.Occurrence == r.task.Occurrence && other.task.Step == r.task.Step && other.number == r.number {
				all[w] = append(all[w], other)
			}
		}
	}
	return all
}

// gangArrived starts the work once all members are present, or ends a member
// that waits too long.
func (f *Fleet) gangArrived(r *activeRun) {
	members := f.members(r)
	n := 0
	for _, runs := range members {
		n += len(runs)
	}
	if n == r.gang {
		for w, runs := range members {
			for _, m := range runs {
				w.beginWork(m)
			}
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for w, runs := range f.members(r) {
			for _, m := range runs {
				if m == r && m.since.IsZero() {
					w.end(m, fleet.EndGangIncomplete)
				}
			}
		}
	})
}

// endGang ends a run and, with it, the other members of its gang.
func (f *Fleet) endGang(w *Worker, r *activeRun, reason fleet.EndReason) {
	if w.runs[r.task] != r {
		return
	}
	w.end(r, reason)
	if r.gang <= 1 {
		return
	}
	others := fleet.EndGangBroken
	if reason == fleet.EndDone {
		others = fleet.EndDone
	}
	for other, runs := range f.members(r) {
		for _, m := range runs {
			other.end(m, others)
		}
	}
}

var errSilent = errors.New("no answer")

// isOther reports whether a call names another worker.
func (w *Worker) isOther(instance string) bool { return instance != "" && instance != w.entry.ID }

// reach waits for the way to a worker and finds it; the lock is not held.
func (f *Fleet) reach(ctx context.Context, address string) (*Worker, error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	w := f.workers[address]
	silent := w == nil || w.silent || w.dead
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errkind.Wrap(errSilent, errkind.Timeout, "worker %s", address)
	}
	return w, nil
}

// order carries out an order with the faults of the worker.
func (f *Fleet) order(ctx context.Context, address, instance string, carryOut func(w *Worker) fleet.Verdict) (fleet.OrderReply, error) {
	w, err := f.reach(ctx, address)
	if err != nil {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, err
	}
	f.mu.Lock()
	if w.isOther(instance) {
		f.mu.Unlock()
		return fleet.OrderReply{Verdict: fleet.OtherIncarnation}, nil
	}
	if w.late > 0 {
		w.late--
		life := w.entry.Incarnation
		time.AfterFunc(w.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.entry.Incarnation == life { // an order ends with the process that received it
				carryOut(w)
			}
		})
		f.mu.Unlock()
		<-ctx.Done()
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errSilent
	}
	if w.wireLost == 0 && w.refuse > 0 {
		w.refuse--
		f.mu.Unlock()
		return fleet.OrderReply{Verdict: fleet.Unhealthy}, nil
	}
	verdict := carryOut(w)
	reply := fleet.OrderReply{Verdict: verdict, ClockMS: w.clockMS()}
	lost := w.wireLost > 0
	if lost {
		w.wireLost--
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errSilent
	}
	return reply, nil
}

// Start implements fleet.WorkerClient.
func (f *Fleet) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	return f.order(ctx, address, instance, func(w *Worker) fleet.Verdict { return w.start(o) })
}

// Stop implements fleet.WorkerClient.
func (f *Fleet) Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (fleet.OrderReply, error) {
	return f.order(ctx, address, instance, func(w *Worker) fleet.Verdict { return w.stop(task, run, token) })
}

// RenewLease implements fleet.WorkerClient.
func (f *Fleet) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	w, err := f.reach(ctx, address)
	if err != nil {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, err
	}
	f.mu.Lock()
	if w.isOther(instance) {
		f.mu.Unlock()
		return fleet.RenewLeaseReply{}, fleet.OtherIncarnation, nil
	}
	verdict := w.hold(r)
	waits := r.MaxWait > 0 && len(w.ended) == 0
	changed := w.changed
	f.mu.Unlock()
	if verdict != fleet.Accepted {
		return fleet.RenewLeaseReply{}, verdict, nil
	}
	if waits {
		timer := time.NewTimer(r.MaxWait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return fleet.RenewLeaseReply{}, fleet.Unanswered, errSilent
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.silent || w.dead {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, errSilent
	}
	return w.lists(), fleet.Accepted, nil
}

// Throttle implements fleet.WorkerClient; emulated tasks do not disturb each other.
func (f *Fleet) Throttle(ctx context.Context, address, instance string, o fleet.ThrottleOrder) (fleet.OrderReply, error) {
	return f.order(ctx, address, instance, func(w *Worker) fleet.Verdict {
		if o.Token < w.token {
			return fleet.Fenced
		}
		return fleet.Accepted
	})
}
