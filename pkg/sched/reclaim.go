package sched

import (
	"math/bits"
	"slices"
	"time"
)

// claim holds accelerators and slots for a job until its victims have stopped.
type claim struct {
	job    *job
	allocs []allocation
}

// reclaimPlan is a set of preemptions that makes room for a job in the cells of its
// workspace.
type reclaimPlan struct {
	allocs  []allocation
	victims []*job
	cost    time.Duration
}

const (
	// reclaimCooldown is how long a preempted job waits before it may preempt others,
	// so that reclaims do not cascade.
	reclaimCooldown = 30 * time.Second
	// reclaimDelay is how long a job waits for capacity to become free before other
	// jobs are preempted for it. An urgent job waits at most its start bound divided
	// by urgentDelayDivisor.
	reclaimDelay       = 2 * time.Second
	urgentDelayDivisor = 12
	// deadlinePenalty makes jobs with a deadline the last choice of victim.
	deadlinePenalty = 24 * time.Hour
	// taskRestartCost is the cost of a restart per accelerator, added to the lost work.
	taskRestartCost = 2 * time.Second
	// startBoundMargin is the part of a start bound left for the stop of the victims and
	// the start of the job.
	startBoundMargin   = 1500 * time.Millisecond
	minPreemptionGrace = 500 * time.Millisecond
)

// mayReclaim reports whether the job may now preempt others in its workspace's cells.
func (d *Domain) mayReclaim(now time.Time, j *job) bool {
	if !d.rules.Reclaim || len(j.ws.parts) == 0 {
		return false
	}
	patience := reclaimDelay
	switch {
	case !d.rules.DelayPreemption && (j.urgent() || !j.Preempted):
		return true
	case j.urgent():
		patience = min(patience, j.class.StartWithin/urgentDelayDivisor)
	case j.Preempted:
		patience = reclaimCooldown
	}
	if ready := j.queuedAt.Add(patience); now.Before(ready) {
		d.requestDecide(ready)
		return false
	}
	return true
}

// planReclaim returns the cheapest plan that makes room for the job in the cells of
// its workspace, or nil.
func (d *Domain) planReclaim(now time.Time, j *job) *reclaimPlan {
	var best *reclaimPlan
	for _, p := range j.ws.parts {
		if !p.worker.usable() || j.avoids(p.worker) {
			continue
		}
		if j.Accelerators == 0 {
			best = cheaper(best, d.planBlock(now, j, p, 0))
			continue
		}
		block := lowMask(j.Accelerators)
		step := 1 << levelFor(j.Accelerators)
		for at := 0; at+j.Accelerators <= p.worker.Accelerators; at += step {
			if m := block << at; m&^p.mask == 0 {
				best = cheaper(best, d.planBlock(now, j, p, m))
			}
		}
	}
	if best != nil || j.Accelerators == 0 {
		return best
	}
	return d.planGang(now, j)
}

func cheaper(a, b *reclaimPlan) *reclaimPlan {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}
	return a
}

// preemptionCost returns the cost of preempting v for j in the cells of j's workspace,
// and whether that is permitted.
func (d *Domain) preemptionCost(now time.Time, j, v *job) (time.Duration, bool) {
	if !v.preemptible() {
		return 0, false
	}
	if v.ws == j.ws && (!d.rules.ReclaimOwnCells || !j.urgent() || v.urgent() || v.class.Rank <= j.class.Rank) {
		return 0, false
	}
	if v.phase == phaseStopping {
		return 0, true
	}
	cost := v.lostWork(now) + taskRestartCost*time.Duration(max(v.Accelerators, 1))
	if !v.Deadline.IsZero() {
		cost += deadlinePenalty
	}
	return cost, true
}

// planBlock plans to free the accelerators in mask and one slot of the part.
func (d *Domain) planBlock(now time.Time, j *job, p *cellPart, mask uint64) *reclaimPlan {
	w := p.worker
	if mask&w.claimed != 0 {
		return nil
	}
	out := &reclaimPlan{allocs: []allocation{{worker: w, mask: mask}}}
	freeSlots, ownSlots := w.unclaimedSlots(), p.slots-p.slotsUsed
	add := func(v *job, cost time.Duration) {
		out.victims = append(out.victims, v)
		out.cost += cost
		for _, s := range v.allocs {
			if s.worker == w {
				freeSlots++
				if s.part == p {
					ownSlots++
				}
			}
		}
	}
	for _, v := range w.jobs {
		if !v.uses(w, mask) || slices.Contains(out.victims, v) {
			continue
		}
		cost, ok := d.preemptionCost(now, j, v)
		if !ok {
			return nil
		}
		add(v, cost)
	}
	for ownSlots <= 0 {
		if !d.addCheapestVictim(now, j, w, out, add, func(s allocation) bool { return s.part == p }) {
			return nil
		}
	}
	// Slots of victims that stop for other claims are already counted as claimed.
	for freeSlots <= 0 {
		if !d.addCheapestVictim(now, j, w, out, add, func(s allocation) bool { return s.kind != slotUnpinned }) {
			return nil
		}
	}
	return out
}

