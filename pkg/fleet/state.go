package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// phase is what the owner knows of a run.
type phase int

const (
	planned  phase = iota // the assignment is being written
	starting              // the order is queued or on its way
	running               // the worker has confirmed it
	stopping              // a stop was ordered; the end is awaited
	settling              // unknown: a stop and a look decide whether it was started
)

// run is a start of a task that has not ended for certain.
type run struct {
	group      *group
	index      int
	number     int64
	worker     *worker
	phase      phase
	demand     workload.Resources
	percent    int
	progressAt time.Duration // when percent last rose
	startedAt  time.Duration // when the worker confirmed it
	missing    int           // looks in a row that did not list it
	barred     bool          // a stop was ordered
	orderedAt  time.Duration // when its start was first sent, or taken over from a former owner
	unanswered bool          // a try of its start was not answered
	tail       time.Duration // tail latency of a service task
	pace       int           // percent at which a filler works
	listedAt   time.Duration // when the worker last listed it
	planned    planMark      // of a run that is not part of a gang
}

// planMark is the position of a victim in the snapshot of a cycle.
type planMark struct {
	cycle int64
	index int
}

// group is a step of a job in one occurrence.
type group struct {
	job        *job
	occurrence int
	step       int
	runs       map[int]*run // by index of the task
	done       int
	failedRun  int64           // newest run number whose failure was counted
	avoid      map[string]bool // workers on which it failed
	notedAt    time.Duration   // when its waiting was last logged
	shunnedAt  time.Duration   // when avoid last grew
	readySince time.Duration
	ready      bool
	spread     bool // runs on several racks although it wants one
	advice     *advice
	planned    planMark // of a gang
}

func (g *group) spec() *workload.Step { return &g.job.Steps[g.step] }

func (g *group) tasks() []workload.Task { return g.job.progress.StepTasks(g.occurrence, g.step) }

func (g *group) taskID(index int) workload.TaskID {
	return workload.TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: index}
}

// exhausted reports whether a task with so many failed runs is given up.
func (g *group) exhausted(failures int) bool {
	return failures >= g.job.Class.MaxAttempts && !g.spec().LongRunning
}

// shun keeps the group away from a worker for a while.
func (g *group) shun(w *worker, now time.Duration) {
	g.avoid[w.ID], g.shunnedAt = true, now
}

// complete reports whether all tasks have ended successfully.
func (g *group) complete() bool { return g.done == g.spec().Tasks }

// job is an accepted job with its progress.
type job struct {
	*workload.Job
	progress *workload.Progress
	groups   []*group // by occurrence, then step
	version  int64    // version of the progress key; 0 if absent
	shown    workload.State
	firstAt  time.Duration // owner's clock when it was accepted

	cancelRequested bool
	giveUp          workload.State // final state that the next cycle gives it

	changed   int64    // counts changes of the progress
	committed int64    // the change that the store holds
	writing   bool     // a batch with it is on its way to the store
	after     []func() // run under the lock once the present change is stored
}

func (j *job) group(occurrence, step int) *group {
	if occurrence < 0 || occurrence >= j.Occurrences() || step < 0 || step >= len(j.Steps) {
		return nil
	}
	return j.groups[occurrence*len(j.Steps)+step]
}

// active reports whether any run of the job has not ended.
func (j *job) active() bool {
	for _, g := range j.groups {
		if len(g.runs) > 0 {
			return true
		}
	}
	return false
}

func newJob(j *workload.Job, p *workload.Progress) *job {
	out := &job{Job: j, progress: p, shown: p.State}
	for k := range j.Occurrences() {
		for s := range j.Steps {
			g := &group{job: out, occurrence: k, step: s, runs: map[int]*run{}, avoid: map[string]bool{}}
			for _, t := range p.StepTasks(k, s) {
				if t.Phase == workload.Done {
					g.done++
				}
				if g.exhausted(t.Failures) {
					out.giveUp = workload.Failed
				}
			}
			out.groups = append(out.groups, g)
		}
	}
	return out
}

// unackedEnd is an end whose durable note has to come before its acknowledgement.
type unackedEnd struct {
	number int64
	job    *job
	change int64
}

// worker is the owner's view of one worker.
type worker struct {
	WorkerEntry
	listed     bool          // the store has its entry
	cordoned   bool          // its machine is due for upkeep or leaves the pool
	idleAt     time.Duration // since when it has had no run; 0 if never looked at
	drainSince time.Duration
	runs       map[*run]struct{}

	contacted   bool // this life has answered under the present token
	clockMS     int64
	clockAt     time.Duration // when clockMS was received
	maxDeadline int64         // newest lease end sent, on the worker's clock
	unknownTill time.Duration // runs of a former owner have lapsed by then
	answeredAt  time.Duration
	lifeSince   time.Duration // when this life became known

	endSeen int64
	ackTo   int64
	unacked []unackedEnd
	ackDue  bool          // the worker has not yet been told of ackTo
	acked   chan struct{} // closed and replaced when ackTo rises

	failing     int             // calls in a row without an answer
	backoffTill time.Duration   // takes no new starts before
	strikes     map[string]bool // jobs that failed here since the last success
	struckAt    time.Duration

	orders  chan order
	poke    chan struct{}
	stopped bool
}

// used is what the worker's runs take of its capacity.
func (w *worker) used() (all, beingStopped workload.Resources) {
	for r := range w.runs {
		all = all.Add(r.demand)
		if r.phase == stopping || r.phase == settling {
			beingStopped = beingStopped.Add(r.demand)
		}
	}
	return all, beingStopped
}

// lapsedBy returns when everything on a silent worker has lapsed for certain.
func (w *worker) lapsedBy() time.Duration {
	if !w.contacted {
		return w.unknownTill
	}
	left := time.Duration(max(0, w.maxDeadline-w.clockMS)) * time.Millisecond
	return max(w.unknownTill, w.clockAt+time.Duration(float64(left)/(1-clockSlack)))
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}
