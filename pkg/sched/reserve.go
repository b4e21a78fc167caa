package sched

import (
	"math/bits"
	"slices"
	"time"
)

// reservation reserves accelerators for a waiting gang at the head of its group: those
// expected to become free first according to the estimated run times. Only jobs
// expected to end before then, and checkpointable jobs, are started on them. Such
// backfill is preempted once it alone blocks the gang. Reservations are few and each is for the complete
// gang, so two gangs cannot deadlock by holding half of what the other needs.
type reservation struct {
	job           *job
	allocs        []allocation
	createdAt     time.Time
	readyAt       time.Time // estimated
	blockersMoved bool      // the jobs that block it have been moved
	clearing      bool      // its backfill is being stopped and no more is admitted
}

const (
	// reservationDelay is how long a gang waits before it gets a reservation, so that
	// waits of a few seconds cause none.
	reservationDelay = 15 * time.Second
	// reservationTimeout is the age, and the time past the estimate, after which a
	// reservation that is not ready is dropped and planned again.
	reservationTimeout = time.Minute
	// racksPerReservation limits the reservations to one per this many racks.
	racksPerReservation = 4
	// checkpointableBackfillTime is the run time that makes up for the preemption of a
	// checkpointable backfill job.
	checkpointableBackfillTime = 3 * checkpointCost
	// pinnedWaitPenalty is added to the expected wait for accelerators in cells of other
	// workspaces, so that reservations avoid them.
	pinnedWaitPenalty = 5 * time.Minute
)

func (d *Domain) maxReservations() int { return max(1, len(d.racks)/racksPerReservation) }

// reserve makes a reservation for a gang that could not be placed, or for a job with
// one accelerator that has waited for starvationLimit.
func (d *Domain) reserve(now time.Time, j *job) {
	aged := now.Sub(j.queuedAt) >= starvationLimit
	if !d.rules.Reserve || j.reservation != nil || j.Accelerators == 0 || j.Accelerators < 2 && !aged || !j.ws.quotaAllows(j.Accelerators, 1) {
		return
	}
	if len(d.reservations) >= d.maxReservations() && (!aged || !d.dropNewestReservation(now)) {
		return
	}
	if due := j.queuedAt.Add(reservationDelay); now.Before(due) {
		d.requestDecide(due)
		return
	}
	if allocs, ready := d.planReservation(now, j); allocs != nil {
		r := &reservation{job: j, allocs: allocs, createdAt: now, readyAt: ready}
		j.reservation = r
		d.reservations = append(d.reservations, r)
		for _, s := range allocs {
			s.worker.reserved |= s.mask
			s.worker.slotsReserved++
			d.refreshIndexes(s.worker)
		}
	}
}

// dropNewestReservation drops the newest reservation of a job that has waited less
// than starvationLimit, in favor of one that has waited longer. It reports whether it
// dropped one.
func (d *Domain) dropNewestReservation(now time.Time) bool {
	for _, r := range slices.Backward(d.reservations) {
		if now.Sub(r.job.queuedAt) < starvationLimit {
			d.dropReservation(r)
			return true
		}
	}
	return false
}

func (d *Domain) dropReservation(r *reservation) {
	d.reservations = slices.DeleteFunc(d.reservations, func(o *reservation) bool { return o == r })
	r.job.reservation = nil
	for _, s := range r.allocs {
		s.worker.reserved &^= s.mask
		s.worker.slotsReserved--
		d.refreshIndexes(s.worker)
	}
	d.capacityFreed = true
}

// freeTime is the expected wait until an accelerator of a worker is free.
type freeTime struct {
	worker      *worker
	after       time.Duration
	accelerator int
}

