package membership

import (
	"slices"
	"strings"
	"time"
)

// record is what this VM knows of one member.
type record struct {
	member Member
	// advanced is when the counter last grew, by this VM's monotonic clock.
	advanced time.Time
	state    State // as last noted, for the time line
	// listedLeaving says that the platform's list shows the VM as leaving.
	listedLeaving bool
	// peerHas maps a member to the details version that this peer is known to have.
	peerHas map[string]seen
}

// seen names one version of a member's details.
type seen struct {
	incarnation int64
	details     uint64
}

func (s seen) atLeast(o seen) bool {
	return s.incarnation > o.incarnation || s.incarnation == o.incarnation && s.details >= o.details
}

func versionOf(m Member) seen { return seen{m.Incarnation, m.DetailsVersion} }

// stateAt derives the state from the time since the counter last grew.
func (r *record) stateAt(now time.Time) State {
	switch silent := now.Sub(r.advanced); {
	case silent >= DeadAfter:
		return Dead
	case silent >= SuspectAfter:
		return Suspect
	case r.listedLeaving || r.member.State == Draining:
		return Draining
	default:
		return Alive
	}
}

// merge takes a newer entry of a digest. It reports whether it was newer.
func (r *record) merge(m Member, now time.Time) bool {
	old := r.member
	newer := m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.Counter > old.Counter
	if m.Incarnation > old.Incarnation {
		r.listedLeaving = false // the list lags behind the VM that was replaced
		r.peerHas = nil
		old = Member{}
	}
	if !newer {
		r.mergeDetails(m)
		return false
	}
	details, version := m, m.DetailsVersion
	if !m.HasDetails || m.DetailsVersion < old.DetailsVersion {
		details, version = old, old.DetailsVersion
	}
	r.member = m
	r.member.Domains, r.member.Leaving, r.member.Shards = details.Domains, details.Leaving, details.Shards
	r.member.DetailsVersion, r.member.HasDetails = version, false
	r.advanced = now
	return true
}

// mergeDetails takes details that arrive later than the counter.
func (r *record) mergeDetails(m Member) {
	if m.HasDetails && m.Incarnation == r.member.Incarnation && m.DetailsVersion > r.member.DetailsVersion {
		r.member.Domains, r.member.Leaving, r.member.Shards = m.Domains, m.Leaving, m.Shards
		r.member.DetailsVersion = m.DetailsVersion
	}
}

// brief returns the entry without details.
func brief(m Member) Member {
	m.Domains, m.Leaving, m.Shards, m.HasDetails = nil, nil, nil, false
	return m
}

func byID(a, b Member) int { return strings.Compare(a.ID, b.ID) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
