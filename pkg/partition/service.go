// Package partition manages the jobs of one partition on the VM that owns it. It
// accepts and deduplicates submissions, journals durable jobs, offers attempts to
// failure domains, retries failed jobs and keeps results. Package daemon starts a
// Partition for each partition that the VM owns, and package router passes calls to
// it. It never places tasks on workers: the owner of the failure domain does.
package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// SubmitRequest is the request to submit one job.
type SubmitRequest struct {
	// ID is chosen by the ingress VM, so that it can retry the submission of a job
	// without an idempotency key and still create only one job.
	ID             api.JobID   `cbor:"1,keyasint"`
	Spec           api.JobSpec `cbor:"2,keyasint"`
	IdempotencyKey string      `cbor:"3,keyasint,omitempty"`
	// SpecHash detects that an idempotency key is reused for a different request.
	SpecHash string `cbor:"4,keyasint,omitempty"`
	// Durable requests that the job is journaled before Submit returns.
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

// Service is the client interface of all partitions. Implementations route each
// call to the owner of the job's partition. Only operators may pass an empty
// workspace to Get, Wait, Cancel and List; for a job of another workspace the error
// kind is not_found.
type Service interface {
	// Submit accepts a job. A repeated idempotency key returns the same job, or an
	// error of kind conflict if SpecHash differs.
	Submit(ctx context.Context, req SubmitRequest) (api.JobStatus, error)
	Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error)
	// Wait returns the job's status once the job has ended or wait has elapsed,
	// whichever comes first.
	Wait(ctx context.Context, workspace string, id api.JobID, wait time.Duration) (api.JobStatus, error)
	Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error)
	List(ctx context.Context, req ListRequest) ([]api.JobStatus, error)
}