// planReservation returns the accelerators that are expected to be free for the gang
// first, and the expected time.
func (d *Domain) planReservation(now time.Time, j *job) ([]allocation, time.Time) {
	_, loosest := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if loosest == levelDomain {
		allocs, wait := d.earliestAllocs(now, j, d.workers)
		return allocs, now.Add(wait)
	}
	var best []allocation
	var bestWait time.Duration
	consider := func(workers []*worker) {
		if allocs, wait := d.earliestAllocs(now, j, workers); allocs != nil && (best == nil || wait < bestWait) {
			best, bestWait = allocs, wait
		}
	}
	for _, r := range d.racks {
		if loosest == levelRack {
			consider(r.workers)
			continue
		}
		for i := range r.workers {
			consider(r.workers[i : i+1])
		}
	}
	return best, now.Add(bestWait)
}

// earliestAllocs returns the accelerators of the workers that are expected to be free
// first, and the expected wait. On a single worker they are an aligned block.
func (d *Domain) earliestAllocs(now time.Time, j *job, workers []*worker) ([]allocation, time.Duration) {
	var all []freeTime
	for _, w := range workers {
		if w.usable() && !j.avoids(w) && w.Slots > 0 {
			all = d.freeTimes(now, j, w, all)
		}
	}
	if len(all) < j.Accelerators {
		return nil, 0
	}
	if len(workers) == 1 {
		return earliestBlock(j, workers[0], all)
	}
	slices.SortStableFunc(all, func(a, b freeTime) int { return int(a.after - b.after) })
	masks := map[*worker]uint64{}
	for _, x := range all[:j.Accelerators] {
		masks[x.worker] |= 1 << x.accelerator
	}
	var out []allocation
	for _, w := range workers {
		if m := masks[w]; m != 0 {
			out = append(out, allocation{worker: w, mask: m})
		}
	}
	return out, all[j.Accelerators-1].after
}

func earliestBlock(j *job, w *worker, all []freeTime) (best []allocation, bestAt time.Duration) {
	var at [64]time.Duration
	var have uint64
	for _, x := range all {
		at[x.accelerator] = x.after
		have |= 1 << x.accelerator
	}
	step := 1 << levelFor(j.Accelerators)
	for from := 0; from+j.Accelerators <= w.Accelerators; from += step {
		m := lowMask(j.Accelerators) << from
		if m&^have != 0 {
			continue
		}
		if end := slices.Max(at[from : from+j.Accelerators]); best == nil || end < bestAt {
			best, bestAt = []allocation{{worker: w, mask: m}}, end
		}
	}
	return best, bestAt
}

// freeTimes appends the expected wait for each accelerator of the worker that the job
// may use.
func (d *Domain) freeTimes(now time.Time, j *job, w *worker, all []freeTime) []freeTime {
	usable := w.capacity &^ w.claimed &^ w.reserved
	var ownCells uint64
	for _, p := range w.parts {
		if p.cell.ws == j.ws {
			ownCells |= p.mask
		}
	}
	otherCells := w.pinned &^ ownCells
	if !d.mayBorrow(j) {
		usable &^= otherCells
	}
	var busy [64]time.Duration
	w.eachAlloc(func(o *job, s *allocation) {
		left := d.remaining(now, o)
		for m := s.mask; m != 0; m &= m - 1 {
			busy[bits.TrailingZeros64(m)] = left
		}
	})
	for m := usable; m != 0; m &= m - 1 {
		n := bits.TrailingZeros64(m)
		at := busy[n]
		if otherCells&(1<<n) != 0 {
			at += pinnedWaitPenalty
		}
		all = append(all, freeTime{w, at, n})
	}
	return all
}

// resolveReservations places gangs whose reservation is ready, preempts backfill that
// alone blocks a gang, and drops reservations that are overdue or include an
// unusable worker.
func (d *Domain) resolveReservations(now time.Time, out *[]Action) {
	for _, r := range slices.Clone(d.reservations) {
		c := claim{job: r.job, allocs: r.allocs}
		switch {
		case c.hasUnusableWorker() || r.job.phase != phaseQueued || now.Sub(r.createdAt) > reservationTimeout && now.Sub(r.readyAt) > reservationTimeout:
			d.dropReservation(r)
		case d.reservationReady(r) && r.job.ws.quotaAllows(r.job.Accelerators, len(r.allocs)):
			d.dropReservation(r)
			d.dequeue(r.job)
			r.job.allocs = r.allocs
			d.allocate(now, r.job)
			*out = append(*out, d.placeAction(r.job))
		default:
			d.clearBackfill(now, r, out)
			d.moveBlockers(now, r, out)
		}
	}
}

