// Package domain implements the owner of one failure domain. It executes the
// decisions of the scheduler (package sched) at the targets and reports the results
// to the owners of the partitions, which offer attempts to it. It never stores jobs:
// a new owner rebuilds its state from the targets and the partitions.
package domain

import (
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Offer is a request to run an attempt of a job in a failure domain.
type Offer struct {
	Job     api.JobID   `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Spec    api.JobSpec `cbor:"3,keyasint"`
	// SubmittedAt is when the caller submitted the job.
	SubmittedAt time.Time `cbor:"4,keyasint"`
	// Partition and PartitionEpoch identify the partition's owner that receives the reports.
	Partition      int   `cbor:"5,keyasint"`
	PartitionEpoch int64 `cbor:"6,keyasint"`
	// Checkpoint names the state to resume from.
	Checkpoint      string        `cbor:"7,keyasint,omitempty"`
	AttainedService time.Duration `cbor:"8,keyasint,omitempty"`
	// AvoidWorkers names workers on which earlier attempts failed.
	AvoidWorkers []string `cbor:"9,keyasint,omitempty"`
	// ClaimedAllocations holds the allocations of a journaled claim. Such an attempt may
	// already have run: the domain resolves it with Fence and never starts it again.
	ClaimedAllocations []api.Allocation `cbor:"10,keyasint,omitempty"`
	ClaimedAt          time.Time        `cbor:"11,keyasint,omitzero"`
	// Preempted reports that an earlier attempt was preempted.
	Preempted bool `cbor:"12,keyasint,omitempty"`
}

// Report is the state or the outcome of an attempt, sent to the partition's owner.
type Report struct {
	Job             api.JobID        `cbor:"1,keyasint"`
	Attempt         int              `cbor:"2,keyasint"`
	Domain          string           `cbor:"3,keyasint"`
	State           api.State        `cbor:"4,keyasint"` // reserved, running, checkpointing; empty with Outcome
	Outcome         api.Outcome      `cbor:"5,keyasint,omitempty"`
	Allocations     []api.Allocation `cbor:"6,keyasint,omitempty"`
	Checkpoint      string           `cbor:"7,keyasint,omitempty"`
	Result          []byte           `cbor:"8,keyasint,omitempty"` // JSON
	Reason          string           `cbor:"9,keyasint,omitempty"`
	ErrorKind       string           `cbor:"10,keyasint,omitempty"`
	StartedAt       time.Time        `cbor:"11,keyasint,omitzero"`
	EndedAt         time.Time        `cbor:"12,keyasint,omitzero"`
	AttainedService time.Duration    `cbor:"13,keyasint,omitempty"`
	// Epoch is the epoch of the reporting owner. A partition rejects reports of an
	// owner that it knows to be superseded.
	Epoch int64 `cbor:"14,keyasint,omitempty"`
}

// KnownAttempt is an attempt that a domain tracks, with its latest report.
type KnownAttempt struct {
	Offer  Offer  `cbor:"1,keyasint"`
	Report Report `cbor:"2,keyasint"`
}

// Service is the interface of a failure domain's owner to the partitions.
type Service interface {
	// Offer queues the attempt and is idempotent for a known one. An error
	// means that the attempt was not run.
	Offer(ctx context.Context, domain string, o Offer) error
	// Withdraw cancels an attempt: a queued one is dropped, a running one
	// stopped. The outcome follows as a Report.
	Withdraw(ctx context.Context, domain string, job api.JobID, attempt int, reason string) error
	// Recall takes back an attempt that has not started. Kind conflict means that it has. An
	// attempt that is being placed ends as not run, or starts; a Report tells which.
	Recall(ctx context.Context, domain string, job api.JobID, attempt int, reason string) error
	// KnownAttempts returns the attempts of a partition's jobs that the domain tracks, so
	// that a new owner of the partition learns what its predecessor offered.
	KnownAttempts(ctx context.Context, domain string, partition int) ([]KnownAttempt, error)
	// Explain returns a sentence that states why a queued job is waiting.
	Explain(ctx context.Context, domain string, job api.JobID) (string, error)
	// Summary returns the domain's current summary.
	Summary(ctx context.Context, domain string) (sched.Summary, error)
}

// Claim lists the reserved allocations of an at-most-once attempt.
type Claim struct {
	Job         api.JobID        `cbor:"1,keyasint"`
	Attempt     int              `cbor:"2,keyasint"`
	Domain      string           `cbor:"3,keyasint"`
	Allocations []api.Allocation `cbor:"4,keyasint"`
	Epoch       int64            `cbor:"5,keyasint,omitempty"` // of the claiming owner
}

// SameTasks reports whether two lists contain the same tasks. A report that an
// attempt did not run applies only to the allocations that it lists.
func SameTasks(a, b []api.Allocation) bool {
	return slices.EqualFunc(a, b, func(x, y api.Allocation) bool { return x.Task == y.Task })
}

// Reporter is the interface of the partitions to a failure domain's owner.
type Reporter interface {
	// Report delivers r to the owner of the partition; a nil error means that it
	// was accepted (and is durable, for an outcome of a durable job).
	Report(ctx context.Context, partition int, r Report) error
	// Claim journals the allocations of an at-most-once attempt before its start. A
	// nil error permits the start; any other result forbids it.
	Claim(ctx context.Context, partition int, c Claim) error
}
