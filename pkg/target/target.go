// Package target defines the interface of a target: a worker as the scheduler
// sees it. The target's lease is the authority on who runs on an accelerator
// or a slot.
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

// IdentityRetention is how long a target remembers the identity of a task that
// was started, at least. After that time a tombstone of Fence proves nothing.
const IdentityRetention = 10 * time.Minute

// TaskState is the state of a task at a target.
type TaskState string

// Task states at a target. Fenced is the tombstone of a task that never
// started and never will.
const (
	TaskReserved     TaskState = "reserved"
	TaskRunning      TaskState = "running"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskLeaseExpired TaskState = "lapsed" // lease ran out; a running task was stopped
	TaskFenced       TaskState = "fenced"
)

// Ended reports whether the task holds no accelerator or slot any more.
func (s TaskState) Ended() bool { return s != TaskReserved && s != TaskRunning }

// ReserveRequest asks for a slot and accelerators under a lease. A request with
// an epoch below the newest that the target has seen is refused (stale_epoch).
type ReserveRequest struct {
	Task         api.TaskID    `json:"task"`
	Epoch        int64         `json:"epoch"`
	Accelerators []int         `json:"accelerators,omitempty"`
	TTL          time.Duration `json:"ttl"`
	// Meta is kept with the task and returned in its status, so that a new owner
	// of the failure domain can adopt the task.
	Meta json.RawMessage `json:"meta,omitempty"`
	// Start begins the task in the same call; for single repeatable tasks.
	Start *StartRequest `json:"start,omitempty"`
}

// Reservation is the answer to a reserve request.
type Reservation struct {
	Incarnation int64 `json:"incarnation"`
}

// StartRequest starts a reserved task; repeating it is harmless.
type StartRequest struct {
	Task  api.TaskID `json:"task"`
	Epoch int64      `json:"epoch"`
	// Incarnation must match the worker process that holds the reservation.
	Incarnation int64           `json:"incarnation"`
	Class       string          `json:"class,omitempty"`
	Payload     json.RawMessage `json:"payload,omitempty"`
	// Checkpoint names the state to resume from; empty starts afresh.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskStatus is what a target reports of a task.
type TaskStatus struct {
	Task         api.TaskID      `json:"task"`
	State        TaskState       `json:"state"`
	Started      bool            `json:"started"` // whether it ever began to run
	StartedAt    time.Time       `json:"startedAt,omitzero"`
	Accelerators []int           `json:"accelerators,omitempty"`
	Checkpoint   string          `json:"checkpoint,omitempty"` // newest checkpoint, if any
	Result       json.RawMessage `json:"result,omitempty"`
	Error        string          `json:"error,omitempty"`
	Throttled    bool            `json:"throttled,omitempty"`
	// Meta is that of the reserve request; present in answers of Fence and of a
	// Sync with SinceSeq 0.
	Meta json.RawMessage `json:"meta,omitempty"`
}

// SyncRequest renews the leases of all tasks on the worker that the failure
// domain's owner with this epoch holds, and waits for changes.
type SyncRequest struct {
	Epoch int64         `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
	// SinceSeq is the sequence number of the last change seen; 0 returns all tasks.
	SinceSeq int64 `json:"since"`
	// Incarnation is that of the worker when SinceSeq was received; on a mismatch
	// the target answers as if SinceSeq were 0.
	Incarnation int64 `json:"incarnation"`
	// MaxWait bounds the long poll; 0 answers at once.
	MaxWait time.Duration `json:"wait"`
	// RenewOnly keeps the leases of whatever epoch is newest without raising it;
	// a caretaker uses it while no owner can be elected.
	RenewOnly bool `json:"renewOnly,omitempty"`
}

// Usage is measured by the worker and lags by some seconds.
type Usage struct {
	MeasuredAt  time.Time `json:"at"`
	SlotsUsed   int       `json:"slotsUsed"`
	BusyShare   float64   `json:"busyShare"` // 0..1 over the accelerators
	MemoryMiB   int       `json:"memoryMiB"`
	Connections int       `json:"connections"`
}

// SyncResponse is the worker's answer to Sync.
type SyncResponse struct {
	Incarnation int64        `json:"incarnation"`
	Seq         int64        `json:"seq"`
	Tasks       []TaskStatus `json:"tasks,omitempty"` // changed since the request's SinceSeq
	Usage       Usage        `json:"usage"`
	Leaving     bool         `json:"leaving,omitempty"`
}

// Target is one worker. Errors have the kinds stale_epoch, capacity_exceeded,
// target_leaving, not_found, conflict (the incarnation differs, the task was
// fenced or has already ended) and unavailable. After unavailable the outcome of a call is unknown and
// Fence resolves it.
type Target interface {
	Reserve(ctx context.Context, req ReserveRequest) (Reservation, error)
	Start(ctx context.Context, req StartRequest) error
	Sync(ctx context.Context, req SyncRequest) (SyncResponse, error)
	// Fence returns the status of the task; one that was never started is
	// released and its identity refused from then on.
	Fence(ctx context.Context, task api.TaskID, epoch int64) (TaskStatus, error)
	// Release gives a reservation back that was not started; it equals Fence
	// without an answer and is harmless for an unknown task.
	Release(ctx context.Context, task api.TaskID, epoch int64) error
	// Checkpoint asks for a checkpoint; its name appears in a later status.
	Checkpoint(ctx context.Context, task api.TaskID, epoch int64) error
	// Throttle limits the task to share (0..1] of its processors.
	Throttle(ctx context.Context, task api.TaskID, epoch int64, share float64) error
	// Stop ends the task and frees its place.
	Stop(ctx context.Context, task api.TaskID, epoch int64) error
}

// Dialer returns the target at an address; the daemon uses the HTTP adapter,
// the embedded mode an in-memory one.
type Dialer interface {
	Dial(address string) Target
}
