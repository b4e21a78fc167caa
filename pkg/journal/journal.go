// Package journal stores the records of one partition durably in the platform's
// store: a ring of entries written by compare-and-swap, and snapshots that free
// the ring. The VM that owns a partition opens its journal under the epoch of that
// ownership, which fences former owners. The package never interprets records.
package journal

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// Priority ranks writes when the VM's store budget is short.
type Priority = storebudget.Priority

// Priorities, the most important first.
const (
	PriorityClaim     = storebudget.PriorityClaim
	PriorityJobAccept = storebudget.PriorityJobAccept
	PriorityJobEnd    = storebudget.PriorityJobEnd
	PriorityOwnership = storebudget.PriorityOwnership
	PrioritySnapshot  = storebudget.PrioritySnapshot
)

// Log is the journal of one partition under one epoch.
type Log interface {
	// Append returns once the record is durable. Concurrent appends share one
	// store write. Error kinds: stale_epoch when another owner has taken over
	// (this owner writes nothing any more), unavailable after Close, too_large
	// above MaxRecordBytes, overloaded when more than MaxPendingBytes would be
	// pending (the record was not written), and outcome_unknown when the log
	// ended during a write whose answer was lost. While the store is unreachable,
	// Append waits until ctx ends and then returns store_unavailable; the record
	// may still be written later, in order, unless the log is closed first.
	//
	// The caller must either include the record in the result of Options.Snapshot
	// before it calls Append, or set Options.Apply.
	Append(ctx context.Context, priority Priority, record []byte) error
	// Close writes the pending records until ctx ends. Records that were not
	// written by then fail with unavailable, and those being written with
	// outcome_unknown.
	Close(ctx context.Context) error
}

// Recovered holds the records that a new owner has read, in order. A record may be
// in both Snapshot and Records, so applying a record must be idempotent.
type Recovered struct {
	Snapshot [][]byte // records of the newest snapshot
	Records  [][]byte // records appended since the snapshot
}
