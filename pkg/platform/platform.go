// Package platform defines the interfaces of the platform: the key-value service
// (Store, Transactor) and the list of virtual machines (VMLister). Implementations are
// in its subpackages; the rest of the code depends on the interfaces only.
package platform

import (
	"context"
	"time"
)

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

// AnyVersion as expected version disables the comparison of Put and Delete.
const AnyVersion int64 = -1

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Entry is a key with its value and metadata.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store's revision of the last write to this key; it is
	// unique and increases over the whole store. Zero means that the key is absent.
	Version int64   `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Event is one change delivered by a watch.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
	// Revision is the store's revision of the change.
	Revision int64 `json:"revision"`
}

// Store is the platform's key-value service. Each call counts against the
// service's rate limits, a Watch as one call however long it waits. Errors have the kinds
// store_unavailable (the outcome of a write is then unknown), conflict (the
// expected version did not match; nothing was written), not_found, too_large
// and quota_exceeded (rate limit; nothing was written).
type Store interface {
	// Get returns the entry at key, or not_found.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries with the prefix in key order, after the key
	// `after`, at most limit entries (0 means 1000) and 1 MiB of values, and the
	// store's revision at which they were read. More says that others follow.
	List(ctx context.Context, prefix, after string, limit int) (ListResult, error)
	// Put writes value if the key's version equals expect (0: absent,
	// AnyVersion: no comparison) and returns the new version. A non-zero lease
	// binds the key to that lease.
	Put(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes the key if its version equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits until a key with the prefix has changed after the revision
	// `after`, or ctx ends, and returns the changes in order. Kind conflict means
	// that the history was compacted and the caller has to list again.
	Watch(ctx context.Context, prefix string, after int64) ([]Event, error)
	// GrantLease creates a lease with the given time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease, or returns not_found if it has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes the keys bound to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// ListResult is the result of Store.List.
type ListResult struct {
	Entries  []Entry `json:"entries"`
	Revision int64   `json:"revision"`
	More     bool    `json:"more,omitempty"`
}

// VMState is the state of a virtual machine in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the purpose of a VM.
type VMRole string

// Roles of a VM.
const (
	RoleEntry  VMRole = "entry"  // runs carawayusherd
	RoleTarget VMRole = "target" // runs tasks
)

// VM is one row of the platform's list of virtual machines. The list may be out of
// date.
type VM struct {
	ID            string  `json:"id"`
	Role          VMRole  `json:"role"`
	Address       string  `json:"address"` // IP:port
	State         VMState `json:"state"`
	FailureDomain string  `json:"failureDomain"`
	Rack          string  `json:"rack,omitempty"`
	Accelerators  int     `json:"accelerators,omitempty"`
	Slots         int     `json:"slots,omitempty"`
	Cores         int     `json:"cores,omitempty"`
	MemoryMiB     int     `json:"memoryMiB,omitempty"`
}

// VMLister returns the platform's list of VMs.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Condition expects a key to have a version; version 0 means absent.
type Condition struct {
	Key     string
	Version int64
}

// Write sets a key; a non-zero lease binds the key to that lease.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxTxnEntries bounds the conditions, writes and deletes of a transaction.
const MaxTxnEntries = 32

// Txn is an atomic transaction that applies only if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// TxnResult is the result of Transactor.Commit.
type TxnResult struct {
	Revision int64
	// Current holds the current entries of the conditions' keys if Commit returned
	// kind conflict; an absent key has version 0.
	Current []Entry
}

// PollResult is the result of Transactor.Poll.
type PollResult struct {
	Events   []Event
	Revision int64 // where the next poll continues
}

// Transactor is a store with transactions and long polling for changes.
// Errors have the kinds conflict, not_found (key or lease), quota_exceeded and
// overloaded (no effect), and store_unavailable (outcome unknown).
type Transactor interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix, after string, limit int) (ListResult, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Poll waits up to wait for changes after a revision. Kind conflict means
	// that the history was compacted and the caller has to list again.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (PollResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}
