package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// lease is this VM's view of its lease in the store.
type lease struct {
	id platform.LeaseID
	// validUntil is when this VM stops relying on the lease: three quarters of the
	// TTL after the last successful request was sent, since the store may count
	// the TTL from that time.
	validUntil time.Time
	// renewalFailed is set when the last request failed. The VM keeps serving its
	// shards meanwhile.
	renewalFailed bool
}

// leaseLoop obtains and renews the lease until ctx ends.
func (m *Manager) leaseLoop(ctx context.Context) {
	interval := m.opts.LeaseTTL / 3
	for ctx.Err() == nil {
		sent := m.opts.now()
		m.renewOrGrant(ctx, sent)
		m.signalReconcile()
		// Jitter of a tenth of the interval spreads VMs that started together.
		wait := interval - m.opts.now().Sub(sent) - rand.N(interval/10)
		m.waitForRenewal(ctx, max(wait, interval/10))
	}
}

// waitForRenewal waits for d, or until a detected pause requests an immediate
// renewal.
func (m *Manager) waitForRenewal(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.renewNow:
	case <-ctx.Done():
	}
}

// renewOrGrant renews the lease, or obtains a new one if there is none or the
// store no longer knows it.
func (m *Manager) renewOrGrant(ctx context.Context, sent time.Time) {
	m.mu.Lock()
	id := m.lease.id
	m.mu.Unlock()
	// The timeout is shorter than the renewal interval, so that a slow store does
	// not delay the next attempt.
	ctx, cancel := context.WithTimeout(ctx, m.opts.LeaseTTL/4)
	defer cancel()
	var err error
	if id != 0 {
		if err = m.opts.Store.KeepAlive(ctx, id); errkind.Is(err, errkind.NotFound) {
			m.handleLeaseExpired()
			id = 0
		}
	}
	if id == 0 {
		id, err = m.opts.Store.GrantLease(ctx, m.opts.LeaseTTL)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.lease.renewalFailed, m.hadOutage = true, true
		m.leaseUnverified = false // without an answer, continue as in a store outage
		m.opts.Log.V(1).Info("lease renewal failed", "error", err.Error())
		return
	}
	if m.lease.renewalFailed {
		m.outageEnd = m.opts.now()
	}
	m.lease = lease{id: id, validUntil: sent.Add(m.opts.LeaseTTL * 3 / 4)}
	m.leaseUnverified = false
}

// handleLeaseExpired records that the store has removed the lease and with it
// all owner keys of this VM. The served shards are claimed again, or stopped if
// another VM has claimed them first.
func (m *Manager) handleLeaseExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opts.Log.Info("lease expired; claiming the served shards again", "shards", len(m.served))
	m.lease = lease{}
	for _, h := range m.served {
		h.keyMissing = true
	}
}

// hasValidLease reports whether the lease is valid by this VM's clock; the
// caller holds m.mu.
func (m *Manager) hasValidLease() bool {
	return m.lease.id != 0 && m.opts.now().Before(m.lease.validUntil)
}
