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

// publishRetryInterval is the time between attempts of a worker to write its entry.
const publishRetryInterval = 500 * time.Millisecond

// WorkerPrefix is the prefix of the keys of worker entries in the store.
const WorkerPrefix = "workers/"

// callDelay is the default round-trip time of a call to a worker.
const callDelay = time.Millisecond

// Fleet is a set of emulated workers. It implements fleet.WorkerClient.
type Fleet struct {
	store      platform.Transactor
	encode     Encoder
	mu         sync.Mutex
	workers    map[string]*Worker
	jobs       map[string]*workload.Job
	outcomeFor func(workload.TaskID, int64) Outcome
	delay      time.Duration
	stopTime   time.Duration // how long a run takes to stop

	violations         []string
	rejectedStarts     int
	incompleteGangEnds int
	checkDrains        bool
	evacuations        evacuations
	starts             map[workload.TaskID]int
	running            map[workload.TaskID]int
	doneAcked          map[workload.TaskID]bool
	repeated           map[taskRun]string // start of a task after this run had ended successfully but before that was acknowledged
	listedEnds         int
	failed             map[workload.TaskID][]*failedEnd
	excessStarts       []excessStart
	tickets            map[string]time.Time               // expiry of a ticket by "step@worker"; nil if starts need no tickets
	gangs              map[gangRun]map[*activeRun]*Worker // current runs of each gang and their workers
	ledger             ledger
}

// Encoder returns the key and the value of a worker's entry in the store.
type Encoder func(fleet.WorkerEntry) (key string, value []byte)

// New returns a fleet of n workers with the given capacity, in racks.
func New(store platform.Transactor, n, perRack int, capacity workload.Resources) *Fleet {
	return NewWithEncoder(store, n, perRack, capacity, encode, func(i int) string { return workerAddress(i) })
}

// workerAddress returns the address of the worker with an index.
func workerAddress(i int) string { return fmt.Sprintf("w%02d:1", i) }

// NewWithEncoder is New with a custom encoding of the entries and custom addresses.
func NewWithEncoder(store platform.Transactor, n, perRack int, capacity workload.Resources, encoder Encoder, address func(int) string) *Fleet {
	f := &Fleet{
		store: store, encode: encoder, delay: callDelay, stopTime: stopGrace / 2, workers: map[string]*Worker{}, jobs: map[string]*workload.Job{},
		outcomeFor: func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} },
		starts:     map[workload.TaskID]int{}, running: map[workload.TaskID]int{}, doneAcked: map[workload.TaskID]bool{}, repeated: map[taskRun]string{}, listedEnds: defaultListedEnds, failed: map[workload.TaskID][]*failedEnd{},
		gangs: map[gangRun]map[*activeRun]*Worker{}, ledger: newLedger(),
	}
	for i := range n {
		rack := fmt.Sprintf("r%d", i/perRack)
		f.addWorker(fleet.WorkerEntry{
			ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Service: "service", Address: address(i),
			Zone: fmt.Sprintf("zone-%d", i/perRack), Rack: rack, Labels: []string{"a", rack}, Capacity: capacity,
		})
	}
	return f
}

func (f *Fleet) addWorker(e fleet.WorkerEntry) {
	w := &Worker{
		fleet: f, entry: e, processStart: time.Now(), runs: map[workload.TaskID]*activeRun{}, newestEndedRun: map[workload.TaskID]int64{},
		changed: make(chan struct{}), clockRate: 1, endedAtMS: map[int64]int64{}, failedEnds: map[int64]*failedEnd{},
	}
	f.workers[e.ID+":1"] = w
	f.publish(w)
}

func (f *Fleet) publish(w *Worker) {
	f.mu.Lock()
	w.entry.ColdLeft = max(0, time.Until(w.coldUntil))
	key, value := f.encode(w.entry)
	f.mu.Unlock()
	_, err := f.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
	if err != nil {
		time.AfterFunc(publishRetryInterval, func() { f.publish(w) }) // the store is down
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.entry.Draining && w.drainStoredAt.IsZero() {
		w.drainStoredAt = time.Now()
	}
}

// AddJob registers a job, so that the fleet can check the orders for its tasks.
func (f *Fleet) AddJob(j *workload.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// SetOutcome sets the function that returns the outcome of a run.
func (f *Fleet) SetOutcome(outcome func(task workload.TaskID, run int64) Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomeFor = outcome
}

// CheckDrains makes the emulator record a violation when a run starts on a worker more
// than drainStartBound after the store accepted the worker's report that it drains. The
// users' rule applies only while the store and the network are without faults.
func (f *Fleet) CheckDrains() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkDrains = true
}

// SetDelay sets the round-trip time of a call to a worker.
func (f *Fleet) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetStopTime sets how long a run takes to stop.
func (f *Fleet) SetStopTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopTime = d
}

