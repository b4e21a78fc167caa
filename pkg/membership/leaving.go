package membership

import "time"

// ReportLeaving reports the target as leaving: this VM saw it leaving or refusing
// work. A new report triggers a heartbeat round at once; it expires after LeavingTTL.
func (m *Membership) ReportLeaving(target string) {
	m.mu.Lock()
	changed := m.recordLeaving([]string{target}, m.checkClock())
	m.mu.Unlock()
	m.announceLeaving(changed)
}

// recordLeaving records the targets as leaving or extends their expiry, and reports
// whether this VM had no report of its own for one of them. m.mu must be held.
func (m *Membership) recordLeaving(targets []string, now time.Time) bool {
	changed := false
	for _, t := range targets {
		if _, ok := m.ownLeavingExpiry[t]; !ok {
			changed = true
		}
		m.ownLeavingExpiry[t] = now.Add(LeavingTTL)
		m.leavingExpiry[t] = now.Add(LeavingTTL)
	}
	return changed
}

// announceLeaving requests a heartbeat round and notifies the OnChange callbacks if
// there is a new report. m.mu must not be held.
func (m *Membership) announceLeaving(changed bool) {
	if changed {
		m.requestRound()
		m.notifyChange()
	}
}

// expireLeaving removes expired reports. m.mu must be held.
func (m *Membership) expireLeaving(now time.Time) {
	for _, reports := range []map[string]time.Time{m.ownLeavingExpiry, m.leavingExpiry} {
		for t, until := range reports {
			if now.After(until) {
				delete(reports, t)
			}
		}
	}
}

// LeavingTargets returns the targets with an unexpired report from any VM,
// including VMs that have died since they reported.
func (m *Membership) LeavingTargets() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkClock()
	out := make(map[string]bool, len(m.leavingExpiry))
	for t, until := range m.leavingExpiry {
		if !now.After(until) {
			out[t] = true
		}
	}
	return out
}
