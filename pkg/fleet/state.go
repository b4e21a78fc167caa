package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/workerspeed"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// runPhase is what the owner knows about a run.
type runPhase int

const (
	phasePlanned   runPhase = iota // the assignment is not in the store yet
	phaseStarting                  // the start order is queued or in flight
	phaseRunning                   // the worker has confirmed the run
	phaseStopping                  // a stop was ordered; the end has not been reported yet
	phaseUncertain                 // unknown whether it was started; a stop order and the worker's next list of runs decide
)

// run is one start of a task that is not yet known to have ended.
type run struct {
	group           *taskGroup
	index           int
	number          int64
	worker          *worker
	phase           runPhase
	phaseSince      time.Duration // when phase was last set
	demand          workload.Resources
	progressPercent int
	progressAt      time.Duration  // when progressPercent last rose
	startedAt       time.Duration  // when the worker confirmed the run
	adopted         bool           // from a former owner; startedAt is estimated from its progress
	missedPolls     int            // consecutive polls of the worker that did not list the run
	stopOrdered     bool           // a stop order was queued or sent
	startSentAt     time.Duration  // when its start was first sent; an upper bound if it is adopted
	startUnanswered bool           // at least one send of its start order was not answered
	tailLatency     time.Duration  // reported by a service task
	throttlePercent int            // percent of full speed that a filler may use
	lastListedAt    time.Duration  // when the worker last listed the run
	victimPos       victimPosition // of a run outside a gang
	speed           runSpeed
}

// victimPosition is the index of a preemption candidate in the snapshot of one
// placement cycle.
type victimPosition struct {
	cycle int64
	index int
}

// taskGroup holds the tasks of one step in one occurrence of a job.
type taskGroup struct {
	job             *job
	occurrence      int
	step            int
	runs            map[int]*run // by task index; nil before the first
	doneTasks       int
	excludedWorkers map[string]bool   // workers on which a task of the group failed; nil before the first
	waitLoggedAt    time.Duration     // when its wait for capacity was last logged
	excludedAt      time.Duration     // when a worker was last added to excludedWorkers
	failureRacks    map[string]string // rack of each worker on which a task of the group failed; nil if there is none
	suspect         bool              // its failures do not count against workers
	readySince      time.Duration
	stopsWait       time.Duration // time since readySince in which it waited for stops
	stopsWaitFrom   time.Duration // since when it has waited for stops; 0 if it does not
	ready           bool
	multiRack       bool               // placed on several racks although it prefers one
	gangSpeed       float64            // of a gang: speed of its slowest worker when it was placed; 0 if unknown
	speedSampleRun  int64              // run of the gang that was last a sample
	runTimes        *workerspeed.Group // for the comparison of workers; nil if there are none
	advice          *adviceState
	ticketRefused   bool           // a worker has refused a start for want of a ticket
	victimPos       victimPosition // of a gang as a whole
	planned         planResult
	refusal         Verdict               // of the latest start that was not accepted
	lastRanAt       map[int]time.Duration // of a long-running step: by task, when it was last known to be running
}

func (g *taskGroup) spec() *workload.Step { return &g.job.Steps[g.step] }

func (g *taskGroup) tasks() []workload.Task { return g.job.progress.StepTasks(g.occurrence, g.step) }

func (g *taskGroup) taskID(index int) workload.TaskID {
	return workload.TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: index}
}

// attemptsExhausted reports whether a task with this many failed runs is not retried
// any more.
func (g *taskGroup) attemptsExhausted(failures int) bool {
	return failures >= g.job.Class.MaxAttempts && !g.spec().LongRunning
}

// exclude keeps new tasks of the group off a worker for a while.
func (g *taskGroup) exclude(w *worker, now time.Duration) {
	if g.excludedWorkers == nil {
		g.excludedWorkers = map[string]bool{}
	}
	g.excludedWorkers[w.ID], g.excludedAt = true, now
}

// addRun adds a run of a task that has none.
func (g *taskGroup) addRun(r *run) {
	if g.runs == nil {
		g.runs = map[int]*run{}
	}
	g.runs[r.index] = r
	r.worker.runs[r] = struct{}{}
}

// dependenciesDone reports whether all steps that the group's step depends on are complete.
func (g *taskGroup) dependenciesDone() bool {
	for _, earlier := range g.spec().After {
		if !g.job.group(g.occurrence, earlier).complete() {
			return false
		}
	}
	return true
}

// complete reports whether all tasks of the group have succeeded.
func (g *taskGroup) complete() bool { return g.doneTasks == g.spec().Tasks }

