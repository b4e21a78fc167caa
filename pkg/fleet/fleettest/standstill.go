package fleettest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// StandstillThreshold is how long a job may have nothing running, although a task's turn
// has come and capacity is free, by the users' rules.
const StandstillThreshold = 3 * time.Second

const (
	// capacityFactor is the multiple of a task's, or a gang's, demand that must be free
	// for a job to count as standing still.
	capacityFactor = 2
	// maxUsedShare is the share of the fleet's capacity in use from which no job counts
	// as standing still.
	maxUsedShare = 0.5
)

// Standstill is an interval in which a job had nothing running, although a task's turn had
// come, there was capacity for it twice over and under half of the fleet was in use.
type Standstill struct {
	Job, Queue, Workspace string
	Occurrence, Step      int // whose tasks could run when the interval began
	From, To              time.Time
	Open                  bool // it lasted at the last observation
	Starts                int  // runs of the job so far
	Tasks                 int  // tasks of the step that wait
	Gang, SameRack        bool
	// RackGangs is, for a gang that prefers one rack, how many such gangs the racks could
	// hold, each on one rack: the minimum over the interval, at most capacityFactor.
	RackGangs int
	Others    int                // most other jobs that stood still, beyond the threshold, at the same time
	Slots     int                // tasks of the step for which capacity was free when the threshold was reached
	Free      workload.Resources // free on usable workers when the threshold was reached
	UsedShare float64            // largest share of a resource of the fleet in use within the interval
}

// Duration returns the length of the interval.
func (s Standstill) Duration() time.Duration { return s.To.Sub(s.From) }

// RackBound reports whether no more than one such gang would have fitted on single racks.
func (s Standstill) RackBound() bool { return s.SameRack && s.RackGangs < capacityFactor }

func (s Standstill) String() string {
	return fmt.Sprintf("job %s of queue %q, workspace %q: nothing ran for %v from %s, step %d.%d could run: %d tasks, gang %v, same rack %v (gangs that fit on one rack: %d), "+
		"%d runs so far, %d others, %d slots, free %+v, %.0f%% of the fleet in use, lasts %v",
		s.Job, s.Queue, s.Workspace, s.Duration(), s.From.Format("15:04:05.000"), s.Occurrence, s.Step, s.Tasks, s.Gang, s.SameRack, s.RackGangs,
		s.Starts, s.Others, s.Slots, s.Free, 100*s.UsedShare, s.Open)
}

// Accepted marks a registered job as accepted: it may count as standing still from now on.
func (f *Fleet) Accepted(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs[id] != nil {
		f.ledger.open[id] = true
	}
}

// Cancelled marks a job as cancelled or otherwise given up, so that it no longer counts as
// standing still.
func (f *Fleet) Cancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ledger.open, id)
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepOfTask(t workload.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// ledger records what is known of the jobs apart from their current runs.
type ledger struct {
	open   map[string]bool // accepted jobs that have not been seen to end
	starts map[string]int  // by job
	// done holds the tasks with a successful end that is acknowledged or that its worker
	// still lists.
	done         map[stepKey]map[int]bool
	acked        map[stepKey]int         // number of tasks with an acknowledged successful end
	failures     map[stepKey]map[int]int // by task; a gang counts under index 0
	lastFailure  map[stepKey]int64       // run number of the last failure of a gang
	outOfRetries map[string]bool         // jobs with a task that has used all its attempts
}

func newLedger() ledger {
	return ledger{
		open: map[string]bool{}, starts: map[string]int{}, done: map[stepKey]map[int]bool{}, acked: map[stepKey]int{},
		failures: map[stepKey]map[int]int{}, lastFailure: map[stepKey]int64{}, outOfRetries: map[string]bool{},
	}
}

func (l *ledger) recordEnd(r *activeRun, j *workload.Job, step *workload.Step, reason fleet.EndReason) {
	key := stepOfTask(r.task)
	switch {
	case step.LongRunning:
	case reason == fleet.EndDone:
		if l.done[key] == nil {
			l.done[key] = map[int]bool{}
		}
		l.done[key][r.task.Index] = true
	case reason == fleet.EndFailed:
		index := r.task.Index
		if step.Gang {
			if l.lastFailure[key] == r.number {
				return
			}
			l.lastFailure[key], index = r.number, 0
		}
		if l.failures[key] == nil {
			l.failures[key] = map[int]int{}
		}
		l.failures[key][index]++
		if l.failures[key][index] >= max(1, j.Class.MaxAttempts) {
			l.outOfRetries[j.ID] = true
		}
	}
}

// recordCrash forgets the successful ends that only the crashed worker knew.
func (l *ledger) recordCrash(w *Worker, acked map[workload.TaskID]bool) {
	for _, e := range w.ended {
		if e.Reason == fleet.EndDone && !acked[e.Task] {
			delete(l.done[stepOfTask(e.Task)], e.Task.Index)
		}
	}
}

// stepDone reports whether all tasks of a step have ended successfully.
func (l *ledger) stepDone(key stepKey, step *workload.Step) bool {
	return allDone(len(l.done[key]), step)
}

// stepAcked reports whether in addition these ends are acknowledged.
func (l *ledger) stepAcked(key stepKey, step *workload.Step) bool {
	return allDone(l.acked[key], step)
}

// allDone reports whether n tasks with a successful end are all tasks of a step; one end
// counts for all tasks of a gang.
func allDone(n int, step *workload.Step) bool {
	return n >= step.Tasks || (step.Gang && n > 0)
}

// StandstillDetector observes a fleet and finds jobs that stand still. It does not apply
// the users' stricter rule for each long-running task. The lock of the fleet guards its
// state.
type StandstillDetector struct {
	fleet     *Fleet
	threshold time.Duration
	current   map[string]*Standstill // by job: the conditions have held since its From
	found     []Standstill           // that ended
}

// NewStandstillDetector returns a detector of intervals of at least the threshold.
func (f *Fleet) NewStandstillDetector(threshold time.Duration) *StandstillDetector {
	return &StandstillDetector{fleet: f, threshold: threshold, current: map[string]*Standstill{}}
}

// Run observes the fleet at an interval until ctx is done.
func (d *StandstillDetector) Run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.Observe()
		case <-ctx.Done():
			return
		}
	}
}

