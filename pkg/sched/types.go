// Package sched decides which job runs where. It is pure: events and the time
// go in, actions come out; it does no I/O and has no clock of its own. The
// state of each failure domain stands in its own shard under its own lock.
package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// WorkerState says whether a worker may get new work.
type WorkerState int

// States of a worker.
const (
	WorkerReady WorkerState = iota
	WorkerDrained
	WorkerLeaving
	WorkerDown
)

// Worker is one target in the failure domain.
type Worker struct {
	ID           string
	Rack         string
	Accelerators int
	Slots        int
	State        WorkerState
}

// Job is what the scheduler knows of a job.
type Job struct {
	ID              api.JobID
	Workspace       string
	Class           string
	Priority        int
	Accelerators    int // zero: one slot only
	Adjacency       api.Adjacency
	RelaxAdjacency  bool
	Checkpointable  bool
	AtMostOnce      bool
	DeclaredRunTime time.Duration // not trusted
	Deadline        time.Time
	SubmittedAt     time.Time
	Attempt         int
	// Preempted says that an earlier attempt was preempted. An attempt above the
	// first says nothing: a job also gets one when it moves to another domain.
	Preempted bool
	// AttainedService is the service received in earlier attempts that a checkpoint kept.
	AttainedService time.Duration
	// AvoidWorkers names workers on which earlier attempts failed.
	AvoidWorkers []string
}

// Placement is a worker and the accelerators on it; one task each.
type Placement struct {
	Worker       string
	Accelerators []int
}

// ActionType is the closed list of what Decide may ask for.
type ActionType int

// Action types.
const (
	// ActionPlace: reserve and start the job on Placements. The places count as
	// taken from this moment (assumed) until Started or Ended.
	ActionPlace ActionType = iota
	// ActionPreempt: checkpoint if possible, stop by StopBy at the latest, then
	// report Ended. The job is queued again by the caller.
	ActionPreempt
	// ActionMove: like ActionPreempt, in order to place it better elsewhere.
	ActionMove
	// ActionHedge: start a second copy of a repeatable job on Placements.
	ActionHedge
	// ActionRefuse: the job cannot run here; Kind says why.
	ActionRefuse
	// ActionQuarantine and ActionUnquarantine: the worker gets no new work, or gets it again.
	ActionQuarantine
	ActionUnquarantine
	// ActionThrottle: limit the task of Job on Worker to Share of its processors.
	ActionThrottle
)

// Action is one decision.
type Action struct {
	Type       ActionType
	Job        api.JobID
	Workspace  string
	Attempt    int
	Placements []Placement
	Worker     string
	// For is the job or guarantee on whose behalf the action is taken.
	For    string
	Reason string
	Kind   errkind.Kind
	// StopBy is the latest time of the stop of a preempted job.
	StopBy time.Time
	// Reclaim marks a preemption that gives a guaranteed cell back.
	Reclaim bool
	// LostWork estimates the work that the action throws away.
	LostWork time.Duration
	Share    float64
	// Proposal marks an automatic action that is held: it is not to be carried
	// out unless an operator confirms it.
	Proposal bool
}

// EndReason says how an attempt ended, for learning and blame.
type EndReason int

// End reasons.
const (
	EndSucceeded EndReason = iota
	EndFailed              // the task reported a failure
	EndCancelled
	EndPreempted
	EndWorkerLost
	EndReservationFailed // a reservation was refused or could not be made
)

// FreeCapacity is the free capacity at each level of the cell hierarchy.
type FreeCapacity struct {
	Worker int // largest adjacent free block in one worker
	Rack   int // largest placeable gang in one rack
	Domain int // free accelerators in the failure domain
}

// Summary is what other VMs need to know of a domain to route jobs to it.
type Summary struct {
	Domain           string         `cbor:"1,keyasint" json:"failureDomain"`
	Workers          int            `cbor:"2,keyasint" json:"workers"`
	Accelerators     int            `cbor:"3,keyasint" json:"accelerators"`
	FreeSlots        int            `cbor:"4,keyasint" json:"freeSlots"`
	Free             FreeCapacity   `cbor:"5,keyasint" json:"free"`
	QueuedByClass    map[string]int `cbor:"6,keyasint" json:"queued"`         // by class
	UsedByWorkspace  map[string]int `cbor:"7,keyasint" json:"usedBy"`         // accelerators by workspace
	IdleGuaranteed   map[string]int `cbor:"8,keyasint" json:"guaranteeFree"`  // guaranteed accelerators not in use by their owner
	Unmeetable       []string       `cbor:"9,keyasint" json:"unmeetable"`     // workspaces whose guarantee cannot be met now
	LargestRack      int            `cbor:"10,keyasint" json:"largestRack"`   // accelerators of the largest rack
	LargestWorker    int            `cbor:"11,keyasint" json:"largestWorker"` // accelerators of the largest worker
	BorrowedByOthers int            `cbor:"12,keyasint" json:"borrowedByOthers"`
}
