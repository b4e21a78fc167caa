package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/placement"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// A job stands when one of its tasks may run and none of its runs is running on a worker that
// answers, or when a task of a long-running step does not run. The owner reports which jobs
// stand and why;
// the reports do not affect its decisions.
const (
	standingInterval  = 500 * time.Millisecond  // between two assessments
	standingThreshold = 1500 * time.Millisecond // from which a job counts as standing
	// A job is logged once it has stood for standingLogDelay, and then every
	// standingLogInterval. An assessment logs at most maxStandingLines jobs.
	standingLogDelay    = 2 * time.Second
	standingLogInterval = 5 * time.Second
	maxStandingLines    = 10
	// standingSummaryInterval is the time between two summaries of a service.
	standingSummaryInterval = time.Second
	// maxPlanAge is the age from which the latest attempt to place a group no longer
	// explains why it waits: pending groups are planned every pendingCycleInterval.
	maxPlanAge = time.Second
	// Reasons of blocked requests are computed for groups that have waited for
	// explainDelay, again after explainInterval, and at most maxExplained a cycle.
	explainDelay    = time.Second
	explainInterval = 2 * time.Second
	maxExplained    = 4
)

// standingReason says why a job stands. Reasons of blocked requests are those of
// package placement.
type standingReason string

const (
	reasonNotStored     standingReason = "not_stored"     // the assignment is not in the store yet
	reasonStarting      standingReason = "starting"       // the start is not confirmed yet
	reasonStopping      standingReason = "stopping"       // the end of a stopped run is not known yet
	reasonUncertain     standingReason = "uncertain"      // it is unknown whether a run has started or still runs
	reasonSilent        standingReason = "silent"         // the worker of a running run does not answer
	reasonAdopted       standingReason = "adopted"        // a run of a former owner is not resolved yet
	reasonFormerRun     standingReason = "former_run"     // members of the gang's former run are left
	reasonStartFailed   standingReason = "start_failed"   // the latest start was not accepted
	reasonNotPlanned    standingReason = "not_planned"    // no cycle has tried to place the group lately
	reasonAwaitingStops standingReason = "awaiting_stops" // runs are being stopped for it
	reasonAwaitingEnds  standingReason = "awaiting_ends"  // runs that end soon free its capacity
	reasonBlocked       standingReason = "blocked"        // not placed; why has not been computed
)

// planResult is the latest attempt to place a group.
type planResult struct {
	at       time.Duration
	code     placement.Code
	reason   placement.Reason // of the latest blocked attempt that was explained
	reasonAt time.Duration
}

func (p *planResult) record(outcome placement.Outcome, now time.Duration) {
	p.at, p.code = now, outcome.Code
	if outcome.Code != placement.Blocked {
		p.reason, p.reasonAt = "", 0
	} else if outcome.Reason != "" {
		p.reason, p.reasonAt = outcome.Reason, now
	}
}

// shouldExplain reports whether the planner should say why a group is blocked; the lock
// is held.
func (o *Owner) shouldExplain(g *taskGroup, now time.Duration) bool {
	p := &g.planned
	if p.at == 0 || p.code != placement.Blocked || (p.reasonAt > 0 && now-p.reasonAt < explainInterval) ||
		o.explained >= maxExplained || now-o.standingSince(g, now) < explainDelay {
		return false
	}
	if g.job.hasRunningRun() && !g.spec().LongRunning {
		return false
	}
	o.explained++
	return true
}

// setPhase sets the phase of a run; the lock is held.
func (o *Owner) setPhase(r *run, p runPhase) {
	if r.phase == p {
		return
	}
	now := o.opts.Clock()
	if r.phase == phaseRunning {
		r.noteRan(now)
	}
	r.phase, r.phaseSince = p, now
}

// noteRan records that a run was running until now.
func (r *run) noteRan(now time.Duration) {
	r.group.noteRan(r.index, now)
}

func (g *taskGroup) noteRan(index int, now time.Duration) {
	g.job.lastRanAt = max(g.job.lastRanAt, now)
	if g.spec().LongRunning {
		if g.lastRanAt == nil {
			g.lastRanAt = map[int]time.Duration{}
		}
		g.lastRanAt[index] = now
	}
}

