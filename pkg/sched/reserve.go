package sched

import (
	"math/bits"
	"slices"
	"time"
)

// A gang that waits at the head of the order gets a reservation: the accelerators
// that become free first by the learned run times. Nothing else starts there but
// work that is expected to end before, and such backfill is preempted when it is
// the last that stands in the gang's way. There are few reservations at a time,
// each complete, so two gangs never hold half of what the other needs.
type reservation struct {
	j        *job
	spots    []spot
	made     time.Time
	ready    time.Time // estimate
	moved    bool      // its blockers were moved
	clearing bool      // backfill is being stopped and no more is let in
}

const (
	// reserveAfter is how long a gang waits before it gets a reservation, so
	// that gaps of seconds need none.
	reserveAfter = 15 * time.Second
	// reserveRenew is when a reservation that is not ready as estimated is planned anew.
	reserveRenew = time.Minute
	// racksPerReservation bounds the reservations by the number of racks.
	racksPerReservation = 4
	// backfillGain is the run time that makes up for the preemption of
	// checkpointable backfill.
	backfillGain = 3 * checkpointCost
	// pinnedPenalty keeps reservations off the cells of other workspaces.
	pinnedPenalty = 5 * time.Minute
)

func (d *Domain) maxReservations() int { return max(1, len(d.racks)/racksPerReservation) }

// reserve gives a reservation to a gang that could not be placed.
func (d *Domain) reserve(now time.Time, j *job) {
	aged := now.Sub(j.queuedAt) >= starveAfter
	if !d.rules.Reserve || j.reservation != nil || j.Accelerators == 0 || j.Accelerators < 2 && !aged || !j.ws.allows(j.Accelerators, 1) {
		return
	}
	if len(d.reservations) >= d.maxReservations() && (!aged || !d.giveWay(now)) {
		return
	}
	if due := j.queuedAt.Add(reserveAfter); now.Before(due) {
		d.wakeAt(due)
		return
	}
	if spots, ready := d.planReservation(now, j); spots != nil {
		r := &reservation{j: j, spots: spots, made: now, ready: ready}
		j.reservation = r
		d.reservations = append(d.reservations, r)
		for _, s := range spots {
			s.w.reserved |= s.mask
			s.w.slotsReserved++
			d.refresh(s.w)
		}
	}
}

// giveWay drops the latest reservation of a gang that has not waited long, in
// favor of work that has.
func (d *Domain) giveWay(now time.Time) bool {
	for _, r := range slices.Backward(d.reservations) {
		if now.Sub(r.j.queuedAt) < starveAfter {
			d.dropReservation(r)
			return true
		}
	}
	return false
}

func (d *Domain) dropReservation(r *reservation) {
	d.reservations = slices.DeleteFunc(d.reservations, func(o *reservation) bool { return o == r })
	r.j.reservation = nil
	for _, s := range r.spots {
		s.w.reserved &^= s.mask
		s.w.slotsReserved--
		d.refresh(s.w)
	}
	d.freed = true
}

// slotTime is an accelerator and when it is expected to be free.
type slotTime struct {
	w  *worker
	at time.Duration
	n  int
}

// planReservation finds the accelerators that the gang can have first.
func (d *Domain) planReservation(now time.Time, j *job) ([]spot, time.Time) {
	_, loose := adjacencyLevels(j.Adjacency, j.RelaxAdjacency)
	if loose == levelDomain {
		spots, wait := d.earliest(now, j, d.workers)
		return spots, now.Add(wait)
	}
	var best []spot
	var bestWait time.Duration
	consider := func(workers []*worker) {
		if spots, wait := d.earliest(now, j, workers); spots != nil && (best == nil || wait < bestWait) {
			best, bestWait = spots, wait
		}
	}
	for _, r := range d.racks {
		if loose == levelRack {
			consider(r.workers)
			continue
		}
		for i := range r.workers {
			consider(r.workers[i : i+1])
		}
	}
	return best, now.Add(bestWait)
}

// earliest returns the accelerators of the workers that are free first. In one
// worker they are an aligned block.
func (d *Domain) earliest(now time.Time, j *job, workers []*worker) ([]spot, time.Duration) {
	var all []slotTime
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
	slices.SortStableFunc(all, func(a, b slotTime) int { return int(a.at - b.at) })
	masks := map[*worker]uint64{}
	for _, x := range all[:j.Accelerators] {
		masks[x.w] |= 1 << x.n
	}
	var out []spot
	for _, w := range workers {
		if m := masks[w]; m != 0 {
			out = append(out, spot{w: w, mask: m})
		}
	}
	return out, all[j.Accelerators-1].at
}

func earliestBlock(j *job, w *worker, all []slotTime) (best []spot, bestAt time.Duration) {
	var at [64]time.Duration
	var have uint64
	for _, x := range all {
		at[x.n] = x.at
		have |= 1 << x.n
	}
	step := 1 << levelFor(j.Accelerators)
	for from := 0; from+j.Accelerators <= w.Accelerators; from += step {
		m := lowMask(j.Accelerators) << from
		if m&^have != 0 {
			continue
		}
		if end := slices.Max(at[from : from+j.Accelerators]); best == nil || end < bestAt {
			best, bestAt = []spot{{w: w, mask: m}}, end
		}
	}
	return best, bestAt
}

