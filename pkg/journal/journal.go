// Package journal keeps the records of one partition in the platform's store:
// a ring of compare-and-swap entries and snapshots.
package journal

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// Priority orders writes when the VM's store budget is short.
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
	// Append returns once the record is durable. Records appended at the same
	// time share one store write. Kinds: stale_epoch when another owner has
	// taken over (nothing of this owner is written any more), unavailable after
	// Close, too_large above MaxRecordBytes, overloaded when more than
	// MaxPendingBytes wait (nothing was written), and outcome_unknown when the
	// log ended during a write whose answer was lost. While the store is out of reach
	// Append waits until ctx ends and then returns store_unavailable; the record
	// may still be written later, in its place in the order, unless the log is
	// closed first.
	//
	// The caller includes the record in what Options.Snapshot returns before it
	// calls Append, or sets Options.Apply.
	Append(ctx context.Context, priority Priority, record []byte) error
	// Close writes what is pending until ctx ends. Records that were not written
	// by then fail with unavailable, and those being written with outcome_unknown.
	Close(ctx context.Context) error
}

// Recovered is what a new owner reads back, in order. A record may be in both
// Snapshot and Records: applying it twice must be harmless.
type Recovered struct {
	Snapshot [][]byte // records of the newest snapshot
	Records  [][]byte // records appended since
}
