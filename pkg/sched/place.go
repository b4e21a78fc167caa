package sched

import (
	"math/bits"
	"slices"
	"time"
)

// find looks for free accelerators or a free slot for the job: capacity that no
// guarantee covers first, then the workspace's own cells, then idle cells of others.
func (d *Domain) find(j *job) bool {
	if j.Accelerators == 0 {
		return d.findSlot(j)
	}
	_, loose := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if d.findWorker(j) {
		return true
	}
	if loose == levelWorker {
		return false
	}
	if len(j.ws.cells) > 0 && d.findOwnCell(j) {
		return true
	}
	if d.findRack(j) {
		return true
	}
	return loose == levelDomain && d.findDomain(j)
}

// mayBorrow reports whether the job may use idle cells of other workspaces.
func (d *Domain) mayBorrow(j *job) bool { return d.rules.Lend && j.preemptible() }

func (d *Domain) findSlot(j *job) bool {
	if w := d.pick(j, slotFirm, 0); w != nil {
		return j.single(w, 0)
	}
	for _, p := range j.ws.parts {
		if p.slotsUsed < p.slots && p.w.usable() && p.w.physicalSlots() > 0 && !j.avoids(p.w) {
			return j.single(p.w, 0)
		}
	}
	if d.mayBorrow(j) {
		if w := d.pick(j, slotAny, 0); w != nil {
			return j.single(w, 0)
		}
	}
	return false
}

// physicalSlots returns the slots that are neither in use nor promised; a slot
// kept for a waiting gang counts as free, since the owner of a cell comes first.
func (w *worker) physicalSlots() int { return w.Slots - w.slotsUsed - w.slotsClaimed }

// lendable returns the free slots that no owner of another cell keeps back.
func (w *worker) lendable(ws *workspace) int {
	n := w.physicalSlots()
	for _, p := range w.parts {
		if p.cell.ws != ws {
			n -= p.kept()
		}
	}
	return n
}

func (d *Domain) findWorker(j *job) bool {
	n := j.Accelerators
	if w := d.pick(j, accFirm, n); w != nil {
		return j.single(w, bestBlock(w.avail(accFirm), w.capacity, n))
	}
	if w, m := j.ownBlock(); w != nil {
		return j.single(w, m)
	}
	if d.mayBorrow(j) {
		if w := d.pick(j, accAny, n); w != nil {
			return j.single(w, bestBlock(j.lent(w, accAny), w.capacity, n))
		}
	}
	return false
}

// ownBlock looks for a free block in the workspace's own cells.
func (j *job) ownBlock() (*worker, uint64) {
	var best *worker
	var bestMask uint64
	bestFree := 1 << 30
	for _, p := range j.ws.parts {
		m := p.freeMask()
		free := bits.OnesCount64(m)
		if free < j.Accelerators || free >= bestFree || j.avoids(p.w) {
			continue
		}
		if b := bestBlock(m, p.w.capacity, j.Accelerators); b != 0 {
			best, bestMask, bestFree = p.w, b, free
		}
	}
	return best, bestMask
}

// freeMask returns the free accelerators of the part that the owner can use.
func (p *part) freeMask() uint64 {
	if !p.w.usable() || p.slotsUsed >= p.slots || p.w.physicalSlots() <= 0 {
		return 0
	}
	return p.mask & p.w.free &^ p.w.claimed
}

// pick returns the first worker of the index with room for n accelerators or,
// with n zero, for a slot.
func (d *Domain) pick(j *job, v view, n int) *worker {
	x := &d.idx[v]
	set := x.bits
	if n > 0 {
		if levelFor(n) > maxLevel {
			return nil
		}
		if d.rules.PackRacks {
			set &= fromLevel[levelFor(n)]
		} else {
			set &^= 1<<(levelFor(n)*rackClasses) - 1
		}
	}
	for ; set != 0; set &= set - 1 {
		for w := x.heads[bits.TrailingZeros64(set)]; w != nil; w = w.next[v] {
			if !j.avoids(w) && (n == 0 || bits.OnesCount64(j.lent(w, v)) >= n && bestBlock(j.lent(w, v), w.capacity, n) != 0) {
				return w
			}
		}
	}
	return nil
}

// lent returns the free accelerators of the worker in the view, without pieces of
// the job's own cells: those are taken whole or, by single tasks, one at a time.
func (j *job) lent(w *worker, v view) uint64 {
	m := w.avail(v)
	if v == accAny && len(j.ws.parts) > 0 {
		for _, p := range w.parts {
			if p.cell.ws == j.ws {
				m &^= p.mask
			}
		}
	}
	return m
}

// fromLevel[l] selects the buckets of workers with a free block of level l or more.
var fromLevel = func() (m [maxLevel + 1]uint64) {
	for l := range m {
		for class := range rackClasses {
			m[l] |= (1<<levels - 1) >> l << l << (class * levels)
		}
	}
	return m
}()