// SetListedEnds sets how many unacknowledged ends a worker lists at a time.
func (f *Fleet) SetListedEnds(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedEnds = n
}

// UpdateFaults changes the faults of the worker with an index. change runs under the
// lock.
func (f *Fleet) UpdateFaults(i int, change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	faults := Faults{w.unreachable, w.failAll, w.hang, w.slowdown, w.clockRate, w.loseAnswers, w.lateOrders, w.lateBy, w.refuseOrders}
	change(&faults)
	w.unreachable, w.failAll, w.hang, w.slowdown, w.clockRate = faults.Unreachable, faults.FailAll, faults.Hang, faults.Slowdown, faults.ClockRate
	w.loseAnswers, w.lateOrders, w.lateBy, w.refuseOrders = faults.LoseAnswers, faults.LateOrders, faults.LateBy, faults.RefuseOrders
}

// Faults are the injected faults of a worker.
type Faults struct {
	Unreachable bool    // calls do not reach the worker
	FailAll     bool    // every run that it starts fails
	Hang        bool    // runs that it starts make no progress
	Slowdown    float64 // factor of the run time of tasks
	ClockRate   float64 // speed of its clock; 1 is normal
	LoseAnswers int     // number of next orders that are carried out but not answered
	LateOrders  int     // number of next orders that are carried out late and not answered
	LateBy      time.Duration
	// RefuseOrders is the number of orders that are refused as unhealthy, after those
	// whose answers are lost.
	RefuseOrders int
}

// Restart makes a worker crash and start again at once with the same ID.
func (f *Fleet) Restart(i int) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	f.restartCrashed(id)
}

// crash ends the worker process: all its runs and state are lost, and calls to it are
// not answered.
func (f *Fleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id+":1"]
	w.dead = true
	for _, r := range w.runs {
		f.running[r.task]--
		f.removeFromGang(r)
		f.endMembers(r, fleet.EndGangBroken)
	}
	f.ledger.recordCrash(w, f.doneAcked)
	w.runs, w.newestEndedRun = map[workload.TaskID]*activeRun{}, map[workload.TaskID]int64{}
	w.ended, w.lastSequence, w.token, w.leaseEndMS, w.processStart = nil, 0, 0, 0, time.Now()
	w.endedAtMS, w.failedEnds, w.expiredAtMS = map[int64]int64{}, map[int64]*failedEnd{}, 0
	w.entry.Incarnation++
	w.entry.Draining, w.drainStoredAt = false, time.Time{}
}

// restartCrashed starts a crashed worker again.
func (f *Fleet) restartCrashed(id string) {
	f.mu.Lock()
	w := f.workers[id+":1"]
	wasDead := w.dead
	if wasDead {
		w.dead, w.processStart = false, time.Now()
	}
	f.mu.Unlock()
	if wasDead { // no other fault has restarted it meanwhile
		f.publish(w)
	}
}

// RestartCutOff makes a worker crash and start again at once with the same ID and another
// kind, which is its first label. It does not reach the store.
func (f *Fleet) RestartCutOff(i int, kind string) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id+":1"]
	w.entry.Labels = append([]string{kind}, w.entry.Labels[1:]...)
	w.dead, w.processStart = false, time.Now()
}

// Crash makes a worker crash and, after down, start again with the same ID.
func (f *Fleet) Crash(i int, down time.Duration) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	time.AfterFunc(down, func() { f.restartCrashed(id) })
}

// LosePower makes a worker crash and, after down, start again with the same ID. Its entry names
// the new process only entryAfter later.
func (f *Fleet) LosePower(i int, down, entryAfter time.Duration) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w := f.workers[id+":1"]
		w.dead, w.processStart = false, time.Now()
	})
	time.AfterFunc(down+entryAfter, func() { f.Heartbeat(i) })
}

// addTicket records a ticket; from the first one on, starts need a ticket.
func (f *Fleet) addTicket(step, worker string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tickets == nil {
		f.tickets = map[string]time.Time{}
	}
	f.tickets[step+"@"+worker] = until
}

// recordViolation records a violated guarantee.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordViolationLocked(format, args...)
}

