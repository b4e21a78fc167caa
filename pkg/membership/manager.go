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

// heartbeat is the body of heartbeat requests and responses.
type heartbeat struct {
	From    string   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// Membership exchanges heartbeats with the other VMs and keeps the resulting view.
// It implements View.
type Membership struct {
	opts          Options
	cb            callbacks
	roundRequests chan struct{} // capacity 1; requests an immediate heartbeat round

	mu               sync.Mutex
	self             Member
	selfLeaving      bool // the platform's VM list shows this VM as leaving
	members          map[string]*memberRecord
	listedAddresses  map[string]bool      // peer addresses of entry VMs in the platform's VM list
	leavingExpiry    map[string]time.Time // by target ID; reports from any source
	ownLeavingExpiry map[string]time.Time // by target ID; reports of this VM
	inFlight         map[string]bool      // addresses of peers with a heartbeat in flight
	round            uint32
	running          bool
	lastClockCheck   time.Time // by the monotonic clock
	lastSummaryRead  time.Time
}

var _ View = (*Membership)(nil)

// New returns a Membership and registers the heartbeat handler.
func New(opts Options) *Membership {
	opts = opts.withDefaults()
	m := &Membership{
		opts:             opts,
		roundRequests:    make(chan struct{}, 1),
		self:             opts.Self,
		members:          map[string]*memberRecord{},
		listedAddresses:  map[string]bool{},
		leavingExpiry:    map[string]time.Time{},
		ownLeavingExpiry: map[string]time.Time{},
		inFlight:         map[string]bool{},
		lastClockCheck:   opts.now(),
	}
	m.self.State = Alive
	if m.self.Incarnation == 0 {
		m.self.Incarnation = opts.now().UnixNano()
	}
	if opts.Registry != nil {
		opts.Registry.Handle(Method, m.handleHeartbeat)
	}
	return m
}

// SetReady sets whether this VM may be assigned shards.
func (m *Membership) SetReady(ready bool) { m.updateSelf(func() { m.self.Ready = ready }) }

// SetDraining marks this VM as draining its shards. It cannot be undone.
func (m *Membership) SetDraining() { m.updateSelf(func() { m.self.State = Draining }) }

// SetConfigRevision sets the revision of the configuration in force on this VM.
func (m *Membership) SetConfigRevision(revision int64) {
	m.updateSelf(func() { m.self.ConfigRevision = revision })
}

// updateSelf applies change to this VM's entry and requests a heartbeat round.
func (m *Membership) updateSelf(change func()) {
	m.mu.Lock()
	change()
	m.mu.Unlock()
	m.requestRound()
}

// requestRound makes Run send a heartbeat round without waiting for the interval.
func (m *Membership) requestRound() {
	select {
	case m.roundRequests <- struct{}{}:
	default:
	}
}

// SetDomains sets the function that returns the summaries of this VM's failure
// domains. It must not block or call the Membership. Call SetDomains before Run.
func (m *Membership) SetDomains(fn func() []sched.Summary) { m.cb.domains = fn }

// SetEventSeq sets the function that returns the sequence number of this VM's
// newest event. It must not call the Membership. Call SetEventSeq before Run.
func (m *Membership) SetEventSeq(fn func() uint64) { m.cb.eventSeq = fn }

// SetShards sets the function that returns the epochs of the shards that this VM
// owns and whether it holds a valid lease. Call SetShards before Run.
func (m *Membership) SetShards(fn func() (epochs map[string]int64, leased bool)) { m.cb.shards = fn }

// OnPause adds a callback that is called when the monotonic clock shows that this
// VM was paused. It must not block or call the Membership. Call OnPause before Run.
func (m *Membership) OnPause(fn func(pause time.Duration)) { m.cb.onPause = append(m.cb.onPause, fn) }

// OnHigherRevision adds a callback that is called for each heartbeat from a peer
// with a newer configuration. It must not block. Call OnHigherRevision before Run.
func (m *Membership) OnHigherRevision(fn func(address string, revision int64)) {
	m.cb.onHigherRevision = append(m.cb.onHigherRevision, fn)
}

// OnChange adds a callback that is called when members join, leave or change
// state, and when a target is newly reported as leaving. It must not block. Call
// OnChange before Run.
func (m *Membership) OnChange(fn func()) { m.cb.onChange = append(m.cb.onChange, fn) }

// checkClock returns the current time and detects pauses of this VM by the gap
// since the last call. After a pause missing heartbeats do not indicate a failure of
// the other members, so the failure timers of those not yet dead restart. m.mu must be held.
func (m *Membership) checkClock() time.Time {
	now := m.opts.now()
	gap := now.Sub(m.lastClockCheck)
	m.lastClockCheck = now
	if !m.running || gap <= max(PauseThreshold, 2*m.opts.HeartbeatInterval) {
		return now
	}
	for _, r := range m.members {
		if r.recordedState != Dead {
			r.advancedAt = now
		}
	}
	m.opts.Log.Info("detected a pause of this VM; restarted the failure timers of all members that are not dead", "pause", gap.String())
	for _, fn := range m.cb.onPause {
		fn(gap)
	}
	return now
}

// refreshSelf increments this VM's heartbeat counter and updates its details.
func (m *Membership) refreshSelf() {
	var domains []sched.Summary
	var shards map[string]int64
	leased := true
	m.mu.Lock()
	readDomains := m.cb.domains != nil && m.opts.now().Sub(m.lastSummaryRead) >= summaryReadInterval
	m.mu.Unlock()
	if readDomains {
		domains = m.cb.domains()
	}
	if m.cb.shards != nil {
		shards, leased = m.cb.shards()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkClock()
	m.self.Counter++
	m.self.NoLease = !leased
	m.expireLeaving(now)
	changed := false
	if readDomains {
		m.lastSummaryRead = now
		changed = !reflect.DeepEqual(m.self.Domains, domains)
		m.self.Domains = domains
	}
	if !maps.Equal(m.self.Shards, shards) {
		m.self.Shards, changed = maps.Clone(shards), true
	}
	if own := sortedKeys(m.ownLeavingExpiry); !slices.Equal(own, m.self.Leaving) {
		m.self.Leaving, changed = own, true
	}
	if changed {
		m.self.DetailsVersion = m.self.Counter
	}
}

// digestFor returns the heartbeat request for the peer at the address, with the
// details that the peer is not known to hold.
func (m *Membership) digestFor(address string) heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var versions map[string]detailsVersion
	for _, r := range m.members {
		if r.member.Address == address {
			versions = r.peerVersions
		}
	}
	return m.buildDigest(versions, versions != nil)
}

// buildDigest returns a heartbeat with the entries of all members that are not
// dead. versions holds the details versions of the receiving peer. While these are
// not known, before the first response, only this VM's own details are included;
// the response then shows which other details the peer lacks. m.mu must be held.
func (m *Membership) buildDigest(versions map[string]detailsVersion, versionsKnown bool) heartbeat {
	now := m.checkClock()
	hb := heartbeat{From: m.self.ID, Members: make([]Member, 0, len(m.members)+1)}
	add := func(e Member, self bool) {
		held, ok := versions[e.ID]
		if e.DetailsVersion > 0 && (self && !ok || versionsKnown && !held.atLeast(versionOf(e))) {
			e.HasDetails = true
		} else {
			e = withoutDetails(e)
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

// selfEntry returns this VM's entry as sent to peers. m.mu must be held.
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

// handleHeartbeat merges the request and responds with this VM's digest.
func (m *Membership) handleHeartbeat(_ context.Context, decode func(any) error) (any, error) {
	var req heartbeat
	if err := decode(&req); err != nil {
		return nil, err
	}
	m.mergeHeartbeat(req)
	m.mu.Lock()
	defer m.mu.Unlock()
	var versions map[string]detailsVersion
	if r := m.members[req.From]; r != nil {
		versions = r.peerVersions
	}
	return m.buildDigest(versions, true), nil
}

// mergeHeartbeat merges the digest of a received request or response, stores the
// details versions that its sender holds, and calls the callbacks.
func (m *Membership) mergeHeartbeat(hb heartbeat) {
	m.mu.Lock()
	now := m.checkClock()
	changed := false
	for _, e := range hb.Members {
		changed = m.mergeEntry(e, now) || changed
	}
	if r := m.members[hb.From]; r != nil {
		r.peerVersions = make(map[string]detailsVersion, len(hb.Members))
		for _, e := range hb.Members {
			r.peerVersions[e.ID] = versionOf(e)
		}
	}
	higher := m.higherRevision(hb.From)
	m.mu.Unlock()
	if changed {
		m.notifyChange()
	}
	if higher != nil {
		for _, fn := range m.cb.onHigherRevision {
			fn(higher.Address, higher.ConfigRevision)
		}
	}
}

// higherRevision returns the sender's entry if its configuration is newer than this
// VM's, else nil. m.mu must be held.
func (m *Membership) higherRevision(from string) *Member {
	r := m.members[from]
	if r == nil || r.member.ConfigRevision <= m.self.ConfigRevision {
		return nil
	}
	e := r.member
	return &e
}

// mergeEntry merges one digest entry. It reports whether the member is new, changed
// in a field that ownership or placement depends on, or reported a leaving target
// that was not known. m.mu must be held.
func (m *Membership) mergeEntry(e Member, now time.Time) bool {
	if e.ID == m.self.ID || e.ID == "" {
		if e.Incarnation > m.self.Incarnation {
			m.opts.Log.Info("another process with a newer incarnation uses the ID of this VM", "incarnation", e.Incarnation)
		}
		return false
	}
	r := m.members[e.ID]
	if r == nil {
		r = &memberRecord{recordedState: Dead}
		m.members[e.ID] = r
	}
	old := r.member
	r.merge(e, now)
	newLeaving := false
	for _, target := range r.member.Leaving {
		_, known := m.leavingExpiry[target]
		newLeaving = newLeaving || !known
		m.leavingExpiry[target] = now.Add(LeavingTTL)
	}
	return newLeaving || old.Incarnation != r.member.Incarnation || old.Ready != r.member.Ready ||
		old.State != r.member.State || old.NoLease != r.member.NoLease
}

// updateStates records state changes in the timeline and removes members that have
// been silent for longer than deadMemberRetention.
func (m *Membership) updateStates() {
	m.mu.Lock()
	now := m.checkClock()
	changed := false
	for _, id := range sortedKeys(m.members) {
		r := m.members[id]
		if s := r.stateAt(now); s != r.recordedState {
			r.recordedState, changed = s, true
			m.opts.Recorder.Record(timeline.Event{Type: timeline.MemberState, Reason: id + " is " + string(s)})
		}
		if now.Sub(r.advancedAt) > deadMemberRetention {
			delete(m.members, id)
		}
	}
	m.mu.Unlock()
	if changed {
		m.notifyChange()
	}
}

// notifyChange calls the OnChange callbacks. m.mu must not be held.
func (m *Membership) notifyChange() {
	for _, fn := range m.cb.onChange {
		fn()
	}
}

// Self returns the entry of this VM.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfEntry()
}

// Members returns all members that are not dead, this VM included, ordered by ID.
// The state of each is the one that this VM has derived for it.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkClock()
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

// Summaries returns one summary of each failure domain, ordered by domain. If
// several members report a domain, the summary with the highest epoch is returned.
func (m *Membership) Summaries() []sched.Summary {
	type candidate struct {
		summary sched.Summary
		epoch   int64
	}
	best := map[string]candidate{}
	for _, e := range m.Members() {
		for _, s := range e.Domains {
			epoch := e.Shards["d"+s.Domain]
			if b, ok := best[s.Domain]; !ok || epoch > b.epoch {
				best[s.Domain] = candidate{s, epoch}
			}
		}
	}
	out := make([]sched.Summary, 0, len(best))
	for _, b := range best {
		out = append(out, b.summary)
	}
	slices.SortFunc(out, func(a, b sched.Summary) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
