package sched

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// A guarantee is kept by pinning each of its cells to accelerators of the
// fleet. On a pinned accelerator runs its owner, or nothing, or a borrower that
// may be preempted; work that may not be preempted never borrows. Taking back
// borrowed cells therefore meets every guarantee at any moment, whatever else
// runs. A cell also covers slots of its workers in proportion to its
// accelerators, so that work that needs only a slot is covered too.

// cell is one cell of a guarantee and the place it is pinned to.
type cell struct {
	ws    *workspace
	shape shape
	parts []*part
}

// shape is the size of a cell and how close its accelerators are.
type shape struct {
	accelerators int
	adjacency    api.Adjacency
}

// part is the part of a cell on one worker.
type part struct {
	cell      *cell
	w         *worker
	mask      uint64
	slots     int // slots covered
	slotsUsed int // of them in use by the owner
	warm      warmth
}

// slotShare is the number of slots that n accelerators of the worker cover.
func (w *worker) slotShare(n int) int {
	if w.Accelerators == 0 {
		return 0
	}
	return max(w.Slots*n/w.Accelerators, min(1, w.Slots))
}

// pinnable returns the accelerators that a cell of ws may be pinned to: not in
// another cell, and not in use by work that cannot be taken back.
func (w *worker) pinnable(ws *workspace) uint64 {
	if !w.usable() {
		return 0
	}
	m := w.capacity &^ w.pinned
	fixed := 0
	for _, j := range w.tasks {
		if j.preemptible() {
			continue
		}
		for _, s := range j.spots {
			if s.w != w {
				continue
			}
			if j.ws != ws {
				m &^= s.mask
			}
			if s.kind != slotOfCell {
				fixed++
			}
		}
	}
	if w.slotShare(bits.OnesCount64(m)) > w.Slots-w.slotsPinned-fixed {
		// Only as many accelerators as have slots left.
		for m != 0 && w.slotShare(bits.OnesCount64(m)) > w.Slots-w.slotsPinned-fixed {
			m &^= 1 << (63 - bits.LeadingZeros64(m))
		}
	}
	return m
}

// pin makes the spots a cell of its workspace.
func (d *Domain) pin(c *cell, spots []spot) {
	for _, s := range spots {
		p := &part{cell: c, w: s.w, mask: s.mask, slots: s.w.slotShare(bits.OnesCount64(s.mask))}
		c.parts = append(c.parts, p)
		c.ws.parts = append(c.ws.parts, p)
		s.w.parts = append(s.w.parts, p)
		s.w.pinned |= p.mask
		s.w.slotsPinned += p.slots
		d.resettle(s.w)
	}
}

// unpin frees the cell's place; its tasks stay and count as unguaranteed.
func (d *Domain) unpin(c *cell) {
	for _, p := range c.parts {
		p.w.pinned &^= p.mask
		p.w.slotsPinned -= p.slots
		p.w.parts = slices.DeleteFunc(p.w.parts, func(o *part) bool { return o == p })
		c.ws.parts = slices.DeleteFunc(c.ws.parts, func(o *part) bool { return o == p })
		d.resettle(p.w)
	}
	c.parts = nil
}

// resettle assigns the slots of the worker's tasks anew after its cells changed:
// the owner's tasks to their cells, then those that cannot be preempted to
// uncovered slots, then the rest.
func (d *Domain) resettle(w *worker) {
	w.slotsFirm = 0
	for _, p := range w.parts {
		p.slotsUsed, p.warm.now = 0, use{}
	}
	w.eachSpot(func(j *job, s *spot) {
		s.kind, s.part, s.warm = slotBorrows, nil, false
		if p := w.ownPart(j.ws, s.mask); p != nil {
			s.kind, s.part = slotOfCell, p
			p.slotsUsed++
			if s.warm = j.class.Short && d.rules.KeepWarmSlots; s.warm {
				p.warm.add(1, s.mask)
			}
		}
	})
	for _, fixed := range []bool{true, false} {
		w.eachSpot(func(j *job, s *spot) {
			if s.kind == slotBorrows && j.preemptible() != fixed && w.slotsFirm < w.Slots-w.slotsPinned {
				s.kind = slotOfFree
				w.slotsFirm++
			}
		})
	}
	// What is left of the owner's tasks uses the slots of its cells.
	w.eachSpot(func(j *job, s *spot) {
		if p := w.ownPart(j.ws, 0); s.kind == slotBorrows && p != nil {
			s.kind, s.part = slotOfCell, p
			p.slotsUsed++
		}
	})
	d.refresh(w)
}

func (w *worker) eachSpot(f func(*job, *spot)) {
	for _, j := range w.tasks {
		for i := range j.spots {
			if j.spots[i].w == w {
				f(j, &j.spots[i])
			}
		}
	}
}

// ownPart returns a cell part of ws with a free covered slot that the mask lies in.
func (w *worker) ownPart(ws *workspace, mask uint64) *part {
	for _, p := range w.parts {
		if p.cell.ws == ws && p.slotsUsed < p.slots && (mask == 0 || mask&p.mask != 0) {
			return p
		}
	}
	return nil
}

