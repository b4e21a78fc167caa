package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// phase is what the owner knows of a run.
type runPhase int

const (
	phasePlanned   runPhase = iota // the assignment is being written
	phaseStarting                  // the order is queued or on its way
	phaseRunning                   // the worker has confirmed it
	phaseStopping                  // a stop was ordered; the end is awaited
	phaseUncertain                 // unknown: a stop and a look decide whether it was started
)

// run is a start of a task that has not ended for certain.
type run struct {
	group           *taskGroup
	index           int
	number          int64
	worker          *worker
	phase           runPhase
	demand          workload.Resources
	progressPercent int
	progressAt      time.Duration  // when percent last rose
	startedAt       time.Duration  // when the worker confirmed it
	missingReplies  int            // looks in a row that did not list it
	stopOrdered     bool           // a stop was ordered
	startSentAt     time.Duration  // when its start was first sent, or taken over from a former owner
	startUnanswered bool           // a try of its start was not answered
	tailLatency     time.Duration  // tail latency of a service task
	throttlePercent int            // percent at which a filler works
	lastListedAt    time.Duration  // when the worker last listed it
	victimPos       victimPosition // of a run that is not part of a gang
}

// planMark is the position of a victim in the snapshot of a cycle.
type victimPosition struct {
	cycle int64
	index int
}

// group is a step of a job in one occurrence.
type taskGroup struct {
	job             *job
	occurrence      int
	step            int
	runs            map[int]*run // by index of the task
	doneTasks       int
	lastFailedRun   int64           // newest run number whose failure was counted
	excludedWorkers map[string]bool // workers on which it failed
	waitLoggedAt    time.Duration   // when its waiting was last logged
	excludedAt      time.Duration   // when avoid last grew
	readySince      time.Duration
	ready           bool
	multiRack       bool // runs on several racks although it wants one
	advice          *adviceState
	victimPos       victimPosition // of a gang
}

func (g *taskGroup) spec() *workload.Step { return &g.job.Steps[g.step] }

func (g *taskGroup) tasks() []workload.Task { return g.job.progress.StepTasks(g.occurrence, g.step) }

func (g *taskGroup) taskID(index int) workload.TaskID {
	return workload.TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: index}
}

// exhausted reports whether a task with so many failed runs is given up.
func (g *taskGroup) attemptsExhausted(failures int) bool {
	return failures >= g.job.Class.MaxAttempts && !g.spec().LongRunning
}

// shun keeps the group away from a worker for a while.
func (g *taskGroup) exclude(w *worker, now time.Duration) {
	g.excludedWorkers[w.ID], g.excludedAt = true, now
}

// complete reports whether all tasks have ended successfully.
func (g *taskGroup) complete() bool { return g.doneTasks == g.spec().Tasks }

// job is an accepted job with its progress.
type job struct {
	*workload.Job
	progress        *workload.Progress
	groups          []*taskGroup // by occurrence, then step
	progressVersion int64        // version of the progress key; 0 if absent
	storedState     workload.State
	acceptedAt      time.Duration // owner's clock when it was accepted

	cancelRequested   bool
	pendingFinalState workload.State // final state that the next cycle gives it

	changeSeq     int64    // counts changes of the progress
	committedSeq  int64    // the change that the store holds
	writeInFlight bool     // a batch with it is on its way to the store
	afterCommit   []func() // run under the lock once the present change is stored
}

func (j *job) group(occurrence, step int) *taskGroup {
	if occurrence < 0 || occurrence >= j.Occurrences() || step < 0 || step >= len(j.Steps) {
		return nil
	}
	return j.groups[occurrence*len(j.Steps)+step]
}

// active reports whether any run of the job has not ended.
func (j *job) hasRuns() bool {
	for _, g := range j.groups {
		if len(g.runs) > 0 {
			return true
		}
	}
	return false
}

func newJob(j *workload.Job, p *workload.Progress) *job {
	out := &job{Job: j, progress: p, storedState: p.State}
	for k := range j.Occurrences() {
		for s := range j.Steps {
			g := &taskGroup{job: out, occurrence: k, step: s, runs: map[int]*run{}, excludedWorkers: map[string]bool{}}
			for _, t := range p.StepTasks(k, s) {
				if t.Phase == workload.Done {
					g.doneTasks++
				}
				if g.attemptsExhausted(t.Failures) {
					out.pendingFinalState = workload.Failed
				}
			}
			out.groups = append(out.groups, g)
		}
	}
	return out
}

// unackedEnd is an end whose durable note has to come before its acknowledgement.
type unackedEnd struct {
	sequence  int64
	job       *job
	changeSeq int64
}

// worker is the owner's view of one worker.
type worker struct {
	WorkerEntry
	listed        bool          // the store has its entry
	cordoned      bool          // its machine is due for upkeep or leaves the pool
	idleSince     time.Duration // since when it has had no run; 0 if never looked at
	drainingSince time.Duration
	runs          map[*run]struct{}

	contacted        bool // this life has answered under the present token
	clockMS          int64
	clockReadAt      time.Duration // when clockMS was received
	maxDeadlineMS    int64         // newest lease end sent, on the worker's clock
	priorExpiry      time.Duration // runs of a former owner have lapsed by then
	lastAnswerAt     time.Duration
	incarnationSince time.Duration // when this life became known

	lastEndSeq  int64
	ackThrough  int64
	unackedEnds []unackedEnd
	ackDue      bool          // the worker has not yet been told of ackTo
	ackAdvanced chan struct{} // closed and replaced when ackTo rises

	failedCalls   int             // calls in a row without an answer
	backoffUntil  time.Duration   // takes no new starts before
	failedJobs    map[string]bool // jobs that failed here since the last success
	lastFailureAt time.Duration

	orders  chan order
	wake    chan struct{}
	stopped bool
}

// used is what the worker's runs take of its capacity.
func (w *worker) usage() (all, beingStopped workload.Resources) {
	for r := range w.runs {
		all = all.Add(r.demand)
		if r.phase == phaseStopping || r.phase == phaseUncertain {
			beingStopped = beingStopped.Add(r.demand)
		}
	}
	return all, beingStopped
}

// lapsedBy returns when everything on a silent worker has lapsed for certain.
func (w *worker) leaseExpiredBy() time.Duration {
	if !w.contacted {
		return w.priorExpiry
	}
	left := time.Duration(max(0, w.maxDeadlineMS-w.clockMS)) * time.Millisecond
	return max(w.priorExpiry, w.clockReadAt+time.Duration(float64(left)/(1-maxClockDrift)))
}

// clockNow estimates the worker's clock.
func (w *worker) estimatedClockMS(now time.Duration) int64 {
	return w.clockMS + (now - w.clockReadAt).Milliseconds()
}