// Replace makes a worker crash and a worker with another ID start at its address. The
// entry of the crashed worker stays for staleEntryTTL.
func (f *Fleet) Replace(i int) {
	f.crash(fmt.Sprintf("w%02d", i))
	f.mu.Lock()
	w := f.workers[workerAddress(i)]
	old, _ := f.encode(w.entry)
	w.entry.ID += "b"
	w.dead, w.processStart = false, time.Now()
	f.mu.Unlock()
	f.publish(w)
	time.AfterFunc(staleEntryTTL, func() {
		_, _ = f.store.Commit(context.Background(), platform.Txn{Deletes: []string{old}}) // a stale entry that remains is harmless
	})
}

// rejoin starts a crashed worker again under another ID, and deletes its former entry.
func (f *Fleet) rejoin(id string) {
	f.mu.Lock()
	w := f.workers[id+":1"]
	old, _ := f.encode(w.entry)
	w.entry.ID += "n"
	w.dead, w.processStart = false, time.Now()
	f.mu.Unlock()
	_, _ = f.store.Commit(context.Background(), platform.Txn{Deletes: []string{old}}) // a stale entry that remains is harmless
	f.publish(w)
}

// staleEntryTTL is how long the entry of a crashed worker remains in the store.
const staleEntryTTL = 4500 * time.Millisecond

// Entry returns the entry of a worker.
func (f *Fleet) Entry(i int) fleet.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[fmt.Sprintf("w%02d:1", i)].entry
}

// Heartbeat makes a worker write its entry again.
func (f *Fleet) Heartbeat(i int) {
	f.mu.Lock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	gone := w.dead || w.removed
	f.mu.Unlock()
	if !gone {
		f.publish(w)
	}
}

// Drain makes a worker report that it drains and stays for at least the given time.
func (f *Fleet) Drain(i int, minRemaining time.Duration) {
	f.mu.Lock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	w.entry.Draining, w.entry.MinRemaining = true, minRemaining
	f.mu.Unlock()
	f.publish(w)
}

// Leave makes a worker exit permanently: its runs end without being reported, and its
// entry is deleted.
func (f *Fleet) Leave(i int) {
	id := fmt.Sprintf("w%02d", i)
	f.crash(id)
	f.mu.Lock()
	w := f.workers[id+":1"]
	w.removed = true
	key, _ := f.encode(w.entry)
	f.mu.Unlock()
	_, err := f.store.Commit(context.Background(), platform.Txn{Deletes: []string{key}})
	if err != nil {
		time.AfterFunc(publishRetryInterval, func() { f.Leave(i) })
	}
}

// Busy reports whether a worker has runs.
func (f *Fleet) Busy(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers[fmt.Sprintf("w%02d:1", i)].runs) > 0
}

// Violations returns the violations of the guarantees of package fleet so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append([]string(nil), f.violations...)
	for _, s := range f.excessStarts {
		if n := s.ackedFailures(); n >= s.attempts {
			all = append(all, fmt.Sprintf("%s started again on %s after %d failed runs", s.task, s.worker, n))
		}
	}
	return all
}

// failedEnd is the end of a failed run. It counts as a used attempt if the owner
// acknowledges it, even after later starts.
type failedEnd struct{ acked bool }

// excessStart is a start of a task that already had its maximum number of failed runs.
type excessStart struct {
	task     workload.TaskID
	worker   string
	attempts int
	failed   []*failedEnd
}

