package ownership

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// outageClaimGrace is how long after a store outage other VMs do not claim a
	// shard that a VM still serves: that VM has outcomes in memory which it has
	// not written yet.
	outageClaimGrace    = 3 * time.Second
	deleteRetryInterval = 200 * time.Millisecond
)

// reconcilePlan lists the actions of one reconciliation.
type reconcilePlan struct {
	claim    []Shard
	adopt    []Shard // this VM's keys whose claim got no answer
	handOver []Shard
	lost     []Shard
}

// reconcile compares the owners with the desired owners and starts the actions
// that bring them together.
func (m *Manager) reconcile(ctx context.Context) {
	shards := m.opts.Shards()
	want := desiredOwners(shards, m.opts.Members.Members())
	peers := m.ownersFromPeers()
	mayRebalance := m.opts.MayRebalance()
	m.mu.Lock()
	m.detectPause()
	var p reconcilePlan
	if !m.leaseUnverified {
		m.updateDesired(want)
		for _, s := range shards {
			m.planShard(&p, s, peers[s], mayRebalance)
		}
		for s, h := range m.served { // shards that Options.Shards no longer lists
			if _, ok := want[s]; !ok && m.draining {
				m.planServed(&p, s, h, peers[s], mayRebalance)
			}
		}
		for _, s := range p.claim {
			m.claiming[s] = true
		}
	}
	m.mu.Unlock()
	m.execute(ctx, p)
}

func (m *Manager) execute(ctx context.Context, p reconcilePlan) {
	for _, s := range p.adopt {
		m.adopt(ctx, s)
	}
	for _, s := range p.lost {
		m.releaseShard(s, true)
	}
	for _, s := range p.handOver {
		m.releaseShard(s, false)
	}
	if len(p.claim) > 0 {
		m.wg.Go(func() { m.claimAll(ctx, p.claim) })
	}
}

// updateDesired records the desired owners and since when each shard has its
// present one; the caller holds m.mu.
func (m *Manager) updateDesired(want map[Shard]string) {
	now := m.opts.now()
	for s := range m.desired {
		if want[s] != m.desired[s] {
			delete(m.desiredSince, s)
		}
	}
	for s := range want {
		if _, ok := m.desiredSince[s]; !ok {
			m.desiredSince[s] = now
		}
	}
	m.desired = want
}

// planShard adds the action for one shard to the plan; the caller holds m.mu.
func (m *Manager) planShard(p *reconcilePlan, s Shard, peer Owner, mayRebalance bool) {
	if h := m.served[s]; h != nil {
		m.planServed(p, s, h, peer, mayRebalance)
		return
	}
	key, exists := m.ownerKeys[s]
	switch {
	case exists && m.isSelf(key.Owner) && key.lease == m.lease.id:
		p.adopt = append(p.adopt, s)
	case exists || m.claiming[s] || m.draining:
	case m.canClaim() && m.desired[s] == m.self.VM && !m.reservedForPeer(peer):
		p.claim = append(p.claim, s)
	}
}

// planServed adds the action for a shard that this VM serves to the plan; the
// caller holds m.mu.
func (m *Manager) planServed(p *reconcilePlan, s Shard, h *servedShard, peer Owner, mayRebalance bool) {
	if h.stopping {
		return
	}
	key, exists := m.ownerKeys[s]
	want := m.desired[s]
	switch {
	case exists && !m.isSelf(key.Owner) && key.Epoch > h.epoch, m.storeUnreachable() && peer.Epoch > h.epoch:
		p.lost = append(p.lost, s)
	case exists && m.isSelf(key.Owner) && key.Epoch > h.epoch:
		p.adopt = append(p.adopt, s)
	case m.draining:
		p.handOver = append(p.handOver, s)
	case h.keyMissing:
		if !exists && !m.claiming[s] && m.canClaim() {
			p.claim = append(p.claim, s)
		}
	case want != "" && want != m.self.VM && mayRebalance && m.opts.now().Sub(m.desiredSince[s]) >= HandoverDelay && !m.storeUnreachable():
		p.handOver = append(p.handOver, s)
	}
}

// canClaim reports whether this VM may create owner keys now; the caller holds
// m.mu.
func (m *Manager) canClaim() bool {
	return m.keysLoaded && !m.storeUnreachable() && m.hasValidLease() && m.opts.now().After(m.claimsAllowedFrom)
}

// reservedForPeer reports whether the shard is left to a peer that served it
// through a store outage, so that the peer can claim it again; the caller holds
// m.mu.
func (m *Manager) reservedForPeer(peer Owner) bool {
	return peer.VM != "" && !m.outageEnd.IsZero() && m.opts.now().Sub(m.outageEnd) < outageClaimGrace
}

