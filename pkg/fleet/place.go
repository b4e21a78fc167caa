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
	reserveAfter = 500 * time.Millisecond
	// maxReservations bounds how many blocked gangs keep room at a time; more
	// would leave the fleet idle.
	maxReservations = 3
	// spanWait is how long a gang within its guarantee waits for one rack before
	// it takes several: it has to begin within 2.7 s on the platform.
	spanWait = time.Second
	// preemptRatio bounds the work that an urgent job outside its guarantee may
	// destroy, in multiples of its own work. Beyond it, callers gain nothing more;
	// docs/measurements.md compares the bounds.
	preemptRatio = 2.0
	// avoidFor is how long a group that fits nowhere else keeps away from workers
	// that failed it.
	avoidFor = time.Second
	// dueMargin is how long before its time an occurrence is started, so that
	// the order arrives in time.
	dueMargin = 20 * time.Millisecond
)

// candidate is a group that waits for room, with what decides its rank.
type candidate struct {
	group     *group
	pending   []int // tasks without a run
	priority  int
	objective time.Duration // when its job should be done
	expected  time.Duration // run time of a task
	chain     time.Duration // run time of the rest of the job
	slack     time.Duration // objective less the rest of the chain
	tier      int           // 0: can be in time, 1: late, 2: too late to be worth anything
	entitled  bool          // urgent and within its workspace's guarantee
}

// placeWaiting gives workers to the groups that wait, best rank first, and
// returns whether any work waits; the lock is held.
func (o *Owner) placeWaiting(now time.Duration) bool {
	waiting, timed := o.gather(now)
	if len(waiting) == 0 {
		return timed
	}
	o.markEntitled(waiting)
	slices.SortFunc(waiting, compareRank)
	o.cycles++
	reservations := 0
	for _, c := range waiting {
		service := o.serviceOf(c.group.job)
		p := o.planners[service]
		if p == nil || p.cycle != o.cycles {
			p = o.newPlanner(service, now)
		}
		reservations += o.placeOne(p, c, now, reservations < maxReservations)
	}
	return true
}

// compareRank orders by priority, then what can still be in time, then slack.
func compareRank(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.tier, b.tier), cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.group.job.ID, b.group.job.ID), cmp.Compare(a.group.occurrence, b.group.occurrence), cmp.Compare(a.group.step, b.group.step))
}

// gather returns the groups whose turn has come; timed says that others wait
// for their time.
func (o *Owner) gather(now time.Duration) (waiting []candidate, timed bool) {
	unixMS := o.opts.Now().UnixMilli()
	for _, j := range o.live {
		for _, g := range j.groups {
			if g.complete() || len(g.runs) == g.spec().Tasks {
				continue
			}
			if due := j.DueUnixMS(g.occurrence); due > unixMS+dueMargin.Milliseconds() {
				timed = true
				continue
			}
			if !o.stepsDone(g) {
				continue
			}
			if !g.ready {
				g.ready, g.readySince = true, now
			}
			if c, ok := o.candidateOf(g, now, unixMS); ok {
				waiting = append(waiting, c)
			}
		}
	}
	return waiting, timed
}

// stepsDone reports whether all steps before the group's have ended.
func (o *Owner) stepsDone(g *group) bool {
	for _, earlier := range g.spec().After {
		if !g.job.group(g.occurrence, earlier).complete() {
			return false
		}
	}
	return true
}

func (o *Owner) candidateOf(g *group, now time.Duration, unixMS int64) (candidate, bool) {
	if g.spec().Gang && len(g.runs) > 0 {
		return candidate{}, false // the former run has not ended on all workers
	}
	c := candidate{group: g, priority: g.job.Class.Priority}
	for i, t := range g.tasks() {
		if t.Phase == workload.Pending && g.runs[i] == nil {
			c.pending = append(c.pending, i)
		}
	}
	if len(c.pending) == 0 {
		return candidate{}, false
	}
	c.expected = o.expected(g)
	c.chain = o.chainFrom(g)
	start := g.job.firstAt
	if g.job.HasDueTimes() {
		start = now - time.Duration(unixMS-g.job.DueUnixMS(g.occurrence))*time.Millisecond
	}
	allowed := o.objective(g.job)
	c.objective = start + allowed
	c.slack = c.objective - c.chain - now
	switch {
	case c.slack >= 0:
		c.tier = 0
	case start+lateFactor*allowed-c.chain >= now:
		c.tier = 1
	default:
		c.tier = 2
	}
	return c, true
}

