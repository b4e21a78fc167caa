package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// lease is the VM's lease of the store, as this VM knows it.
type lease struct {
	id platform.LeaseID
	// until is when this VM gives the lease up: three quarters of the TTL after
	// the last successful request was sent, as the store may count from then.
	until time.Time
	// unreachable says that the last request got no answer. Holders then go on.
	unreachable bool
}

// leaseLoop obtains and renews the lease until ctx ends.
func (m *Manager) leaseLoop(ctx context.Context) {
	interval := m.opts.LeaseTTL / 3
	for ctx.Err() == nil {
		sent := m.opts.now()
		m.renewOrGrant(ctx, sent)
		m.wakeStep()
		// A tenth of jitter keeps VMs that started together apart.
		wait := interval - m.opts.now().Sub(sent) - rand.N(interval/10)
		m.waitLease(ctx, max(wait, interval/10))
	}
}

// waitLease waits until the next renewal, or until a pause asks for one at once.
func (m *Manager) waitLease(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.renewNow:
	case <-ctx.Done():
	}
}

func (m *Manager) renewOrGrant(ctx context.Context, sent time.Time) {
	m.mu.Lock()
	id := m.lease.id
	m.mu.Unlock()
	// Less than the interval, so that a slow store does not delay the next try.
	ctx, cancel := context.WithTimeout(ctx, m.opts.LeaseTTL/4)
	defer cancel()
	var err error
	if id != 0 {
		if err = m.opts.Store.KeepAlive(ctx, id); errkind.Is(err, errkind.NotFound) {
			m.lapsed()
			id = 0
		}
	}
	if id == 0 {
		id, err = m.opts.Store.GrantLease(ctx, m.opts.LeaseTTL)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.lease.unreachable, m.interrupted = true, true
		m.verify = false // no answer: the rule for an outage holds
		m.opts.Log.V(1).Info("lease cannot be renewed", "error", err.Error())
		return
	}
	if m.lease.unreachable {
		m.resumed = m.opts.now()
	}
	m.lease = lease{id: id, until: sent.Add(m.opts.LeaseTTL * 3 / 4)}
	m.verify = false
}

// lapsed notes that the store has dropped the lease and with it all owner keys
// of this VM. The held shards are claimed again, or stopped if another VM was
// faster.
func (m *Manager) lapsed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opts.Log.Info("lease has lapsed", "shards", len(m.held))
	m.lease = lease{}
	for _, h := range m.held {
		h.keyGone = true
	}
}

// leased reports whether the lease is valid by this VM's clock; m.mu is held.
func (m *Manager) leased() bool {
	return m.lease.id != 0 && m.opts.now().Before(m.lease.until)
}