func (s excessStart) ackedFailures() int {
	n := 0
	for _, e := range s.failed {
		if e.acked {
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

// Runs reports whether a task is running.
func (f *Fleet) Runs(task workload.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[task] > 0
}

// IncompleteGangEnds returns the number of runs that ended because other members of
// their gang did not start in time, which only faults may cause.
func (f *Fleet) IncompleteGangEnds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incompleteGangEnds
}

// RejectedStarts returns the number of starts that did not fit on the worker.
func (f *Fleet) RejectedStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejectedStarts
}

func (f *Fleet) recordViolationLocked(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *Fleet) stepOf(task workload.TaskID) (*workload.Step, bool) {
	j := f.jobs[task.Job]
	if j == nil || task.Step >= len(j.Steps) || task.Index >= j.Steps[task.Step].Tasks {
		return nil, false
	}
	return &j.Steps[task.Step], true
}

func (f *Fleet) runOutcome(task workload.TaskID, run int64) Outcome { return f.outcomeFor(task, run) }

func (f *Fleet) recordStart(w *Worker, r *activeRun) {
	f.starts[r.task]++
	f.running[r.task]++
	if r.gangSize > 1 {
		f.addToGang(w, r)
	}
	f.ledger.starts[r.task.Job]++
	if f.running[r.task] > 1 {
		f.recordViolationLocked("two runs of %s at the same time, the second on %s; %s", r.task, w.entry.ID, f.otherRuns(r))
	}
	if f.doneAcked[r.task] {
		f.recordViolationLocked("%s started again on %s after its successful end was acknowledged", r.task, w.entry.ID)
	}
	if before, ok := f.unackedSuccess(r.task); ok {
		f.repeated[before] = fmt.Sprintf("%s started again on %s after its run %d had ended successfully", r.task, w.entry.ID, before.number)
	}
	if attempts := max(1, f.jobs[r.task.Job].Class.MaxAttempts); len(f.failed[r.task]) >= attempts {
		f.excessStarts = append(f.excessStarts, excessStart{r.task, w.entry.ID, attempts, slices.Clone(f.failed[r.task])})
	}
}

// taskRun identifies a run of a task.
type taskRun struct {
	task   workload.TaskID
	number int64
}

// unackedSuccess returns a run of a task that has ended successfully, which the owner has
// not acknowledged; false if there is none.
func (f *Fleet) unackedSuccess(task workload.TaskID) (taskRun, bool) {
	if step, ok := f.stepOf(task); !ok || step.LongRunning {
		return taskRun{}, false
	}
	for _, w := range f.workers {
		for _, e := range w.ended {
			if e.Task == task && e.Reason == fleet.EndDone {
				return taskRun{task, e.Run}, true
			}
		}
	}
	return taskRun{}, false
}

// otherRuns describes the current runs of a task except r.
func (f *Fleet) otherRuns(r *activeRun) string {
	text := ""
	for _, w := range f.workers {
		if other := w.runs[r.task]; other != nil && other != r {
			text += fmt.Sprintf("run %d on %s since %v, lease for %d ms, incarnation %d, unreachable %v", other.number, w.entry.ID,
				time.Since(other.startedAt), w.leaseEndMS-w.clockMS(), w.entry.Incarnation, w.unreachable)
		}
	}
	return text
}

func (f *Fleet) recordEnd(w *Worker, r *activeRun, reason fleet.EndReason) {
	f.running[r.task]--
	f.removeFromGang(r)
	if step, ok := f.stepOf(r.task); ok {
		f.ledger.recordEnd(r, f.jobs[r.task.Job], step, reason)
	}
	if reason == fleet.EndFailed {
		e := &failedEnd{}
		f.failed[r.task] = append(f.failed[r.task], e)
		w.failedEnds[w.lastSequence] = e
	}
	if reason == fleet.EndGangIncomplete {
		f.incompleteGangEnds++
	}
}

func (f *Fleet) recordAck(w *Worker, e fleet.RunEnd) {
	if failed := w.failedEnds[e.Sequence]; failed != nil {
		failed.acked = true
	}
	if step, ok := f.stepOf(e.Task); ok && e.Reason == fleet.EndDone && !step.LongRunning {
		if violation := f.repeated[taskRun{e.Task, e.Run}]; violation != "" {
			f.recordViolationLocked("%s, and that end was acknowledged", violation)
		}
		if !f.doneAcked[e.Task] {
			f.ledger.acked[stepOfTask(e.Task)]++
		}
		f.doneAcked[e.Task] = true
	}
}

// gangRun identifies a run of a gang: its members share a run number.
type gangRun struct {
	job              string
	occurrence, step int
	number           int64
}

func (r *activeRun) gangRun() gangRun {
	return gangRun{r.task.Job, r.task.Occurrence, r.task.Step, r.number}
}

func (f *Fleet) addToGang(w *Worker, r *activeRun) {
	members := f.gangs[r.gangRun()]
	if members == nil {
		members = map[*activeRun]*Worker{}
		f.gangs[r.gangRun()] = members
	}
	members[r] = w
}

func (f *Fleet) removeFromGang(r *activeRun) {
	if members := f.gangs[r.gangRun()]; members != nil {
		delete(members, r)
		if len(members) == 0 {
			delete(f.gangs, r.gangRun())
		}
	}
}

// gangMemberStarted starts the work of a gang once all its members have started, and
// ends a member whose gang is incomplete after gangStartTimeout.
func (f *Fleet) gangMemberStarted(r *activeRun) {
	if members := f.gangs[r.gangRun()]; len(members) == r.gangSize {
		for m, w := range members {
			w.beginWork(m)
		}
		return
	}
	time.AfterFunc(gangStartTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w := f.gangs[r.gangRun()][r]; w != nil && r.workingSince.IsZero() {
			w.end(r, fleet.EndGangIncomplete)
		}
	})
}

