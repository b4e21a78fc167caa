package ownership

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// reclaimGrace is how long after an outage of the store the other VMs leave a
	// shard to the VM that still serves it: that one has outcomes in memory which
	// it has yet to write.
	reclaimGrace = 3 * time.Second
	deleteRetry  = 200 * time.Millisecond
)

// plan is what one comparison of owners and desired owners asks for.
type plan struct {
	claim    []Shard
	adopt    []Shard // own keys whose claim got no answer
	handOver []Shard
	lost     []Shard
}

// step compares and acts.
func (m *Manager) step(ctx context.Context) {
	shards := m.opts.Shards()
	want := desired(shards, m.opts.Members.Members())
	peers := m.fromPeers()
	mayRebalance := m.opts.MayRebalance()
	m.mu.Lock()
	m.look()
	var p plan
	if !m.verify {
		m.noteDesired(want)
		for _, s := range shards {
			m.planShard(&p, s, peers[s], mayRebalance)
		}
		for s, h := range m.held { // no longer in the list, or from a larger one
			if _, ok := want[s]; !ok && m.draining {
				m.planHeld(&p, s, h, peers[s], mayRebalance)
			}
		}
		for _, s := range p.claim {
			m.claiming[s] = true
		}
	}
	m.mu.Unlock()
	m.act(ctx, p)
}

func (m *Manager) act(ctx context.Context, p plan) {
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

// noteDesired keeps since when each shard has its desired owner; m.mu is held.
func (m *Manager) noteDesired(want map[Shard]string) {
	now := m.opts.now()
	for s := range m.desired {
		if want[s] != m.desired[s] {
			delete(m.since, s)
		}
	}
	for s := range want {
		if _, ok := m.since[s]; !ok {
			m.since[s] = now
		}
	}
	m.desired = want
}

// planShard decides on one shard; m.mu is held.
func (m *Manager) planShard(p *plan, s Shard, peer Owner, mayRebalance bool) {
	if h := m.held[s]; h != nil {
		m.planHeld(p, s, h, peer, mayRebalance)
		return
	}
	key, exists := m.owners[s]
	switch {
	case exists && m.isSelf(key.Owner) && key.lease == m.lease.id:
		p.adopt = append(p.adopt, s)
	case exists || m.claiming[s] || m.draining:
	case m.mayClaim() && m.desired[s] == m.self.VM && !m.leftToServer(peer):
		p.claim = append(p.claim, s)
	}
}

// planHeld decides on a shard that this VM serves; m.mu is held.
func (m *Manager) planHeld(p *plan, s Shard, h *holding, peer Owner, mayRebalance bool) {
	if h.stopping {
		return
	}
	key, exists := m.owners[s]
	want := m.desired[s]
	switch {
	case exists && !m.isSelf(key.Owner) && key.Epoch > h.epoch, m.outOfReach() && peer.Epoch > h.epoch:
		p.lost = append(p.lost, s)
	case exists && m.isSelf(key.Owner) && key.Epoch > h.epoch:
		p.adopt = append(p.adopt, s)
	case m.draining:
		p.handOver = append(p.handOver, s)
	case h.keyGone:
		if !exists && !m.claiming[s] && m.mayClaim() {
			p.claim = append(p.claim, s)
		}
	case want != "" && want != m.self.VM && mayRebalance && m.opts.now().Sub(m.since[s]) >= HandoverDelay && !m.outOfReach():
		p.handOver = append(p.handOver, s)
	}
}

// mayClaim reports whether this VM may create owner keys now; m.mu is held.
func (m *Manager) mayClaim() bool {
	return m.synced && !m.outOfReach() && m.leased() && m.opts.now().After(m.settled)
}

// leftToServer reports whether a member that served the shard through an outage
// should get it again; m.mu is held.
func (m *Manager) leftToServer(peer Owner) bool {
	return peer.VM != "" && !m.resumed.IsZero() && m.opts.now().Sub(m.resumed) < reclaimGrace
}

// outOfReach reports whether this VM cannot follow the store; m.mu is held.
func (m *Manager) outOfReach() bool { return !m.following || m.lease.unreachable }

// adopt starts a shard whose key is this VM's.
func (m *Manager) adopt(ctx context.Context, s Shard) {
	m.mu.Lock()
	key, ok := m.owners[s]
	m.mu.Unlock()
	if ok {
		m.acquired(ctx, s, key)
	}
}

// acquired starts the shard under the epoch of the key, or renews the epoch of
// a shard that this VM has served without a key.
func (m *Manager) acquired(ctx context.Context, s Shard, key owned) {
	m.mu.Lock()
	if m.gone[s] >= key.Epoch {
		m.mu.Unlock()
		return // deleted meanwhile
	}
	if m.owners[s].Epoch < key.Epoch {
		m.owners[s] = key
	}
	h := m.held[s]
	if h != nil && (h.epoch >= key.Epoch || h.stopping) {
		m.mu.Unlock()
		return
	}
	if h == nil {
		m.held[s] = &holding{epoch: key.Epoch}
	} else {
		h.stopping = true
	}
	m.mu.Unlock()
	m.record(s, "acquired", key.Epoch)
	if h == nil {
		m.opts.Host.StartShard(ctx, s, key.Epoch)
		return
	}
	m.wg.Go(func() { m.renew(ctx, s, h, key.Epoch) })
}

// renew moves a held shard to a new epoch. Stopping it first writes what is in
// memory; the journal refuses that if another VM has served the shard between.
func (m *Manager) renew(ctx context.Context, s Shard, h *holding, epoch int64) {
	renewer, ok := m.opts.Host.(EpochRenewer)
	if !ok || !renewer.RenewEpoch(ctx, s, epoch) {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		m.opts.Host.StopShard(limited, s, false)
		cancel()
		m.opts.Host.StartShard(ctx, s, epoch)
	}
	m.mu.Lock()
	h.epoch, h.stopping, h.keyGone = epoch, false, false
	m.mu.Unlock()
	m.wakeStep()
}

// releaseShard stops a shard and, unless it is lost, deletes the key so that
// the desired owner can claim it.
func (m *Manager) releaseShard(s Shard, lost bool) {
	m.mu.Lock()
	h := m.held[s]
	if h == nil || h.stopping {
		m.mu.Unlock()
		return
	}
	h.stopping = true
	run, keyGone := m.run, h.keyGone
	m.mu.Unlock()
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(run), stopTimeout)
		defer cancel()
		m.opts.Host.StopShard(ctx, s, lost)
		if !keyGone {
			m.deleteKey(s, h.epoch)
		}
		m.released(s, h)
		if lost {
			m.record(s, "lost to a newer epoch", h.epoch)
		} else {
			m.record(s, "handed over", h.epoch)
		}
	})
}

// deleteKey deletes the owner key if it is still the one of the epoch. It
// repeats the call until there is an answer, or the key has gone with the lease.
func (m *Manager) deleteKey(s Shard, epoch int64) {
	m.mu.Lock()
	known, exists := m.owners[s]
	run, id := m.run, m.lease.id
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
		wait.Sleep(run, deleteRetry)
		m.mu.Lock()
		lapsed := m.lease.id != id
		m.mu.Unlock()
		if lapsed || run.Err() != nil {
			return
		}
	}
}

func (m *Manager) released(s Shard, h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, s)
	m.gone[s] = max(m.gone[s], h.epoch)
	if m.owners[s].Epoch == h.epoch {
		delete(m.owners, s)
	}
	m.wakeStep()
}
