package sched

import (
	"math/bits"
	"slices"
	"time"
)

// claim promises places to a job whose victims are stopping.
type claim struct {
	j     *job
	spots []spot
}

// plan is a way to make room for a job in its workspace's own cells.
type plan struct {
	spots   []spot
	victims []*job
	cost    time.Duration
}

const (
	// reclaimCooldown keeps a job that was itself preempted from preempting
	// others at once, so that reclaims do not cascade.
	reclaimCooldown = 30 * time.Second
	// reclaimPatience is how long a job waits for capacity that becomes free by
	// itself before others are preempted for it. Urgent work waits at most this
	// part of its bound.
	reclaimPatience = 2 * time.Second
	urgentPatience  = 12
	// deadlinePenalty makes a victim with a deadline the last choice.
	deadlinePenalty = 24 * time.Hour
	// victimCost is the restart of one task, added to the lost work.
	victimCost = 2 * time.Second
	// startMargin is the part of a start bound kept for stop and start.
	startMargin = 1500 * time.Millisecond
	minGrace    = 500 * time.Millisecond
)

// mayReclaim reports whether the job may preempt for its workspace's cells now.
func (d *Domain) mayReclaim(now time.Time, j *job) bool {
	if !d.rules.Reclaim || len(j.ws.parts) == 0 {
		return false
	}
	patience := reclaimPatience
	switch {
	case !d.rules.DelayPreemption && (j.urgent() || !j.Preempted):
		return true
	case j.urgent():
		patience = min(patience, j.class.StartWithin/urgentPatience)
	case j.Preempted:
		patience = reclaimCooldown
	}
	if ready := j.queuedAt.Add(patience); now.Before(ready) {
		d.wakeAt(ready)
		return false
	}
	return true
}

