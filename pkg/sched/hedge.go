package sched

import (
	"container/heap"
	"time"
)

const (
	// hedgeFactor times the 99th percentile of its kind makes a run a straggler.
	hedgeFactor = 1.5
	// hedgeShare bounds the second copies by the running jobs.
	hedgeShare = 0.02
	hedgeRuns  = 50 // runs before a quantile decides about a hedge
	hedgeRetry = 5 * time.Second
)

// watch is a run to look at when it would be a straggler.
type watch struct {
	at      time.Time
	j       *job
	attempt int
}

type watches []watch

func (h watches) Len() int           { return len(h) }
func (h watches) Less(i, k int) bool { return h[i].at.Before(h[k].at) }
func (h watches) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *watches) Push(x any) { *h = append(*h, x.(watch)) }

// Pop implements heap.Interface.
func (h *watches) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = watch{}
	*h = old[:len(old)-1]
	return x
}

// watchRun plans the check of a started run that may be hedged.
func (d *Domain) watchRun(now time.Time, j *job) {
	if !d.rules.Hedge || j.AtMostOnce || len(j.spots) != 1 {
		return
	}
	if l := d.learned.of(j); l != nil && l.runs >= hedgeRuns {
		heap.Push(&d.watches, watch{now.Add(time.Duration(hedgeFactor * float64(l.q99))), j, j.Attempt})
	}
}

// hedge starts second copies of stragglers on capacity that nothing waits for.
// The copy belongs to the same attempt: its task indexes follow those of the
// first copy, the first success wins, and Ended frees both.
func (d *Domain) hedge(now time.Time, out *[]Action) {
	for len(d.watches) > 0 && !now.Before(d.watches[0].at) {
		x := heap.Pop(&d.watches).(watch)
		if j := x.j; d.jobs[j.ID] == j && j.phase == phasePlaced && len(j.spots) == 1 && j.Attempt == x.attempt {
			if !d.hedgeJob(now, j, false, out) {
				heap.Push(&d.watches, watch{now.Add(hedgeRetry), j, j.Attempt})
			}
		}
	}
	if len(d.watches) > 0 {
		d.wakeAt(d.watches[0].at)
	}
}

// hedgeJob reports false when the hedge should be tried again later.
func (d *Domain) hedgeJob(now time.Time, j *job, confirmed bool, out *[]Action) bool {
	if float64(d.hedges) >= 1+hedgeShare*float64(len(d.jobs)) || !j.ws.allows(j.Accelerators, 1) {
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
	v := accAny
	if j.Accelerators == 0 {
		v = slotAny
	}
	w := d.pick(j, v, j.Accelerators)
	if w == nil || w == j.spots[0].w {
		return false
	}
	var mask uint64
	if j.Accelerators > 0 {
		if mask = bestBlock(w.avail(accAny), w.capacity, j.Accelerators); mask == 0 {
			return false
		}
	}
	j.spots = append([]spot{j.spots[0]}, spot{w: w, mask: mask})
	d.takeSpot(now, j, 1)
	j.ws.accelerators += j.Accelerators
	j.ws.slots++
	j.hedged = true
	d.hedges++
	a.Placements = []Placement{{Worker: w.ID, Accelerators: listOf(mask)}}
	*out = append(*out, a)
	return true
}
