package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/placement"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Parameters of the placement order and of preemption.
const (
	// lateFactor is the multiple of its target duration that a job may take and still
	// be of value to its caller.
	lateFactor = 3
	// reservationDelay is how long a blocked gang waits before capacity is reserved
	// for it.
	reservationDelay = 500 * time.Millisecond
	// maxReservations bounds the number of blocked gangs with a reservation at a
	// time; more would leave the fleet idle.
	maxReservations = 3
	// maxStopCostRatio bounds the work that an urgent job outside its guarantee may
	// destroy by preemption, in multiples of its own work. A higher bound brings
	// callers no further gain; docs/measurements.md compares the bounds.
	maxStopCostRatio = 2.0
	// maxReclaimCostRatio is the same bound for a group within its guarantee as long as its
	// start is not due: its caller loses more by a late end than others lose by the same work.
	maxReclaimCostRatio = 4.0
	// exclusionPeriod is how long a group that fits nowhere else is kept off the
	// workers on which it failed.
	exclusionPeriod = time.Second
	// dueStartLead is how long before its due time an occurrence is placed, so that
	// the start order arrives in time.
	dueStartLead = 20 * time.Millisecond
)

// pendingGroup is a task group that waits for capacity, with the values that decide
// its placement rank.
type pendingGroup struct {
	group           *taskGroup
	pending         []int // indexes of the tasks without a run
	priority        int
	targetEnd       time.Duration // when its job should be complete
	expectedRunTime time.Duration // of one task
	criticalPath    time.Duration // expected run time from this step to the end of the job
	slack           time.Duration // time left until targetEnd, less criticalPath
	lateness        int           // 0: can end in time, 1: late, 2: too late to be of value
	lateSlack       time.Duration // time left until the job is of no value, less criticalPath
	startBy         time.Duration // when it should have started if it is within a guarantee; 0 if there is no bound
	withinGuarantee bool          // urgent, and its workspace's urgent jobs fit into the guarantee
	reclaims        bool          // within its guarantee, and takes back what urgent work of others borrows
}

// placePending places the pending groups in rank order and reports whether any work
// is pending; the lock is held.
func (o *Owner) placePending(now time.Duration) bool {
	waiting, awaitingDue := o.collectPending(now)
	o.cycle.pending = len(waiting)
	if len(waiting) == 0 {
		o.admission.Store(nil)
		return awaitingDue
	}
	o.markWithinGuarantee(waiting, now)
	o.markBorrowed(waiting)
	o.ejectWorst(now)
	slices.SortFunc(waiting, o.placementRank())
	o.cycles++
	o.explained = 0
	o.runRoom = o.maxRuns() - o.countRuns()
	if o.ruleEnabled(RuleShortageOrder) || o.ruleEnabled(RuleAdmission) {
		o.orderUnderShortage(waiting, now)
	}
	reservations := 0
	for _, c := range waiting {
		service := o.serviceOf(c.group.job.Job)
		p := o.planners[service]
		if p == nil || p.cycle != o.cycles {
			p = o.newServicePlanner(service, now)
		}
		if c.priority > 0 && !p.headroomKept {
			// The urgent groups come first and have taken what they need by now.
			p.headroomKept = true
			o.keepHeadroom(p, service, now)
		}
		reservations += o.placeGroup(p, c, now, reservations < maxReservations)
	}
	return true
}

// placementRank returns the order of placement: by priority, then those that reclaim their
// guarantee, then by lateness and slack.
func (o *Owner) placementRank() func(a, b pendingGroup) int {
	urgency := func(a, b pendingGroup) int {
		return cmp.Or(cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.slack, b.slack))
	}
	if !o.ruleEnabled(RuleSlackOrder) {
		urgency = func(a, b pendingGroup) int { return cmp.Compare(a.group.job.acceptedAt, b.group.job.acceptedAt) }
	}
	return func(a, b pendingGroup) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), reclaimingFirst(a, b), urgency(a, b),
			cmp.Compare(a.group.job.ID, b.group.job.ID), cmp.Compare(a.group.occurrence, b.group.occurrence), cmp.Compare(a.group.step, b.group.step))
	}
}

