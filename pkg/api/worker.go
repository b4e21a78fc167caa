package api

import "time"

// WorkerState tells whether a worker accepts new tasks, and if not, why.
type WorkerState string

// States of a worker as callers and operators see them.
const (
	WorkerReady       WorkerState = "ready"
	WorkerDrained     WorkerState = "drained"
	WorkerQuarantined WorkerState = "quarantined"
	WorkerLeaving     WorkerState = "leaving"
	WorkerDown        WorkerState = "down"
)

// WorkerUsage is the resource usage that a worker measured last; it is some
// seconds old.
type WorkerUsage struct {
	MeasuredAt time.Time `json:"at" cbor:"1,keyasint"`
	BusyShare  float64   `json:"busyShare" cbor:"2,keyasint"` // 0..1 over the accelerators
	MemoryMiB  int       `json:"memoryMiB" cbor:"3,keyasint"`
}

// WorkerStatus is the status of a worker as callers see it. It names no jobs,
// because a workspace must not see the jobs of other workspaces.
type WorkerStatus struct {
	ID            string      `json:"id" cbor:"1,keyasint"`
	FailureDomain string      `json:"failureDomain" cbor:"2,keyasint"`
	Rack          string      `json:"rack,omitempty" cbor:"3,keyasint,omitempty"`
	State         WorkerState `json:"state" cbor:"4,keyasint"`
	// Reason explains in one sentence why the worker is not ready.
	Reason           string       `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
	Accelerators     int          `json:"accelerators" cbor:"6,keyasint"`
	AcceleratorsFree int          `json:"acceleratorsFree" cbor:"7,keyasint"`
	Slots            int          `json:"slots" cbor:"8,keyasint"`
	SlotsFree        int          `json:"slotsFree" cbor:"9,keyasint"`
	Usage            *WorkerUsage `json:"usage,omitempty" cbor:"10,keyasint,omitempty"`
}
