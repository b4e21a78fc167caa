package memory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// leaseTable holds the leases and their clock, which an injected fault can stop.
type leaseTable struct {
	origin      time.Time
	paused      bool
	pausedAt    time.Duration // reading of the clock while paused
	pausedTotal time.Duration // total length of past pauses
	next        platform.LeaseID
	byID        map[platform.LeaseID]*lease
}

// lease is one lease; its deadline is on the clock of the table.
type lease struct {
	id       platform.LeaseID
	ttl      time.Duration
	deadline time.Duration
	timer    *time.Timer
	keys     map[string]struct{}
}

func (t *leaseTable) now() time.Duration {
	if t.paused {
		return t.pausedAt
	}
	return time.Since(t.origin) - t.pausedTotal
}

// maxLeaseTTL prevents overflow of deadlines.
const maxLeaseTTL = 24 * time.Hour

// GrantLease creates a lease; a TTL outside (0, 24 h] yields invalid_request.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return do(ctx, s, OpGrantLease, "", func() (platform.LeaseID, error) {
		if ttl <= 0 || ttl > maxLeaseTTL {
			return 0, errkind.New(errkind.InvalidRequest, "time to live %v is not within 0..%v", ttl, maxLeaseTTL)
		}
		s.leases.next++
		l := &lease{id: s.leases.next, ttl: ttl, deadline: s.leases.now() + ttl, keys: map[string]struct{}{}}
		s.leases.byID[l.id] = l
		l.timer = time.AfterFunc(ttl, func() { s.onLeaseTimer(l) })
		return l.id, nil
	})
}

// KeepAlive renews the lease, or returns not_found if it has expired.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := do(ctx, s, OpKeepAlive, "", func() (struct{}, error) {
		l, err := s.liveLease(id)
		if err != nil {
			return struct{}{}, err
		}
		l.deadline = s.leases.now() + l.ttl
		l.timer.Reset(l.ttl)
		return struct{}{}, nil
	})
	return err
}

// Revoke ends the lease and deletes the keys bound to it.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := do(ctx, s, OpRevoke, "", func() (struct{}, error) {
		l, err := s.liveLease(id)
		if err != nil {
			return struct{}{}, err
		}
		s.endLease(l)
		return struct{}{}, nil
	})
	return err
}

// liveLease returns the lease, or not_found if it is unknown or has expired, even if
// its timer has not fired yet.
func (s *Store) liveLease(id platform.LeaseID) (*lease, error) {
	l, ok := s.leases.byID[id]
	if ok && s.leases.now() >= l.deadline {
		s.counts.LapsedLeases++
		s.endLease(l)
		ok = false
	}
	if !ok {
		return nil, errkind.New(errkind.NotFound, "lease %d does not exist or has expired", id)
	}
	return l, nil
}

// onLeaseTimer ends an expired lease when its timer fires. The lease may have been
// renewed or its clock paused meanwhile.
func (s *Store) onLeaseTimer(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases.byID[l.id] != l || s.leases.paused {
		return
	}
	if left := l.deadline - s.leases.now(); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.counts.LapsedLeases++
	s.endLease(l)
}

// endLease removes the lease and its keys; each deletion gets its own revision.
func (s *Store) endLease(l *lease) {
	l.timer.Stop()
	delete(s.leases.byID, l.id)
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key)
	}
}

// unbind detaches the key from its lease before it is written or removed.
func (s *Store) unbindLease(key string) {
	e, ok := s.lookup(key)
	if !ok || e.Lease == 0 {
		return
	}
	if l := s.leases.byID[e.Lease]; l != nil {
		delete(l.keys, key)
	}
}

// pauseLeases stops or restarts the clock of the leases.
func (s *Store) pauseLeases(pause bool) {
	t := &s.leases
	if pause {
		t.pausedAt = t.now()
		t.paused = true
		return
	}
	t.paused = false
	t.pausedTotal = time.Since(t.origin) - t.pausedAt
	for _, l := range t.byID {
		l.timer.Reset(max(0, l.deadline-t.now()))
	}
}
