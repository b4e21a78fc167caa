// Package journal keeps the records of one partition in the platform's store:
// a ring of compare-and-swap entries and snapshots.
package journal

import "context"

// Priority orders writes when the VM's store budget is short.
type Priority int

// Priorities, the most important first.
const (
	PriorityClaim Priority = iota
	PriorityAccept
	PriorityEnd
	PriorityOwnership
	PrioritySnapshot
)

// Log is the journal of one partition under one epoch.
type Log interface {
	// Append returns once the record is durable. Records appended at the same
	// time share one store write. Kinds: stale_epoch when another owner has
	// taken over (nothing of this owner is written any more), unavailable after
	// Close. While the store is out of reach Append waits until ctx ends and
	// then returns store_unavailable; the record may still be written later, in
	// its place in the order, unless the log is closed first.
	Append(ctx context.Context, priority Priority, record []byte) error
	// Close writes what is pending until ctx ends.
	Close(ctx context.Context) error
}

// Recovered is what a new owner reads back, in order.
type Recovered struct {
	Snapshot [][]byte // records of the newest snapshot
	Records  [][]byte // records appended since
}
