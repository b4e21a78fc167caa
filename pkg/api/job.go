// Package api defines the job model and the data types that callers, VMs and
// targets exchange as JSON or CBOR. The types have no behavior beyond simple
// queries of their own values.
package api

import (
	"encoding/json"
	"strings"
	"time"
)

// JobID identifies a job. Its form "j<partition>-<uuid>" contains the job's
// partition.
type JobID string

// State is the state of a job.
type State string

// Job states. The last six are terminal.
const (
	StateQueued        State = "queued"
	StateReserved      State = "reserved"
	StateRunning       State = "running"
	StateCheckpointing State = "checkpointing"
	StateSucceeded     State = "succeeded"
	StateFailed        State = "failed"
	StateCancelled     State = "cancelled"
	StateExpired       State = "expired"
	StateRefused       State = "refused"
	StateUnknown       State = "unknown"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	switch s {
	case StateSucceeded, StateFailed, StateCancelled, StateExpired, StateRefused, StateUnknown:
		return true
	default:
		return false
	}
}

// Adjacency is the topology level within which all accelerators of a gang must be.
type Adjacency string

// Adjacency levels from the closest to the loosest. A gang never spans
// failure domains.
const (
	AdjacencyWorker Adjacency = "worker"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyDomain Adjacency = "failure_domain"
)

// Built-in job classes. Operators may define others.
const (
	ClassUrgent  = "urgent"
	ClassShort   = "short"
	ClassLong    = "long"
	ClassArchive = "archive"
)

// Limits of a job specification.
const (
	MaxGangAccelerators = 512
	MaxSlotsPerTask     = 8
	MaxPriority         = 1000
	MaxNameLength       = 128
)

// JobSpec is the specification of a job that a caller submits.
type JobSpec struct {
	// Name is a label for display; it need not be unique.
	Name string `json:"name,omitempty" cbor:"1,keyasint,omitempty"`
	// Workspace is set by the server from the caller's token.
	Workspace string `json:"workspace,omitempty" cbor:"2,keyasint,omitempty"`
	Class     string `json:"class" cbor:"3,keyasint"`
	// Priority orders jobs of one class and workspace; higher goes first.
	Priority int `json:"priority,omitempty" cbor:"4,keyasint,omitempty"`
	// AtMostOnce forbids running the job a second time. Such a job needs an
	// Idempotency-Key.
	AtMostOnce bool `json:"atMostOnce,omitempty" cbor:"5,keyasint,omitempty"`
	// Accelerators is the gang size; zero asks for a slot only.
	Accelerators int       `json:"accelerators,omitempty" cbor:"6,keyasint,omitempty"`
	Adjacency    Adjacency `json:"adjacency,omitempty" cbor:"7,keyasint,omitempty"`
	// RelaxAdjacency permits the next looser level if the requested one is not
	// available.
	RelaxAdjacency bool `json:"relaxAdjacency,omitempty" cbor:"8,keyasint,omitempty"`
	Checkpointable bool `json:"checkpointable,omitempty" cbor:"9,keyasint,omitempty"`
	// DeclaredSeconds is the caller's estimate of the run time; it is not trusted.
	DeclaredSeconds float64 `json:"declaredSeconds,omitempty" cbor:"10,keyasint,omitempty"`
	// DeclaredMemoryMiB is the caller's estimate of memory; it is not trusted.
	DeclaredMemoryMiB int `json:"declaredMemoryMiB,omitempty" cbor:"11,keyasint,omitempty"`
	// Deadline is the time by which the job must have ended; zero means none.
	Deadline time.Time `json:"deadline,omitzero" cbor:"12,keyasint,omitzero"`
	// Payload is passed to the task unchanged.
	Payload json.RawMessage `json:"payload,omitempty" cbor:"13,keyasint,omitempty"`
}

// Allocation is the worker and the accelerators that are allocated to one task.
type Allocation struct {
	Worker string `json:"worker" cbor:"1,keyasint"`
	// Incarnation is the incarnation of the worker process that granted the
	// reservation.
	Incarnation  int64 `json:"incarnation" cbor:"2,keyasint"`
	Accelerators []int `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
	// Task is the ID of the task at the worker.
	Task TaskID `json:"task,omitempty" cbor:"4,keyasint,omitempty"`
}

// JobStatus is the status of a job as callers see it.
type JobStatus struct {
	ID            JobID        `json:"id" cbor:"1,keyasint"`
	Spec          JobSpec      `json:"spec" cbor:"2,keyasint"`
	State         State        `json:"state" cbor:"3,keyasint"`
	FailureDomain string       `json:"failureDomain,omitempty" cbor:"4,keyasint,omitempty"`
	Attempt       int          `json:"attempt" cbor:"5,keyasint"`
	Allocations   []Allocation `json:"allocations,omitempty" cbor:"6,keyasint,omitempty"`
	SubmittedAt   time.Time    `json:"submittedAt" cbor:"7,keyasint"`
	StartedAt     time.Time    `json:"startedAt,omitzero" cbor:"8,keyasint,omitzero"`
	EndedAt       time.Time    `json:"endedAt,omitzero" cbor:"9,keyasint,omitzero"`
	// Reason explains in one sentence why the job waits or how it ended.
	Reason string `json:"reason,omitempty" cbor:"10,keyasint,omitempty"`
	// ErrorKind is the error kind of a terminal state other than succeeded.
	ErrorKind string `json:"kind,omitempty" cbor:"11,keyasint,omitempty"`
	// Durable is true if the current state is saved in the platform's store.
	Durable bool `json:"durable" cbor:"12,keyasint"`
	// Ran tells whether any task of the job was started: "no", "yes" or "unknown".
	Ran string `json:"ran,omitempty" cbor:"13,keyasint,omitempty"`
	// Result is set if the job succeeded, or failed with output.
	Result json.RawMessage `json:"result,omitempty" cbor:"14,keyasint,omitempty"`
}

// TaskID identifies one attempt of one task of a job at a target:
// "<job>/<attempt>/<index>".
type TaskID string

// Job returns the ID of the job that the task belongs to.
func (t TaskID) Job() JobID {
	s, _, _ := strings.Cut(string(t), "/")
	return JobID(s)
}

// Outcome tells how one attempt of a job ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"    // the task ran and reported a failure
	OutcomeStopped   Outcome = "stopped"   // stopped on request, e.g. cancelled
	OutcomePreempted Outcome = "preempted" // stopped by the scheduler to free its allocation
	OutcomeLost      Outcome = "lost"      // the worker was lost; whether the task ended is unknown
	OutcomeNotRun    Outcome = "not_run"   // proven not to have started
	OutcomeRefused   Outcome = "refused"   // the failure domain can't run it
)