// collectPending returns the groups that are due and whose dependencies are done;
// awaitingDue reports whether others are due soon.
func (o *Owner) collectPending(now time.Duration) (waiting []pendingGroup, awaitingDue bool) {
	unixMS := o.opts.Now().UnixMilli()
	o.activateDue(unixMS)
	for _, j := range o.active {
		j.compactDone()
		o.openDue(j, unixMS)
		for g := range j.groups() {
			if g.complete() || len(g.runs) == g.spec().Tasks {
				continue
			}
			if due := j.DueUnixMS(g.occurrence); due > unixMS+dueStartLead.Milliseconds() {
				awaitingDue = true // the clock was set back
				continue
			}
			if !g.dependenciesDone() {
				continue
			}
			if !g.ready {
				if j.HasDueTimes() && g.step == 0 && g.readySince == 0 {
					o.recordUrgentArrival(j.Job, now)
				}
				g.ready, g.readySince, g.stopsWait, g.stopsWaitFrom = true, now, 0, 0
			}
			if c, ok := o.pendingGroupOf(g, now, unixMS); ok {
				if c.lateness > 1 {
					o.recordOutcome(j, false)
				}
				waiting = append(waiting, c)
			}
		}
		awaitingDue = o.awaitsDue(j, unixMS) || awaitingDue
	}
	return waiting, awaitingDue
}

// pendingGroupOf returns the pending tasks of a group with their rank; false means that
// nothing can be placed now.
func (o *Owner) pendingGroupOf(g *taskGroup, now time.Duration, unixMS int64) (pendingGroup, bool) {
	if g.spec().Gang && len(g.runs) > 0 {
		return pendingGroup{}, false // the previous run has not ended on all workers
	}
	c := pendingGroup{group: g, priority: g.job.Class.Priority, pending: make([]int, 0, max(0, g.spec().Tasks-g.doneTasks-len(g.runs)))}
	for i, t := range g.tasks() {
		if t.Phase == workload.Pending && g.runs[i] == nil {
			c.pending = append(c.pending, i)
		}
	}
	if len(c.pending) == 0 {
		return pendingGroup{}, false
	}
	c.expectedRunTime = o.expectedRunTime(g)
	c.criticalPath = o.criticalPathFrom(g)
	start := g.job.acceptedAt
	if g.job.HasDueTimes() {
		start = now - time.Duration(unixMS-g.job.DueUnixMS(g.occurrence))*time.Millisecond
	}
	allowed := o.targetDuration(g.job)
	c.targetEnd = start + allowed
	c.slack = c.targetEnd - c.criticalPath - now
	c.lateSlack = start + lateFactor*allowed - c.criticalPath - now
	c.startBy = o.startBy(g, start)
	switch {
	case c.slack >= 0:
		c.lateness = 0
	case c.lateSlack >= 0:
		c.lateness = 1
	default:
		c.lateness = 2
	}
	return c, true
}

// targetDuration returns the time within which a job should complete.
func (o *Owner) targetDuration(j *job) time.Duration {
	return time.Duration(j.Class.SlackFactor*float64(o.criticalPath(j.Job))) + j.Class.TargetRuntime
}

// serviceOf returns the service that runs a job: the one of its queue in the current
// configuration, or the one at its acceptance if the queue no longer exists.
func (o *Owner) serviceOf(j *workload.Job) string {
	if cat := o.opts.Catalog(); cat != nil {
		if q := cat.Queue(j.Queue); q != nil {
			return q.Class.Service
		}
	}
	return j.Class.Service
}

// victim is a unit of preemption: a whole gang, or a single run.
type victim struct {
	group *taskGroup
	run   *run // nil for a gang
	cost  shortage.Victim
}

// stop orders the victim's runs to stop; the lock is held.
func (v victim) stop(o *Owner, reason string) {
	if v.run != nil {
		o.stopRun(v.run, reason)
		return
	}
	o.stopGroup(v.group, reason)
}

// servicePlanner plans placements on the workers of one service. Its buffers are reused
// by the next cycle.
type servicePlanner struct {
	*placement.Planner
	cycle    int64
	snapshot placement.Snapshot
	runs     []placement.Run
	workers  []*worker
	victims  []victim // by index of the snapshot's groups

	capacity, used    workload.Resources // of all workers that accept tasks, and what runs on them
	listed, answering serviceUse         // of the listed workers, and of those that answer
	headroomKept      bool
}

