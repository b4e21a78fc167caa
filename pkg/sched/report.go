package sched

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

func containsJob(list []*job, j *job) bool { return slices.Contains(list, j) }

// queuedJob returns the queued job with the ID, or nil.
func (d *Domain) queuedJob(id string) *job {
	if j := d.jobs[api.JobID(id)]; j != nil && j.phase == phaseQueued {
		return j
	}
	return nil
}

// Explain returns a sentence that says why the job waits.
func (d *Domain) Explain(now time.Time, id api.JobID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	switch {
	case j == nil:
		return "The job is not known in failure domain " + d.name + "."
	case j.phase == phaseClaiming:
		return "Borrowed guaranteed cells are being taken back for the job."
	case j.phase == phaseStopping:
		return "The job is being stopped to give its place back."
	case j.phase == phasePlaced:
		return "The job has its place."
	case !j.ws.quotaAllows(j.Accelerators, 1):
		return "The quota of workspace " + j.Workspace + " is used up."
	}
	if h, held := d.doc.Held(j.Workspace, now); held && d.rules.Reclaim && len(j.ws.parts) > 0 {
		return "No capacity is free, and automation is held (" + h.Reason + "), so a reclaim needs an operator's confirmation."
	}
	if j.Accelerators == 0 {
		return "No slot is free that the job may use."
	}
	return fmt.Sprintf("No %d adjacent accelerators are free that the job may use.", j.Accelerators)
}

// Summary returns the state of the domain that other VMs use for routing.
func (d *Domain) Summary(_ time.Time) Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshPins()
	size := d.levelCapacity
	s := Summary{
		Domain: d.name, Workers: len(d.workers), Accelerators: size[levelDomain],
		LargestRack: size[levelRack], LargestWorker: size[levelWorker],
		QueuedByClass: map[string]int{}, UsedByWorkspace: map[string]int{}, IdleGuaranteed: map[string]int{},
	}
	for c, n := range d.queuedByClass {
		if n > 0 {
			s.QueuedByClass[c] = n
		}
	}
	for _, r := range d.racks {
		s.Free.Rack = max(s.Free.Rack, r.free[anyAccelerators])
		s.Free.Domain += r.free[anyAccelerators]
	}
	for _, w := range d.workers {
		if w.usable() {
			s.FreeSlots += w.freeSlots(anySlots)
		}
		s.Free.Worker = max(s.Free.Worker, w.largestBlock())
	}
	for _, ws := range d.sortedWorkspaces {
		d.summarize(ws, &s)
	}
	return s
}

func (d *Domain) summarize(ws *workspace, s *Summary) {
	if ws.accelerators > 0 {
		s.UsedByWorkspace[ws.name] = ws.accelerators
	}
	if ws.guaranteeUnmet {
		s.Unmeetable = append(s.Unmeetable, ws.name)
	}
	for _, p := range ws.parts {
		own, others := uint64(0), uint64(0)
		p.worker.eachAlloc(func(j *job, sp *allocation) {
			if j.ws == ws {
				own |= sp.mask & p.mask
			} else {
				others |= sp.mask & p.mask
			}
		})
		s.IdleGuaranteed[ws.name] += bits.OnesCount64(p.mask &^ own)
		s.BorrowedByOthers += bits.OnesCount64(others)
	}
}

// Preview lists the immediate effects of a new configuration document.
type Preview struct {
	Preempt    []Action // jobs that would be preempted or moved, with the work lost
	Refuse     []Action // queued jobs that would be refused
	Unmeetable []string // workspaces whose guarantees could not be met
	LostWork   time.Duration
}

// Preview determines on a copy of the domain which jobs a new document would preempt,
// move or refuse and which guarantees it would make unmeetable. Automation holds in
// the document are ignored, so that they do not hide preemptions.
func (d *Domain) Preview(now time.Time, doc *policy.Document) Preview {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clone(now)
	withoutHolds := *doc
	withoutHolds.Holds = nil
	c.SetPolicy(now, &withoutHolds)
	var out Preview
	for _, j := range c.sortedJobs() {
		if err := c.checkFeasible(j.ws, j.Job); err != nil && j.phase == phaseQueued {
			c.removeUnplaced(j)
			e := errkind.As(err)
			out.Refuse = append(out.Refuse, Action{Type: ActionRefuse, Job: j.ID, Workspace: j.Workspace, Attempt: j.Attempt, Kind: e.Kind, Reason: e.Message})
		}
	}
	for _, a := range c.Decide(now) {
		switch a.Type {
		case ActionPreempt, ActionMove:
			out.Preempt = append(out.Preempt, a)
			out.LostWork += a.LostWork
		case ActionRefuse:
			out.Refuse = append(out.Refuse, a)
		}
	}
	out.Unmeetable = c.Summary(now).Unmeetable
	return out
}

// clone copies the domain's workers, policy and jobs.
func (d *Domain) clone(now time.Time) *Domain {
	c := NewDomain(d.name, d.opts)
	for _, w := range d.workers {
		c.upsertWorker(w.Worker)
		c.workersByID[w.ID].quarantined = w.quarantined
	}
	c.setPolicy(d.doc)
	for _, j := range d.sortedJobs() {
		if len(j.allocs) > 0 {
			// Adopt cannot conflict: no two jobs of d share an accelerator.
			_ = c.Adopt(now, j.Job, d.placements(j), j.startedAt)
			c.jobs[j.ID].phase = j.phase
			c.jobs[j.ID].checkpointedAt = j.checkpointedAt
			continue
		}
		k := c.newJob(j.queuedAt, c.workspace(j.Workspace), j.Job)
		c.jobs[k.ID] = k
		c.enqueue(k)
	}
	return c
}

// CheckGuarantees returns an error unless the workers, keyed by failure domain, can
// meet all guarantees of the document at the same time while no job runs.
func CheckGuarantees(doc *policy.Document, workers map[string][]Worker) error {
	for _, ws := range slices.Sorted(maps.Keys(doc.Workspaces)) {
		for _, g := range doc.Workspaces[ws].Guarantees {
			if _, ok := workers[g.FailureDomain]; !ok {
				return errkind.New(errkind.GuaranteeUnmeetable, "workspace %s: failure domain %q has no workers", ws, g.FailureDomain)
			}
		}
	}
	// Drains are temporary and do not make a guarantee invalid.
	withoutDrains := *doc
	withoutDrains.Drained = nil
	for _, name := range slices.Sorted(maps.Keys(workers)) {
		d := NewDomain(name, Options{})
		for _, w := range workers[name] {
			w.State = WorkerReady
			d.upsertWorker(w)
		}
		d.setPolicy(&withoutDrains)
		d.repairPins()
		if err := d.unmetError(); err != nil {
			return err
		}
	}
	return nil
}

// unmetError returns an error for the first cell that is not pinned, with the sum of
// all guarantees.
func (d *Domain) unmetError() error {
	sum := 0
	for _, ws := range d.sortedWorkspaces {
		for _, c := range ws.cells {
			sum += c.shape.accelerators
		}
	}
	for _, ws := range d.sortedWorkspaces {
		for _, c := range ws.cells {
			if len(c.parts) == 0 {
				return errkind.New(errkind.GuaranteeUnmeetable,
					"workspace %s: no place in failure domain %s for a cell of %d accelerators adjacent in one %s; all guarantees sum to %d of %d accelerators",
					ws.name, d.name, c.shape.accelerators, levelName(c.shape.adjacency), sum, d.levelCapacity[levelDomain])
			}
		}
	}
	return nil
}
