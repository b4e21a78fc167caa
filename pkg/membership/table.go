package membership

import (
	"slices"
	"strings"
	"time"
)

// memberRecord is the state that this VM keeps for another member.
type memberRecord struct {
	member Member
	// advancedAt is when the counter last grew, by this VM's monotonic clock. A pause
	// of this VM resets it.
	advancedAt    time.Time
	recordedState State // as last written to the timeline
	// listedLeaving reports whether the platform's VM list shows the VM as leaving.
	listedLeaving bool
	// peerVersions maps member IDs to the details versions that this peer holds,
	// according to its last heartbeat.
	peerVersions map[string]detailsVersion
}

// detailsVersion identifies one version of a member's details.
type detailsVersion struct {
	incarnation int64
	version     uint64
}

func (v detailsVersion) atLeast(o detailsVersion) bool {
	return v.incarnation > o.incarnation || v.incarnation == o.incarnation && v.version >= o.version
}

func versionOf(m Member) detailsVersion { return detailsVersion{m.Incarnation, m.DetailsVersion} }

// stateAt derives the state from the time since the counter last grew.
func (r *memberRecord) stateAt(now time.Time) State {
	switch sinceAdvance := now.Sub(r.advancedAt); {
	case sinceAdvance >= DeadAfter:
		return Dead
	case sinceAdvance >= SuspectAfter:
		return Suspect
	case r.listedLeaving || r.member.State == Draining:
		return Draining
	default:
		return Alive
	}
}

// merge applies a digest entry if it has a newer incarnation or counter, and
// reports whether it has. An entry that is not newer may still bring newer details.
func (r *memberRecord) merge(m Member, now time.Time) bool {
	old := r.member
	newer := m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.Counter > old.Counter
	if m.Incarnation > old.Incarnation {
		r.listedLeaving = false // the VM list may still describe the previous incarnation
		r.peerVersions = nil
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
	r.advancedAt = now
	return true
}

// mergeDetails applies newer details from an entry of the current incarnation
// whose counter is not newer: the counter may have arrived without the details.
func (r *memberRecord) mergeDetails(m Member) {
	if m.HasDetails && m.Incarnation == r.member.Incarnation && m.DetailsVersion > r.member.DetailsVersion {
		r.member.Domains, r.member.Leaving, r.member.Shards = m.Domains, m.Leaving, m.Shards
		r.member.DetailsVersion = m.DetailsVersion
	}
}

// withoutDetails returns a copy of the entry that omits the details.
func withoutDetails(m Member) Member {
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