// addCheapestVictim adds the cheapest victim on the worker that has a task which match
// accepts.
func (d *Domain) addCheapestVictim(now time.Time, j *job, w *worker, out *reclaimPlan, add func(*job, time.Duration), match func(allocation) bool) bool {
	var best *job
	var bestCost time.Duration
	w.eachAlloc(func(v *job, s *allocation) {
		if !match(*s) || slices.Contains(out.victims, v) {
			return
		}
		if cost, ok := d.preemptionCost(now, j, v); ok && (best == nil || cost < bestCost) {
			best, bestCost = v, cost
		}
	})
	if best == nil {
		return false
	}
	add(best, bestCost)
	return true
}

func (j *job) uses(w *worker, mask uint64) bool {
	for _, s := range j.allocs {
		if s.worker == w && s.mask&mask != 0 {
			return true
		}
	}
	return false
}

// planGang plans a gang on several workers, either in one cell of its workspace or on
// the workers with the lowest cost per accelerator.
func (d *Domain) planGang(now time.Time, j *job) *reclaimPlan {
	_, loosest := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if loosest == levelWorker {
		return nil
	}
	if j.hasFittingCell() {
		return d.planOwnCell(now, j)
	}
	if loosest == levelDomain {
		return d.planOnWorkers(now, j, d.workers)
	}
	var best *reclaimPlan
	for _, r := range d.racks {
		best = cheaper(best, d.planOnWorkers(now, j, r.workers))
	}
	return best
}

// planOnWorkers plans a gang on the given workers, those with the lowest cost per
// accelerator first.
func (d *Domain) planOnWorkers(now time.Time, j *job, workers []*worker) *reclaimPlan {
	type option struct {
		allocation
		victims []*job
		cost    time.Duration
	}
	var options []option
	total := 0
	for _, w := range workers {
		free := d.usableAccelerators(j, w, d.mayBorrow(j))
		o := option{allocation: allocation{worker: w, mask: free}}
		for _, p := range w.parts {
			if p.cell.ws == j.ws && w.usable() && !j.avoids(w) {
				if b := d.planPart(now, j, p); b != nil {
					o.mask |= b.allocs[0].mask
					o.victims = append(o.victims, b.victims...)
					o.cost += b.cost
				}
			}
		}
		if o.mask != 0 {
			options = append(options, o)
			total += bits.OnesCount64(o.mask)
		}
	}
	if total < j.Accelerators {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return int(a.cost/time.Duration(bits.OnesCount64(a.mask)) - b.cost/time.Duration(bits.OnesCount64(b.mask)))
	})
	out, need := &reclaimPlan{}, j.Accelerators
	for _, o := range options {
		for bits.OnesCount64(o.mask) > need {
			o.mask &= o.mask - 1
		}
		need -= bits.OnesCount64(o.mask)
		out.allocs = append(out.allocs, o.allocation)
		for _, v := range o.victims {
			if !slices.Contains(out.victims, v) && (v.uses(o.worker, o.mask) || o.worker.unclaimedSlots() <= 0) {
				out.victims = append(out.victims, v)
			}
		}
		out.cost += o.cost
		if need == 0 {
			return out
		}
	}
	return nil
}

// planPart plans to free the accelerators of the part that are not in use by jobs
// that j may not preempt.
func (d *Domain) planPart(now time.Time, j *job, p *cellPart) *reclaimPlan {
	mask := p.mask &^ p.worker.claimed
	for _, v := range p.worker.jobs {
		if _, ok := d.preemptionCost(now, j, v); !ok {
			for _, s := range v.allocs {
				if s.worker == p.worker {
					mask &^= s.mask
				}
			}
		}
	}
	if mask == 0 {
		return nil
	}
	return d.planBlock(now, j, p, mask)
}