// reservationReady reports whether all accelerators and slots of the reservation are
// free and not claimed or withheld for other jobs.
func (d *Domain) reservationReady(r *reservation) bool {
	for _, s := range r.allocs {
		if s.mask&^s.worker.free != 0 || s.mask&s.worker.claimed != 0 {
			return false
		}
		w := s.worker
		if w.lendableSlots(r.job.ws) <= 0 {
			return false
		}
		for _, p := range w.parts {
			if p.cell.ws != r.job.ws && s.mask&p.withheldMask() != 0 {
				return false
			}
		}
		if !d.mayBorrow(r.job) && w.slotsUnpinnedUsed >= w.Slots-w.slotsPinned && w.ownCellPart(r.job.ws, s.mask) == nil {
			return false
		}
	}
	return true
}

// clearBackfill preempts the backfill jobs of a reservation once no other job blocks
// the gang.
func (d *Domain) clearBackfill(now time.Time, r *reservation, out *[]Action) {
	var victims []*job
	for _, s := range r.allocs {
		for _, v := range s.worker.jobs {
			if !v.uses(s.worker, s.mask) || slices.Contains(victims, v) || r.clearing && v.phase == phaseStopping {
				continue
			}
			if v.backfillOf != r.job.ID || v.phase == phaseStopping {
				return
			}
			victims = append(victims, v)
		}
	}
	r.clearing = true
	d.stopVictims(now, r.job, victims, ActionPreempt, "the reservation of a waiting gang is ready but for this backfill", out)
}

// stopVictims stops the victims in favor of j, or proposes it during an automation
// hold.
func (d *Domain) stopVictims(now time.Time, j *job, victims []*job, t ActionType, reason string, out *[]Action) {
	if len(victims) == 0 {
		return
	}
	held := d.automationHeld(now, j, &reclaimPlan{victims: victims})
	if held && !j.proposedAt.IsZero() && now.Sub(j.proposedAt) < proposalInterval || !held && !d.preemptionTokens.take(now, float64(len(victims))) {
		d.requestDecide(now.Add(time.Second))
		return
	}
	for _, v := range victims {
		a := Action{
			Type: t, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: string(j.ID), Reason: reason,
			StopBy: now.Add(d.opts.PreemptionGrace), LostWork: v.lostWork(now), Proposal: held,
		}
		if !held {
			v.phase, v.stopBy = phaseStopping, a.StopBy
		}
		*out = append(*out, a)
	}
	if held {
		j.proposedAt = now
	}
}

// backfill places a job on reserved accelerators that would otherwise be idle until
// the reservation is ready.
func (d *Domain) backfill(now time.Time, j *job) bool {
	if !d.rules.Backfill || !j.preemptible() || j.Accelerators == 0 || len(d.reservations) == 0 {
		return false
	}
	left := d.remaining(now, j)
	if j.Checkpointable {
		// Its preemption costs little, so it may run until the gang needs the accelerators.
		left = min(left, checkpointableBackfillTime)
	}
	for _, r := range d.reservations {
		if r.job == j || r.clearing || now.Add(left).After(r.readyAt) {
			continue
		}
		for _, s := range r.allocs {
			w := s.worker
			m := s.mask & w.free &^ w.claimed
			for _, p := range w.parts {
				if p.cell.ws != j.ws {
					m &^= p.withheldMask()
				}
			}
			if !d.rules.Lend {
				m &^= w.pinned
			}
			if w.lendableSlots(j.ws) <= 0 || j.avoids(w) {
				continue
			}
			if b := bestFitBlock(m, w.capacity, j.Accelerators); b != 0 {
				j.backfillOf = r.job.ID
				return j.placeSingle(w, b)
			}
		}
	}
	return false
}