// freeTimes appends when each accelerator of the worker is expected to be free.
func (d *Domain) freeTimes(now time.Time, j *job, w *worker, all []slotTime) []slotTime {
	usable := w.capacity &^ w.claimed &^ w.reserved
	var own uint64
	for _, p := range w.parts {
		if p.cell.ws == j.ws {
			own |= p.mask
		}
	}
	others := w.pinned &^ own
	if !d.mayBorrow(j) {
		usable &^= others
	}
	var busy [64]time.Duration
	w.eachSpot(func(o *job, s *spot) {
		left := d.remaining(now, o)
		for m := s.mask; m != 0; m &= m - 1 {
			busy[bits.TrailingZeros64(m)] = left
		}
	})
	for m := usable; m != 0; m &= m - 1 {
		n := bits.TrailingZeros64(m)
		at := busy[n]
		if others&(1<<n) != 0 {
			at += pinnedPenalty
		}
		all = append(all, slotTime{w, at, n})
	}
	return all
}

// settleReservations places gangs whose reservation is ready, removes backfill
// that is last in the way, and drops reservations that came to nothing.
func (d *Domain) settleReservations(now time.Time, out *[]Action) {
	for _, r := range slices.Clone(d.reservations) {
		c := claim{j: r.j, spots: r.spots}
		switch {
		case c.broken() || r.j.phase != phaseQueued || now.Sub(r.made) > reserveRenew && now.Sub(r.ready) > reserveRenew:
			d.dropReservation(r)
		case d.openFor(r) && r.j.ws.allows(r.j.Accelerators, len(r.spots)):
			d.dropReservation(r)
			d.dequeue(r.j)
			r.j.spots = r.spots
			d.take(now, r.j)
			*out = append(*out, d.placed(r.j))
		default:
			d.clearBackfill(now, r, out)
			d.moveBlockers(now, r, out)
		}
	}
}

// openFor reports whether all places of the reservation are free and their slots
// are not promised otherwise.
func (d *Domain) openFor(r *reservation) bool {
	for _, s := range r.spots {
		if s.mask&^s.w.free != 0 || s.mask&s.w.claimed != 0 {
			return false
		}
		w := s.w
		if w.lendable(r.j.ws) <= 0 {
			return false
		}
		for _, p := range w.parts {
			if p.cell.ws != r.j.ws && s.mask&p.keptMask() != 0 {
				return false
			}
		}
		if !d.mayBorrow(r.j) && w.slotsFirm >= w.Slots-w.slotsPinned && w.ownPart(r.j.ws, s.mask) == nil {
			return false
		}
	}
	return true
}

// clearBackfill preempts backfill once nothing else stands in the gang's way.
func (d *Domain) clearBackfill(now time.Time, r *reservation, out *[]Action) {
	var victims []*job
	for _, s := range r.spots {
		for _, v := range s.w.tasks {
			if !v.uses(s.w, s.mask) || slices.Contains(victims, v) || r.clearing && v.phase == phaseStopping {
				continue
			}
			if v.backfillOf != r.j.ID || v.phase == phaseStopping {
				return
			}
			victims = append(victims, v)
		}
	}
	r.clearing = true
	d.stopFor(now, r.j, victims, ActionPreempt, "the reservation of a waiting gang is ready but for this backfill", out)
}

// stopFor stops the victims in favor of j, or proposes to while automation is held.
func (d *Domain) stopFor(now time.Time, j *job, victims []*job, t ActionType, reason string, out *[]Action) {
	if len(victims) == 0 {
		return
	}
	held := d.planHeld(now, j, &plan{victims: victims})
	if held && !j.proposedAt.IsZero() && now.Sub(j.proposedAt) < proposalInterval || !held && !d.tokens.take(now, float64(len(victims))) {
		d.wakeAt(now.Add(time.Second))
		return
	}
	for _, v := range victims {
		a := Action{
			Type: t, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: string(j.ID), Reason: reason,
			StopBy: now.Add(d.opts.PreemptionGrace), LostWork: v.lost(now), Proposal: held,
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

// backfill places small work on reserved accelerators that would stay idle until
// the reservation is ready.
func (d *Domain) backfill(now time.Time, j *job) bool {
	if !d.rules.Backfill || !j.preemptible() || j.Accelerators == 0 || len(d.reservations) == 0 {
		return false
	}
	left := d.remaining(now, j)
	if j.Checkpointable {
		// A preemption costs it little, so it may run until the gang needs the place.
		left = min(left, backfillGain)
	}
	for _, r := range d.reservations {
		if r.j == j || r.clearing || now.Add(left).After(r.ready) {
			continue
		}
		for _, s := range r.spots {
			w := s.w
			m := s.mask & w.free &^ w.claimed
			for _, p := range w.parts {
				if p.cell.ws != j.ws {
					m &^= p.keptMask()
				}
			}
			if !d.rules.Lend {
				m &^= w.pinned
			}
			if w.lendable(j.ws) <= 0 || j.avoids(w) {
				continue
			}
			if b := bestBlock(m, w.capacity, j.Accelerators); b != 0 {
				j.backfillOf = r.j.ID
				return j.single(w, b)
			}
		}
	}
	return false
}