// storeUnreachable reports whether the watch or the lease renewal of this VM is
// failing; the caller holds m.mu.
func (m *Manager) storeUnreachable() bool { return !m.watchHealthy || m.lease.renewalFailed }

// adopt starts serving a shard, or renews its epoch, from an owner key of this
// VM that the watch has shown.
func (m *Manager) adopt(ctx context.Context, s Shard) {
	m.mu.Lock()
	key, ok := m.ownerKeys[s]
	m.mu.Unlock()
	if ok {
		m.startOrRenew(ctx, s, key)
	}
}

// startOrRenew starts the shard under the epoch of the key, or renews the epoch
// of a shard that this VM already serves under an older one.
func (m *Manager) startOrRenew(ctx context.Context, s Shard, key ownerKey) {
	m.mu.Lock()
	if m.deletedRevisions[s] >= key.Epoch {
		m.mu.Unlock()
		return // the key has been deleted meanwhile
	}
	if m.ownerKeys[s].Epoch < key.Epoch {
		m.ownerKeys[s] = key
	}
	h := m.served[s]
	if h != nil && (h.epoch >= key.Epoch || h.stopping) {
		m.mu.Unlock()
		return
	}
	if h == nil {
		m.served[s] = &servedShard{epoch: key.Epoch}
	} else {
		h.stopping = true
	}
	m.mu.Unlock()
	m.recordOwnerChange(s, "acquired", key.Epoch)
	if h == nil {
		m.opts.Host.StartShard(ctx, s, key.Epoch)
		return
	}
	m.wg.Go(func() { m.renewEpoch(ctx, s, h, key.Epoch) })
}

// renewEpoch moves a served shard to a new epoch. If the host cannot do that in
// place, the shard is stopped and restarted. Stopping flushes pending writes; the
// journal refuses them if another VM has served the shard in the meantime.
func (m *Manager) renewEpoch(ctx context.Context, s Shard, h *servedShard, epoch int64) {
	renewer, ok := m.opts.Host.(EpochRenewer)
	if !ok || !renewer.RenewEpoch(ctx, s, epoch) {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		m.opts.Host.StopShard(limited, s, false)
		cancel()
		m.opts.Host.StartShard(ctx, s, epoch)
	}
	m.mu.Lock()
	h.epoch, h.stopping, h.keyMissing = epoch, false, false
	m.mu.Unlock()
	m.signalReconcile()
}

// releaseShard stops a shard and, unless its key is already missing, deletes the
// key of its epoch so that the desired owner can claim it. Lost is set if a newer
// epoch of the shard exists.
func (m *Manager) releaseShard(s Shard, lost bool) {
	m.mu.Lock()
	h := m.served[s]
	if h == nil || h.stopping {
		m.mu.Unlock()
		return
	}
	h.stopping = true
	run, keyGone := m.runCtx, h.keyMissing
	m.mu.Unlock()
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(run), stopTimeout)
		defer cancel()
		m.opts.Host.StopShard(ctx, s, lost)
		if !keyGone {
			m.deleteOwnerKey(s, h.epoch)
		}
		m.finishRelease(s, h)
		if lost {
			m.recordOwnerChange(s, "lost to a newer epoch", h.epoch)
		} else {
			m.recordOwnerChange(s, "handed over", h.epoch)
		}
	})
}

// deleteOwnerKey deletes the owner key if it still belongs to the epoch. It
// retries until the store answers, or the key has been removed with its lease.
func (m *Manager) deleteOwnerKey(s Shard, epoch int64) {
	m.mu.Lock()
	known, exists := m.ownerKeys[s]
	run, id := m.runCtx, m.lease.id
	m.mu.Unlock()
	if exists && known.Epoch != epoch {
		return
	}
	for {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(run), m.opts.LeaseTTL)
		err := m.opts.Store.Delete(ctx, KeyPrefix+string(s), epoch)
		cancel()
		if err == nil || errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.Conflict) {
			return
		}
		wait.Sleep(run, deleteRetryInterval)
		m.mu.Lock()
		leaseReplaced := m.lease.id != id
		m.mu.Unlock()
		if leaseReplaced || run.Err() != nil {
			return
		}
	}
}

// finishRelease forgets a shard that the host has stopped.
func (m *Manager) finishRelease(s Shard, h *servedShard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.served, s)
	m.deletedRevisions[s] = max(m.deletedRevisions[s], h.epoch)
	if m.ownerKeys[s].Epoch == h.epoch {
		delete(m.ownerKeys, s)
	}
	m.signalReconcile()
}
