package membership

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// heartbeat is the body of the request and of the answer.
type heartbeat struct {
	From    string   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// Membership implements View.
type Membership struct {
	opts   Options
	cb     callbacks
	urgent chan struct{} // asks for a heartbeat round at once

	mu          sync.Mutex
	self        Member
	selfLeaving bool // the platform's list shows this VM as leaving
	members     map[string]*record
	listed      map[string]bool      // addresses of entry VMs in the platform's list
	leaving     map[string]time.Time // target to expiry, from any source
	ownLeaving  map[string]time.Time // target to expiry, seen by this VM
	calling     map[string]bool
	round       uint32
	running     bool
	lastLook    time.Time // by the monotonic clock
	lastDetails time.Time
}

var _ View = (*Membership)(nil)

// New returns a Membership and registers the heartbeat handler.
func New(opts Options) *Membership {
	opts = opts.withDefaults()
	m := &Membership{
		opts:       opts,
		urgent:     make(chan struct{}, 1),
		self:       opts.Self,
		members:    map[string]*record{},
		listed:     map[string]bool{},
		leaving:    map[string]time.Time{},
		ownLeaving: map[string]time.Time{},
		calling:    map[string]bool{},
		lastLook:   opts.now(),
	}
	m.self.State = Alive
	if m.self.Incarnation == 0 {
		m.self.Incarnation = opts.now().UnixNano()
	}
	if opts.Registry != nil {
		opts.Registry.Handle(Method, m.handle)
	}
	return m
}

// SetReady says whether this VM may get shards.
func (m *Membership) SetReady(ready bool) { m.update(func() { m.self.Ready = ready }) }

// SetDraining says that this VM hands its shards over; there is no way back.
func (m *Membership) SetDraining() { m.update(func() { m.self.State = Draining }) }

// SetConfigRevision says which configuration revision is in force on this VM.
func (m *Membership) SetConfigRevision(revision int64) {
	m.update(func() { m.self.ConfigRevision = revision })
}

// update changes the own entry and sends it at once.
func (m *Membership) update(change func()) {
	m.mu.Lock()
	change()
	m.mu.Unlock()
	m.hurry()
}

func (m *Membership) hurry() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// SetDomains sets the source of the own summaries; it must not block or call
// back into the membership. Call it before Run.
func (m *Membership) SetDomains(fn func() []sched.Summary) { m.cb.domains = fn }

// SetEventSeq sets the source of the newest event's sequence number; call it
// before Run. fn must not call the Membership.
func (m *Membership) SetEventSeq(fn func() uint64) { m.cb.eventSeq = fn }

// SetShards sets the source of the own shards with their epochs, and whether
// this VM holds a valid lease. Call it before Run.
func (m *Membership) SetShards(fn func() (epochs map[string]int64, leased bool)) { m.cb.shards = fn }

// OnPause adds a callback for a pause of this VM that was noticed by the
// monotonic clock. It must not block or call back into the membership. Call
// OnPause before Run.
func (m *Membership) OnPause(fn func(pause time.Duration)) { m.cb.onPause = append(m.cb.onPause, fn) }

// OnHigherRevision adds a callback for a peer with a newer configuration. It
// must not block. Call OnHigherRevision before Run.
func (m *Membership) OnHigherRevision(fn func(address string, revision int64)) {
	m.cb.onHigherRevision = append(m.cb.onHigherRevision, fn)
}

// OnChange adds a callback for members that join, leave or change their state,
// and for targets that are newly reported as leaving.
// It must not block. Call OnChange before Run.
func (m *Membership) OnChange(fn func()) { m.cb.onChange = append(m.cb.onChange, fn) }

// checkPause looks at the clock and returns the time. After a gap this VM was
// itself paused: the silence of the others says nothing, so that their timers
// start again. m.mu is held.
func (m *Membership) checkPause() time.Time {
	now := m.opts.now()
	gap := now.Sub(m.lastLook)
	m.lastLook = now
	if !m.running || gap <= max(PauseLimit, 2*m.opts.HeartbeatInterval) {
		return now
	}
	for _, r := range m.members {
		if r.state != Dead {
			r.advanced = now
		}
	}
	m.opts.Log.Info("this VM was paused", "pause", gap.String())
	for _, fn := range m.cb.onPause {
		fn(gap)
	}
	return now
}

// refreshSelf advances the counter and reads the own details.
func (m *Membership) refreshSelf() {
	var domains []sched.Summary
	var shards map[string]int64
	leased := true
	m.mu.Lock()
	readDomains := m.cb.domains != nil && m.opts.now().Sub(m.lastDetails) >= detailsInterval
	m.mu.Unlock()
	if readDomains {
		domains = m.cb.domains()
	}
	if m.cb.shards != nil {
		shards, leased = m.cb.shards()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkPause()
	m.self.Counter++
	m.self.NoLease = !leased
	m.expireLeaving(now)
	changed := false
	if readDomains {
		m.lastDetails = now
		changed = !reflect.DeepEqual(m.self.Domains, domains)
		m.self.Domains = domains
	}
	if !maps.Equal(m.self.Shards, shards) {
		m.self.Shards, changed = maps.Clone(shards), true
	}
	if own := sortedKeys(m.ownLeaving); !slices.Equal(own, m.self.Leaving) {
		m.self.Leaving, changed = own, true
	}
	if changed {
		m.self.DetailsVersion = m.self.Counter
	}
}

// digestFor returns the entries of all members for the peer at the address,
// with the details that the peer is not known to have.
func (m *Membership) digestFor(address string) heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var has map[string]seen
	for _, r := range m.members {
		if r.member.Address == address {
			has = r.peerHas
		}
	}
	return m.digest(has, has != nil)
}

// digest builds a heartbeat; m.mu is held. Before the first answer of a peer
// only the own details are sent, the rest is left to the answer.
func (m *Membership) digest(has map[string]seen, known bool) heartbeat {
	now := m.checkPause()
	hb := heartbeat{From: m.self.ID, Members: make([]Member, 0, len(m.members)+1)}
	add := func(e Member, always bool) {
		peer, ok := has[e.ID]
		if e.DetailsVersion > 0 && (always && !ok || known && !peer.atLeast(versionOf(e))) {
			e.HasDetails = true
		} else {
			e = brief(e)
		}
		hb.Members = append(hb.Members, e)
	}
	add(m.selfEntry(), true)
	for _, id := range sortedKeys(m.members) {
		r := m.members[id]
		if r.stateAt(now) != Dead {
			add(r.member, false)
		}
	}
	return hb
}

func (m *Membership) selfEntry() Member {
	self := m.self
	if m.selfLeaving {
		self.State = Draining
	}
	if m.cb.eventSeq != nil {
		self.EventSeq = m.cb.eventSeq()
	}
	return self
}

func (m *Membership) handle(_ context.Context, decode func(any) error) (any, error) {
	var req heartbeat
	if err := decode(&req); err != nil {
		return nil, err
	}
	m.receive(req)
	m.mu.Lock()
	defer m.mu.Unlock()
	var has map[string]seen
	if r := m.members[req.From]; r != nil {
		has = r.peerHas
	}
	return m.digest(has, true), nil
}

// receive merges a digest.
func (m *Membership) receive(hb heartbeat) {
	m.mu.Lock()
	now := m.checkPause()
	joined := false
	for _, e := range hb.Members {
		joined = m.mergeEntry(e, now) || joined
	}
	if r := m.members[hb.From]; r != nil {
		r.peerHas = make(map[string]seen, len(hb.Members))
		for _, e := range hb.Members {
			r.peerHas[e.ID] = versionOf(e)
		}
	}
	higher := m.higherRevision(hb.From)
	m.mu.Unlock()
	if joined {
		m.changed()
	}
	if higher != nil {
		for _, fn := range m.cb.onHigherRevision {
			fn(higher.Address, higher.ConfigRevision)
		}
	}
}

// higherRevision returns the sender if its configuration is newer; m.mu is held.
func (m *Membership) higherRevision(from string) *Member {
	r := m.members[from]
	if r == nil || r.member.ConfigRevision <= m.self.ConfigRevision {
		return nil
	}
	e := r.member
	return &e
}

// mergeEntry takes one entry and reports whether the member is new or has
// changed in what decides on ownership or placement; m.mu is held.
func (m *Membership) mergeEntry(e Member, now time.Time) bool {
	if e.ID == m.self.ID || e.ID == "" {
		if e.Incarnation > m.self.Incarnation {
			m.opts.Log.Info("another process runs with the ID of this VM", "incarnation", e.Incarnation)
		}
		return false
	}
	r := m.members[e.ID]
	if r == nil {
		r = &record{state: Dead}
		m.members[e.ID] = r
	}
	old := r.member
	r.merge(e, now)
	newLeaving := false
	for _, target := range r.member.Leaving {
		_, known := m.leaving[target]
		newLeaving = newLeaving || !known
		m.leaving[target] = now.Add(LeavingTTL)
	}
	return newLeaving || old.Incarnation != r.member.Incarnation || old.Ready != r.member.Ready ||
		old.State != r.member.State || old.NoLease != r.member.NoLease
}

// noteStates records state changes and forgets members that died long ago.
func (m *Membership) noteStates() {
	m.mu.Lock()
	now := m.checkPause()
	changed := false
	for _, id := range sortedKeys(m.members) {
		r := m.members[id]
		if s := r.stateAt(now); s != r.state {
			r.state, changed = s, true
			m.opts.Recorder.Record(timeline.Event{Type: timeline.MemberState, Reason: id + " is " + string(s)})
		}
		if now.Sub(r.advanced) > forgetAfter {
			delete(m.members, id)
		}
	}
	m.mu.Unlock()
	if changed {
		m.changed()
	}
}

func (m *Membership) changed() {
	for _, fn := range m.cb.onChange {
		fn()
	}
}

// Self returns this VM's own entry.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfEntry()
}

// Members returns all members that are not dead, ordered by ID, Self included,
// each with the state in which this VM sees it.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkPause()
	out := make([]Member, 0, len(m.members)+1)
	out = append(out, m.selfEntry())
	for _, r := range m.members {
		if s := r.stateAt(now); s != Dead {
			e := r.member
			e.State = s
			out = append(out, e)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// Summaries returns one summary of each failure domain, ordered by domain. Of
// two members that report a domain, the one with the higher epoch counts.
func (m *Membership) Summaries() []sched.Summary {
	type found struct {
		sum   sched.Summary
		epoch int64
	}
	best := map[string]found{}
	for _, e := range m.Members() {
		for _, s := range e.Domains {
			epoch := e.Shards["d"+s.Domain]
			if b, ok := best[s.Domain]; !ok || epoch > b.epoch {
				best[s.Domain] = found{s, epoch}
			}
		}
	}
	out := make([]sched.Summary, 0, len(best))
	for _, b := range best {
		out = append(out, b.sum)
	}
	slices.SortFunc(out, func(a, b sched.Summary) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
