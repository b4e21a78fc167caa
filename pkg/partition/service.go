// Package partition is the owner of one partition of the jobs: it accepts
// jobs, removes duplicates, journals, chooses a failure domain, retries and
// keeps results.
package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// SubmitRequest asks for one job.
type SubmitRequest struct {
	// ID is chosen by the ingress VM, so that it can repeat the submission of a
	// job without an idempotency key and still get one job.
	ID             api.JobID   `cbor:"1,keyasint"`
	Spec           api.JobSpec `cbor:"2,keyasint"`
	IdempotencyKey string      `cbor:"3,keyasint,omitempty"`
	// SpecHash tells whether a repeated idempotency key names the same request.
	SpecHash string `cbor:"4,keyasint,omitempty"`
	// Durable asks that the job is journaled before Submit returns.
	Durable   bool   `cbor:"5,keyasint,omitempty"`
	RequestID string `cbor:"6,keyasint,omitempty"`
}

// ListRequest selects jobs of a workspace; empty fields match everything.
type ListRequest struct {
	Workspace string    `cbor:"1,keyasint,omitempty"`
	Class     string    `cbor:"2,keyasint,omitempty"`
	State     api.State `cbor:"3,keyasint,omitempty"`
	After     api.JobID `cbor:"4,keyasint,omitempty"`
	Limit     int       `cbor:"5,keyasint,omitempty"`
}

// Service is the callers' side of all partitions together. Implementations
// route to the owner of the job's partition. An empty workspace in Get, Wait,
// Cancel and List is allowed to operators only; a job of another workspace
// answers not_found.
type Service interface {
	// Submit accepts a job; the same idempotency key returns the same job, and
	// kind conflict when SpecHash differs.
	Submit(ctx context.Context, req SubmitRequest) (api.JobStatus, error)
	Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error)
	// Wait returns once the job is terminal or the time is over, whichever
	// comes first, with the status at that moment.
	Wait(ctx context.Context, workspace string, id api.JobID, wait time.Duration) (api.JobStatus, error)
	Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error)
	List(ctx context.Context, req ListRequest) ([]api.JobStatus, error)
}