// noteAdopted counts the tasks of a job that were assigned under a former owner as running
// until the takeover. The time at which other tasks last ran is not stored; they count as
// not running for maxIdleWait, so that their job does not wait anew for free capacity.
func (j *job) noteAdopted(now time.Duration) {
	if j.progress.DoneRanges() > 0 {
		j.lastRanAt = max(j.lastRanAt, now-maxIdleWait)
	}
	for g := range j.groups() {
		for i, t := range g.tasks() {
			switch {
			case t.Phase == workload.Assigned:
				g.noteRan(i, now)
			case t.Run > 0:
				g.noteRan(i, now-maxIdleWait)
			}
		}
	}
}

// standingJob is a job that stands, with its group that has stood for longest.
type standingJob struct {
	group   *taskGroup
	service string
	since   time.Duration
	reason  standingReason
	run     *run // that the group waits for; nil if there is none
}

// standingSince returns since when no run of the group's job has been running although
// the group was due; the lock is held.
func (o *Owner) standingSince(g *taskGroup, now time.Duration) time.Duration {
	return max(o.dueSince(g, now), g.job.lastRanAt)
}

// dueSince returns when a group was due, on the owner's clock.
func (o *Owner) dueSince(g *taskGroup, now time.Duration) time.Duration {
	if !g.job.HasDueTimes() {
		return g.job.acceptedAt
	}
	return now - time.Duration(o.opts.Now().UnixMilli()-g.job.DueUnixMS(g.occurrence))*time.Millisecond
}

// longRunningStandingSince returns since when one of the tasks of a long-running group
// has not been running; false if all are running.
func (o *Owner) longRunningStandingSince(g *taskGroup, now time.Duration) (since time.Duration, ok bool) {
	for i := range g.tasks() {
		r := g.runs[i]
		if r != nil && r.isRunning() {
			continue
		}
		from := max(o.dueSince(g, now), g.lastRanAt[i])
		if r != nil && r.phase == phaseRunning {
			from = max(from, r.worker.unansweredSince)
		}
		if !ok || from < since {
			since, ok = from, true
		}
	}
	return since, ok
}

// standing returns how a live job stands; false if it does not. The lock is held.
func (o *Owner) standing(j *job, now time.Duration, unixMS int64) (standingJob, bool) {
	if j.cancelRequested || j.pendingFinalState != "" {
		return standingJob{}, false
	}
	running := j.hasRunningRun()
	s := standingJob{}
	for g := range j.groups() {
		if (running && !g.spec().LongRunning) || g.complete() || j.DueUnixMS(g.occurrence) > unixMS || !g.dependenciesDone() {
			continue
		}
		since, ok := max(o.standingSince(g, now), j.silentSince()), true
		if g.spec().LongRunning {
			since, ok = o.longRunningStandingSince(g, now)
		}
		if ok && (s.group == nil || since < s.since) {
			s.group, s.since = g, since
		}
	}
	if s.group == nil {
		return s, false
	}
	s.reason, s.run = s.group.standingReason(now)
	return s, true
}

// isRunning reports whether a worker that answers has confirmed the run, and the run is not
// known to have ended and is not being stopped.
func (r *run) isRunning() bool { return r.phase == phaseRunning && r.worker.unansweredCalls == 0 }

// hasRunningRun reports whether a run of the job is running.
func (j *job) hasRunningRun() bool {
	for g := range j.groups() {
		for _, r := range g.runs {
			if r.isRunning() {
				return true
			}
		}
	}
	return false
}

// silentSince returns since when no worker with a confirmed run of the job answers; 0 if the
// job has no such run.
func (j *job) silentSince() time.Duration {
	since := time.Duration(0)
	for g := range j.groups() {
		for _, r := range g.runs {
			if r.phase == phaseRunning {
				since = max(since, r.worker.unansweredSince)
			}
		}
	}
	return since
}