// Standstills returns what was found so far, including intervals that last, by their
// begin.
func (d *StandstillDetector) Standstills() []Standstill {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	all := slices.Clone(d.found)
	for _, s := range d.current {
		if s.Duration() >= d.threshold {
			open := *s
			open.Open = true
			all = append(all, open)
		}
	}
	slices.SortFunc(all, func(a, b Standstill) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Job, b.Job)) })
	return all
}

// Observe looks at the fleet once. The conditions of an interval have to hold at each
// observation within it.
func (d *StandstillDetector) Observe() {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	view := f.view()
	standing := map[string]bool{}
	if view.usedShare < maxUsedShare {
		for id := range f.ledger.open {
			if !view.jobRuns[id] && d.observeJob(f.jobs[id], view, now) {
				standing[id] = true
			}
		}
	}
	for id, s := range d.current {
		if !standing[id] {
			if s.Duration() >= d.threshold {
				d.found = append(d.found, *s)
			}
			delete(d.current, id)
		}
	}
	d.countOthers()
}

// observeJob starts or extends the interval of a job of which nothing runs. It returns
// false if the job does not stand still.
func (d *StandstillDetector) observeJob(j *workload.Job, view *fleetView, now time.Time) bool {
	f := d.fleet
	key, finished, ok := f.runnableStep(j, view, now)
	if finished || f.ledger.outOfRetries[j.ID] {
		delete(f.ledger.open, j.ID)
	}
	if !ok {
		return false
	}
	s := d.current[j.ID]
	if s == nil {
		step := &j.Steps[key.step]
		s = &Standstill{
			Job: j.ID, Queue: j.Queue, Workspace: j.Workspace, Occurrence: key.occurrence, Step: key.step, From: now, To: now,
			Tasks: step.Tasks, Gang: step.Gang, SameRack: step.Gang && step.SameRack, RackGangs: capacityFactor,
		}
		d.current[j.ID] = s
	}
	step := &j.Steps[s.Step]
	before := s.Duration()
	s.To, s.Starts, s.UsedShare = now, f.ledger.starts[j.ID], max(s.UsedShare, view.usedShare)
	if s.SameRack {
		s.RackGangs = min(s.RackGangs, view.rackGangs(step))
	}
	if before < d.threshold && s.Duration() >= d.threshold {
		s.Slots, s.Free = view.slots(step, -1), view.free
	}
	return true
}

// countOthers updates the number of other jobs that stand still beyond the threshold.
func (d *StandstillDetector) countOthers() {
	n := 0
	for _, s := range d.current {
		if s.Duration() >= d.threshold {
			n++
		}
	}
	for _, s := range d.current {
		if s.Duration() >= d.threshold {
			s.Others = max(s.Others, n-1)
		}
	}
}

// runnableStep returns the first step of a job of which a task's turn has come and for
// which there is enough capacity; finished reports whether all ends of the job are
// acknowledged.
func (f *Fleet) runnableStep(j *workload.Job, view *fleetView, now time.Time) (found stepKey, finished, ok bool) {
	finished = true
	for occurrence := range j.Occurrences() {
		due := j.DueUnixMS(occurrence) <= now.UnixMilli()
		for n := range j.Steps {
			key, step := stepKey{j.ID, occurrence, n}, &j.Steps[n]
			finished = finished && f.ledger.stepAcked(key, step)
			if f.ledger.stepDone(key, step) {
				continue
			}
			if due && f.dependenciesKnownDone(j, key, view) && view.hasCapacity(step) {
				return key, false, true
			}
		}
	}
	return stepKey{}, finished, false
}

