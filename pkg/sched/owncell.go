package sched

import (
	"math/bits"
	"time"
)

// A gang that spans several workers is placed in a single cell of its workspace if one
// is large enough. Using parts of several cells would leave none of them complete
// for the next gang, and preempting borrowers would not meet the guarantee.

// fits reports whether the cell is large enough for the gang and as adjacent as the
// gang requires.
func (c *cell) fits(j *job) bool {
	_, loosest := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	level, _ := adjacencyLevels(c.shape.adjacency, false)
	return len(c.parts) > 0 && c.shape.accelerators >= j.Accelerators && level <= loosest
}

// hasFittingCell reports whether the gang fits a cell of its workspace.
func (j *job) hasFittingCell() bool {
	for _, c := range j.ws.cells {
		if c.fits(j) {
			return true
		}
	}
	return false
}

// usedByOwner reports whether the owner uses any part of the cell.
func (c *cell) usedByOwner() bool {
	for _, p := range c.parts {
		if p.slotsUsed > 0 {
			return true
		}
		for _, v := range p.worker.jobs {
			if v.ws == c.ws && v.uses(p.worker, p.mask) {
				return true
			}
		}
	}
	return false
}

// findOwnCell places the gang in the smallest cell of its workspace that the owner
// does not use and that has enough free accelerators.
func (d *Domain) findOwnCell(j *job) bool {
	var best []allocation
	bestSize := 1 << 30
	for _, c := range j.ws.cells {
		if !c.fits(j) || c.shape.accelerators >= bestSize || c.usedByOwner() {
			continue
		}
		if allocs := c.allocate(j, (*cellPart).freeForOwner); allocs != nil {
			best, bestSize = allocs, c.shape.accelerators
		}
	}
	j.allocs = best
	return best != nil
}

// allocate collects the gang's accelerators from the parts of the cell, or returns
// nil if they have too few.
func (c *cell) allocate(j *job, avail func(*cellPart) uint64) []allocation {
	var out []allocation
	need := j.Accelerators
	for _, p := range c.parts {
		m := avail(p)
		if j.avoids(p.worker) || m == 0 {
			continue
		}
		for bits.OnesCount64(m) > need {
			m &= m - 1
		}
		need -= bits.OnesCount64(m)
		out = append(out, allocation{worker: p.worker, mask: m, part: p})
		if need == 0 {
			return out
		}
	}
	return nil
}

// planOwnCell plans a reclaim of the cell that fits the gang at the lowest cost.
func (d *Domain) planOwnCell(now time.Time, j *job) (best *reclaimPlan) {
	for _, c := range j.ws.cells {
		if !c.fits(j) {
			continue
		}
		allocs := c.allocate(j, func(p *cellPart) uint64 {
			if !p.worker.usable() {
				return 0
			}
			return p.mask &^ p.worker.claimed
		})
		if allocs == nil {
			continue
		}
		total := &reclaimPlan{}
		for _, s := range allocs {
			b := d.planBlock(now, j, s.part, s.mask)
			if b == nil {
				total = nil
				break
			}
			total.merge(b)
		}
		best = cheaper(best, total)
	}
	return best
}

// merge adds the plan o for the same gang; a victim in both is listed once.
func (p *reclaimPlan) merge(o *reclaimPlan) {
	p.allocs = append(p.allocs, o.allocs...)
	p.cost += o.cost
	for _, v := range o.victims {
		if !containsJob(p.victims, v) {
			p.victims = append(p.victims, v)
		}
	}
}