// standingReason returns why none of the group's tasks runs, and the run for which the
// group waits.
func (g *taskGroup) standingReason(now time.Duration) (standingReason, *run) {
	pending := slices.ContainsFunc(g.tasks(), func(t workload.Task) bool { return t.Phase == workload.Pending })
	oldest := g.oldestRun()
	switch {
	case oldest != nil && g.spec().Gang && pending:
		return reasonFormerRun, oldest
	case oldest != nil && (g.spec().Gang || !pending || g.planned.code != placement.Blocked):
		return oldest.standingReason(), oldest
	case g.planned.at == 0 || now-g.planned.at > maxPlanAge:
		return reasonNotPlanned, nil
	}
	switch g.planned.code {
	case placement.Placed:
		return reasonStartFailed, nil
	case placement.AwaitingStops, placement.Preempting:
		return reasonAwaitingStops, nil
	case placement.AwaitingEnds:
		return reasonAwaitingEnds, nil
	case placement.Blocked:
	}
	if g.planned.reason == "" {
		return reasonBlocked, nil
	}
	return standingReason(g.planned.reason), nil
}

// oldestRun returns the run of the group that is not running and has been in its phase
// for longest.
func (g *taskGroup) oldestRun() *run {
	var oldest *run
	for _, r := range g.runs {
		if r.isRunning() {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(r.phaseSince, oldest.phaseSince), cmp.Compare(r.index, oldest.index)) < 0 {
			oldest = r
		}
	}
	return oldest
}

func (r *run) standingReason() standingReason {
	switch r.phase {
	case phasePlanned:
		return reasonNotStored
	case phaseStarting:
		return reasonStarting
	case phaseStopping:
		return reasonStopping
	case phaseRunning:
		return reasonSilent
	case phaseUncertain:
	}
	if r.adopted {
		return reasonAdopted
	}
	return reasonUncertain
}

// serviceState is the state of a service in an assessment.
type serviceState struct {
	use          serviceUse // of the listed workers
	listed       int
	states       map[string]int // number of workers by state
	uncontacted  int            // listed workers that have not answered this owner yet
	silenced     int            // listed workers that have stopped answering in the last second
	queuedOrders int
	suspectJobs  int

	reasons map[standingReason]int
	oldest  standingJob
	jobs    int
}

// assessment is the state of all services at one time.
type assessment struct {
	now      time.Duration
	services map[string]*serviceState
	standing []standingJob // the longest first
}

func (a *assessment) service(name string) *serviceState {
	s := a.services[name]
	if s == nil {
		s = &serviceState{states: map[string]int{}, reasons: map[standingReason]int{}}
		a.services[name] = s
	}
	return s
}

// standingLoop assesses the jobs and workers until ownership ends. It is independent of
// the cycles, so that it can report that these are late.
func (o *Owner) standingLoop() {
	r := standingReporter{summarizedAt: map[string]time.Duration{}, silencedAt: map[string]time.Duration{}}
	for {
		due := o.opts.Clock() + standingInterval
		if !wait.Sleep(o.ctx, standingInterval) {
			return
		}
		wokeAt := o.opts.Clock()
		o.mu.Lock()
		o.reportDelay(wokeAt-due, o.opts.Clock()-wokeAt)
		if o.loaded {
			r.report(o, o.assess())
		}
		o.mu.Unlock()
	}
}

// assess finds the jobs that stand and the state of the workers; the lock is held.
func (o *Owner) assess() *assessment {
	a := &assessment{now: o.opts.Clock(), services: map[string]*serviceState{}}
	unixMS := o.opts.Now().UnixMilli()
	o.ejectWorst(a.now)
	for _, j := range o.active {
		if j.suspect() {
			a.service(o.serviceOf(j.Job)).suspectJobs++
		}
		s, ok := o.standing(j, a.now, unixMS)
		if !ok || a.now-s.since < standingThreshold {
			j.standingLoggedAt = 0
			continue
		}
		s.service = o.serviceOf(j.Job)
		a.standing = append(a.standing, s)
		service := a.service(s.service)
		service.jobs++
		service.reasons[s.reason]++
		if service.jobs == 1 || s.since < service.oldest.since {
			service.oldest = s
		}
	}
	slices.SortFunc(a.standing, func(x, y standingJob) int {
		return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.group.job.ID, y.group.job.ID))
	})
	for _, w := range o.workers {
		a.service(w.Service).addWorker(w, o.workerState(w, a.now), a.now)
	}
	return a
}

