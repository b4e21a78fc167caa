package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// phase is how far a job has come.
type phase int

const (
	phaseQueued   phase = iota
	phaseClaiming       // victims are stopping to make room for it
	phasePlaced         // reserved or running
	phaseStopping       // being preempted or moved
)

// slotKind is the account that a task's slot is taken from.
type slotKind int

const (
	slotOfFree  slotKind = iota // slots that no guarantee covers
	slotOfCell                  // the owner's own cell
	slotBorrows                 // an idle slot of another's cell
)

// spot is a part of a placement: one task on one worker.
type spot struct {
	w    *worker
	mask uint64
	kind slotKind
	part *part // with slotOfCell
	warm bool  // counts as short work of the part
}

// job is a job with its state.
type job struct {
	Job
	ws    *workspace
	class policy.Class
	group *group
	pos   int // index in the group's heap

	phase       phase
	spots       []spot
	one         [1]spot // backs spots of a job with one task
	queuedAt    time.Time
	startedAt   time.Time // zero until Started
	savedAt     time.Time // last checkpoint or start
	stopBy      time.Time
	proposedAt  time.Time
	claim       *claim
	reservation *reservation
	backfillOf  api.JobID // the gang on whose reservation it runs
	hedged      bool      // has a second copy
	besides     *worker   // runs the first copy; the second goes elsewhere
	seq         uint64
}

// urgent reports whether the job has a bound on its start.
func (j *job) urgent() bool { return j.class.StartWithin > 0 }

// preemptible reports whether the job may be stopped and run again.
func (j *job) preemptible() bool { return !j.AtMostOnce }

// lost estimates the work that a stop now throws away, in accelerator time; a
// checkpoint first saves all but what a checkpoint costs.
func (j *job) lost(now time.Time) time.Duration {
	if j.startedAt.IsZero() {
		return 0
	}
	d := now.Sub(j.savedAt)
	if j.Checkpointable {
		d = min(d, checkpointCost)
	}
	return max(d, 0) * time.Duration(max(j.Accelerators, 1))
}

// checkpointCost is what a checkpoint and a restart cost a job.
const checkpointCost = 10 * time.Second

// placements converts the spots for an Action.
func (d *Domain) placements(j *job) []Placement {
	out := d.newPlacements(len(j.spots))
	for i, s := range j.spots {
		out[i] = Placement{Worker: s.w.ID, Accelerators: listOf(s.mask)}
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
	if n > len(d.chunk) {
		d.chunk = make([]Placement, placementChunk)
	}
	out := d.chunk[:n:n]
	d.chunk = d.chunk[n:]
	return out
}

// adjacencyLevels returns the tightest and the loosest level that a job accepts.
func adjacencyLevels(a api.Adjacency, relax bool) (tight, loose int) {
	switch a {
	case api.AdjacencyRack:
		tight = levelRack
	case api.AdjacencyDomain:
		tight = levelDomain
	default:
		tight = levelWorker
	}
	loose = tight
	if relax && loose < levelDomain {
		loose++
	}
	return tight, loose
}

const (
	levelWorker = iota
	levelRack
	levelDomain
)
