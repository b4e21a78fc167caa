package sched

import "math/bits"

// capacityView selects which free capacity is counted.
type capacityView int

// Views of free capacity. Unpinned capacity is outside guaranteed cells and can be used
// by non-preemptible jobs. Any capacity also includes idle guaranteed cells.
const (
	unpinnedAccelerators capacityView = iota
	anyAccelerators
	unpinnedSlots
	anySlots
	viewCount
)

// worker is a worker with its capacity and its position in the indexes. The masks
// have one bit per accelerator.
type worker struct {
	Worker
	rack     *rack
	capacity uint64 // all accelerators
	free     uint64 // not in use
	pinned   uint64 // part of a guaranteed cell
	claimed  uint64 // claimed by a job whose victims are stopping
	reserved uint64 // reserved for a waiting gang

	slotsUsed         int
	slotsUnpinnedUsed int // slots outside cells that are in use
	slotsPinned       int // slots covered by guaranteed cells
	slotsClaimed      int
	slotsReserved     int

	parts       []*cellPart // guaranteed cells on this worker
	jobs        []*job      // with a task on this worker
	quarantined bool
	drained     bool // by the policy document
	health      workerHealth

	countedFree [2]int
	bucket      [viewCount]int
	prev, next  [viewCount]*worker
}

// rack is a group of adjacent workers.
type rack struct {
	name      string
	workers   []*worker
	capacity  int
	free      [2]int // available accelerators by accelerator view
	freeClass int
}

func (w *worker) usable() bool { return w.State == WorkerReady && !w.quarantined && !w.drained }

// freeSlots returns the number of free slots in a slot view.
func (w *worker) freeSlots(v capacityView) int {
	n := w.Slots - w.slotsUsed - w.slotsClaimed - w.slotsReserved
	for _, p := range w.parts {
		n -= p.withheld()
	}
	if v == unpinnedSlots {
		n = min(n, w.Slots-w.slotsPinned-w.slotsUnpinnedUsed)
	}
	return max(n, 0)
}

// available returns the free accelerators in an accelerator view, or none if the worker
// has no free slot in the matching slot view.
func (w *worker) available(v capacityView) uint64 {
	if !w.usable() {
		return 0
	}
	m := w.free &^ w.claimed &^ w.reserved
	if v == unpinnedAccelerators {
		if w.freeSlots(unpinnedSlots) == 0 {
			return 0
		}
		return m &^ w.pinned
	}
	if w.freeSlots(anySlots) == 0 {
		return 0
	}
	for _, p := range w.parts {
		m &^= p.withheldMask()
	}
	return m
}

// Small jobs are placed in the fullest rack and there in the smallest sufficient
// block, so that whole racks stay free for gangs. Racks are ranked by their share of
// free accelerators in rackFreeClasses classes.
const (
	rackFreeClasses = 8
	blockLevels     = 8
	unlinked        = -1
)

// workerIndex keeps workers in 64 buckets in order of preference, so that the first
// bucket in use is found by one bit operation for any fleet size.
type workerIndex struct {
	bits  uint64
	heads [64]*worker
}

func (x *workerIndex) link(w *worker, v capacityView, bucket int) {
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

func (x *workerIndex) unlink(w *worker, v capacityView) {
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

// refreshIndexes updates the indexes after the free capacity of w has changed.
func (d *Domain) refreshIndexes(w *worker) {
	r := w.rack
	r.free[unpinnedAccelerators] += w.recountFree(unpinnedAccelerators)
	r.free[anyAccelerators] += w.recountFree(anyAccelerators)
	class := 0
	if r.capacity > 0 {
		class = (rackFreeClasses - 1) * r.free[anyAccelerators] / r.capacity
	}
	if class == r.freeClass {
		d.relink(w)
		return
	}
	r.freeClass = class
	for _, o := range r.workers {
		d.relink(o)
	}
}

// recountFree recounts the available accelerators in the view and returns the change.
func (w *worker) recountFree(v capacityView) int {
	n := bits.OnesCount64(w.available(v))
	delta := n - w.countedFree[v]
	w.countedFree[v] = n
	return delta
}

// relink moves the worker to the bucket of each index that matches its free capacity.
func (d *Domain) relink(w *worker) {
	for v := unpinnedAccelerators; v <= anyAccelerators; v++ {
		b := unlinked
		if l := largestFreeLevel(w.available(v), w.capacity); l >= 0 {
			b = w.rack.freeClass*blockLevels + l
			if !d.rules.PackRacks {
				b = l*rackFreeClasses + w.rack.freeClass
			}
		}
		d.indexes[v].link(w, v, b)
	}
	for v := unpinnedSlots; v <= anySlots; v++ {
		b := unlinked
		if w.usable() && w.freeSlots(v) > 0 {
			b = d.slotBucket(w)
		}
		d.indexes[v].link(w, v, b)
	}
}

// slotBucket returns the bucket of the worker in the slot views. Workers with more free
// slots than available accelerators come first, since those slots are not needed to
// use the accelerators.
func (d *Domain) slotBucket(w *worker) int {
	b := w.rack.freeClass
	if w.freeSlots(anySlots) <= bits.OnesCount64(w.available(anyAccelerators)) {
		b += rackFreeClasses
	}
	return b
}
