package sched

import (
	"slices"
	"time"
)

// A worker whose tasks all fail is free again at once, so it would attract and fail
// most short jobs. It is quarantined after several jobs in a row failed on it that
// had failed on no other worker. It returns on probation: one more failure
// quarantines it again for twice as long.
const (
	quarantineFailures = 4
	minQuarantineTime  = 5 * time.Minute
	maxQuarantineTime  = 2 * time.Hour
	// maxQuarantineShare limits the workers in quarantine at a time, because a fault
	// common to all workers must not quarantine the whole fleet.
	maxQuarantineShare = 0.10
)

// workerHealth counts the consecutive failures of a worker.
type workerHealth struct {
	failures         int
	lastJob          string
	quarantines      int // quarantines since the last success
	quarantinedUntil time.Time
	probation        bool
	proposedAt       time.Time
}

// resetFailures resets the health of the job's workers after a success.
func (j *job) resetFailures() {
	for _, s := range j.allocs {
		s.worker.health = workerHealth{}
	}
}

// recordFailure counts a failure of the job against the blamed worker. It ignores jobs
// that already failed on another worker and repeated failures of the same job.
func (d *Domain) recordFailure(j *job, blame string) {
	w := d.workersByID[blame]
	if w == nil || !d.rules.Quarantine || len(j.AvoidWorkers) > 0 || w.health.lastJob == string(j.ID) {
		return
	}
	w.health.failures++
	w.health.lastJob = string(j.ID)
	if w.health.failures >= quarantineFailures || w.health.probation {
		d.suspects = append(d.suspects, w)
	}
}

func (d *Domain) quarantinedCount() int { return len(d.inQuarantine) }

// updateQuarantines quarantines suspects and releases workers whose quarantine has
// ended.
func (d *Domain) updateQuarantines(now time.Time, out *[]Action) {
	for _, w := range d.suspects {
		if !w.quarantined && float64(d.quarantinedCount()+1) <= max(1, maxQuarantineShare*float64(len(d.workers))) {
			d.quarantine(now, w, false, out)
		}
	}
	d.suspects = d.suspects[:0]
	for _, w := range slices.Clone(d.inQuarantine) {
		if now.Before(w.health.quarantinedUntil) {
			d.requestDecide(w.health.quarantinedUntil)
			continue
		}
		d.setQuarantined(w, false)
		w.health.failures, w.health.probation, w.health.lastJob = 0, true, ""
		*out = append(*out, Action{Type: ActionUnquarantine, Worker: w.ID, Reason: "probation after its time in quarantine"})
	}
}

// quarantine quarantines the worker, or proposes it during an automation hold.
func (d *Domain) quarantine(now time.Time, w *worker, confirmed bool, out *[]Action) {
	a := Action{Type: ActionQuarantine, Worker: w.ID, Reason: "tasks of several jobs failed in a row that failed on no other worker"}
	if _, held := d.doc.Held("", now); held && !confirmed {
		if w.health.proposedAt.IsZero() || now.Sub(w.health.proposedAt) >= proposalInterval {
			w.health.proposedAt, a.Proposal = now, true
			*out = append(*out, a)
		}
		return
	}
	w.health.quarantinedUntil = now.Add(min(minQuarantineTime<<min(w.health.quarantines, 8), maxQuarantineTime))
	w.health.quarantines++
	d.setQuarantined(w, true)
	d.requestDecide(w.health.quarantinedUntil)
	*out = append(*out, a)
}

func (d *Domain) setQuarantined(w *worker, bad bool) {
	w.quarantined = bad
	if bad {
		d.inQuarantine = append(d.inQuarantine, w)
	} else {
		d.inQuarantine = slices.DeleteFunc(d.inQuarantine, func(o *worker) bool { return o == w })
	}
	d.refreshIndexes(w)
	d.pinsStale, d.capacityFreed = true, true
}
