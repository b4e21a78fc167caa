// Package memory implements the platform's interfaces in memory, with the limits of the
// platform's service and with fault injection. Tests use it directly and the stand-in
// serves it over HTTP. It takes the time from package time only, so that it runs under
// testing/synctest.
package memory

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Defaults of Options. The rates are those of the platform's service.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	DefaultHistory         = 4096
)

// Limits of List and Watch. An answer has at most 1 MiB of values, but at least one
// entry, so that the caller makes progress.
const (
	defaultListLimit = 1000
	maxAnswerBytes   = platform.MaxValueBytes
	btreeDegree      = 32
)

// Options configures a Store; a zero field takes its default.
type Options struct {
	WritesPerSecond float64 // calls; negative removes the limit
	ReadsPerSecond  float64 // calls; negative removes the limit
	History         int     // number of changes kept for watches
	VMs             []platform.VM
}

// Store implements platform.Store, platform.Transactor and platform.VMLister. It
// starts no goroutines of its own and needs no Close.
type Store struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	revision int64
	inTxn    bool // a transaction is being applied, under one revision
	entries  *btree.BTreeG[*platform.Entry]
	history  history
	changed  chan struct{} // closed and replaced at each change, to wake watches
	leases   leaseTable
	faults   Faults
	random   *rand.Rand
	counts   Counts
	vms      vmList
}

// NewStore returns an empty store with the given limits.
func NewStore(opts Options) *Store {
	if opts.History <= 0 {
		opts.History = DefaultHistory
	}
	return &Store{
		writes:  newLimiter(opts.WritesPerSecond, DefaultWritesPerSecond),
		reads:   newLimiter(opts.ReadsPerSecond, DefaultReadsPerSecond),
		entries: btree.NewG(btreeDegree, func(a, b *platform.Entry) bool { return a.Key < b.Key }),
		history: history{limit: opts.History},
		changed: make(chan struct{}),
		leases:  leaseTable{origin: time.Now(), byID: map[platform.LeaseID]*lease{}},
		counts:  Counts{Calls: map[Op]int64{}},
		vms:     newVMList(opts.VMs),
	}
}

// newLimiter returns a limiter of perSecond calls a second with a burst of one second.
func newLimiter(perSecond, preset float64) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = preset
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Get returns the entry at key, or not_found.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	return do(ctx, s, OpGet, key, func() (platform.Entry, error) {
		e, ok := s.lookup(key)
		if !ok {
			return platform.Entry{}, errkind.New(errkind.NotFound, "key %q does not exist", key)
		}
		return cloneEntry(e), nil
	})
}

// List returns the entries with the prefix in key order, see platform.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	return do(ctx, s, OpList, prefix, func() (platform.ListResult, error) {
		return s.list(prefix, after, limit), nil
	})
}

func (s *Store) list(prefix, after string, limit int) platform.ListResult {
	if limit <= 0 || limit > defaultListLimit {
		limit = defaultListLimit
	}
	res := platform.ListResult{Entries: []platform.Entry{}, Revision: s.revision}
	size := 0
	from := &platform.Entry{Key: max(prefix, after)}
	s.entries.AscendGreaterOrEqual(from, func(e *platform.Entry) bool {
		if !strings.HasPrefix(e.Key, prefix) {
			return e.Key < prefix
		}
		if after != "" && e.Key <= after {
			return true
		}
		size += len(e.Value)
		if len(res.Entries) == limit || (size > maxAnswerBytes && len(res.Entries) > 0) {
			res.More = true
			return false
		}
		res.Entries = append(res.Entries, cloneEntry(e))
		return true
	})
	return res
}

// Put writes value with compare-and-swap, see platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect int64, id platform.LeaseID) (int64, error) {
	return do(ctx, s, OpPut, key, func() (int64, error) { return s.put(key, value, expect, id) })
}

func (s *Store) put(key string, value []byte, expect int64, id platform.LeaseID) (int64, error) {
	if err := checkKey(key); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, errkind.New(errkind.TooLarge, "value of %d bytes at %q exceeds %d", len(value), key, platform.MaxValueBytes)
	}
	if err := s.checkVersion(key, expect); err != nil {
		return 0, err
	}
	if id != 0 {
		if _, err := s.liveLease(id); err != nil {
			return 0, err
		}
	}
	s.unbindLease(key)
	s.advanceRevision()
	e := &platform.Entry{Key: key, Value: bytes.Clone(value), Version: s.revision, Lease: id}
	s.entries.ReplaceOrInsert(e)
	if id != 0 {
		s.leases.byID[id].keys[key] = struct{}{}
	}
	s.record(platform.Event{Entry: *e, Revision: s.revision})
	return s.revision, nil
}

// Delete removes the key if its version equals expect; an absent key yields
// not_found, or conflict if a version was expected.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	_, err := do(ctx, s, OpDelete, key, func() (struct{}, error) {
		if err := s.checkVersion(key, expect); err != nil {
			return struct{}{}, err
		}
		if _, ok := s.lookup(key); !ok {
			return struct{}{}, errkind.New(errkind.NotFound, "key %q does not exist", key)
		}
		s.remove(key)
		return struct{}{}, nil
	})
	return err
}

// advanceRevision begins the next revision, which the changes of a transaction share.
func (s *Store) advanceRevision() {
	if !s.inTxn {
		s.revision++
	}
}

// remove deletes an existing key and records the change.
func (s *Store) remove(key string) {
	s.unbindLease(key)
	s.advanceRevision()
	s.entries.Delete(&platform.Entry{Key: key})
	s.record(platform.Event{Entry: platform.Entry{Key: key}, Deleted: true, Revision: s.revision})
}

// compare returns conflict unless the key's version equals expect.
func (s *Store) checkVersion(key string, expect int64) error {
	if expect == platform.AnyVersion {
		return nil
	}
	var version int64
	if e, ok := s.lookup(key); ok {
		version = e.Version
	}
	if version != expect {
		return errkind.New(errkind.Conflict, "key %q has version %d, expected %d", key, version, expect)
	}
	return nil
}

func (s *Store) lookup(key string) (*platform.Entry, bool) {
	return s.entries.Get(&platform.Entry{Key: key})
}

// checkKey refuses keys that a JSON answer cannot carry unchanged.
func checkKey(key string) error {
	if key == "" || !utf8.ValidString(key) {
		return errkind.New(errkind.InvalidRequest, "key %q is empty or not valid UTF-8", key)
	}
	return nil
}

func cloneEntry(e *platform.Entry) platform.Entry {
	c := *e
	c.Value = bytes.Clone(e.Value)
	return c
}
