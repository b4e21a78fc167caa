package membership

import "time"

// ReportLeaving says that this VM saw the target leaving or refusing. The
// report is sent to the other VMs at once and expires after LeavingTTL.
func (m *Membership) ReportLeaving(target string) {
	m.mu.Lock()
	changed := m.reportLeaving([]string{target}, m.checkPause())
	m.mu.Unlock()
	m.afterLeaving(changed)
}

// reportLeaving notes the targets and reports whether one is new; m.mu is held.
func (m *Membership) reportLeaving(targets []string, now time.Time) bool {
	changed := false
	for _, t := range targets {
		if _, ok := m.ownLeaving[t]; !ok {
			changed = true
		}
		m.ownLeaving[t] = now.Add(LeavingTTL)
		m.leaving[t] = now.Add(LeavingTTL)
	}
	return changed
}

func (m *Membership) afterLeaving(changed bool) {
	if changed {
		m.hurry()
		m.changed()
	}
}

// expireLeaving drops old reports; m.mu is held.
func (m *Membership) expireLeaving(now time.Time) {
	for _, reports := range []map[string]time.Time{m.ownLeaving, m.leaving} {
		for t, until := range reports {
			if now.After(until) {
				delete(reports, t)
			}
		}
	}
}

// LeavingTargets returns the targets that this VM or another reported as
// leaving, including those of VMs that have died since.
func (m *Membership) LeavingTargets() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkPause()
	out := make(map[string]bool, len(m.leaving))
	for t, until := range m.leaving {
		if !now.After(until) {
			out[t] = true
		}
	}
	return out
}