// repin pins all cells that have no valid place, largest first, and reports the
// workspaces whose guarantee cannot be met now.
func (d *Domain) repin() {
	var open []*cell
	for _, ws := range d.sorted {
		ws.unmet = false
		for _, c := range ws.cells {
			if len(c.parts) > 0 && !c.valid() {
				d.unpin(c)
			}
			if len(c.parts) == 0 {
				open = append(open, c)
			}
		}
	}
	sort.SliceStable(open, func(i, k int) bool { return open[i].shape.accelerators > open[k].shape.accelerators })
	for _, c := range open {
		if spots := d.findPin(c); spots != nil {
			d.pin(c, spots)
		} else {
			c.ws.unmet = true
		}
	}
}

// valid reports whether all workers of the cell still serve and none runs work
// of others in the cell that cannot be taken back.
func (c *cell) valid() bool {
	for _, p := range c.parts {
		if !p.w.usable() || p.slots > p.w.Slots {
			return false
		}
		for _, j := range p.w.tasks {
			if j.ws != c.ws && !j.preemptible() && j.uses(p.w, p.mask) {
				return false
			}
		}
	}
	return true
}

// findPin looks for a place for the cell that breaks up as little as possible.
func (d *Domain) findPin(c *cell) []spot {
	n := c.shape.accelerators
	tight, loose := adjacencyLevels(c.shape.adjacency, false)
	if s, ok := d.pinWorker(c.ws, n); ok {
		return []spot{s}
	}
	if tight == levelWorker {
		return nil
	}
	if spots := d.pinRack(c.ws, n); spots != nil || loose == levelRack {
		return spots
	}
	return gather(d.workers, n, func(w *worker) uint64 { return w.pinnable(c.ws) })
}

func (d *Domain) pinWorker(ws *workspace, n int) (spot, bool) {
	best, bestKey := spot{}, 1<<30
	for _, w := range d.workers {
		if w.Accelerators < n {
			continue
		}
		m := bestBlock(w.pinnable(ws), w.capacity, n)
		if m == 0 {
			continue
		}
		key := bits.OnesCount64(w.capacity&^w.pinned)*100 + bits.OnesCount64(m&^w.free)
		if key < bestKey {
			best, bestKey = spot{w: w, mask: m}, key
		}
	}
	return best, best.w != nil
}

func (d *Domain) pinRack(ws *workspace, n int) []spot {
	var best *rack
	bestFree := 1 << 30
	for _, r := range d.racks {
		free := 0
		for _, w := range r.workers {
			free += bits.OnesCount64(w.pinnable(ws))
		}
		if free >= n && free < bestFree {
			best, bestFree = r, free
		}
	}
	if best == nil {
		return nil
	}
	return gather(best.workers, n, func(w *worker) uint64 { return w.pinnable(ws) })
}

// gather collects n accelerators from the workers with the most to give, and the
// last ones from the worker with the least that suffices. It returns nil if they
// have fewer.
func gather(workers []*worker, n int, avail func(*worker) uint64) []spot {
	var all []spot
	for _, w := range workers {
		if m := avail(w); m != 0 {
			all = append(all, spot{w: w, mask: m})
		}
	}
	slices.SortStableFunc(all, func(a, b spot) int { return bits.OnesCount64(b.mask) - bits.OnesCount64(a.mask) })
	var out []spot
	for i, s := range all {
		have := bits.OnesCount64(s.mask)
		if have <= n {
			out = append(out, s)
			n -= have
		} else {
			out = append(out, lastSpot(all[i:], n))
			n = 0
		}
		if n == 0 {
			return out
		}
	}
	return nil
}

// lastSpot takes n accelerators from the last spot that has as many; spots are
// in descending order.
func lastSpot(spots []spot, n int) spot {
	s := spots[0]
	for _, o := range spots {
		if bits.OnesCount64(o.mask) < n {
			break
		}
		s = o
	}
	if m := bestBlock(s.mask, s.w.capacity, n); m != 0 {
		s.mask = m
		return s
	}
	for bits.OnesCount64(s.mask) > n {
		s.mask &= s.mask - 1
	}
	return s
}

// setGuarantees replaces the cells of the workspace where its shapes changed.
func (d *Domain) setGuarantees(ws *workspace, guarantees []policy.Guarantee) {
	want := map[shape]int{}
	var order []shape
	for _, g := range guarantees {
		if g.FailureDomain != d.name || g.Cells <= 0 || g.Accelerators <= 0 {
			continue
		}
		s := shape{g.Accelerators, g.Adjacency}
		if want[s] == 0 {
			order = append(order, s)
		}
		want[s] += g.Cells
	}
	ws.cells = slices.DeleteFunc(ws.cells, func(c *cell) bool {
		if want[c.shape] > 0 {
			want[c.shape]--
			return false
		}
		d.unpin(c)
		return true
	})
	for _, s := range order {
		for range want[s] {
			ws.cells = append(ws.cells, &cell{ws: ws, shape: s})
		}
	}
}