// endGang ends a run and, with it, the other members of its gang.
func (f *Fleet) endGang(w *Worker, r *activeRun, reason fleet.EndReason) {
	if w.runs[r.task] != r {
		return
	}
	w.end(r, reason)
	if r.gangSize <= 1 {
		return
	}
	switch {
	case reason == fleet.EndDone, reason == fleet.EndFailed && r.outcome.GangFails:
		f.endMembers(r, reason)
	default:
		f.endMembers(r, fleet.EndGangBroken)
	}
}

// endMembers ends the current members of a gang of which a member has ended.
func (f *Fleet) endMembers(r *activeRun, reason fleet.EndReason) {
	for m, w := range f.gangs[r.gangRun()] {
		w.end(m, reason)
	}
}

var errNoAnswer = errors.New("no answer")

// wrongID reports whether a call is meant for another worker.
func (w *Worker) wrongID(instance string) bool { return instance != "" && instance != w.entry.ID }

// reachWorker waits for the delay of a call and returns the worker at an address. The
// caller must not hold the lock.
func (f *Fleet) reachWorker(ctx context.Context, address string) (*Worker, error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	w := f.workers[address]
	unreachable := w == nil || w.unreachable || w.dead
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errkind.Wrap(errNoAnswer, errkind.Timeout, "worker %s", address)
	}
	return w, nil
}

// deliverOrder carries out an order, subject to the faults of the worker.
func (f *Fleet) deliverOrder(ctx context.Context, address, instance string, carryOut func(w *Worker) fleet.Verdict) (fleet.OrderReply, error) {
	w, err := f.reachWorker(ctx, address)
	if err != nil {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, err
	}
	f.mu.Lock()
	if w.wrongID(instance) {
		f.mu.Unlock()
		return fleet.OrderReply{Verdict: fleet.OtherIncarnation}, nil
	}
	if w.lateOrders > 0 {
		w.lateOrders--
		incarnation := w.entry.Incarnation
		time.AfterFunc(w.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.entry.Incarnation == incarnation { // an order is lost with the process that received it
				carryOut(w)
			}
		})
		f.mu.Unlock()
		<-ctx.Done()
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errNoAnswer
	}
	if w.loseAnswers == 0 && w.refuseOrders > 0 {
		w.refuseOrders--
		f.mu.Unlock()
		return fleet.OrderReply{Verdict: fleet.Unhealthy}, nil
	}
	verdict := carryOut(w)
	reply := fleet.OrderReply{Verdict: verdict, ClockMS: w.clockMS()}
	lost := w.loseAnswers > 0
	if lost {
		w.loseAnswers--
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errNoAnswer
	}
	return reply, nil
}

// Start implements fleet.WorkerClient.
func (f *Fleet) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	f.mu.Lock()
	if w := f.workers[address]; w != nil {
		f.checkEvacuation(w, o.Task)
	}
	f.mu.Unlock()
	return f.deliverOrder(ctx, address, instance, func(w *Worker) fleet.Verdict { return w.start(o) })
}

// Stop implements fleet.WorkerClient.
func (f *Fleet) Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (fleet.OrderReply, error) {
	return f.deliverOrder(ctx, address, instance, func(w *Worker) fleet.Verdict { return w.stop(task, run, token) })
}

// RenewLease implements fleet.WorkerClient.
func (f *Fleet) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	w, err := f.reachWorker(ctx, address)
	if err != nil {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, err
	}
	f.mu.Lock()
	if w.wrongID(instance) {
		f.mu.Unlock()
		return fleet.RenewLeaseReply{}, fleet.OtherIncarnation, nil
	}
	verdict := w.renewLease(r)
	waits := r.MaxWait > 0 && len(w.ended) == 0
	changed, incarnation := w.changed, w.entry.Incarnation
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
			return fleet.RenewLeaseReply{}, fleet.Unanswered, errNoAnswer
		}
	}
	f.mu.Lock()
	if w.entry.Incarnation != incarnation && !w.dead {
		f.mu.Unlock()
		<-ctx.Done() // nothing closes a connection to a process that lost power
		return fleet.RenewLeaseReply{}, fleet.Unanswered, errNoAnswer
	}
	defer f.mu.Unlock()
	if w.unreachable || w.dead || w.wrongID(instance) {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, errNoAnswer // the polled process has ended
	}
	return w.leaseReply(), fleet.Accepted, nil
}

// Throttle implements fleet.WorkerClient. It has no effect, since emulated tasks do
// not slow each other down.
func (f *Fleet) Throttle(ctx context.Context, address, instance string, o fleet.ThrottleOrder) (fleet.OrderReply, error) {
	return f.deliverOrder(ctx, address, instance, func(w *Worker) fleet.Verdict {
		if o.Token < w.token {
			return fleet.Fenced
		}
		return fleet.Accepted
	})
}