func (j *job) avoids(w *worker) bool {
	return w == j.besides || len(j.AvoidWorkers) > 0 && slices.Contains(j.AvoidWorkers, w.ID)
}

// single places the job as one task.
func (j *job) single(w *worker, mask uint64) bool {
	if j.Accelerators > 0 && mask == 0 {
		return false
	}
	j.one[0] = spot{w: w, mask: mask}
	j.spots = j.one[:]
	return true
}

// usableBy returns the accelerators of w that the job may take.
func (d *Domain) usableBy(j *job, w *worker, borrow bool) uint64 {
	if j.avoids(w) {
		return 0
	}
	v := accFirm
	if borrow {
		v = accAny
	}
	m := w.avail(v)
	if len(j.ws.parts) == 0 {
		return m
	}
	whole := j.hasCell()
	for _, p := range w.parts {
		switch {
		case p.cell.ws != j.ws:
		case whole:
			m &^= p.mask
		case !borrow:
			m |= p.freeMask()
		}
	}
	return m
}

// findRack looks for the rack with the least room that holds the whole gang.
func (d *Domain) findRack(j *job) bool {
	for _, borrow := range []bool{false, true} {
		if borrow && !d.mayBorrow(j) {
			return false
		}
		var best *rack
		bestFree := 1 << 30
		for _, r := range d.racks {
			if r.free[accAny] < j.Accelerators && len(j.ws.parts) == 0 {
				continue
			}
			free := 0
			for _, w := range r.workers {
				free += bits.OnesCount64(d.usableBy(j, w, borrow))
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

func (d *Domain) findDomain(j *job) bool {
	return d.gatherFor(j, d.workers, false) || d.mayBorrow(j) && d.gatherFor(j, d.workers, true)
}

func (d *Domain) gatherFor(j *job, workers []*worker, borrow bool) bool {
	j.spots = gather(workers, j.Accelerators, func(w *worker) uint64 { return d.usableBy(j, w, borrow) })
	return j.spots != nil
}

// take accounts for the job's spots as in use.
func (d *Domain) take(now time.Time, j *job) {
	for i := range j.spots {
		d.takeSpot(now, j, i)
	}
	d.notePlaced(now)
	j.phase, j.savedAt = phasePlaced, now
	j.ws.accelerators += j.Accelerators
	j.ws.slots += len(j.spots)
}

// takeSpot accounts for one task of the job.
func (d *Domain) takeSpot(now time.Time, j *job, i int) {
	s := &j.spots[i]
	w := s.w
	w.free &^= s.mask
	w.slotsUsed++
	w.tasks = append(w.tasks, j)
	s.settle(j.ws)
	if s.warm = s.kind == slotOfCell && j.class.Short && d.rules.KeepWarmSlots; s.warm {
		d.warmStart(now, s.part, s.mask)
	}
	d.refresh(w)
}

// settle chooses the account of the spot's slot.
func (s *spot) settle(ws *workspace) {
	w := s.w
	inCell := s.mask&w.pinned != 0
	s.part = nil
	switch p := w.ownPart(ws, s.mask); {
	case p != nil && (inCell || w.slotsFirm >= w.Slots-w.slotsPinned):
		s.kind, s.part = slotOfCell, p
		p.slotsUsed++
	case w.slotsFirm < w.Slots-w.slotsPinned:
		s.kind = slotOfFree
		w.slotsFirm++
	case w.ownPart(ws, 0) != nil:
		s.kind, s.part = slotOfCell, w.ownPart(ws, 0)
		s.part.slotsUsed++
	default:
		s.kind = slotBorrows
	}
}

// release frees the job's spots.
func (d *Domain) release(j *job) {
	for i := range j.spots {
		s := &j.spots[i]
		w := s.w
		w.free |= s.mask & w.capacity
		w.slotsUsed--
		k := slices.Index(w.tasks, j)
		w.tasks[k] = w.tasks[len(w.tasks)-1]
		w.tasks[len(w.tasks)-1] = nil
		w.tasks = w.tasks[:len(w.tasks)-1]
		switch s.kind {
		case slotOfCell:
			s.part.slotsUsed--
			if s.warm {
				s.part.warm.add(-1, s.mask)
			}
		case slotOfFree:
			w.slotsFirm--
			w.promote()
		}
		d.refresh(w)
	}
	j.ws.accelerators -= j.Accelerators
	if j.hedged {
		j.ws.accelerators -= j.Accelerators
		d.hedges--
	}
	j.ws.slots -= len(j.spots)
	j.spots = nil
}

// promote moves a borrower's slot to a freed slot that no guarantee covers.
func (w *worker) promote() {
	for _, j := range w.tasks {
		for i := range j.spots {
			if s := &j.spots[i]; s.w == w && s.kind == slotBorrows {
				s.kind = slotOfFree
				w.slotsFirm++
				return
			}
		}
	}
}