// job is an accepted job together with its progress.
type job struct {
	*workload.Job
	progress        *workload.Progress
	open            []*occurrence  // by number
	nextOccurrence  int            // the occurrences before it have begun
	dormant         bool           // in the owner's heap of dormant jobs
	dormantIndex    int            // index there
	dormantUntil    int64          // its next due time, Unix milliseconds
	progressVersion int64          // version of the progress key; 0 if absent
	storedState     workload.State // state in the stored progress record
	acceptedAt      time.Duration  // on the owner's clock
	outcomeRecorded bool           // it is counted as served or not among its kind
	preemptions     int            // decisions that stopped runs of the job for urgent work; at takeover an upper bound
	lastRanAt       time.Duration  // when a run of the job was last known to be running; the takeover for an adopted job

	cancelRequested   bool
	pendingFinalState workload.State // final state to set in the next cycle; empty if none

	unsavedSince     time.Duration // since when the progress record lacks settled starts or ages of starts; 0 if it does not
	changeSeq        int64         // number of changes of the progress
	committedSeq     int64         // changeSeq of the progress in the store
	writeInFlight    bool          // a batch with this job is being written to the store
	afterCommit      []func()      // callbacks to run under the lock once the current change is stored
	unstoredSince    time.Duration
	unwrittenSince   time.Duration // oldest change after those in the open write; 0 if none
	memory           int64         // bytes of the job with one occurrence
	occurrenceMemory int64         // bytes of each further open occurrence
	reserved         int64         // bytes reserved for it
	conflicts        int           // consecutive conflicts of its progress record

	standingLoggedAt time.Duration
}

// hasRuns reports whether any run of the job is not yet known to have ended.
func (j *job) hasRuns() bool {
	for g := range j.groups() {
		if len(g.runs) > 0 {
			return true
		}
	}
	return false
}

// newJob returns a job with the occurrences that have begun, or its only one.
func newJob(j *workload.Job, p *workload.Progress) *job {
	out := &job{Job: j, progress: p, storedState: p.State, preemptions: p.MaxCompactedStops(), memory: JobMemory(j), occurrenceMemory: occurrenceMemory(j)}
	for _, number := range p.OpenOccurrences() {
		out.openOccurrence(number)
	}
	if !j.HasDueTimes() && p.Untouched(0) {
		out.openOccurrence(0)
	}
	return out
}

// unackedEnd is the end of a run that must be stored before it is acknowledged to the
// worker.
type unackedEnd struct {
	sequence  int64
	job       *job
	changeSeq int64
}

// incarnationState is what the owner knows of one incarnation of a worker.
type incarnationState struct {
	contacted          bool          // it has answered a call with the current fencing token
	clockMS            int64         // its clock, as last reported
	clockReadAt        time.Duration // when clockMS was received, on the owner's clock
	clockDoubtful      bool          // it has refused a start as late since
	maxDeadlineMS      int64         // latest lease end or start deadline sent, on the worker's clock
	maxStartDeadlineMS int64         // latest start deadline sent
	priorExpiry        time.Duration // leases of a former owner and orders to a former incarnation have expired by then

	wholeListSentAt time.Duration // when the newest poll was sent whose reply listed all unacknowledged ends
	cutListSentAt   time.Duration // when the newest poll was sent whose reply may lack some of them
	lastEndSeq      int64
	ackThrough      int64
	unackedEnds     []unackedEnd
	ackDue          bool // ackThrough has not been sent to the worker yet
	// unconfirmedStartAt is when the newest start was sent whose answer has not shown that it
	// was this incarnation that began the run; 0 if there is none.
	unconfirmedStartAt time.Duration
}

// replacedIncarnation is the incarnation of a worker before one that an entry claims.
type replacedIncarnation struct {
	incarnation int64
	state       incarnationState
}