// planReclaim finds the cheapest way to give the job cells of its workspace.
func (d *Domain) planReclaim(now time.Time, j *job) *plan {
	var best *plan
	for _, p := range j.ws.parts {
		if !p.w.usable() || j.avoids(p.w) {
			continue
		}
		if j.Accelerators == 0 {
			best = cheaper(best, d.planBlock(now, j, p, 0))
			continue
		}
		block := lowMask(j.Accelerators)
		step := 1 << levelFor(j.Accelerators)
		for at := 0; at+j.Accelerators <= p.w.Accelerators; at += step {
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

func cheaper(a, b *plan) *plan {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}
	return a
}

// victim reports whether the running job v may be preempted for j in cells of
// j's workspace, and at what cost.
func (d *Domain) victim(now time.Time, j, v *job) (time.Duration, bool) {
	if !v.preemptible() {
		return 0, false
	}
	if v.ws == j.ws && (!d.rules.ReclaimOwnCells || !j.urgent() || v.urgent() || v.class.Rank <= j.class.Rank) {
		return 0, false
	}
	if v.phase == phaseStopping {
		return 0, true
	}
	cost := v.lost(now) + victimCost*time.Duration(max(v.Accelerators, 1))
	if !v.Deadline.IsZero() {
		cost += deadlinePenalty
	}
	return cost, true
}

// planBlock plans to free the accelerators mask and one slot of the part.
func (d *Domain) planBlock(now time.Time, j *job, p *part, mask uint64) *plan {
	w := p.w
	if mask&w.claimed != 0 {
		return nil
	}
	out := &plan{spots: []spot{{w: w, mask: mask}}}
	physical, own := w.physicalSlots(), p.slots-p.slotsUsed
	add := func(v *job, cost time.Duration) {
		out.victims = append(out.victims, v)
		out.cost += cost
		for _, s := range v.spots {
			if s.w == w {
				physical++
				if s.part == p {
					own++
				}
			}
		}
	}
	for _, v := range w.tasks {
		if !v.uses(w, mask) || slices.Contains(out.victims, v) {
			continue
		}
		cost, ok := d.victim(now, j, v)
		if !ok {
			return nil
		}
		add(v, cost)
	}
	for own <= 0 {
		if !d.addVictim(now, j, w, out, add, func(s spot) bool { return s.part == p }) {
			return nil
		}
	}
	// Victims that stop for other claims count against the claimed slots.
	for physical <= 0 {
		if !d.addVictim(now, j, w, out, add, func(s spot) bool { return s.kind != slotOfFree }) {
			return nil
		}
	}
	return out
}

// addVictim adds the cheapest task of the worker that match accepts.
func (d *Domain) addVictim(now time.Time, j *job, w *worker, out *plan, add func(*job, time.Duration), match func(spot) bool) bool {
	var best *job
	var bestCost time.Duration
	w.eachSpot(func(v *job, s *spot) {
		if !match(*s) || slices.Contains(out.victims, v) {
			return
		}
		if cost, ok := d.victim(now, j, v); ok && (best == nil || cost < bestCost) {
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
	for _, s := range j.spots {
		if s.w == w && s.mask&mask != 0 {
			return true
		}
	}
	return false
}

// planGang plans a gang over several workers: free accelerators first, then the
// parts of own cells that cost least.
func (d *Domain) planGang(now time.Time, j *job) *plan {
	_, loose := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if loose == levelWorker {
		return nil
	}
	if j.hasCell() {
		return d.planOwnCell(now, j)
	}
	if loose == levelDomain {
		return d.planOver(now, j, d.workers)
	}
	var best *plan
	for _, r := range d.racks {
		best = cheaper(best, d.planOver(now, j, r.workers))
	}
	return best
}

// planOver plans a gang over the given workers.
func (d *Domain) planOver(now time.Time, j *job, workers []*worker) *plan {
	type option struct {
		spot
		victims []*job
		cost    time.Duration
	}
	var options []option
	total := 0
	for _, w := range workers {
		free := d.usableBy(j, w, d.mayBorrow(j))
		o := option{spot: spot{w: w, mask: free}}
		for _, p := range w.parts {
			if p.cell.ws == j.ws && w.usable() && !j.avoids(w) {
				if b := d.planPart(now, j, p); b != nil {
					o.mask |= b.spots[0].mask
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
	out, need := &plan{}, j.Accelerators
	for _, o := range options {
		for bits.OnesCount64(o.mask) > need {
			o.mask &= o.mask - 1
		}
		need -= bits.OnesCount64(o.mask)
		out.spots = append(out.spots, o.spot)
		for _, v := range o.victims {
			if !slices.Contains(out.victims, v) && (v.uses(o.w, o.mask) || o.w.physicalSlots() <= 0) {
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

// planPart plans to free what the owner's later classes and borrowers hold of a part.
func (d *Domain) planPart(now time.Time, j *job, p *part) *plan {
	mask := p.mask &^ p.w.claimed
	for _, v := range p.w.tasks {
		if _, ok := d.victim(now, j, v); !ok {
			for _, s := range v.spots {
				if s.w == p.w {
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

// reclaim starts to free room for the job and reports whether it has a claim now.
func (d *Domain) reclaim(now time.Time, j *job, confirmed bool, out *[]Action) bool {
	if !confirmed && !d.mayReclaim(now, j) {
		return false
	}
	p := d.planReclaim(now, j)
	if p == nil {
		return false
	}
	if !confirmed && d.planHeld(now, j, p) {
		d.propose(now, j, p, out)
		return false
	}
	if !d.tokens.take(now, float64(len(p.victims))) {
		d.wakeAt(now.Add(time.Second))
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
			*out = append(*out, d.preempt(now, j, v))
		}
	}
	return true
}

func (d *Domain) preempt(now time.Time, j, v *job) Action {
	return Action{
		Type: ActionPreempt, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: string(j.ID), Reclaim: true,
		Reason: "workspace " + j.Workspace + " takes back its guaranteed cells", StopBy: d.stopBy(now, j), LostWork: v.lost(now),
	}
}

// stopBy leaves the victims as much time for a checkpoint as the bound on the
// start of j permits.
func (d *Domain) stopBy(now time.Time, j *job) time.Time {
	grace := d.opts.PreemptionGrace
	if j.urgent() {
		grace = min(grace, j.queuedAt.Add(j.class.StartWithin-startMargin).Sub(now))
	}
	return now.Add(max(grace, minGrace))
}

func (d *Domain) planHeld(now time.Time, j *job, p *plan) bool {
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

// proposalInterval is how often an unconfirmed proposal is repeated.
const proposalInterval = 30 * time.Second

// propose lists the preemptions of the plan as proposals.
func (d *Domain) propose(now time.Time, j *job, p *plan, out *[]Action) {
	next := j.proposedAt.Add(proposalInterval)
	if j.proposedAt.IsZero() || !now.Before(next) {
		j.proposedAt, next = now, now.Add(proposalInterval)
		for _, v := range p.victims {
			a := d.preempt(now, j, v)
			a.Proposal = true
			*out = append(*out, a)
		}
	}
	d.wakeAt(next)
}

func (d *Domain) makeClaim(j *job, p *plan) {
	c := &claim{j: j, spots: p.spots}
	j.claim, j.phase = c, phaseClaiming
	d.claims = append(d.claims, c)
	d.countClaim(c, 1)
	for _, s := range c.spots {
		s.w.claimed |= s.mask
		s.w.slotsClaimed++
		d.refresh(s.w)
	}
}

func (d *Domain) countClaim(c *claim, sign int) {
	ws := c.j.ws
	ws.accelerators += sign * c.j.Accelerators
	ws.slots += sign * len(c.spots)
	ws.queued += sign
	d.queued += sign
	d.queuedBy[c.j.Class] += sign
}

// dropClaim gives the claim's places up.
func (d *Domain) dropClaim(c *claim) {
	d.claims = slices.DeleteFunc(d.claims, func(o *claim) bool { return o == c })
	c.j.claim = nil
	d.countClaim(c, -1)
	for _, s := range c.spots {
		s.w.claimed &^= s.mask
		s.w.slotsClaimed--
		d.refresh(s.w)
	}
	d.freed = true
}

// ready reports whether all places of the claim are free.
func (c *claim) ready() bool {
	for _, s := range c.spots {
		if s.mask&^s.w.free != 0 || s.w.slotsUsed >= s.w.Slots {
			return false
		}
	}
	return true
}

func (c *claim) broken() bool {
	return slices.ContainsFunc(c.spots, func(s spot) bool { return !s.w.usable() })
}

// settleClaims places the jobs whose claims are ready and queues those again
// whose claims cannot be met any more.
func (d *Domain) settleClaims(now time.Time, out *[]Action) {
	for _, c := range slices.Clone(d.claims) {
		switch {
		case c.broken():
			d.dropClaim(c)
			d.enqueue(c.j)
		case c.ready():
			d.dropClaim(c)
			c.j.spots = c.spots
			d.take(now, c.j)
			*out = append(*out, d.placed(c.j))
		}
	}
}
