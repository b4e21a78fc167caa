package ownership

import (
	"encoding/json"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// subscriber receives the owner keys from the control watch.
type subscriber struct{ m *Manager }

// Reset implements controlwatch.Subscriber.
func (r subscriber) Reset(entries []platform.Entry) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.owners
	m.owners = map[Shard]owned{}
	for _, e := range entries {
		m.put(e)
	}
	for s := range before {
		if _, ok := m.owners[s]; !ok {
			m.keyVanished(s)
		}
	}
	m.synced = true
	m.wakeStep()
}

// Apply implements controlwatch.Subscriber.
func (r subscriber) Apply(events []platform.Event) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			m.put(e.Entry)
			continue
		}
		s := shardOf(e.Entry.Key)
		if m.owners[s].Epoch < e.Revision {
			delete(m.owners, s)
			m.gone[s] = max(m.gone[s], e.Revision)
			m.keyVanished(s)
		}
	}
	m.wakeStep()
}

// Health implements controlwatch.Subscriber.
func (r subscriber) Health(following bool) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if following && !m.following && m.interrupted {
		m.resumed = m.opts.now()
	}
	m.interrupted = m.interrupted || !following
	m.following = following
}

func shardOf(key string) Shard { return Shard(strings.TrimPrefix(key, KeyPrefix)) }

// put takes an owner key unless a newer change is known; m.mu is held.
func (m *Manager) put(e platform.Entry) {
	s := shardOf(e.Key)
	if e.Version <= m.gone[s] || e.Version < m.owners[s].Epoch {
		return
	}
	var o Owner
	if err := json.Unmarshal(e.Value, &o); err != nil {
		m.opts.Log.Error(err, "owner key cannot be decoded", "key", e.Key)
		return
	}
	o.Shard, o.Epoch = s, e.Version
	m.owners[s] = owned{Owner: o, lease: e.Lease}
	if h := m.held[s]; h != nil && h.epoch == e.Version {
		h.keyGone = false
	}
}

// keyVanished notes that a held shard has no key any more; m.mu is held.
func (m *Manager) keyVanished(s Shard) {
	if h := m.held[s]; h != nil && !h.stopping {
		h.keyGone = true
	}
}
