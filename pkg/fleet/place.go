package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/placement"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Tuning of the order in which groups are placed and of preemption.
const (
	// lateFactor is how many times its objective a job may take and still be
	// worth something to its caller.
	lateFactor = 3
	// reserveAfter is how long a blocked gang waits before room is kept for it.
	reservationDelay = 500 * time.Millisecond
	// maxReservations bounds how many blocked gangs keep room at a time; more
	// would leave the fleet idle.
	maxReservations = 3
	// spanWait is how long a gang within its guarantee waits for one rack before
	// it takes several: it has to begin within 2.7 s on the platform.
	multiRackDelay = time.Second
	// preemptRatio bounds the work that an urgent job outside its guarantee may
	// destroy, in multiples of its own work. Beyond it, callers gain nothing more;
	// docs/measurements.md compares the bounds.
	maxStopCostRatio = 2.0
	// avoidFor is how long a group that fits nowhere else keeps away from workers
	// that failed it.
	exclusionPeriod = time.Second
	// dueMargin is how long before its time an occurrence is started, so that
	// the order arrives in time.
	dueStartLead = 20 * time.Millisecond
)

// candidate is a group that waits for room, with what decides its rank.
type pendingGroup struct {
	group           *taskGroup
	pending         []int // tasks without a run
	priority        int
	targetEnd       time.Duration // when its job should be done
	expectedRunTime time.Duration // run time of a task
	criticalPath    time.Duration // run time of the rest of the job
	slack           time.Duration // objective less the rest of the chain
	lateness        int           // 0: can be in time, 1: late, 2: too late to be worth anything
	withinGuarantee bool          // urgent and within its workspace's guarantee
}

// placeWaiting gives workers to the groups that wait, best rank first, and
// returns whether any work waits; the lock is held.
func (o *Owner) placePending(now time.Duration) bool {
	waiting, timed := o.collectPending(now)
	if len(waiting) == 0 {
		return timed
	}
	o.markWithinGuarantee(waiting)
	slices.SortFunc(waiting, comparePlacementRank)
	o.cycles++
	reservations := 0
	for _, c := range waiting {
		service := o.serviceOf(c.group.job)
		p := o.planners[service]
		if p == nil || p.cycle != o.cycles {
			p = o.newServicePlanner(service, now)
		}
		reservations += o.placeGroup(p, c, now, reservations < maxReservations)
	}
	return true
}

// compareRank orders by priority, then what can still be in time, then slack.
func comparePlacementRank(a, b pendingGroup) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.group.job.ID, b.group.job.ID), cmp.Compare(a.group.occurrence, b.group.occurrence), cmp.Compare(a.group.step, b.group.step))
}

// gather returns the groups whose turn has come; timed says that others wait
// for their time.
func (o *Owner) collectPending(now time.Duration) (waiting []pendingGroup, timed bool) {
	unixMS := o.opts.Now().UnixMilli()
	for _, j := range o.live {
		for _, g := range j.groups {
			if g.complete() || len(g.runs) == g.spec().Tasks {
				continue
			}
			if due := j.DueUnixMS(g.occurrence); due > unixMS+dueStartLead.Milliseconds() {
				timed = true
				continue
			}
			if !o.dependenciesDone(g) {
				continue
			}
			if !g.ready {
				g.ready, g.readySince = true, now
			}
			if c, ok := o.pendingGroupOf(g, now, unixMS); ok {
				waiting = append(waiting, c)
			}
		}
	}
	return waiting, timed
}

// stepsDone reports whether all steps before the group's have ended.
func (o *Owner) dependenciesDone(g *taskGroup) bool {
	for _, earlier := range g.spec().After {
		if !g.job.group(g.occurrence, earlier).complete() {
			return false
		}
	}
	return true
}

func (o *Owner) pendingGroupOf(g *taskGroup, now time.Duration, unixMS int64) (pendingGroup, bool) {
	if g.spec().Gang && len(g.runs) > 0 {
		return pendingGroup{}, false // the former run has not ended on all workers
	}
	c := pendingGroup{group: g, priority: g.job.Class.Priority}
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
	switch {
	case c.slack >= 0:
		c.lateness = 0
	case start+lateFactor*allowed-c.criticalPath >= now:
		c.lateness = 1
	default:
		c.lateness = 2
	}
	return c, true
}

// objective is the time in which a job should be done.
func (o *Owner) targetDuration(j *job) time.Duration {
	return time.Duration(j.Class.SlackFactor*float64(o.criticalPath(j.Job))) + j.Class.TargetRuntime
}

// markEntitled finds the urgent groups of workspaces whose urgent jobs all fit
// into their guarantee.
func (o *Owner) markWithinGuarantee(waiting []pendingGroup) {
	need := map[string]int64{}
	for _, j := range o.live {
		if j.Class.Priority == 0 {
			need[j.Workspace] += maxStepAccelerators(j.Job)
		}
	}
	cat := o.opts.Catalog()
	if cat == nil {
		return
	}
	for _, ws := range cat.Workspaces {
		if ws.Guaranteed.Accelerators == 0 || need[ws.Name] > ws.Guaranteed.Accelerators {
			continue
		}
		for i := range waiting {
			if waiting[i].priority == 0 && waiting[i].group.job.Workspace == ws.Name {
				waiting[i].withinGuarantee = true
			}
		}
	}
}

