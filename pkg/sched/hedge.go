package sched

import "time"

const (
	// stragglerFactor: a run is a straggler when it takes longer than this factor
	// times the 99th percentile of similar jobs.
	stragglerFactor = 1.5
	// maxHedgeShare limits the second copies to this share of the domain's jobs.
	maxHedgeShare      = 0.02
	minHedgeRuns       = 50 // recorded runs needed before quantiles are used for hedging
	hedgeRetryInterval = 5 * time.Second
)

// stragglerCheck is the time at which a run becomes a straggler.
type stragglerCheck struct {
	at      time.Time
	job     *job
	attempt int
}

// stragglerHeap is a heap ordered by time. It does not use container/heap, which
// allocates memory for each element, because every start of a small job is pushed
// here.
type stragglerHeap []stragglerCheck

func (h *stragglerHeap) push(x stragglerCheck) {
	s := append(*h, x)
	*h = s
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].at.Before(s[parent].at) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func (h *stragglerHeap) pop() stragglerCheck {
	s := *h
	top, last := s[0], len(s)-1
	s[0], s[last] = s[last], stragglerCheck{}
	s = s[:last]
	*h = s
	for i := 0; ; {
		c := 2*i + 1
		if c+1 < last && s[c+1].at.Before(s[c].at) {
			c++
		}
		if c >= last || !s[c].at.Before(s[i].at) {
			return top
		}
		s[i], s[c] = s[c], s[i]
		i = c
	}
}

// scheduleStragglerCheck schedules the check of a started run that may be hedged.
func (d *Domain) scheduleStragglerCheck(now time.Time, j *job) {
	if !d.rules.Hedge || j.AtMostOnce || len(j.allocs) != 1 {
		return
	}
	if l := d.runTimes.statsFor(j); l != nil && l.runs >= minHedgeRuns {
		d.stragglerChecks.push(stragglerCheck{now.Add(time.Duration(stragglerFactor * float64(l.q99))), j, j.Attempt})
	}
}

// hedgeStragglers starts second copies of stragglers on capacity left after queued
// jobs were placed. The copy belongs to the same attempt: its task indexes follow
// those of the first copy, the first success wins, and Ended releases both.
func (d *Domain) hedgeStragglers(now time.Time, out *[]Action) {
	for len(d.stragglerChecks) > 0 && !now.Before(d.stragglerChecks[0].at) {
		x := d.stragglerChecks.pop()
		if j := x.job; d.jobs[j.ID] == j && j.phase == phasePlaced && len(j.allocs) == 1 && j.Attempt == x.attempt {
			if !d.hedgeJob(now, j, false, out) {
				d.stragglerChecks.push(stragglerCheck{now.Add(hedgeRetryInterval), j, j.Attempt})
			}
		}
	}
	if len(d.stragglerChecks) > 0 {
		d.requestDecide(d.stragglerChecks[0].at)
	}
}

// hedgeJob starts a second copy of the job and returns false if that should be
// retried later.
func (d *Domain) hedgeJob(now time.Time, j *job, confirmed bool, out *[]Action) bool {
	if float64(d.hedgeCount) >= 1+maxHedgeShare*float64(len(d.jobs)) || !j.ws.quotaAllows(j.Accelerators, 1) {
		return false
	}
	a := Action{Type: ActionHedge, Job: j.ID, Workspace: j.Workspace, Attempt: j.Attempt, Reason: "the run takes far longer than others of its kind"}
	if _, held := d.doc.Held(j.Workspace, now); held && !confirmed {
		if j.proposedAt.IsZero() || now.Sub(j.proposedAt) >= proposalInterval {
			j.proposedAt, a.Proposal = now, true
			*out = append(*out, a)
		}
		return false
	}
	v := anyAccelerators
	if j.Accelerators == 0 {
		v = anySlots
	}
	j.firstCopyWorker = j.allocs[0].worker
	w := d.pickWorker(j, v, j.Accelerators)
	j.firstCopyWorker = nil
	if w == nil {
		return false
	}
	var mask uint64
	if j.Accelerators > 0 {
		if mask = bestFitBlock(j.availableOn(w, anyAccelerators), w.capacity, j.Accelerators); mask == 0 {
			return false
		}
	}
	j.allocs = append([]allocation{j.allocs[0]}, allocation{worker: w, mask: mask})
	d.allocateTask(now, j, 1)
	j.ws.accelerators += j.Accelerators
	j.ws.slots++
	j.hedged = true
	d.hedgeCount++
	a.Placements = []Placement{{Worker: w.ID, Accelerators: maskToList(mask)}}
	*out = append(*out, a)
	return true
}
