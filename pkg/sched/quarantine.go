package sched

import (
	"slices"
	"time"
)

// A worker whose tasks all fail is fast and always free, so it would attract and
// fail most short work. It is taken out after failures of several jobs that have
// failed nowhere else, and comes back on probation: one more failure takes it out
// again for twice as long.
const (
	quarantineFailures = 4
	quarantineTime     = 5 * time.Minute
	quarantineMaxTime  = 2 * time.Hour
	// quarantineShare bounds the workers that may be out at a time, because a
	// fault common to all workers must not take the fleet out.
	quarantineShare = 0.10
)

// health counts a worker's failures in a row.
type health struct {
	failures  int
	lastJob   string
	times     int // quarantines since the last success
	until     time.Time
	probation bool
	proposed  time.Time
}

// noteSuccess resets the failures of the job's workers.
func (j *job) noteSuccess() {
	for _, s := range j.spots {
		s.w.health = health{}
	}
}

// noteFailure counts a failure that the worker is blamed for.
func (d *Domain) noteFailure(j *job, blame string) {
	w := d.byID[blame]
	if w == nil || !d.rules.Quarantine || len(j.AvoidWorkers) > 0 || w.health.lastJob == string(j.ID) {
		return
	}
	w.health.failures++
	w.health.lastJob = string(j.ID)
	if w.health.failures >= quarantineFailures || w.health.probation {
		d.suspects = append(d.suspects, w)
	}
}

func (d *Domain) quarantined() int { return len(d.out) }

// judge quarantines suspects and releases workers whose time is over.
func (d *Domain) judge(now time.Time, out *[]Action) {
	for _, w := range d.suspects {
		if !w.bad && float64(d.quarantined()+1) <= max(1, quarantineShare*float64(len(d.workers))) {
			d.quarantine(now, w, false, out)
		}
	}
	d.suspects = d.suspects[:0]
	for _, w := range slices.Clone(d.out) {
		if now.Before(w.health.until) {
			d.wakeAt(w.health.until)
			continue
		}
		d.setBad(w, false)
		w.health.failures, w.health.probation, w.health.lastJob = 0, true, ""
		*out = append(*out, Action{Type: ActionUnquarantine, Worker: w.ID, Reason: "probation after its time in quarantine"})
	}
}

// quarantine takes the worker out, or proposes to while automation is held.
func (d *Domain) quarantine(now time.Time, w *worker, confirmed bool, out *[]Action) {
	a := Action{Type: ActionQuarantine, Worker: w.ID, Reason: "tasks of several jobs failed in a row that failed on no other worker"}
	if _, held := d.doc.Held("", now); held && !confirmed {
		if w.health.proposed.IsZero() || now.Sub(w.health.proposed) >= proposalInterval {
			w.health.proposed, a.Proposal = now, true
			*out = append(*out, a)
		}
		return
	}
	w.health.until = now.Add(min(quarantineTime<<min(w.health.times, 8), quarantineMaxTime))
	w.health.times++
	d.setBad(w, true)
	d.wakeAt(w.health.until)
	*out = append(*out, a)
}

func (d *Domain) setBad(w *worker, bad bool) {
	w.bad = bad
	if bad {
		d.out = append(d.out, w)
	} else {
		d.out = slices.DeleteFunc(d.out, func(o *worker) bool { return o == w })
	}
	d.refresh(w)
	d.pinsStale, d.freed = true, true
}
