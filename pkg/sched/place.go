package sched

import (
	"math/bits"
	"slices"
	"time"
)

// findPlace finds free accelerators or a free slot for the job: first capacity
// outside guaranteed cells, then the workspace's own cells, then idle cells of other
// workspaces. A gang on several workers tries its own cells first.
func (d *Domain) findPlace(j *job) bool {
	if j.Accelerators == 0 {
		return d.findSlot(j)
	}
	_, loosest := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if d.findOnWorker(j) {
		return true
	}
	if loosest == levelWorker {
		return false
	}
	if len(j.ws.cells) > 0 && d.findOwnCell(j) {
		return true
	}
	if d.findInRack(j) {
		return true
	}
	return loosest == levelDomain && d.findInDomain(j)
}

// mayBorrow reports whether the job may use idle cells of other workspaces.
func (d *Domain) mayBorrow(j *job) bool { return d.rules.Lend && j.preemptible() }

func (d *Domain) findSlot(j *job) bool {
	if w := d.pickWorker(j, unpinnedSlots, 0); w != nil {
		return j.placeSingle(w, 0)
	}
	for _, p := range j.ws.parts {
		if p.slotsUsed < p.slots && p.worker.usable() && p.worker.unclaimedSlots() > 0 && !j.avoids(p.worker) {
			return j.placeSingle(p.worker, 0)
		}
	}
	if d.mayBorrow(j) {
		if w := d.pickWorker(j, anySlots, 0); w != nil {
			return j.placeSingle(w, 0)
		}
	}
	return false
}

// unclaimedSlots returns the number of slots neither in use nor claimed. Reserved
// slots count as free, since the owner of a cell has precedence over reservations.
func (w *worker) unclaimedSlots() int { return w.Slots - w.slotsUsed - w.slotsClaimed }

// lendableSlots returns the number of unclaimed slots that cells of workspaces other
// than ws do not withhold.
func (w *worker) lendableSlots(ws *workspace) int {
	n := w.unclaimedSlots()
	for _, p := range w.parts {
		if p.cell.ws != ws {
			n -= p.withheld()
		}
	}
	return n
}

func (d *Domain) findOnWorker(j *job) bool {
	n := j.Accelerators
	if w := d.pickWorker(j, unpinnedAccelerators, n); w != nil {
		return j.placeSingle(w, bestFitBlock(w.available(unpinnedAccelerators), w.capacity, n))
	}
	if w, m := j.findOwnBlock(); w != nil {
		return j.placeSingle(w, m)
	}
	if d.mayBorrow(j) {
		if w := d.pickWorker(j, anyAccelerators, n); w != nil {
			return j.placeSingle(w, bestFitBlock(j.availableOn(w, anyAccelerators), w.capacity, n))
		}
	}
	return false
}

// findOwnBlock finds a free block in the workspace's own cells.
func (j *job) findOwnBlock() (*worker, uint64) {
	var best *worker
	var bestMask uint64
	bestFree := 1 << 30
	for _, p := range j.ws.parts {
		m := p.freeForOwner()
		free := bits.OnesCount64(m)
		if free < j.Accelerators || free >= bestFree || j.avoids(p.worker) {
			continue
		}
		if b := bestFitBlock(m, p.worker.capacity, j.Accelerators); b != 0 {
			best, bestMask, bestFree = p.worker, b, free
		}
	}
	return best, bestMask
}

// freeForOwner returns the free accelerators of the part that the owner can use.
func (p *cellPart) freeForOwner() uint64 {
	if !p.worker.usable() || p.slotsUsed >= p.slots || p.worker.unclaimedSlots() <= 0 {
		return 0
	}
	return p.mask & p.worker.free &^ p.worker.claimed
}

// pickWorker returns the first worker in the index of the view that has room for n
// accelerators or, if n is zero, a free slot.
func (d *Domain) pickWorker(j *job, v capacityView, n int) *worker {
	x := &d.indexes[v]
	set := x.bits
	if n > 0 {
		if levelFor(n) > maxBlockLevel {
			return nil
		}
		if d.rules.PackRacks {
			set &= bucketsFromLevel[levelFor(n)]
		} else {
			set &^= 1<<(levelFor(n)*rackFreeClasses) - 1
		}
	}
	for ; set != 0; set &= set - 1 {
		for w := x.heads[bits.TrailingZeros64(set)]; w != nil; w = w.next[v] {
			if !j.avoids(w) && (n == 0 || bits.OnesCount64(j.availableOn(w, v)) >= n && bestFitBlock(j.availableOn(w, v), w.capacity, n) != 0) {
				return w
			}
		}
	}
	return nil
}

// availableOn returns the accelerators of the worker available in the view. It leaves
// out the job's own cells, which findOnWorker and findOwnCell allocate separately.
func (j *job) availableOn(w *worker, v capacityView) uint64 {
	m := w.available(v)
	if v == anyAccelerators && len(j.ws.parts) > 0 {
		for _, p := range w.parts {
			if p.cell.ws == j.ws {
				m &^= p.mask
			}
		}
	}
	return m
}

// bucketsFromLevel[l] selects the buckets of workers whose largest free block is of
// level l or higher.
var bucketsFromLevel = func() (m [maxBlockLevel + 1]uint64) {
	for l := range m {
		for class := range rackFreeClasses {
			m[l] |= (1<<blockLevels - 1) >> l << l << (class * blockLevels)
		}
	}
	return m
}()

