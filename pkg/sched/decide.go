package sched

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Decide returns the actions that follow from the events received so far.
func (d *Domain) Decide(now time.Time) []Action { return d.DecideInto(now, nil) }

// DecideInto is like Decide but appends the actions to out, which saves a memory
// allocation per call.
func (d *Domain) DecideInto(now time.Time, out []Action) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.nextDecide.IsZero() && !now.Before(d.nextDecide) {
		// Any queue may hold a job that was waiting for this time.
		d.nextDecide, d.capacityFreed = time.Time{}, true
	}
	d.refreshPins()
	d.rotateUseWindows(now)
	d.resolveClaims(now, &out)
	d.updateQuarantines(now, &out)
	d.resolveReservations(now, &out)
	d.placeQueued(now, &out)
	d.resolveClaims(now, &out)
	d.hedgeStragglers(now, &out)
	return out
}

func (d *Domain) refreshPins() {
	if d.pinsStale {
		d.pinsStale = false
		d.dropNonPreemptibleClaims()
		d.repairPins()
	}
}

// dropNonPreemptibleClaims drops the claims and reservations of non-preemptible jobs,
// because cells may now be pinned to their accelerators. Jobs with a claim are
// queued again.
func (d *Domain) dropNonPreemptibleClaims() {
	for _, c := range slices.Clone(d.claims) {
		if !c.job.preemptible() {
			d.dropClaim(c)
			d.enqueue(c.job)
		}
	}
	for _, r := range slices.Clone(d.reservations) {
		if !r.job.preemptible() {
			d.dropReservation(r)
		}
	}
}

// placeQueued tries to place the queued jobs in order. If no capacity became free
// since the last call, it tries only groups with a new job.
func (d *Domain) placeQueued(now time.Time, out *[]Action) {
	all := d.capacityFreed
	d.capacityFreed = false
	for _, g := range d.sortedGroups(now) {
		if !all && !g.dirty {
			continue
		}
		g.dirty = false
		for len(g.jobs) > 0 && d.tryPlace(now, g.jobs[0], out) {
			continue
		}
		if len(g.jobs) > 0 {
			d.reserve(now, g.jobs[0])
		}
	}
}

// tryPlace places the job or starts a reclaim for it. It reports whether the next job
// of the group may be tried.
func (d *Domain) tryPlace(now time.Time, j *job, out *[]Action) bool {
	if !j.Deadline.IsZero() && !now.Before(j.Deadline) {
		d.removeUnplaced(j)
		*out = append(*out, Action{
			Type: ActionRefuse, Job: j.ID, Workspace: j.Workspace, Attempt: j.Attempt,
			Kind: errkind.DeadlinePassed, Reason: "the deadline passed before the job could start",
		})
		return true
	}
	if !j.ws.quotaAllows(j.Accelerators, 1) {
		return false
	}
	if !d.findPlace(j) && !d.backfill(now, j) {
		return d.reclaim(now, j, false, out)
	}
	if !j.ws.quotaAllows(j.Accelerators, len(j.allocs)) {
		j.allocs = nil
		return false
	}
	if j.reservation != nil {
		d.dropReservation(j.reservation)
	}
	d.dequeue(j)
	d.allocate(now, j)
	*out = append(*out, d.placeAction(j))
	return true
}

func (d *Domain) placeAction(j *job) Action {
	return Action{
		Type: ActionPlace, Job: j.ID, Workspace: j.Workspace, Attempt: j.Attempt,
		Placements: d.placements(j), Reason: "capacity is free",
	}
}

// quotaAllows reports whether the workspace's quota has room for the given use.
func (ws *workspace) quotaAllows(accelerators, slots int) bool {
	q := ws.quota
	return (q.Accelerators == 0 || ws.accelerators+accelerators <= q.Accelerators) &&
		(q.Slots == 0 || ws.slots+slots <= q.Slots)
}

// requestDecide requests a call of Decide no later than t.
func (d *Domain) requestDecide(t time.Time) {
	if d.nextDecide.IsZero() || t.Before(d.nextDecide) {
		d.nextDecide = t
	}
}

// NextDecideTime returns when Decide has to be called even if no event arrives. The
// zero time means that the next call is needed only after an event.
func (d *Domain) NextDecideTime(_ time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextDecide
}

// Confirm executes a proposal that an operator confirmed and returns the resulting
// actions. If the proposal no longer applies, it returns plan_outdated and changes
// nothing.
func (d *Domain) Confirm(now time.Time, a Action) ([]Action, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshPins()
	victim, j := d.jobs[a.Job], d.queuedJob(a.For)
	if out, ok := d.confirmNonReclaim(now, a, victim, j); ok {
		return out, nil
	}
	if a.Type != ActionPreempt || victim == nil || victim.Attempt != a.Attempt || victim.phase != phasePlaced || j == nil {
		return nil, errkind.New(errkind.PlanOutdated, "the proposed action no longer applies")
	}
	p := d.planReclaim(now, j)
	if p == nil || !containsJob(p.victims, victim) {
		return nil, errkind.New(errkind.PlanOutdated, "preempting job %s no longer makes room for %s", a.Job, a.For)
	}
	var out []Action
	d.reclaim(now, j, true, &out)
	return out, nil
}

// confirmNonReclaim executes a confirmed proposal of any kind other than a reclaim.
func (d *Domain) confirmNonReclaim(now time.Time, a Action, subject, beneficiary *job) (out []Action, ok bool) {
	if w := d.workersByID[a.Worker]; a.Type == ActionQuarantine && w != nil && !w.quarantined {
		d.quarantine(now, w, true, &out)
		return out, true
	}
	if subject == nil || subject.Attempt != a.Attempt || subject.phase != phasePlaced || subject.AtMostOnce {
		return nil, false
	}
	switch {
	case a.Type == ActionHedge && len(subject.allocs) == 1:
		return out, d.hedgeJob(now, subject, true, &out)
	case a.Type == ActionMove || a.Type == ActionPreempt && !a.Reclaim:
		if beneficiary == nil || beneficiary.reservation == nil {
			return nil, false
		}
		a.Proposal, a.StopBy = false, now.Add(d.opts.PreemptionGrace)
		subject.phase, subject.stopBy = phaseStopping, a.StopBy
		return []Action{a}, true
	}
	return nil, false
}
