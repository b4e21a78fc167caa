package memory

import (
	"context"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Op is a type of call.
type Op string

// Types of calls. All but get, list, watch and list_vms are writes.
const (
	OpGet        Op = "get"
	OpList       Op = "list"
	OpPut        Op = "put"
	OpDelete     Op = "delete"
	OpWatch      Op = "watch"
	OpGrantLease Op = "grant_lease"
	OpKeepAlive  Op = "keep_alive"
	OpRevoke     Op = "revoke"
	OpListVMs    Op = "list_vms"
)

func (o Op) write() bool {
	switch o {
	case OpPut, OpDelete, OpCommit, OpGrantLease, OpKeepAlive, OpRevoke:
		return true
	default:
		return false
	}
}

// Counts are the counters since the last reset. Calls includes calls that were refused
// by an outage or the rate limit.
type Counts struct {
	Calls         map[Op]int64 `json:"calls"`
	Limited       int64        `json:"limited"`       // refused with quota_exceeded
	LostAnswers   int64        `json:"lostAnswers"`   // took effect, answered store_unavailable
	PendingWatch  int64        `json:"pendingWatch"`  // watches waiting at present
	BytesWritten  int64        `json:"bytesWritten"`  // bytes of values written by Put
	LapsedLeases  int64        `json:"lapsedLeases"`  // expired leases
	StoreRevision int64        `json:"storeRevision"` // current revision
}

// Counts returns the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Calls = maps.Clone(s.counts.Calls)
	c.StoreRevision = s.revision
	return c
}

// ResetCounts sets the counters to zero, except PendingWatch.
func (s *Store) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{Calls: map[Op]int64{}, PendingWatch: s.counts.PendingWatch}
}

// do runs f under the lock as one call: it counts the call and applies the rate limit
// and the faults. Half of an injected delay precedes the effect and half follows it, so
// that a write that times out may or may not have taken effect.
func do[T any](ctx context.Context, s *Store, op Op, key string, f func() (T, error)) (T, error) {
	var zero T
	delay, err := s.admit(op)
	if err != nil {
		return zero, err
	}
	if err := sleep(ctx, delay/2); err != nil {
		return zero, err
	}
	v, lost, err := runLocked(s, op, key, f)
	if err := sleep(ctx, delay-delay/2); err != nil {
		return zero, err
	}
	if lost {
		return zero, errkind.New(errkind.StoreUnavailable, "the answer to %s was lost", op)
	}
	return v, err
}

func runLocked[T any](s *Store, op Op, key string, f func() (T, error)) (T, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		var zero T
		return zero, false, errOutage()
	}
	v, err := f()
	return v, err == nil && op.write() && s.shouldLoseAnswer(key), err
}

// admit counts the call and refuses it during an outage or above the rate limit. It
// returns the injected delay.
func (s *Store) admit(op Op) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[op]++
	if s.faults.Outage {
		return 0, errOutage()
	}
	if limiter := s.limiter(op); !limiter.Allow() {
		s.counts.Limited++
		wait := time.Duration(float64(time.Second) / float64(limiter.Limit()))
		return 0, errkind.New(errkind.QuotaExceeded, "rate limit of the store exceeded by %s", op).WithRetryAfter(wait)
	}
	return s.faults.Delay, nil
}

func (s *Store) limiter(op Op) *rate.Limiter {
	if op.write() {
		return s.writes
	}
	return s.reads
}

// sleep waits for d. If ctx ends first it returns store_unavailable, since the outcome
// is then unknown to the caller.
func sleep(ctx context.Context, d time.Duration) error {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return errkind.Wrap(err, errkind.StoreUnavailable, "no answer from the store in time")
	}
	return nil
}

func errOutage() error {
	return errkind.New(errkind.StoreUnavailable, "the store is out of service")
}
