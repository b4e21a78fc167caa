package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// guaranteeDelay is how long a group within its guarantee waits before free capacity goes
// before any preference, and before it takes back what urgent work of others borrows: the
// platform requires a start within 2.7 s.
const guaranteeDelay = time.Second

// markWithinGuarantee marks the urgent groups of workspaces whose urgent jobs all fit
// into the workspace's guarantee, and those of them that have waited for guaranteeDelay.
func (o *Owner) markWithinGuarantee(waiting []pendingGroup, now time.Duration) {
	cat := o.opts.Catalog()
	if cat == nil {
		return
	}
	for _, ws := range cat.Workspaces {
		if ws.Guaranteed.Accelerators == 0 || o.urgentNeed[ws.Name] > ws.Guaranteed.Accelerators {
			continue
		}
		for i := range waiting {
			if waiting[i].priority == 0 && waiting[i].group.job.Workspace == ws.Name {
				waiting[i].withinGuarantee = true
				waiting[i].reclaims = now-waiting[i].group.readySince >= guaranteeDelay || (o.mayAwaitEnds(waiting[i]) && o.reclaimDue(waiting[i], now))
			}
		}
	}
}

// urgentUse is what a group of urgent work uses.
type urgentUse struct {
	group        *taskGroup
	accelerators int64
	startedAt    time.Duration // of its newest run
	evacuated    bool          // all its runs are on evacuated workers, so its stop frees nothing
}

// markBorrowed determines the groups of urgent work that use more than the guarantee of their
// workspace, while a group within a guarantee waits for longer than guaranteeDelay. Of the runs of
// a workspace the newest count as borrowed, as least of their work is lost.
func (o *Owner) markBorrowed(waiting []pendingGroup) {
	o.borrowed = nil
	cat := o.opts.Catalog()
	if cat == nil || !slices.ContainsFunc(waiting, func(c pendingGroup) bool { return c.reclaims }) {
		return
	}
	guaranteed := map[string]int64{}
	for _, ws := range cat.Workspaces {
		guaranteed[ws.Name] = ws.Guaranteed.Accelerators
	}
	o.borrowed = map[*taskGroup]bool{}
	for workspace, uses := range o.urgentUses() {
		beyond := -guaranteed[workspace]
		for _, use := range uses {
			beyond += use.accelerators
		}
		for _, use := range uses {
			if beyond <= 0 {
				break
			}
			if !use.evacuated {
				o.borrowed[use.group] = true
				beyond -= use.accelerators
			}
		}
	}
}

// urgentUses returns the groups of urgent work that have runs, by workspace, the newest first.
func (o *Owner) urgentUses() map[string][]urgentUse {
	uses := map[string][]urgentUse{}
	for _, j := range o.active {
		for g := range j.groups() {
			if j.Class.Priority != 0 || len(g.runs) == 0 {
				continue
			}
			use := urgentUse{group: g, evacuated: true}
			for _, r := range g.runs {
				use.accelerators += r.demand.Accelerators
				use.startedAt = max(use.startedAt, r.startedAt)
				use.evacuated = use.evacuated && o.evacuated(r.worker)
			}
			uses[j.Workspace] = append(uses[j.Workspace], use)
		}
	}
	for _, all := range uses {
		slices.SortFunc(all, func(a, b urgentUse) int {
			return cmp.Or(cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.group.job.ID, b.group.job.ID), cmp.Compare(a.group.step, b.group.step))
		})
	}
	return uses
}

// reclaimingFirst orders groups that reclaim their guarantee before those that might take the
// capacity again which was stopped for them.
func reclaimingFirst(a, b pendingGroup) int {
	switch {
	case a.reclaims == b.reclaims:
		return 0
	case a.reclaims:
		return -1
	}
	return 1
}

// maxStepAccelerators returns the largest number of accelerators that a step of a job
// uses at once.
func maxStepAccelerators(j *workload.Job) int64 {
	var n int64
	for i := range j.Steps {
		n = max(n, int64(j.Steps[i].Tasks)*j.Steps[i].Request.Accelerators)
	}
	return n
}
