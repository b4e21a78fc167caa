package sched

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Each cell of a guarantee is pinned to accelerators of the failure domain. A pinned
// accelerator is idle or runs a job of the owner or a preemptible borrower;
// non-preemptible jobs never borrow. Every guarantee can therefore be met at any
// time by preempting borrowers. A cell also covers slots of its workers in
// proportion to its accelerators, so that jobs that need only a slot are
// guaranteed too.

// cell is one cell of a guarantee with the accelerators it is pinned to.
type cell struct {
	ws    *workspace
	shape cellShape
	parts []*cellPart
}

// cellShape is the size of a cell and the required adjacency of its accelerators.
type cellShape struct {
	accelerators int
	adjacency    api.Adjacency
}

// cellPart is the part of a cell on one worker.
type cellPart struct {
	cell      *cell
	worker    *worker
	mask      uint64
	slots     int // slots covered by the part
	slotsUsed int // covered slots in use by the owner
	use       recentUse
}

// coveredSlots returns the number of slots that a cell part of n accelerators covers.
func (w *worker) coveredSlots(n int) int {
	if w.Accelerators == 0 {
		return 0
	}
	return max(w.Slots*n/w.Accelerators, min(1, w.Slots))
}

// pinnableMask returns the accelerators that a cell of ws may be pinned to: those
// outside other cells and not in use by non-preemptible jobs of other workspaces.
func (w *worker) pinnableMask(ws *workspace) uint64 {
	if !w.usable() {
		return 0
	}
	m := w.capacity &^ w.pinned
	nonPreemptible := 0
	for _, j := range w.jobs {
		if j.preemptible() {
			continue
		}
		for _, s := range j.allocs {
			if s.worker != w {
				continue
			}
			if j.ws != ws {
				m &^= s.mask
			}
			if s.kind != slotOwnCell {
				nonPreemptible++
			}
		}
	}
	if w.coveredSlots(bits.OnesCount64(m)) > w.Slots-w.slotsPinned-nonPreemptible {
		// Limit the accelerators to those whose covered slots are still available.
		for m != 0 && w.coveredSlots(bits.OnesCount64(m)) > w.Slots-w.slotsPinned-nonPreemptible {
			m &^= 1 << (63 - bits.LeadingZeros64(m))
		}
	}
	return m
}

// pin pins the cell to the accelerators of allocs.
func (d *Domain) pin(c *cell, allocs []allocation) {
	for _, s := range allocs {
		p := &cellPart{cell: c, worker: s.worker, mask: s.mask, slots: s.worker.coveredSlots(bits.OnesCount64(s.mask))}
		c.parts = append(c.parts, p)
		c.ws.parts = append(c.ws.parts, p)
		s.worker.parts = append(s.worker.parts, p)
		s.worker.pinned |= p.mask
		s.worker.slotsPinned += p.slots
		d.reassignSlots(s.worker)
	}
}

// unpin releases the accelerators of the cell. Jobs on them keep running and no longer
// count against the cell.
func (d *Domain) unpin(c *cell) {
	for _, p := range c.parts {
		p.worker.pinned &^= p.mask
		p.worker.slotsPinned -= p.slots
		p.worker.parts = slices.DeleteFunc(p.worker.parts, func(o *cellPart) bool { return o == p })
		c.ws.parts = slices.DeleteFunc(c.ws.parts, func(o *cellPart) bool { return o == p })
		d.reassignSlots(p.worker)
	}
	c.parts = nil
}

// reassignSlots reassigns the slots of the worker's tasks after its cells have
// changed: first the owners' tasks to their cells, then non-preemptible tasks to
// slots outside cells, then all others.
func (d *Domain) reassignSlots(w *worker) {
	w.slotsUnpinnedUsed = 0
	for _, p := range w.parts {
		p.slotsUsed, p.use.now = 0, usage{}
	}
	w.eachAlloc(func(j *job, s *allocation) {
		s.kind, s.part, s.shortWork = slotBorrowed, nil, false
		if p := w.ownCellPart(j.ws, s.mask); p != nil {
			s.kind, s.part = slotOwnCell, p
			p.slotsUsed++
			if s.shortWork = j.class.Short && d.rules.KeepWarmSlots; s.shortWork {
				p.use.add(1, s.mask)
			}
		}
	})
	for _, nonPreemptible := range []bool{true, false} {
		w.eachAlloc(func(j *job, s *allocation) {
			if s.kind == slotBorrowed && j.preemptible() != nonPreemptible && w.slotsUnpinnedUsed < w.Slots-w.slotsPinned {
				s.kind = slotUnpinned
				w.slotsUnpinnedUsed++
			}
		})
	}
	// Remaining tasks of a cell's owner use the slots of its cells.
	w.eachAlloc(func(j *job, s *allocation) {
		if p := w.ownCellPart(j.ws, 0); s.kind == slotBorrowed && p != nil {
			s.kind, s.part = slotOwnCell, p
			p.slotsUsed++
		}
	})
	d.refreshIndexes(w)
}

func (w *worker) eachAlloc(f func(*job, *allocation)) {
	for _, j := range w.jobs {
		for i := range j.allocs {
			if j.allocs[i].worker == w {
				f(j, &j.allocs[i])
			}
		}
	}
}

