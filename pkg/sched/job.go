package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// jobPhase is the scheduling phase of a job.
type jobPhase int

const (
	phaseQueued   jobPhase = iota
	phaseClaiming          // waits for its victims to stop
	phasePlaced            // placed: reserved or running
	phaseStopping          // being preempted or moved
)

// slotKind says which slots of a worker a task's slot is counted against.
type slotKind int

const (
	slotUnpinned slotKind = iota // a slot that no guaranteed cell covers
	slotOwnCell                  // a slot of a cell of the task's workspace
	slotBorrowed                 // an idle slot of another workspace's cell
)

// allocation is one task of a placement: accelerators and a slot of one worker.
type allocation struct {
	worker    *worker
	mask      uint64
	kind      slotKind
	part      *cellPart // set for slotOwnCell
	shortWork bool      // counted in the part's recent use by short jobs
}

// job is a job with its scheduling state.
type job struct {
	Job
	ws    *workspace
	class policy.Class
	group *jobGroup
	pos   int // index in the group's heap

	phase           jobPhase
	allocs          []allocation
	singleAlloc     [1]allocation // backing array of allocs for a job with one task
	queuedAt        time.Time
	startedAt       time.Time // zero until Started
	checkpointedAt  time.Time // last checkpoint or start
	stopBy          time.Time
	proposedAt      time.Time
	claim           *claim
	reservation     *reservation
	backfillOf      api.JobID // the gang whose reserved accelerators it uses
	hedged          bool      // has a second copy
	firstCopyWorker *worker   // excluded while placing the second copy
	seq             uint64
}

// urgent reports whether the job has a bound on its start.
func (j *job) urgent() bool { return j.class.StartWithin > 0 }

// preemptible reports whether the job may be stopped and run again.
func (j *job) preemptible() bool { return !j.AtMostOnce }

// lostWork estimates the work lost if the job is stopped now, in accelerator time.
// A checkpointable job is checkpointed first and loses at most checkpointCost for
// each accelerator.
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

// checkpointCost is the time that a checkpoint and a restart cost a job.
const checkpointCost = 10 * time.Second

// placements converts the job's allocations to the form used in an Action.
func (d *Domain) placements(j *job) []Placement {
	out := d.newPlacements(len(j.allocs))
	for i, s := range j.allocs {
		out[i] = Placement{Worker: s.worker.ID, Accelerators: maskToList(s.mask)}
	}
	return out
}

// placementChunk is the number of placements allocated at once. Callers keep the
// returned slices, so they are never reused.
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

// adjacencyLevels returns the tightest and the loosest level that the adjacency
// permits; relax permits one level more.
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
