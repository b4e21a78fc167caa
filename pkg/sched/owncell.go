package sched

import (
	"math/bits"
	"time"
)

// A gang of several workers takes one whole cell of its workspace when one is
// large enough. Pieces of several cells would leave none of them whole for the
// next gang, and the guarantee could not be met by taking back borrowed cells.

// fits reports whether the cell holds the gang within its adjacency.
func (c *cell) fits(j *job) bool {
	_, loose := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	level, _ := adjacencyLevels(c.shape.adjacency, false)
	return len(c.parts) > 0 && c.shape.accelerators >= j.Accelerators && level <= loose
}

// hasCell reports whether any cell of the workspace holds the gang.
func (j *job) hasCell() bool {
	for _, c := range j.ws.cells {
		if c.fits(j) {
			return true
		}
	}
	return false
}

// owned reports whether the owner uses a part of the cell.
func (c *cell) owned() bool {
	for _, p := range c.parts {
		if p.slotsUsed > 0 {
			return true
		}
		for _, v := range p.w.tasks {
			if v.ws == c.ws && v.uses(p.w, p.mask) {
				return true
			}
		}
	}
	return false
}

// findOwnCell places the gang in the smallest whole cell that is free.
func (d *Domain) findOwnCell(j *job) bool {
	var best []spot
	bestSize := 1 << 30
	for _, c := range j.ws.cells {
		if !c.fits(j) || c.shape.accelerators >= bestSize || c.owned() {
			continue
		}
		if spots := c.take(j, (*part).freeMask); spots != nil {
			best, bestSize = spots, c.shape.accelerators
		}
	}
	j.spots = best
	return best != nil
}

// take collects the gang's accelerators from the parts of the cell.
func (c *cell) take(j *job, avail func(*part) uint64) []spot {
	var out []spot
	need := j.Accelerators
	for _, p := range c.parts {
		m := avail(p)
		if j.avoids(p.w) || m == 0 {
			continue
		}
		for bits.OnesCount64(m) > need {
			m &= m - 1
		}
		need -= bits.OnesCount64(m)
		out = append(out, spot{w: p.w, mask: m, part: p})
		if need == 0 {
			return out
		}
	}
	return nil
}

// planOwnCell plans to free the cheapest whole cell that holds the gang.
func (d *Domain) planOwnCell(now time.Time, j *job) (best *plan) {
	for _, c := range j.ws.cells {
		if !c.fits(j) {
			continue
		}
		spots := c.take(j, func(p *part) uint64 {
			if !p.w.usable() {
				return 0
			}
			return p.mask &^ p.w.claimed
		})
		if spots == nil {
			continue
		}
		whole := &plan{}
		for _, s := range spots {
			b := d.planBlock(now, j, s.part, s.mask)
			if b == nil {
				whole = nil
				break
			}
			whole.add(b)
		}
		best = cheaper(best, whole)
	}
	return best
}

// add joins two plans of one gang; a victim of both counts once.
func (p *plan) add(o *plan) {
	p.spots = append(p.spots, o.spots...)
	p.cost += o.cost
	for _, v := range o.victims {
		if !contains(p.victims, v) {
			p.victims = append(p.victims, v)
		}
	}
}
