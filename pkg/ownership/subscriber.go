package ownership

import (
	"encoding/json"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// subscriber applies changes of the owner keys from the control watch to the
// Manager.
type subscriber struct{ m *Manager }

// Reset implements controlwatch.Subscriber.
func (r subscriber) Reset(entries []platform.Entry) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.ownerKeys
	m.ownerKeys = map[Shard]ownerKey{}
	for _, e := range entries {
		m.applyOwnerKey(e)
	}
	for s := range before {
		if _, ok := m.ownerKeys[s]; !ok {
			m.handleKeyDeleted(s)
		}
	}
	m.keysLoaded = true
	m.signalReconcile()
}

// Apply implements controlwatch.Subscriber.
func (r subscriber) Apply(events []platform.Event) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			m.applyOwnerKey(e.Entry)
			continue
		}
		s := shardFromKey(e.Entry.Key)
		if m.ownerKeys[s].Epoch < e.Revision {
			delete(m.ownerKeys, s)
			m.deletedRevisions[s] = max(m.deletedRevisions[s], e.Revision)
			m.handleKeyDeleted(s)
		}
	}
	m.signalReconcile()
}

// Health implements controlwatch.Subscriber.
func (r subscriber) Health(following bool) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if following && !m.watchHealthy && m.hadOutage {
		m.outageEnd = m.opts.now()
	}
	m.hadOutage = m.hadOutage || !following
	m.watchHealthy = following
}

func shardFromKey(key string) Shard { return Shard(strings.TrimPrefix(key, KeyPrefix)) }

// applyOwnerKey records an owner key unless a newer change is known; the caller
// holds m.mu.
func (m *Manager) applyOwnerKey(e platform.Entry) {
	s := shardFromKey(e.Key)
	if e.Version <= m.deletedRevisions[s] || e.Version < m.ownerKeys[s].Epoch {
		return
	}
	var o Owner
	if err := json.Unmarshal(e.Value, &o); err != nil {
		m.opts.Log.Error(err, "owner key cannot be decoded", "key", e.Key)
		return
	}
	o.Shard, o.Epoch = s, e.Version
	m.ownerKeys[s] = ownerKey{Owner: o, lease: e.Lease}
	if h := m.served[s]; h != nil && h.epoch == e.Version {
		h.keyMissing = false
	}
}

// handleKeyDeleted marks a served shard whose owner key was deleted; the caller
// holds m.mu.
func (m *Manager) handleKeyDeleted(s Shard) {
	if h := m.served[s]; h != nil && !h.stopping {
		h.keyMissing = true
	}
}