// widest is the largest number of accelerators that a step of a job uses.
func maxStepAccelerators(j *workload.Job) int64 {
	var n int64
	for i := range j.Steps {
		n = max(n, int64(j.Steps[i].Tasks)*j.Steps[i].Request.Accelerators)
	}
	return n
}

// serviceOf is the service that runs a job by the configuration in force, or
// that at its acceptance if its queue has been dropped.
func (o *Owner) serviceOf(j *job) string {
	if cat := o.opts.Catalog(); cat != nil {
		if q := cat.Queue(j.Queue); q != nil {
			return q.Class.Service
		}
	}
	return j.Class.Service
}

// victim is what is stopped together: a gang, or a single run.
type victim struct {
	group *taskGroup
	run   *run // nil for a gang
}

// stop orders the victim's runs to stop; the lock is held.
func (v victim) stop(o *Owner, reason string) {
	if v.run != nil {
		o.stopRun(v.run, reason)
		return
	}
	o.stopGroup(v.group, reason)
}

// fleetPlanner is a planner over the workers of one service. Its buffers are used
// again by the next cycle.
type servicePlanner struct {
	*placement.Planner
	cycle    int64
	snapshot placement.Snapshot
	runs     []placement.Run
	workers  []*worker
	victims  []victim // by index of the snapshot's groups
}

// newPlanner takes a snapshot of the workers of a service; the lock is held.
func (o *Owner) newServicePlanner(service string, now time.Duration) *servicePlanner {
	p := o.planners[service]
	if p == nil {
		p = &servicePlanner{}
		o.planners[service] = p
	}
	p.cycle = o.cycles
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
			Penalty:     len(w.failedJobs),
		}
		first := len(p.runs)
		for r := range w.runs {
			if r.phase == phaseStopping || r.phase == phaseUncertain {
				continue
			}
			p.runs = append(p.runs, placement.Run{Group: o.addToVictim(p, r, now), Demand: r.demand, EndsIn: o.remainingRunTime(r, now)})
		}
		// The planner may add runs, which must not run into those of the next worker.
		pw.Runs = p.runs[first:len(p.runs):len(p.runs)]
		s.Workers = append(s.Workers, pw)
		p.workers = append(p.workers, w)
	}
	p.Planner = placement.New(*s)
	return p
}