// objective is the time in which a job should be done.
func (o *Owner) objective(j *job) time.Duration {
	return time.Duration(j.Class.SlackFactor*float64(o.chainOf(j.Job))) + j.Class.TargetRuntime
}

// markEntitled finds the urgent groups of workspaces whose urgent jobs all fit
// into their guarantee.
func (o *Owner) markEntitled(waiting []candidate) {
	need := map[string]int64{}
	for _, j := range o.live {
		if j.Class.Priority == 0 {
			need[j.Workspace] += widest(j.Job)
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
				waiting[i].entitled = true
			}
		}
	}
}

// widest is the largest number of accelerators that a step of a job uses.
func widest(j *workload.Job) int64 {
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
	group *group
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
type fleetPlanner struct {
	*placement.Planner
	cycle    int64
	snapshot placement.Snapshot
	runs     []placement.Run
	workers  []*worker
	victims  []victim // by index of the snapshot's groups
}

// newPlanner takes a snapshot of the workers of a service; the lock is held.
func (o *Owner) newPlanner(service string, now time.Duration) *fleetPlanner {
	p := o.planners[service]
	if p == nil {
		p = &fleetPlanner{}
		o.planners[service] = p
	}
	p.cycle = o.cycles
	s := &p.snapshot
	s.Workers, s.Groups, p.runs, p.workers, p.victims = s.Workers[:0], s.Groups[:0], p.runs[:0], p.workers[:0], p.victims[:0]
	for _, w := range o.workersInOrder() {
		if w.Service != service {
			continue
		}
		all, beingStopped := w.used()
		pw := placement.Worker{
			ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
			Free: w.Capacity.Sub(all), FreeAfterStops: w.Capacity.Sub(all).Add(beingStopped),
			Schedulable: o.isOpen(w, now),
			Penalty:     len(w.strikes),
		}
		first := len(p.runs)
		for r := range w.runs {
			if r.phase == stopping || r.phase == settling {
				continue
			}
			p.runs = append(p.runs, placement.Run{Group: o.victimGroup(p, r, now), Demand: r.demand, EndsIn: o.remaining(r, now)})
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
func (o *Owner) workersInOrder() []*worker {
	if o.sortedWorkers == nil {
		for _, w := range o.workers {
			o.sortedWorkers = append(o.sortedWorkers, w)
		}
		slices.SortFunc(o.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.sortedWorkers
}

// victimGroup returns the index of what is stopped together with a run.
func (o *Owner) victimGroup(p *fleetPlanner, r *run, now time.Duration) int {
	v, mark := victim{group: r.group, run: r}, &r.planned
	if r.group.spec().Gang {
		v.run, mark = nil, &r.group.planned
	}
	if mark.cycle != p.cycle {
		*mark = planMark{cycle: p.cycle, index: len(p.victims)}
		p.victims = append(p.victims, v)
		p.snapshot.Groups = append(p.snapshot.Groups, placement.Group{Priority: r.group.job.Class.Priority, NonPreemptible: r.group.spec().MaxUnavailable > 0})
	}
	g := &p.snapshot.Groups[mark.index]
	g.StopCost += o.lostWork(r, now)
	g.NonPreemptible = g.NonPreemptible || r.phase != running
	return mark.index
}

// lostWork is the work in core-seconds that stopping a run throws away.
func (o *Owner) lostWork(r *run, now time.Duration) float64 {
	done := (now - r.startedAt).Seconds()
	if r.group.spec().Checkpointing {
		done = min(done, o.opts.CheckpointIntervalS)
	}
	return r.demand.CoreEquivalents() * done
}

// placeOne asks for room for one group and orders what was decided. It returns
// 1 if room was kept for a blocked gang.
func (o *Owner) placeOne(p *fleetPlanner, c candidate, now time.Duration, mayReserve bool) int {
	g := c.group
	spec := g.spec()
	waited := now - g.readySince
	request := placement.Request{
		Demand: spec.Demand(), Count: len(c.pending), Gang: spec.Gang, SameRack: spec.SameRack, RequiredLabel: spec.RequiredLabel,
		AffinityRack: spec.AffinityRack, MaxPerWorker: spec.MaxPerWorker, RunningPerWorker: perWorker(g), ExcludedWorkers: g.avoid,
		Priority: c.priority, ExpectedDuration: c.expected, MayPreempt: c.priority == 0 && c.tier < 2,
		MaxStopCost:    preemptRatio * spec.Demand().CoreEquivalents() * c.expected.Seconds() * float64(len(c.pending)),
		AllowMultiRack: c.entitled && waited >= spanWait, MultiRackSlowdown: o.opts.RemoteSlowdown, Reserve: mayReserve && waited >= reserveAfter,
	}
	if o.automationHeld() {
		request.MayPreempt = false
	} else if c.entitled {
		request.MayPreempt, request.MaxStopCost = true, math.Inf(1)
	}
	if o.adviceOf(g.job) != nil {
		request.EligibleWorkers = o.ticketHolders(g, now)
	}
	outcome := p.Place(request)
	if request.EligibleWorkers != nil && outcome.Code == placement.Blocked {
		o.askAdvice(g, p, now)
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
				"entitled", c.entitled, "waitedMS", waited.Milliseconds())
			v.stop(o, "preempted")
		}
	case placement.Blocked:
		o.noteWaiting(p, c, waited, now)
		if len(g.avoid) > 0 && now-g.shunnedAt > avoidFor {
			clear(g.avoid) // better a worker that failed once than none
		}
		if request.Reserve && spec.Gang {
			return 1
		}
	case placement.AwaitingStops:
	}
	return 0
}

// waitNote is the pause between two log lines about a group that waits.
const waitNote = 5 * time.Second

// noteWaiting logs what a group waits for; the lock is held.
func (o *Owner) noteWaiting(p *fleetPlanner, c candidate, waited, now time.Duration) {
	if waited < waitNote || now-c.group.notedAt < waitNote {
		return
	}
	c.group.notedAt = now
	open, empty, silent := 0, 0, 0
	for _, w := range p.workers {
		switch {
		case w.failing > 0:
			silent++
		case o.isOpen(w, now):
			open++
			if len(w.runs) == 0 {
				empty++
			}
		}
	}
	spec := c.group.spec()
	o.opts.Log.Info("waits for room", "job", c.group.job.ID, "step", c.group.step, "tasks", len(c.pending), "gang", spec.Gang, "sameRack", spec.SameRack,
		"accelerators", spec.Request.Accelerators, "requires", spec.RequiredLabel, "waitedMS", waited.Milliseconds(), "avoided", len(c.group.avoid),
		"workers", len(p.workers), "open", open, "empty", empty, "silent", silent)
}

// isOpen reports whether a worker takes new tasks; the lock is held.
func (o *Owner) isOpen(w *worker, now time.Duration) bool {
	return w.listed && !w.Draining && !w.cordoned && now >= w.backoffTill && w.failing == 0
}

func perWorker(g *group) map[string]int {
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
func (o *Owner) assign(p *fleetPlanner, c candidate, outcome placement.Outcome, now time.Duration) {
	g := c.group
	tasks := g.tasks()
	number := int64(0)
	for _, i := range c.pending {
		number = max(number, tasks[i].Run)
	}
	number++
	g.spread = outcome.MultiRack
	var started []*run
	for n, chosen := range outcome.Workers {
		i, w := c.pending[n], p.workers[chosen]
		t := &tasks[i]
		if !g.spec().Gang {
			number = t.Run + 1
		}
		t.Phase, t.Run, t.Assigned = workload.Assigned, number, workload.Assignment{Worker: w.ID, Incarnation: w.Incarnation}
		r := &run{group: g, index: i, number: number, worker: w, phase: planned, demand: g.spec().Demand(), pace: 100}
		g.runs[i], w.runs[r] = r, struct{}{}
		started = append(started, r)
	}
	o.opts.Metrics.Placed(now - g.readySince)
	o.opts.Log.Info("placed", "job", g.job.ID, "occurrence", g.occurrence, "step", g.step, "tasks", len(started), "of", g.spec().Tasks,
		"run", number, "waitedMS", (now - g.readySince).Milliseconds(), "slackMS", c.slack.Milliseconds(), "spread", outcome.MultiRack)
	g.job.after = append(g.job.after, func() {
		for _, r := range started {
			if r.phase == planned && r.group.runs[r.index] == r {
				r.phase = starting
				o.send(r.worker, order{kind: orderStart, run: r})
			}
		}
	})
	o.markDirty(g.job)
}
