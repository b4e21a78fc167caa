package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// phase is how far a job has come.
type jobPhase int

const (
	phaseQueued   jobPhase = iota
	phaseClaiming          // victims are stopping to make room for it
	phasePlaced            // reserved or running
	phaseStopping          // being preempted or moved
)

// slotKind is the account that a task's slot is taken from.
type slotKind int

const (
	slotUnpinned slotKind = iota // slots that no guarantee covers
	slotOwnCell                  // the owner's own cell
	slotBorrowed                 // an idle slot of another's cell
)

// spot is a part of a placement: one task on one worker.
type allocation struct {
	worker    *worker
	mask      uint64
	kind      slotKind
	part      *cellPart // with slotOfCell
	shortWork bool      // counts as short work of the part
}

// job is a job with its state.
type job struct {
	Job
	ws    *workspace
	class policy.Class
	group *jobGroup
	pos   int // index in the group's heap

	phase           jobPhase
	allocs          []allocation
	singleAlloc     [1]allocation // backs allocs of a job with one task
	queuedAt        time.Time
	startedAt       time.Time // zero until Started
	checkpointedAt  time.Time // last checkpoint or start
	stopBy          time.Time
	proposedAt      time.Time
	claim           *claim
	reservation     *reservation
	backfillOf      api.JobID // the gang on whose reservation it runs
	hedged          bool      // has a second copy
	firstCopyWorker *worker   // runs the first copy; the second goes elsewhere
	seq             uint64
}

// urgent reports whether the job has a bound on its start.
func (j *job) urgent() bool { return j.class.StartWithin > 0 }

// preemptible reports whether the job may be stopped and run again.
func (j *job) preemptible() bool { return !j.AtMostOnce }

// lost estimates the work that a stop now throws away, in accelerator time; a
// checkpoint first saves all but what a checkpoint costs.
func (j *job) lostWork(now time.Time) time.Duration {
	if j.startedAt.IsZero() {
		return 0
	}
	d := now.Sub(j.checkpointedAt)
	if j.Checkpointable {
		d = min(d, checkpointCost)
	}
	return max(d, 0) * time.Duration(max(j.Accelerators, 1))
}

// checkpointCost is what a checkpoint and a restart cost a job.
const checkpointCost = 10 * time.Second

// placements converts the allocs for an Action.
func (d *Domain) placements(j *job) []Placement {
	out := d.newPlacements(len(j.allocs))
	for i, s := range j.allocs {
		out[i] = Placement{Worker: s.worker.ID, Accelerators: maskToList(s.mask)}
	}
	return out
}

// placementChunk is how many placements are allocated at once; the caller keeps
// the slices, so they are never used again.
const placementChunk = 512

func (d *Domain) newPlacements(n int) []Placement {
	if n > placementChunk {
		return make([]Placement, n)
	}
	if n > len(d.sparePlacements) {
		d.sparePlacements = make([]Placement, placementChunk)
	}
	out := d.sparePlacements[:n:n]
	d.sparePlacements = d.sparePlacements[n:]
	return out
}

// adjacencyLevels returns the tightest and the loosest level that a job accepts.
func adjacencyLevels(a api.Adjacency, relax bool) (tightest, loosest int) {
	switch a {
	case api.AdjacencyRack:
		tightest = levelRack
	case api.AdjacencyDomain:
		tightest = levelDomain
	default:
		tightest = levelWorker
	}
	loosest = tightest
	if relax && loosest < levelDomain {
		loosest++
	}
	return tightest, loosest
}

const (
	levelWorker = iota
	levelRack
	levelDomain
)