// newServicePlanner returns a planner over a fresh snapshot of the workers of a service;
// the lock is held.
func (o *Owner) newServicePlanner(service string, now time.Duration) *servicePlanner {
	p := o.planners[service]
	if p == nil {
		p = &servicePlanner{}
		o.planners[service] = p
	}
	p.cycle, p.headroomKept = o.cycles, false
	p.capacity, p.used, p.listed, p.answering = workload.Resources{}, workload.Resources{}, serviceUse{}, serviceUse{}
	s := &p.snapshot
	s.Workers, s.Groups, p.runs, p.workers, p.victims = s.Workers[:0], s.Groups[:0], p.runs[:0], p.workers[:0], p.victims[:0]
	for _, w := range o.sortedWorkers() {
		if w.Service != service {
			continue
		}
		all, beingStopped := w.usage()
		pw := placement.Worker{
			ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
			Free: w.Capacity.Sub(all), FreeAfterStops: w.Capacity.Sub(all).Add(beingStopped),
			Schedulable: o.schedulable(w, now),
			Ejected:     w.ejected || o.returnsLater(w, now),
			Penalty:     o.penalty(w) + o.coldPenalty(w, now),
			Speed:       w.speed,
		}
		if pw.Schedulable {
			p.capacity, p.used = p.capacity.Add(w.Capacity), p.used.Add(all)
		}
		inService := w.listed && !o.evacuated(w)
		if inService {
			p.listed.add(w, all)
		}
		if inService && w.unansweredCalls == 0 {
			p.answering.add(w, all)
		}
		first := len(p.runs)
		for r := range w.runs {
			if r.phase == phaseStopping || r.phase == phaseUncertain {
				continue
			}
			endsIn, known := o.expectedEnd(r, now)
			p.runs = append(p.runs, placement.Run{Group: o.addToVictim(p, r, endsIn, known, now), Demand: r.demand, EndsIn: endsIn, EndUnknown: !known})
		}
		// The planner may append runs; the capacity limit keeps it from overwriting those
		// of the next worker.
		pw.Runs = p.runs[first:len(p.runs):len(p.runs)]
		s.Workers = append(s.Workers, pw)
		p.workers = append(p.workers, w)
	}
	o.setStopCosts(p)
	p.Planner = placement.New(*s)
	return p
}

// penalty makes workers with failed runs less preferred; the lock is held.
func (o *Owner) penalty(w *worker) int {
	if !o.ruleEnabled(RuleFailedWorkersLast) {
		return 0
	}
	return len(w.failedAt)
}