func (j *job) avoids(w *worker) bool {
	return w == j.firstCopyWorker || len(j.AvoidWorkers) > 0 && slices.Contains(j.AvoidWorkers, w.ID)
}

// placeSingle assigns the job a single task on the worker.
func (j *job) placeSingle(w *worker, mask uint64) bool {
	if j.Accelerators > 0 && mask == 0 {
		return false
	}
	j.singleAlloc[0] = allocation{worker: w, mask: mask}
	j.allocs = j.singleAlloc[:]
	return true
}

// usableAccelerators returns the accelerators of w that a task of the gang may use.
func (d *Domain) usableAccelerators(j *job, w *worker, borrow bool) uint64 {
	if j.avoids(w) {
		return 0
	}
	v := unpinnedAccelerators
	if borrow {
		v = anyAccelerators
	}
	m := w.available(v)
	if len(j.ws.parts) == 0 {
		return m
	}
	hasCell := j.hasFittingCell()
	for _, p := range w.parts {
		switch {
		case p.cell.ws != j.ws:
		case hasCell:
			m &^= p.mask
		case !borrow:
			m |= p.freeForOwner()
		}
	}
	return m
}

// findInRack places the gang in the rack with the least free capacity that holds it.
func (d *Domain) findInRack(j *job) bool {
	for _, borrow := range []bool{false, true} {
		if borrow && !d.mayBorrow(j) {
			return false
		}
		var best *rack
		bestFree := 1 << 30
		for _, r := range d.racks {
			if r.free[anyAccelerators] < j.Accelerators && len(j.ws.parts) == 0 {
				continue
			}
			free := 0
			for _, w := range r.workers {
				free += bits.OnesCount64(d.usableAccelerators(j, w, borrow))
			}
			if free >= j.Accelerators && free < bestFree {
				best, bestFree = r, free
			}
		}
		if best != nil {
			return d.gatherFor(j, best.workers, borrow)
		}
	}
	return false
}

func (d *Domain) findInDomain(j *job) bool {
	return d.gatherFor(j, d.workers, false) || d.mayBorrow(j) && d.gatherFor(j, d.workers, true)
}

func (d *Domain) gatherFor(j *job, workers []*worker, borrow bool) bool {
	j.allocs = gather(workers, j.Accelerators, func(w *worker) uint64 { return d.usableAccelerators(j, w, borrow) })
	return j.allocs != nil
}

// allocate marks the job's accelerators and slots as in use.
func (d *Domain) allocate(now time.Time, j *job) {
	for i := range j.allocs {
		d.allocateTask(now, j, i)
	}
	d.recordPlacement(now)
	j.phase, j.checkpointedAt = phasePlaced, now
	j.ws.accelerators += j.Accelerators
	j.ws.slots += len(j.allocs)
}

// allocateTask marks the accelerators and the slot of one task as in use.
func (d *Domain) allocateTask(now time.Time, j *job, i int) {
	s := &j.allocs[i]
	w := s.worker
	w.free &^= s.mask
	w.slotsUsed++
	w.jobs = append(w.jobs, j)
	s.assignSlot(j.ws)
	if s.shortWork = s.kind == slotOwnCell && j.class.Short && d.rules.KeepWarmSlots; s.shortWork {
		d.recordShortStart(now, s.part, s.mask)
	}
	d.refreshIndexes(w)
}

// assignSlot determines the kind of the task's slot and counts it.
func (s *allocation) assignSlot(ws *workspace) {
	w := s.worker
	inCell := s.mask&w.pinned != 0
	s.part = nil
	switch p := w.ownCellPart(ws, s.mask); {
	case p != nil && (inCell || w.slotsUnpinnedUsed >= w.Slots-w.slotsPinned):
		s.kind, s.part = slotOwnCell, p
		p.slotsUsed++
	case w.slotsUnpinnedUsed < w.Slots-w.slotsPinned:
		s.kind = slotUnpinned
		w.slotsUnpinnedUsed++
	case w.ownCellPart(ws, 0) != nil:
		s.kind, s.part = slotOwnCell, w.ownCellPart(ws, 0)
		s.part.slotsUsed++
	default:
		s.kind = slotBorrowed
	}
}

// release frees the job's accelerators and slots.
func (d *Domain) release(j *job) {
	for i := range j.allocs {
		s := &j.allocs[i]
		w := s.worker
		w.free |= s.mask & w.capacity
		w.slotsUsed--
		k := slices.Index(w.jobs, j)
		w.jobs[k] = w.jobs[len(w.jobs)-1]
		w.jobs[len(w.jobs)-1] = nil
		w.jobs = w.jobs[:len(w.jobs)-1]
		switch s.kind {
		case slotOwnCell:
			s.part.slotsUsed--
			if s.shortWork {
				s.part.use.add(-1, s.mask)
			}
		case slotUnpinned:
			w.slotsUnpinnedUsed--
			w.promoteBorrowed()
		}
		d.refreshIndexes(w)
	}
	j.ws.accelerators -= j.Accelerators
	if j.hedged {
		j.ws.accelerators -= j.Accelerators
		d.hedgeCount--
	}
	j.ws.slots -= len(j.allocs)
	j.allocs = nil
}

// promoteBorrowed reassigns one borrowed slot to a freed slot outside cells.
func (w *worker) promoteBorrowed() {
	for _, j := range w.jobs {
		for i := range j.allocs {
			if s := &j.allocs[i]; s.worker == w && s.kind == slotBorrowed {
				s.kind = slotUnpinned
				w.slotsUnpinnedUsed++
				return
			}
		}
	}
}