// worker is the owner's view of one worker.
type worker struct {
	WorkerEntry
	listed        bool          // its entry is in the store
	idleSince     time.Duration // since when it has had no runs; 0 if not observed yet
	drainingSince time.Duration
	runs          map[*run]struct{}
	formerDomains []string      // failure domains that earlier entries of its incarnation named
	coldUntil     time.Duration // it is slow before this time, by its entry
	returnsAt     time.Duration // kept for later before this time, after an evacuation

	incarnationState
	incarnationSince    time.Duration // when this incarnation became known
	entryIncarnation    int64         // incarnation that its entry describes
	reportedIncarnation int64         // incarnation of its latest reply; 0 if there is none
	// claimed means that an entry names another incarnation than the one known before, and
	// that no reply has confirmed it: another writer may have left the entry.
	claimed       bool
	machineUnsure bool                 // the claim names another machine as well
	replaced      *replacedIncarnation // the incarnation before the claim; nil if it is not known

	lastAnswerAt time.Duration
	lateReply    bool          // what its latest reply reports may have happened long before
	ackAdvanced  chan struct{} // closed and replaced when ackThrough rises

	unansweredCalls int                      // consecutive calls without an answer
	unansweredSince time.Duration            // when the first of these calls was counted
	backoffUntil    time.Duration            // no new starts before this time
	backoffReason   Verdict                  // why
	failedAt        map[string]time.Duration // by job: its latest failed run here since the last success; without those of suspect groups
	ejections       int                      // consecutive ejections without a success between them
	ejectedUntil    time.Duration            // no new runs before this time, if it is ejected
	ejected         bool                     // see ejectWorst
	speed           float64                  // class of speed, 1 if normal; 0 if unknown or the service is even

	orders         chan order
	awaitingAnswer []order       // put aside until it answers
	contacting     chan struct{} // semaphore: one element while ensureContact calls it
	wake           chan struct{} // wakes the lease renewal loop
	removed        bool          // from the owner's workers; its loops end
}

// recordEndsListed records whether the reply to a poll sent at sentAt listed all
// unacknowledged ends; the lock is held.
func (w *worker) recordEndsListed(reply RenewLeaseReply, sentAt time.Duration) {
	if reply.MoreEnds {
		w.cutListSentAt = max(w.cutListSentAt, sentAt)
	} else {
		w.wholeListSentAt = max(w.wholeListSentAt, sentAt)
	}
}

// endsCut reports whether the worker's newest reply may lack ends; the lock is held.
func (w *worker) endsCut() bool { return w.cutListSentAt > w.wholeListSentAt }

// usage returns the resources of all runs on the worker, and of those that are being
// stopped or may not have been started.
func (w *worker) usage() (all, beingStopped workload.Resources) {
	for r := range w.runs {
		all = all.Add(r.demand)
		if r.phase == phaseStopping || r.phase == phaseUncertain {
			beingStopped = beingStopped.Add(r.demand)
		}
	}
	return all, beingStopped
}

// queuedOrders returns the number of orders that wait for the order loop or for an answer.
func (w *worker) queuedOrders() int { return len(w.orders) + len(w.awaitingAnswer) }

// recordStartDeadline records the deadline of a start order; the lock is held.
func (w *worker) recordStartDeadline(ms int64) {
	w.maxStartDeadlineMS = max(w.maxStartDeadlineMS, ms)
	w.maxDeadlineMS = max(w.maxDeadlineMS, ms)
}

// leaseExpiredBy returns the time by which every run on an unresponsive worker has
// certainly expired, allowing for drift of the worker's clock.
func (w *worker) leaseExpiredBy() time.Duration {
	if !w.contacted {
		return w.priorExpiry
	}
	left := time.Duration(max(0, w.maxDeadlineMS-w.clockMS)) * time.Millisecond
	return max(w.priorExpiry, w.clockReadAt+time.Duration(float64(left)/(1-maxClockDrift)))
}

// earliestClockMS returns the lowest reading of the clock of the known incarnation in an answer
// to a call sent at a time.
func (w *worker) earliestClockMS(sentAt time.Duration) int64 {
	passed := sentAt - w.clockReadAt
	if passed > 0 {
		passed = time.Duration(float64(passed) * (1 - maxClockDrift))
	}
	return w.clockMS + passed.Milliseconds() - clockReadingMargin.Milliseconds()
}

// ackToSend returns through which end the next poll acknowledges. If the worker may have started
// anew, its new process would forget ends of its own that nobody has read, so it is none: they
// count from 1 again in each incarnation.
func (w *worker) ackToSend() int64 {
	if w.unansweredCalls > 0 || w.unconfirmedStartAt > 0 {
		return 0
	}
	return w.ackThrough
}

// clockKnown reports whether the current incarnation has answered this owner, and has not shown
// since that the estimate of its clock is wrong.
func (w *worker) clockKnown() bool { return w.contacted && !w.clockDoubtful }

// estimatedClockMS extrapolates the worker's clock from its last reading.
func (w *worker) estimatedClockMS(now time.Duration) int64 {
	return w.clockMS + (now - w.clockReadAt).Milliseconds()
}