// workersInOrder returns all workers by ID; the lock is held.
func (o *Owner) sortedWorkers() []*worker {
	if o.inOrder == nil {
		for _, w := range o.workers {
			o.inOrder = append(o.inOrder, w)
		}
		slices.SortFunc(o.inOrder, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.inOrder
}

// victimGroup returns the index of what is stopped together with a run.
func (o *Owner) addToVictim(p *servicePlanner, r *run, now time.Duration) int {
	v, mark := victim{group: r.group, run: r}, &r.victimPos
	if r.group.spec().Gang {
		v.run, mark = nil, &r.group.victimPos
	}
	if mark.cycle != p.cycle {
		*mark = victimPosition{cycle: p.cycle, index: len(p.victims)}
		p.victims = append(p.victims, v)
		p.snapshot.Groups = append(p.snapshot.Groups, placement.Group{Priority: r.group.job.Class.Priority, NonPreemptible: r.group.spec().MaxUnavailable > 0})
	}
	g := &p.snapshot.Groups[mark.index]
	g.StopCost += o.runStopCost(r, now)
	g.NonPreemptible = g.NonPreemptible || r.phase != phaseRunning
	return mark.index
}

// lostWork is the work in core-seconds that stopping a run throws away.
func (o *Owner) runStopCost(r *run, now time.Duration) float64 {
	done := (now - r.startedAt).Seconds()
	if r.group.spec().Checkpointing {
		done = min(done, o.opts.CheckpointIntervalS)
	}
	return r.demand.CoreEquivalents() * done
}

// placeOne asks for room for one group and orders what was decided. It returns
// 1 if room was kept for a blocked gang.
func (o *Owner) placeGroup(p *servicePlanner, c pendingGroup, now time.Duration, mayReserve bool) int {
	g := c.group
	spec := g.spec()
	waited := now - g.readySince
	request := placement.Request{
		Demand: spec.Demand(), Count: len(c.pending), Gang: spec.Gang, SameRack: spec.SameRack, RequiredLabel: spec.RequiredLabel,
		AffinityRack: spec.AffinityRack, MaxPerWorker: spec.MaxPerWorker, RunningPerWorker: runningPerWorker(g), ExcludedWorkers: g.excludedWorkers,
		Priority: c.priority, ExpectedDuration: c.expectedRunTime, MayPreempt: c.priority == 0 && c.lateness < 2,
		MaxStopCost:    maxStopCostRatio * spec.Demand().CoreEquivalents() * c.expectedRunTime.Seconds() * float64(len(c.pending)),
		AllowMultiRack: c.withinGuarantee && waited >= multiRackDelay, MultiRackSlowdown: o.opts.RemoteSlowdown, Reserve: mayReserve && waited >= reservationDelay,
	}
	if o.held() {
		request.MayPreempt = false
	} else if c.withinGuarantee {
		request.MayPreempt, request.MaxStopCost = true, math.Inf(1)
	}
	if o.adviceOf(g.job) != nil {
		request.EligibleWorkers = o.ticketHolders(g, now)
	}
	outcome := p.Place(request)
	if request.EligibleWorkers != nil && outcome.Code == placement.Blocked {
		o.requestAdvice(g, p, now)
		return 0
	}
	switch outcome.Code {
	case placement.Placed:
		o.assign(p, c, outcome, now)
	case placement.Preempting:
		for _, n := range outcome.Victims {
			v := p.victims[n]
			o.opts.Metrics.Event("preemption")
			o.opts.Log.Info("preempted for urgent work", "job", v.group.job.ID, "for", g.job.ID,
				"entitled", c.withinGuarantee, "waitedMS", waited.Milliseconds())
			v.stop(o, "preempted")
		}
	case placement.Blocked:
		o.logWaiting(p, c, waited, now)
		if len(g.excludedWorkers) > 0 && now-g.excludedAt > exclusionPeriod {
			clear(g.excludedWorkers) // better a worker that failed once than none
		}
		if request.Reserve && spec.Gang {
			return 1
		}
	case placement.AwaitingStops:
	}
	return 0
}

// waitNote is the pause between two log lines about a group that waits.
const waitLogInterval = 5 * time.Second

// noteWaiting logs what a group waits for; the lock is held.
func (o *Owner) logWaiting(p *servicePlanner, c pendingGroup, waited, now time.Duration) {
	if waited < waitLogInterval || now-c.group.waitLoggedAt < waitLogInterval {
		return
	}
	c.group.waitLoggedAt = now
	open, empty, silent := 0, 0, 0
	for _, w := range p.workers {
		switch {
		case w.failedCalls > 0:
			silent++
		case o.schedulable(w, now):
			open++
			if len(w.runs) == 0 {
				empty++
			}
		}
	}
	spec := c.group.spec()
	o.opts.Log.Info("waits for room", "job", c.group.job.ID, "step", c.group.step, "tasks", len(c.pending), "gang", spec.Gang, "sameRack", spec.SameRack,
		"accelerators", spec.Request.Accelerators, "requires", spec.RequiredLabel, "waitedMS", waited.Milliseconds(), "avoided", len(c.group.excludedWorkers),
		"workers", len(p.workers), "open", open, "empty", empty, "silent", silent)
}

// isOpen reports whether a worker takes new tasks; the lock is held.
func (o *Owner) schedulable(w *worker, now time.Duration) bool {
	return w.listed && !w.Draining && !w.cordoned && now >= w.backoffUntil && w.failedCalls == 0
}

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

// assign records the workers of the tasks. The starts are sent once the record
// is stored; the lock is held.
func (o *Owner) assign(p *servicePlanner, c pendingGroup, outcome placement.Outcome, now time.Duration) {
	g := c.group
	tasks := g.tasks()
	number := int64(0)
	for _, i := range c.pending {
		number = max(number, tasks[i].Run)
	}
	number++
	g.multiRack = outcome.MultiRack
	var started []*run
	for n, chosen := range outcome.Workers {
		i, w := c.pending[n], p.workers[chosen]
		t := &tasks[i]
		if !g.spec().Gang {
			number = t.Run + 1
		}
		t.Phase, t.Run, t.Assigned = workload.Assigned, number, workload.Assignment{Worker: w.ID, Incarnation: w.Incarnation}
		r := &run{group: g, index: i, number: number, worker: w, phase: phasePlanned, demand: g.spec().Demand(), throttlePercent: 100}
		g.runs[i], w.runs[r] = r, struct{}{}
		started = append(started, r)
	}
	o.opts.Metrics.Placed(now - g.readySince)
	o.opts.Log.Info("placed", "job", g.job.ID, "occurrence", g.occurrence, "step", g.step, "tasks", len(started), "of", g.spec().Tasks,
		"run", number, "waitedMS", (now - g.readySince).Milliseconds(), "slackMS", c.slack.Milliseconds(), "spread", outcome.MultiRack)
	g.job.afterCommit = append(g.job.afterCommit, func() {
		for _, r := range started {
			if r.phase == phasePlanned && r.group.runs[r.index] == r {
				r.phase = phaseStarting
				o.send(r.worker, order{kind: orderStart, run: r})
			}
		}
	})
	o.touch(g.job)
}