func (s *serviceState) addWorker(w *worker, state string, now time.Duration) {
	s.states[state]++
	s.queuedOrders += w.queuedOrders()
	if !w.listed {
		return
	}
	used, _ := w.usage()
	s.listed++
	if state != stateEvacuated {
		s.use.add(w, used)
	}
	if !w.contacted {
		s.uncontacted++
	}
	if w.unansweredCalls > 0 && now-w.unansweredSince < time.Second {
		s.silenced++
	}
}

// stateEvacuated is the state of workers whose failure domain is evacuated.
const stateEvacuated = "evacuated"

// workerState names why a worker gets no new tasks, or "schedulable"; the lock is held.
func (o *Owner) workerState(w *worker, now time.Duration) string {
	switch {
	case !w.listed:
		return "unlisted"
	case w.Draining:
		return "draining"
	case o.evacuated(w):
		return stateEvacuated
	case !w.describesProcess():
		return "entry_outdated"
	case o.cordoned[w.Machine]:
		return "cordoned"
	case w.unansweredCalls > 0:
		return "unanswered"
	case now < w.backoffUntil:
		return "backoff_" + string(w.backoffReason)
	case w.ejected:
		return "ejected"
	case o.returnsLater(w, now):
		return "returning"
	}
	return "schedulable"
}

// standingReporter writes the log lines and metrics of assessments.
type standingReporter struct {
	summarizedAt map[string]time.Duration // by service
	silencedAt   map[string]time.Duration // by service
}

// report reports an assessment; the lock is held.
func (r *standingReporter) report(o *Owner, a *assessment) {
	due := a.standingToLog()
	for _, s := range due[:min(len(due), maxStandingLines)] {
		s.group.job.standingLoggedAt = a.now
		o.logStanding(s, a.now)
	}
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		service := a.services[name]
		if last, ok := r.summarizedAt[name]; service.jobs > 0 && (!ok || a.now-last >= standingSummaryInterval) {
			r.summarizedAt[name] = a.now
			o.logStandingSummary(name, service, a.now)
		}
		last, ok := r.silencedAt[name]
		if service.silenced > 1 && service.silenced*silencedShare > service.listed && (!ok || a.now-last >= time.Second) {
			r.silencedAt[name] = a.now
			o.opts.Log.Info("many workers have stopped answering", "service", name, "silenced", service.silenced, "workers", service.listed, "states", service.states,
				"waitingStarts", o.startSlots.queueLength(), "waitingProbes", o.probeSlots.queueLength())
		}
	}
	o.opts.Metrics.OwnerGauges(o.gauges(a))
}

