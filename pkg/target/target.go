// Package target defines the interface through which the scheduler controls a
// target, which is a machine that runs tasks. The leases that a target grants
// decide which task may use an accelerator or a slot. The package holds the
// interface and its types only; subpackages implement it.
package target

import (
	"context"
	"encoding/json"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Default limits of one worker.
const (
	DefaultSlots          = 8
	DefaultMaxConnections = 64
)

// IdentityRetention is the minimum time for which a target remembers the identity
// of a started task. After it, a tombstone that Fence returns no longer proves
// that the task never ran.
const IdentityRetention = 10 * time.Minute

// TaskState is the state of a task at a target.
type TaskState string

// Task states at a target. TaskFenced is the tombstone of a task that has never
// started and can't be started any more.
const (
	TaskReserved     TaskState = "reserved"
	TaskRunning      TaskState = "running"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskLeaseExpired TaskState = "lapsed" // the lease expired; a running task was stopped
	TaskFenced       TaskState = "fenced"
)

// Ended reports whether the task has released its accelerators and its slot.
func (s TaskState) Ended() bool { return s != TaskReserved && s != TaskRunning }

// ReserveRequest reserves a slot and accelerators under a lease. The epoch is the
// fencing token of the failure domain's owner: a target rejects requests with an
// epoch older than the newest that it has seen (stale_epoch).
type ReserveRequest struct {
	Task         api.TaskID    `json:"task"`
	Epoch        int64         `json:"epoch"`
	Accelerators []int         `json:"accelerators,omitempty"`
	TTL          time.Duration `json:"ttl"`
	// Meta is stored with the task and returned in its status, so that a new owner
	// of the failure domain can adopt the task after a takeover.
	Meta json.RawMessage `json:"meta,omitempty"`
	// Start also starts the task in this call. It is meant for jobs of a single
	// task that may run more than once.
	Start *StartRequest `json:"start,omitempty"`
}

// Reservation is the response to a ReserveRequest.
type Reservation struct {
	Incarnation int64 `json:"incarnation"`
}

// StartRequest starts a reserved task; it is idempotent.
type StartRequest struct {
	Task  api.TaskID `json:"task"`
	Epoch int64      `json:"epoch"`
	// Incarnation must be that of the worker process that granted the reservation.
	Incarnation int64           `json:"incarnation"`
	Class       string          `json:"class,omitempty"`
	Payload     json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the name of the checkpoint to resume from; if empty, the task
	// starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskStatus is the status of a task as the target reports it.
type TaskStatus struct {
	Task         api.TaskID      `json:"task"`
	State        TaskState       `json:"state"`
	Started      bool            `json:"started"` // whether the task was ever started
	StartedAt    time.Time       `json:"startedAt,omitzero"`
	Accelerators []int           `json:"accelerators,omitempty"`
	Checkpoint   string          `json:"checkpoint,omitempty"` // name of the newest checkpoint, if any
	Result       json.RawMessage `json:"result,omitempty"`
	Error        string          `json:"error,omitempty"`
	Throttled    bool            `json:"throttled,omitempty"`
	// Meta is the Meta of the ReserveRequest; only Fence and a Sync with SinceSeq 0
	// return it.
	Meta json.RawMessage `json:"meta,omitempty"`
}

// SyncRequest renews the leases of all tasks on the worker on behalf of the
// failure domain's owner with this epoch, and waits for changes (a long poll).
type SyncRequest struct {
	Epoch int64         `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
	// SinceSeq is the sequence number of the last change seen; 0 returns all tasks.
	SinceSeq int64 `json:"since"`
	// Incarnation is the worker's incarnation that SinceSeq belongs to; if it
	// differs from the current one, the target responds as if SinceSeq were 0.
	Incarnation int64 `json:"incarnation"`
	// MaxWait limits the duration of the long poll; with 0 the target responds
	// immediately.
	MaxWait time.Duration `json:"wait"`
	// RenewOnly renews the leases without checking or raising the epoch. A
	// caretaker, the VM that renews the leases of tasks while no owner can be
	// elected, uses it.
	RenewOnly bool `json:"renewOnly,omitempty"`
}

// Usage is the resource usage that the worker measured; it is some seconds old.
type Usage struct {
	MeasuredAt  time.Time `json:"at"`
	SlotsUsed   int       `json:"slotsUsed"`
	BusyShare   float64   `json:"busyShare"` // 0..1 over the accelerators
	MemoryMiB   int       `json:"memoryMiB"`
	Connections int       `json:"connections"`
}

// SyncResponse is the response of the worker to Sync.
type SyncResponse struct {
	Incarnation int64        `json:"incarnation"`
	Seq         int64        `json:"seq"`
	Tasks       []TaskStatus `json:"tasks,omitempty"` // tasks changed after SinceSeq of the request
	Usage       Usage        `json:"usage"`
	Leaving     bool         `json:"leaving,omitempty"`
}

// Target is one worker. Errors have the kinds stale_epoch, capacity_exceeded,
// target_leaving, not_found, conflict (the incarnation differs, the task was
// fenced or has already ended) and unavailable. After unavailable the outcome of
// the call is unknown; Fence determines it.
type Target interface {
	Reserve(ctx context.Context, req ReserveRequest) (Reservation, error)
	Start(ctx context.Context, req StartRequest) error
	Sync(ctx context.Context, req SyncRequest) (SyncResponse, error)
	// Fence returns the status of the task. If the task was never started, Fence
	// releases its reservation and keeps a tombstone that rejects later attempts
	// to reserve or start it.
	Fence(ctx context.Context, task api.TaskID, epoch int64) (TaskStatus, error)
	// Release releases a reservation whose task was not started. It does the same
	// as Fence but returns no status; an unknown task is no error.
	Release(ctx context.Context, task api.TaskID, epoch int64) error
	// Checkpoint requests a checkpoint; its name appears in a later status.
	Checkpoint(ctx context.Context, task api.TaskID, epoch int64) error
	// Throttle limits the task to share (0..1] of its processors.
	Throttle(ctx context.Context, task api.TaskID, epoch int64, share float64) error
	// Stop stops the task and releases its slot and accelerators.
	Stop(ctx context.Context, task api.TaskID, epoch int64) error
}

// Dialer returns the target at an address. The daemon uses the HTTP
// implementation, and the embedded mode an in-memory one.
type Dialer interface {
	Dial(address string) Target
}