// sortedWorkers returns all workers sorted by ID; the lock is held.
func (o *Owner) sortedWorkers() []*worker {
	if o.workersByID == nil {
		for _, w := range o.workers {
			o.workersByID = append(o.workersByID, w)
		}
		slices.SortFunc(o.workersByID, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.workersByID
}

// addToVictim adds a run to its unit of preemption in the snapshot and returns the
// index of that unit.
func (o *Owner) addToVictim(p *servicePlanner, r *run, endsIn time.Duration, endKnown bool, now time.Duration) int {
	v, mark := victim{group: r.group, run: r}, &r.victimPos
	v.cost.EndKnown = true
	if r.group.spec().Gang {
		v.run, mark = nil, &r.group.victimPos
	}
	if mark.cycle != p.cycle {
		*mark = victimPosition{cycle: p.cycle, index: len(p.victims)}
		p.victims = append(p.victims, v)
		p.snapshot.Groups = append(p.snapshot.Groups, placement.Group{
			Priority: r.group.job.Class.Priority, NonPreemptible: r.group.spec().MaxUnavailable > 0, Borrowed: o.borrowed[r.group],
		})
	}
	g := &p.snapshot.Groups[mark.index]
	cost := &p.victims[mark.index].cost
	cost.Lost += o.runStopCost(r, now)
	cost.Cores += r.demand.CoreEquivalents()
	cost.EndsIn, cost.EndKnown = max(cost.EndsIn, endsIn), cost.EndKnown && endKnown
	g.NonPreemptible = g.NonPreemptible || r.phase != phaseRunning
	return mark.index
}

// runStopCost returns the work in core-seconds that is lost when a run is stopped.
func (o *Owner) runStopCost(r *run, now time.Duration) float64 {
	done := (now - r.startedAt).Seconds()
	if r.group.spec().Checkpointing {
		done = min(done, o.opts.CheckpointIntervalS)
	}
	return r.demand.CoreEquivalents() * done
}

// request returns the planner's request for a pending group, by the rules in force.
func (o *Owner) request(p *servicePlanner, c pendingGroup, now time.Duration, mayReserve bool) placement.Request {
	g, spec := c.group, c.group.spec()
	waited := now - g.readySince
	freeCapacityFirst := o.freeCapacityFirst(p, c, now) || c.reclaims
	r := placement.Request{
		Demand: spec.Demand(), Count: len(c.pending), Gang: spec.Gang, SameRack: spec.SameRack,
		RequiredLabel: spec.RequiredLabel, AffinityRack: spec.AffinityRack,
		MaxPerWorker: spec.MaxPerWorker, RunningPerWorker: runningPerWorker(g), ExcludedWorkers: g.excludedWorkers,
		Priority: c.priority, ExpectedDuration: c.expectedRunTime,
		MayUseHeadroom: freeCapacityFirst || p.mayUseHeadroom(c),
		MayUseEjected:  freeCapacityFirst,
		MayUseReserved: freeCapacityFirst,
		Speed:          o.speedPreference(c),
		Reserve:        mayReserve && waited >= reservationDelay && o.ruleEnabled(RuleReservation),
	}
	if o.ruleEnabled(RuleMultiRack) {
		r.AllowMultiRack, r.MultiRackSlowdown = freeCapacityFirst, o.opts.RemoteSlowdown
	}
	if !o.automationHeld() {
		r.MaxStopCost = o.maxStopCost(c, now)
		r.MayPreempt = r.MaxStopCost > 0
		r.MayStopLastResort = c.withinGuarantee && o.ruleEnabled(RuleGuarantee)
		r.MayStopBorrowed = c.reclaims && o.ruleEnabled(RuleGuarantee) && o.reclaimDue(c, now)
		if o.mayAwaitEnds(c) {
			r.MayWait = c.urgency(now).MayWait()
			r.PreemptAll, r.KeepEarliest = c.withinGuarantee && o.reclaimDue(c, now), c.withinGuarantee && spec.Gang
		}
	}
	if o.needsTickets(g) {
		r.EligibleWorkers = o.ticketHolders(g, now)
	}
	return r
}

// maxStopCost returns how much work, in core-seconds, may be thrown away in favor of a
// group; 0 if it may not preempt.
func (o *Owner) maxStopCost(c pendingGroup, now time.Duration) float64 {
	switch {
	case c.withinGuarantee && o.ruleEnabled(RuleGuarantee) && o.reclaimDue(c, now):
		return math.Inf(1)
	case c.withinGuarantee && o.ruleEnabled(RuleGuarantee):
		if c.lateness > 0 {
			return 0 // a stop does not help its caller before the start is due
		}
		return maxReclaimCostRatio * c.pendingWork()
	case c.priority == 0 && c.lateness < 2 && o.ruleEnabled(RulePreemption):
		return maxStopCostRatio * c.pendingWork()
	}
	return 0
}

// pendingWork returns the expected work of the pending tasks in core-seconds.
func (c *pendingGroup) pendingWork() float64 {
	return c.group.spec().Demand().CoreEquivalents() * c.expectedRunTime.Seconds() * float64(len(c.pending))
}

// placeGroup plans one group and carries out the outcome: it assigns workers, preempts
// victims or requests advice. It returns 1 if it made a reservation for a blocked gang.
func (o *Owner) placeGroup(p *servicePlanner, c pendingGroup, now time.Duration, mayReserve bool) int {
	g := c.group
	spec := g.spec()
	waited := now - g.readySince
	if len(c.pending) > o.runRoom {
		o.reportRunLimit(now)
		if spec.Gang || o.runRoom <= 0 {
			return 0
		}
		c.pending = c.pending[:o.runRoom]
	}
	request := o.request(p, c, now, mayReserve)
	request.Explain = o.shouldExplain(g, now)
	outcome := p.Place(request)
	g.countStopsWait(outcome.Code, now)
	g.planned.record(outcome, now)
	if outcome.Code == placement.Blocked && len(g.excludedWorkers) > 0 && now-g.excludedAt > exclusionPeriod {
		clear(g.excludedWorkers) // a worker with a failure is better than none
	}
	if request.EligibleWorkers != nil && outcome.Code == placement.Blocked {
		o.logWaiting(p, c, waited, now)
		o.requestAdvice(g, p, now)
		return 0
	}
	switch outcome.Code {
	case placement.Placed:
		o.assign(p, c, outcome, now)
	case placement.Preempting:
		o.stopVictims(p, c, outcome.Victims, waited)
	case placement.Blocked:
		o.logWaiting(p, c, waited, now)
		if request.Reserve && spec.Gang {
			return 1
		}
	case placement.AwaitingEnds:
		o.opts.Metrics.Event("preemption_deferred")
	case placement.AwaitingStops:
	}
	return 0
}

// countStopsWait adds up the time in which the group has waited for stops.
func (g *taskGroup) countStopsWait(code placement.Code, now time.Duration) {
	if g.stopsWaitFrom > 0 {
		g.stopsWait += now - g.stopsWaitFrom
	}
	g.stopsWaitFrom = 0
	if code == placement.Preempting || code == placement.AwaitingStops {
		g.stopsWaitFrom = now
	}
}

// waitLogInterval is the time between two log lines about a pending group.
const waitLogInterval = 5 * time.Second

// logWaiting logs what a pending group needs and how many workers could take it; the
// lock is held.
func (o *Owner) logWaiting(p *servicePlanner, c pendingGroup, waited, now time.Duration) {
	if waited < waitLogInterval || now-c.group.waitLoggedAt < waitLogInterval {
		return
	}
	c.group.waitLoggedAt = now
	schedulable, empty, unresponsive := 0, 0, 0
	for _, w := range p.workers {
		switch {
		case w.unansweredCalls > 0:
			unresponsive++
		case o.schedulable(w, now) && !w.ejected:
			schedulable++
			if len(w.runs) == 0 {
				empty++
			}
		}
	}
	spec := c.group.spec()
	o.opts.Log.Info("task group is waiting for capacity", "job", c.group.job.ID, "step", c.group.step, "tasks", len(c.pending), "gang", spec.Gang, "sameRack", spec.SameRack,
		"accelerators", spec.Request.Accelerators, "requires", spec.RequiredLabel, "waitedMS", waited.Milliseconds(), "avoided", len(c.group.excludedWorkers),
		"blocked", c.group.planned.reason, "workers", len(p.workers), "open", schedulable, "empty", empty, "silent", unresponsive)
}

// schedulable reports whether new tasks may be placed on a worker; the lock is held.
func (o *Owner) schedulable(w *worker, now time.Duration) bool {
	return w.listed && w.describesProcess() && !w.Draining && !o.cordoned[w.Machine] && !o.evacuated(w) && now >= w.backoffUntil && w.unansweredCalls == 0
}

// runningPerWorker counts the runs of a group by worker; nil if the step has no limit per
// worker.
func runningPerWorker(g *taskGroup) map[string]int {
	if g.spec().MaxPerWorker == 0 {
		return nil
	}
	n := map[string]int{}
	for _, r := range g.runs {
		n[r.worker.ID]++
	}
	return n
}

// assign records the planned workers of the pending tasks. The start orders are sent
// once the record is stored; the lock is held.
func (o *Owner) assign(p *servicePlanner, c pendingGroup, outcome placement.Outcome, now time.Duration) {
	g := c.group
	tasks := g.tasks()
	number := int64(0)
	for _, i := range c.pending {
		number = max(number, tasks[i].Run)
	}
	number++
	g.multiRack = outcome.MultiRack
	g.gangSpeed = p.slowestSpeed(outcome.Workers)
	var started []*run
	for n, chosen := range outcome.Workers {
		i, w := c.pending[n], p.workers[chosen]
		t := &tasks[i]
		if !g.spec().Gang {
			number = t.Run + 1
		}
		t.Phase, t.Run, t.Assigned = workload.Assigned, number, workload.Assignment{Worker: w.ID, Incarnation: w.Incarnation, Machine: w.Machine, Address: w.Address}
		r := &run{group: g, index: i, number: number, worker: w, phase: phasePlanned, phaseSince: now, demand: g.spec().Demand(), throttlePercent: fullSpeedPercent}
		r.speed.resumed = t.Checkpoint != ""
		g.addRun(r)
		o.runRoom--
		started = append(started, r)
	}
	o.opts.Metrics.Placed(now - g.readySince)
	o.reportFirstPlacement(now)
	o.opts.Log.Info("placed", "job", g.job.ID, "occurrence", g.occurrence, "step", g.step, "tasks", len(started), "of", g.spec().Tasks,
		"run", number, "waitedMS", (now - g.readySince).Milliseconds(), "stopsMS", g.stopsWait.Milliseconds(), "slackMS", c.slack.Milliseconds(), "spread", outcome.MultiRack)
	g.job.afterCommit = append(g.job.afterCommit, func() {
		for _, r := range started {
			if r.phase == phasePlanned && r.group.runs[r.index] == r {
				o.setPhase(r, phaseStarting)
				o.enqueueOrder(r.worker, order{kind: orderStart, run: r})
			}
		}
	})
	o.markDirty(g.job)
}
