// Package domain is the owner of one failure domain: it drives the pure
// scheduler, talks to the targets and reports to the partitions' owners.
package domain

import (
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Offer hands an attempt of a job to a failure domain.
type Offer struct {
	Job     api.JobID   `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Spec    api.JobSpec `cbor:"3,keyasint"`
	// SubmittedAt is when the caller submitted the job.
	SubmittedAt time.Time `cbor:"4,keyasint"`
	// Partition and PartitionEpoch say to whom to report.
	Partition      int   `cbor:"5,keyasint"`
	PartitionEpoch int64 `cbor:"6,keyasint"`
	// Checkpoint names the state to resume from.
	Checkpoint      string        `cbor:"7,keyasint,omitempty"`
	AttainedService time.Duration `cbor:"8,keyasint,omitempty"`
	// AvoidWorkers names workers on which earlier attempts failed.
	AvoidWorkers []string `cbor:"9,keyasint,omitempty"`
	// ClaimedAllocations holds the places of a journaled claim. Such an attempt may already
	// have run: the domain finds out by Fence and never starts it anew.
	ClaimedAllocations []api.Allocation `cbor:"10,keyasint,omitempty"`
	ClaimedAt          time.Time        `cbor:"11,keyasint,omitzero"`
	// Preempted says that an earlier attempt was preempted.
	Preempted bool `cbor:"12,keyasint,omitempty"`
}

// Report tells the partition's owner what became of an attempt.
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
	// Epoch is that of the reporting owner. A partition refuses the report of an
	// owner that it knows to be superseded.
	Epoch int64 `cbor:"14,keyasint,omitempty"`
}

// KnownAttempt is an attempt that a domain knows, with its latest report.
type KnownAttempt struct {
	Offer  Offer  `cbor:"1,keyasint"`
	Report Report `cbor:"2,keyasint"`
}

// Service is one failure domain's owner as the partitions see it.
type Service interface {
	// Offer queues the attempt, or is harmless if it is already known. A refusal
	// says that the attempt was not run.
	Offer(ctx context.Context, domain string, o Offer) error
	// Withdraw takes an attempt back: a queued one is dropped, a running one
	// stopped. The outcome follows as a Report.
	Withdraw(ctx context.Context, domain string, job api.JobID, attempt int, reason string) error
	// KnownAttempts returns the attempts of a partition's jobs that the domain knows, so
	// that a new owner of the partition learns what its predecessor offered.
	KnownAttempts(ctx context.Context, domain string, partition int) ([]KnownAttempt, error)
	// Explain says in one sentence why a queued job waits.
	Explain(ctx context.Context, domain string, job api.JobID) (string, error)
	// Summary returns the domain's present summary.
	Summary(ctx context.Context, domain string) (sched.Summary, error)
}

// Claim names the reserved places of an at-most-once attempt.
type Claim struct {
	Job         api.JobID        `cbor:"1,keyasint"`
	Attempt     int              `cbor:"2,keyasint"`
	Domain      string           `cbor:"3,keyasint"`
	Allocations []api.Allocation `cbor:"4,keyasint"`
	Epoch       int64            `cbor:"5,keyasint,omitempty"` // of the claiming owner
}

// SameTasks reports whether two lists name the same tasks. A report that an
// attempt did not run speaks for the places that it names only.
func SameTasks(a, b []api.Allocation) bool {
	return slices.EqualFunc(a, b, func(x, y api.Allocation) bool { return x.Task == y.Task })
}

// Reporter is the partitions' side.
type Reporter interface {
	// Report delivers r to the owner of the partition; a nil error means that it
	// was taken (and is durable, for an outcome of a durable job).
	Report(ctx context.Context, partition int, r Report) error
	// Claim journals the places of an at-most-once attempt before its start. Nil
	// permits the start; any error forbids it.
	Claim(ctx context.Context, partition int, c Claim) error
}