// standingToLog returns the jobs that are due for a log line: first those of services
// with little to do, then those that have not been logged for longest.
func (a *assessment) standingToLog() []standingJob {
	var due []standingJob
	for _, s := range a.standing {
		last := s.group.job.standingLoggedAt
		if a.now-s.since >= standingLogDelay && (last == 0 || a.now-last >= standingLogInterval) {
			due = append(due, s)
		}
	}
	busy := func(s standingJob) int {
		service := a.service(s.service)
		if service.use.share() < idleShare {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(due, func(x, y standingJob) int {
		return cmp.Or(cmp.Compare(busy(x), busy(y)), cmp.Compare(x.group.job.standingLoggedAt, y.group.job.standingLoggedAt))
	})
	return due
}

// silencedShare is the inverse of the share of a service's workers that have to stop
// answering within a second to be reported.
const silencedShare = 10

func (o *Owner) logStanding(s standingJob, now time.Duration) {
	g, spec := s.group, s.group.spec()
	fields := []any{
		"job", g.job.ID, "queue", g.job.Queue, "workspace", g.job.Workspace, "service", s.service, "occurrence", g.occurrence, "step", g.step,
		"tasks", spec.Tasks, "done", g.doneTasks, "gang", spec.Gang, "standingMS", (now - s.since).Milliseconds(), "reason", s.reason,
		"unresolved", len(g.runs), "runs", g.maxRun(), "stored", g.job.changeSeq == g.job.committedSeq,
	}
	if g.planned.at > 0 {
		fields = append(fields, "plannedAgoMS", (now - g.planned.at).Milliseconds())
	}
	if g.refusal != "" {
		fields = append(fields, "lastRefusal", g.refusal)
	}
	if r := s.run; r != nil {
		w := r.worker
		fields = append(fields, "worker", w.ID, "workerState", o.workerState(w, now), "phase", r.phase.String(), "phaseMS", (now - r.phaseSince).Milliseconds(),
			"stopOrdered", r.stopOrdered, "contacted", w.contacted, "silentMS", (now - max(w.lastAnswerAt, o.tookOverAt)).Milliseconds(),
			"leaseEndsInMS", (w.leaseExpiredBy() - now).Milliseconds(), "workerOrders", w.queuedOrders())
	}
	o.opts.Log.Info("job is standing", fields...)
}

// maxRun returns the highest run number of the group's tasks.
func (g *taskGroup) maxRun() int64 {
	var n int64
	for _, t := range g.tasks() {
		n = max(n, t.Run)
	}
	return n
}

// String returns the name of the phase.
func (p runPhase) String() string {
	return [...]string{phasePlanned: "planned", phaseStarting: "starting", phaseRunning: "running", phaseStopping: "stopping", phaseUncertain: "uncertain"}[p]
}

// logStandingSummary logs how many jobs of a service stand, beside what they may depend
// on; the lock is held.
func (o *Owner) logStandingSummary(name string, s *serviceState, now time.Duration) {
	writes := o.writeState(now)
	o.opts.Log.Info("jobs are standing", "service", name, "jobs", s.jobs, "oldest", s.oldest.group.job.ID, "oldestMS", (now - s.oldest.since).Milliseconds(),
		"reasons", s.reasons, "live", len(o.live), "usedShare", s.use.share(), "workers", s.listed, "states", s.states, "uncontacted", s.uncontacted,
		"queuedOrders", s.queuedOrders, "waitingStarts", o.startSlots.queueLength(), "waitingProbes", o.probeSlots.queueLength(), "openWrites", writes.open, "oldestWriteMS", writes.oldest.Milliseconds(), "writeAttempts", writes.attempts, "writeError", writes.lastError,
		"unstoredJobs", len(o.dirty), "oldestUnstoredMS", writes.oldestUnstored.Milliseconds(),
		"leaseValidMS", (o.validUntil() - now).Milliseconds(), "cycleAgoMS", (now - o.cycle.endedAt).Milliseconds(),
		"jobsWatchAgoMS", o.watchAge(JobPrefix, now).Milliseconds(), "workersWatchAgoMS", o.watchAge(o.opts.WorkerPrefix, now).Milliseconds(),
		"held", o.automationHeld(), "ownerMS", (now - o.tookOverAt).Milliseconds())
}

// gauges returns the metrics of an assessment; the lock is held.
func (o *Owner) gauges(a *assessment) metrics.OwnerGauges {
	writes := o.writeState(a.now)
	g := metrics.OwnerGauges{
		JobsStanding: map[metrics.ServiceLabel]int{}, JobsSuspect: map[string]int{}, Workers: map[metrics.ServiceLabel]int{}, WorkersBySpeed: o.workersBySpeed(), UsedShare: map[string]float64{},
		JobsOffloaded: len(o.offloaded), JobMemory: o.usedMemory() + o.offloadedBytes, JobMemoryLimit: o.jobMemoryLimit(),
		EvacuatedDomains: len(o.evacuations.domains), OpenWrites: writes.open, OldestUnstored: writes.oldestUnstored, WaitingStarts: o.startSlots.queueLength(), WaitingProbes: o.probeSlots.queueLength(),
	}
	for name, s := range a.services {
		g.UsedShare[name] = s.use.share()
		g.QueuedOrders += s.queuedOrders
		g.JobsSuspect[name] = s.suspectJobs
		for reason, n := range s.reasons {
			g.JobsStanding[metrics.ServiceLabel{Service: name, Value: string(reason)}] = n
		}
		for state, n := range s.states {
			g.Workers[metrics.ServiceLabel{Service: name, Value: state}] = n
		}
	}
	return g
}
