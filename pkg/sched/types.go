// Package sched schedules the jobs of a failure domain on its workers. Callers report
// events with the current time to a Domain and execute the actions that Decide
// returns. The package performs no I/O and never reads the clock; each Domain holds
// its state under its own lock.
package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// WorkerState says whether a worker may receive new jobs.
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

// Job describes a job to the scheduler.
type Job struct {
	ID              api.JobID
	Workspace       string
	Class           string
	Priority        int
	Accelerators    int // zero for a job that needs only a slot
	Adjacency       api.Adjacency
	RelaxAdjacency  bool
	Checkpointable  bool
	AtMostOnce      bool
	DeclaredRunTime time.Duration // as declared by the user; often inaccurate
	Deadline        time.Time
	SubmittedAt     time.Time
	Attempt         int
	// Preempted reports whether an earlier attempt was preempted. The attempt number
	// does not show that, since it also increases when a job moves to another domain.
	Preempted bool
	// AttainedService is the run time of earlier attempts preserved by a checkpoint.
	AttainedService time.Duration
	// AvoidWorkers names workers on which earlier attempts failed.
	AvoidWorkers []string
}

// Placement is one task of a job: a worker and the accelerators on it.
type Placement struct {
	Worker       string
	Accelerators []int
}

// ActionType is the type of an action. The list is closed.
type ActionType int

// Action types.
const (
	// ActionPlace reserves and starts the job on Placements. The accelerators and slots
	// count as in use from the decision on until Ended.
	ActionPlace ActionType = iota
	// ActionPreempt checkpoints the job if possible and stops it by StopBy. The caller
	// then calls Ended and queues the job again.
	ActionPreempt
	// ActionMove is like ActionPreempt, in order to restart the job on other workers.
	ActionMove
	// ActionHedge starts a second copy of a repeatable job on Placements.
	ActionHedge
	// ActionRefuse refuses a job that cannot run in this domain; Kind is the error kind.
	ActionRefuse
	// ActionQuarantine stops placing jobs on the worker; ActionUnquarantine resumes it.
	ActionQuarantine
	ActionUnquarantine
	// ActionThrottle limits the task of Job on Worker to Share of its processors.
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
	// For is the job for which another job is stopped, or "operator".
	For    string
	Reason string
	Kind   errkind.Kind
	// StopBy is the time by which a preempted or moved job has to be stopped.
	StopBy time.Time
	// Reclaim marks a preemption that returns guaranteed cells to their owner.
	Reclaim bool
	// LostWork is the estimated work lost by the action, in accelerator time.
	LostWork time.Duration
	Share    float64
	// Proposal marks an action decided during an automation hold. It must not be
	// executed unless an operator confirms it.
	Proposal bool
}

// EndReason says how an attempt ended. It determines whether the run time is recorded
// or a failure is counted against a worker.
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

// FreeCapacity is the number of free accelerators at each adjacency level.
type FreeCapacity struct {
	Worker int // largest adjacent free block in one worker
	Rack   int // largest placeable gang in one rack
	Domain int // free accelerators in the failure domain
}

// Summary is the state of a domain that other VMs use to route jobs to it.
type Summary struct {
	Domain           string         `cbor:"1,keyasint" json:"failureDomain"`
	Workers          int            `cbor:"2,keyasint" json:"workers"`
	Accelerators     int            `cbor:"3,keyasint" json:"accelerators"`
	FreeSlots        int            `cbor:"4,keyasint" json:"freeSlots"`
	Free             FreeCapacity   `cbor:"5,keyasint" json:"free"`
	QueuedByClass    map[string]int `cbor:"6,keyasint" json:"queued"`         // queued jobs by class
	UsedByWorkspace  map[string]int `cbor:"7,keyasint" json:"usedBy"`         // accelerators by workspace
	IdleGuaranteed   map[string]int `cbor:"8,keyasint" json:"guaranteeFree"`  // guaranteed accelerators not in use by their owner
	Unmeetable       []string       `cbor:"9,keyasint" json:"unmeetable"`     // workspaces whose guarantee cannot be met now
	LargestRack      int            `cbor:"10,keyasint" json:"largestRack"`   // accelerators of the largest rack
	LargestWorker    int            `cbor:"11,keyasint" json:"largestWorker"` // accelerators of the largest worker
	BorrowedByOthers int            `cbor:"12,keyasint" json:"borrowedByOthers"`
}
