package sched

import "math/bits"

// view selects which free capacity counts.
type view int

// Views of free capacity. Firm capacity belongs to no guarantee and can be used
// by work that cannot be preempted; any capacity includes idle guaranteed cells.
const (
	accFirm view = iota
	accAny
	slotFirm
	slotAny
	viewCount
)

// worker is a worker with its free capacity and its place in the indexes.
type worker struct {
	Worker
	rack     *rack
	capacity uint64 // all accelerators
	free     uint64 // not in use
	pinned   uint64 // part of a guaranteed cell
	claimed  uint64 // promised to a job whose victims are stopping
	reserved uint64 // kept for a waiting gang

	slotsUsed     int
	slotsFirm     int // used by tasks outside cells that cannot be taken back
	slotsPinned   int // slots covered by guaranteed cells
	slotsClaimed  int
	slotsReserved int

	parts   []*part // guaranteed cells on this worker
	tasks   []*job
	bad     bool // quarantined
	drained bool // by the policy
	health  health

	counted    [2]int
	bucket     [viewCount]int
	prev, next [viewCount]*worker
}

// rack groups adjacent workers.
type rack struct {
	name     string
	workers  []*worker
	capacity int
	free     [2]int // usable accelerators by view accFirm, accAny
	class    int
}

func (w *worker) usable() bool { return w.State == WorkerReady && !w.bad && !w.drained }

// slots returns the free slots in a slot view.
func (w *worker) slots(v view) int {
	n := w.Slots - w.slotsUsed - w.slotsClaimed - w.slotsReserved
	for _, p := range w.parts {
		n -= p.kept()
	}
	if v == slotFirm {
		n = min(n, w.Slots-w.slotsPinned-w.slotsFirm)
	}
	return max(n, 0)
}

// avail returns the free accelerators in a view, none without a free slot.
func (w *worker) avail(v view) uint64 {
	if !w.usable() {
		return 0
	}
	m := w.free &^ w.claimed &^ w.reserved
	if v == accFirm {
		if w.slots(slotFirm) == 0 {
			return 0
		}
		return m &^ w.pinned
	}
	if w.slots(slotAny) == 0 {
		return 0
	}
	for _, p := range w.parts {
		m &^= p.keptMask()
	}
	return m
}

// Small work goes into the fullest rack first and there into the smallest block,
// so that whole racks stay free for gangs.
const (
	rackClasses = 8
	levels      = 8
	unlinked    = -1
)

// index keeps workers in 64 buckets, from the one to fill first to the one to
// spare longest, so that a search is one bit operation whatever the fleet size.
type index struct {
	bits  uint64
	heads [64]*worker
}

func (x *index) link(w *worker, v view, bucket int) {
	if w.bucket[v] == bucket {
		return
	}
	x.unlink(w, v)
	w.bucket[v] = bucket
	if bucket == unlinked {
		return
	}
	w.next[v] = x.heads[bucket]
	if w.next[v] != nil {
		w.next[v].prev[v] = w
	}
	x.heads[bucket] = w
	x.bits |= 1 << bucket
}

func (x *index) unlink(w *worker, v view) {
	b := w.bucket[v]
	if b == unlinked {
		return
	}
	if w.prev[v] != nil {
		w.prev[v].next[v] = w.next[v]
	} else if x.heads[b] = w.next[v]; x.heads[b] == nil {
		x.bits &^= 1 << b
	}
	if w.next[v] != nil {
		w.next[v].prev[v] = w.prev[v]
	}
	w.prev[v], w.next[v], w.bucket[v] = nil, nil, unlinked
}

// refresh recomputes the indexes after the free capacity of w has changed.
func (d *Domain) refresh(w *worker) {
	r := w.rack
	r.free[accFirm] += w.countChange(accFirm)
	r.free[accAny] += w.countChange(accAny)
	class := 0
	if r.capacity > 0 {
		class = (rackClasses - 1) * r.free[accAny] / r.capacity
	}
	if class == r.class {
		d.relink(w)
		return
	}
	r.class = class
	for _, o := range r.workers {
		d.relink(o)
	}
}

// countChange stores the number of usable accelerators and returns the change.
func (w *worker) countChange(v view) int {
	n := bits.OnesCount64(w.avail(v))
	delta := n - w.counted[v]
	w.counted[v] = n
	return delta
}

func (d *Domain) relink(w *worker) {
	for v := accFirm; v <= accAny; v++ {
		b := unlinked
		if l := largestLevel(w.avail(v), w.capacity); l >= 0 {
			b = w.rack.class*levels + l
			if !d.rules.PackRacks {
				b = l*rackClasses + w.rack.class
			}
		}
		d.idx[v].link(w, v, b)
	}
	for v := slotFirm; v <= slotAny; v++ {
		b := unlinked
		if w.usable() && w.slots(v) > 0 {
			b = d.slotBucket(w)
		}
		d.idx[v].link(w, v, b)
	}
}

// slotBucket puts workers first whose slots no free accelerator needs.
func (d *Domain) slotBucket(w *worker) int {
	b := w.rack.class
	if w.slots(slotAny) <= bits.OnesCount64(w.avail(accAny)) {
		b += rackClasses
	}
	return b
}