// reclaim starts the preemptions that make room for the job and reports whether the
// job now has a claim.
func (d *Domain) reclaim(now time.Time, j *job, confirmed bool, out *[]Action) bool {
	if !confirmed && !d.mayReclaim(now, j) {
		return false
	}
	p := d.planReclaim(now, j)
	if p == nil {
		return false
	}
	if !confirmed && d.automationHeld(now, j, p) {
		d.propose(now, j, p, out)
		return false
	}
	if !d.preemptionTokens.take(now, float64(len(p.victims))) {
		d.requestDecide(now.Add(time.Second))
		return false
	}
	if j.reservation != nil {
		d.dropReservation(j.reservation)
	}
	d.dequeue(j)
	d.makeClaim(j, p)
	stop := d.stopBy(now, j)
	for _, v := range p.victims {
		if v.phase != phaseStopping {
			v.phase, v.stopBy = phaseStopping, stop
			*out = append(*out, d.preemptAction(now, j, v))
		}
	}
	return true
}

func (d *Domain) preemptAction(now time.Time, j, v *job) Action {
	return Action{
		Type: ActionPreempt, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: string(j.ID), Reclaim: true,
		Reason: "workspace " + j.Workspace + " takes back its guaranteed cells", StopBy: d.stopBy(now, j), LostWork: v.lostWork(now),
	}
}

// stopBy returns the latest stop time of victims. It leaves them as much time for a
// checkpoint as PreemptionGrace and the start bound of j permit.
func (d *Domain) stopBy(now time.Time, j *job) time.Time {
	grace := d.opts.PreemptionGrace
	if j.urgent() {
		grace = min(grace, j.queuedAt.Add(j.class.StartWithin-startBoundMargin).Sub(now))
	}
	return now.Add(max(grace, minPreemptionGrace))
}

func (d *Domain) automationHeld(now time.Time, j *job, p *reclaimPlan) bool {
	if _, held := d.doc.Held(j.Workspace, now); held {
		return true
	}
	for _, v := range p.victims {
		if _, held := d.doc.Held(v.Workspace, now); held {
			return true
		}
	}
	return false
}

// proposalInterval is the interval at which unconfirmed proposals are repeated.
const proposalInterval = 30 * time.Second

// propose emits the preemptions of the plan as proposals.
func (d *Domain) propose(now time.Time, j *job, p *reclaimPlan, out *[]Action) {
	next := j.proposedAt.Add(proposalInterval)
	if j.proposedAt.IsZero() || !now.Before(next) {
		j.proposedAt, next = now, now.Add(proposalInterval)
		for _, v := range p.victims {
			a := d.preemptAction(now, j, v)
			a.Proposal = true
			*out = append(*out, a)
		}
	}
	d.requestDecide(next)
}

func (d *Domain) makeClaim(j *job, p *reclaimPlan) {
	c := &claim{job: j, allocs: p.allocs}
	j.claim, j.phase = c, phaseClaiming
	d.claims = append(d.claims, c)
	d.countClaimUsage(c, 1)
	for _, s := range c.allocs {
		s.worker.claimed |= s.mask
		s.worker.slotsClaimed++
		d.refreshIndexes(s.worker)
	}
}

func (d *Domain) countClaimUsage(c *claim, sign int) {
	ws := c.job.ws
	ws.accelerators += sign * c.job.Accelerators
	ws.slots += sign * len(c.allocs)
	ws.queued += sign
	d.queued += sign
	d.queuedByClass[c.job.Class] += sign
}

// dropClaim releases the accelerators and slots of the claim.
func (d *Domain) dropClaim(c *claim) {
	d.claims = slices.DeleteFunc(d.claims, func(o *claim) bool { return o == c })
	c.job.claim = nil
	d.countClaimUsage(c, -1)
	for _, s := range c.allocs {
		s.worker.claimed &^= s.mask
		s.worker.slotsClaimed--
		d.refreshIndexes(s.worker)
	}
	d.capacityFreed = true
}

// ready reports whether all accelerators and slots of the claim are free.
func (c *claim) ready() bool {
	for _, s := range c.allocs {
		if s.mask&^s.worker.free != 0 || s.worker.slotsUsed >= s.worker.Slots {
			return false
		}
	}
	return true
}

func (c *claim) hasUnusableWorker() bool {
	return slices.ContainsFunc(c.allocs, func(s allocation) bool { return !s.worker.usable() })
}

// resolveClaims places the jobs whose claims are ready and queues the jobs again whose
// claims include an unusable worker.
func (d *Domain) resolveClaims(now time.Time, out *[]Action) {
	for _, c := range slices.Clone(d.claims) {
		switch {
		case c.hasUnusableWorker():
			d.dropClaim(c)
			d.enqueue(c.job)
		case c.ready():
			d.dropClaim(c)
			c.job.allocs = c.allocs
			d.allocate(now, c.job)
			*out = append(*out, d.placeAction(c.job))
		}
	}
}