// dependenciesKnownDone reports whether the steps before a step are done and an owner that
// reaches all reachable workers can know it.
func (f *Fleet) dependenciesKnownDone(j *workload.Job, key stepKey, view *fleetView) bool {
	for _, n := range j.Steps[key.step].After {
		earlier, step := stepKey{key.job, key.occurrence, n}, &j.Steps[n]
		if !f.ledger.stepDone(earlier, step) {
			return false
		}
		known := f.ledger.acked[earlier] > 0 || view.listedEnds[earlier]
		if view.hiddenEnds[earlier] && (!step.Gang || !known) {
			return false
		}
	}
	return true
}

// fleetView is the state of the fleet at one observation.
type fleetView struct {
	usable     []usableWorker
	racks      int
	jobRuns    map[string]bool  // jobs with runs
	hiddenEnds map[stepKey]bool // steps with an unacknowledged successful end on an unreachable worker
	listedEnds map[stepKey]bool // steps with such an end on a reachable worker
	usedShare  float64          // in the scarcest resource
	free       workload.Resources
}

// usableWorker is a worker that should accept tasks.
type usableWorker struct {
	labels []string
	rack   int
	free   workload.Resources
}

// view returns the current state of the fleet; the lock is held.
func (f *Fleet) view() *fleetView {
	v := &fleetView{jobRuns: map[string]bool{}, hiddenEnds: map[stepKey]bool{}, listedEnds: map[stepKey]bool{}}
	racks := map[string]int{}
	var capacity, used workload.Resources
	for _, w := range f.workers {
		v.addEnds(w, f.doneAcked)
		if w.dead || w.removed {
			continue
		}
		for task := range w.runs {
			v.jobRuns[task.Job] = true
		}
		if _, evacuated := f.evacuations.ackedAt[w.entry.Zone]; evacuated {
			continue
		}
		usage := w.usage()
		capacity, used = capacity.Add(w.entry.Capacity), used.Add(usage)
		if w.unreachable || w.entry.Draining || w.failAll || w.hang {
			continue
		}
		rack, ok := racks[w.entry.Rack]
		if !ok {
			rack = len(racks)
			racks[w.entry.Rack] = rack
		}
		free := w.entry.Capacity.Sub(usage)
		v.usable = append(v.usable, usableWorker{labels: w.entry.Labels, rack: rack, free: free})
		v.free = v.free.Add(free)
	}
	v.racks = len(racks)
	for _, share := range [][2]int64{{used.MilliCPU, capacity.MilliCPU}, {used.MemoryMiB, capacity.MemoryMiB}, {used.Accelerators, capacity.Accelerators}} {
		v.usedShare = max(v.usedShare, float64(share[0])/float64(max(1, share[1])))
	}
	return v
}

func (v *fleetView) addEnds(w *Worker, acked map[workload.TaskID]bool) {
	for _, e := range w.ended {
		if e.Reason != fleet.EndDone || acked[e.Task] {
			continue
		}
		if w.unreachable || w.dead {
			v.hiddenEnds[stepOfTask(e.Task)] = true
		} else {
			v.listedEnds[stepOfTask(e.Task)] = true
		}
	}
}

// hasCapacity reports whether a step's tasks, the whole gang or a single task, fit
// capacityFactor times.
func (v *fleetView) hasCapacity(step *workload.Step) bool {
	needed := capacityFactor
	if step.Gang {
		needed *= step.Tasks
	}
	return v.slots(step, needed) >= needed
}

// slots returns how many tasks of a step fit on the usable workers. It stops counting at
// enough, unless that is negative.
func (v *fleetView) slots(step *workload.Step, enough int) int {
	n := 0
	for i := range v.usable {
		if enough >= 0 && n >= enough {
			break
		}
		n += v.usable[i].copies(step)
	}
	return n
}

// rackGangs returns how many gangs of a step fit, each on one rack, but at most
// capacityFactor.
func (v *fleetView) rackGangs(step *workload.Step) int {
	slots := make([]int, v.racks)
	for i := range v.usable {
		slots[v.usable[i].rack] += v.usable[i].copies(step)
	}
	gangs := 0
	for _, n := range slots {
		gangs += n / step.Tasks
	}
	return min(gangs, capacityFactor)
}

// copies returns how many tasks of a step fit on the worker.
func (w *usableWorker) copies(step *workload.Step) int {
	if step.RequiredLabel != "" && !slices.Contains(w.labels, step.RequiredLabel) {
		return 0
	}
	demand, n := step.Demand(), int64(capacityFactor*step.Tasks)
	if step.MaxPerWorker > 0 {
		n = min(n, int64(step.MaxPerWorker))
	}
	for _, pair := range [][2]int64{{demand.MilliCPU, w.free.MilliCPU}, {demand.MemoryMiB, w.free.MemoryMiB}, {demand.Accelerators, w.free.Accelerators}} {
		if pair[0] > 0 {
			n = min(n, max(0, pair[1])/pair[0])
		}
	}
	return int(n)
}