// ownCellPart returns a cell part of ws on the worker that has a free covered slot
// and overlaps mask; a zero mask matches every part.
func (w *worker) ownCellPart(ws *workspace, mask uint64) *cellPart {
	for _, p := range w.parts {
		if p.cell.ws == ws && p.slotsUsed < p.slots && (mask == 0 || mask&p.mask != 0) {
			return p
		}
	}
	return nil
}

// repairPins unpins cells whose pin is no longer valid and pins all unpinned cells,
// largest first. It marks the workspaces whose guarantee cannot be met now.
func (d *Domain) repairPins() {
	var unpinned []*cell
	for _, ws := range d.sortedWorkspaces {
		ws.guaranteeUnmet = false
		for _, c := range ws.cells {
			if len(c.parts) > 0 && !c.valid() {
				d.unpin(c)
			}
			if len(c.parts) == 0 {
				unpinned = append(unpinned, c)
			}
		}
	}
	sort.SliceStable(unpinned, func(i, k int) bool { return unpinned[i].shape.accelerators > unpinned[k].shape.accelerators })
	for _, c := range unpinned {
		if allocs := d.findCellPlace(c); allocs != nil {
			d.pin(c, allocs)
		} else {
			c.ws.guaranteeUnmet = true
		}
	}
}

// valid reports whether all workers of the cell are usable and no non-preemptible
// job of another workspace runs in the cell.
func (c *cell) valid() bool {
	for _, p := range c.parts {
		if !p.worker.usable() || p.slots > p.worker.Slots {
			return false
		}
		for _, j := range p.worker.jobs {
			if j.ws != c.ws && !j.preemptible() && j.uses(p.worker, p.mask) {
				return false
			}
		}
	}
	return true
}

// findCellPlace finds accelerators to pin the cell to. It prefers a single worker,
// then a single rack, and the worker or rack with the least capacity left to pin.
func (d *Domain) findCellPlace(c *cell) []allocation {
	n := c.shape.accelerators
	tightest, loosest := adjacencyLevels(c.shape.adjacency, false)
	if s, ok := d.findCellWorker(c.ws, n); ok {
		return []allocation{s}
	}
	if tightest == levelWorker {
		return nil
	}
	if allocs := d.findCellRack(c.ws, n); allocs != nil || loosest == levelRack {
		return allocs
	}
	return gather(d.workers, n, func(w *worker) uint64 { return w.pinnableMask(c.ws) })
}

func (d *Domain) findCellWorker(ws *workspace, n int) (allocation, bool) {
	best, bestKey := allocation{}, 1<<30
	for _, w := range d.workers {
		if w.Accelerators < n {
			continue
		}
		m := bestFitBlock(w.pinnableMask(ws), w.capacity, n)
		if m == 0 {
			continue
		}
		key := bits.OnesCount64(w.capacity&^w.pinned)*100 + bits.OnesCount64(m&^w.free)
		if key < bestKey {
			best, bestKey = allocation{worker: w, mask: m}, key
		}
	}
	return best, best.worker != nil
}

func (d *Domain) findCellRack(ws *workspace, n int) []allocation {
	var best *rack
	bestFree := 1 << 30
	for _, r := range d.racks {
		free := 0
		for _, w := range r.workers {
			free += bits.OnesCount64(w.pinnableMask(ws))
		}
		if free >= n && free < bestFree {
			best, bestFree = r, free
		}
	}
	if best == nil {
		return nil
	}
	return gather(best.workers, n, func(w *worker) uint64 { return w.pinnableMask(ws) })
}

// gather collects n accelerators, taking the workers in descending order of available
// accelerators and the remainder from the worker with the fewest that suffice. It
// returns nil if fewer than n are available.
func gather(workers []*worker, n int, avail func(*worker) uint64) []allocation {
	var all []allocation
	for _, w := range workers {
		if m := avail(w); m != 0 {
			all = append(all, allocation{worker: w, mask: m})
		}
	}
	slices.SortStableFunc(all, func(a, b allocation) int { return bits.OnesCount64(b.mask) - bits.OnesCount64(a.mask) })
	var out []allocation
	for i, s := range all {
		have := bits.OnesCount64(s.mask)
		if have <= n {
			out = append(out, s)
			n -= have
		} else {
			out = append(out, lastAlloc(all[i:], n))
			n = 0
		}
		if n == 0 {
			return out
		}
	}
	return nil
}

// lastAlloc takes n accelerators from the last element of allocs that has at least n;
// allocs is in descending order of size.
func lastAlloc(allocs []allocation, n int) allocation {
	s := allocs[0]
	for _, o := range allocs {
		if bits.OnesCount64(o.mask) < n {
			break
		}
		s = o
	}
	if m := bestFitBlock(s.mask, s.worker.capacity, n); m != 0 {
		s.mask = m
		return s
	}
	for bits.OnesCount64(s.mask) > n {
		s.mask &= s.mask - 1
	}
	return s
}

// setGuarantees updates the cells of the workspace to the given guarantees and keeps
// the pins of cells whose shape is still guaranteed.
func (d *Domain) setGuarantees(ws *workspace, guarantees []policy.Guarantee) {
	want := map[cellShape]int{}
	var order []cellShape
	for _, g := range guarantees {
		if g.FailureDomain != d.name || g.Cells <= 0 || g.Accelerators <= 0 {
			continue
		}
		s := cellShape{g.Accelerators, g.Adjacency}
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
