package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Operators evacuate a failure domain by a key below Options.EvacuationPrefix that ends in its
// name, and end the evacuation by deleting the key. On the workers of an evacuated failure
// domain no task starts, and long-running tasks move away from it; other tasks run to their
// end. See docs/design/evacuation.md.

// Timings of evacuations, as shares of Options.EvacuationBound.
const (
	// minEvacuationBound bounds the bound from below: with a shorter one, starts would wait
	// for the store most of the time.
	minEvacuationBound = time.Second
	// evacuationPollShare is the wait of a poll for changes. The prefix is read again after
	// each poll, so this is also about the age at which the state is confirmed.
	evacuationPollShare = 0.1
	// evacuationMarginShare, and the drift of a worker's clock since it was last read, are
	// left between the deadline of a start order and the bound.
	evacuationMarginShare = 0.05
	// minStartTTLShare is the least time for which a start order must be valid to be sent.
	minStartTTLShare = 0.2
)

// Return of workers that may be cold, once the evacuation of their failure domain has ended.
const (
	// returnSteps and returnStepInterval: a quarter of the workers returns at once, the others
	// within 3 s. Urgent tasks last about as long, so the warm workers take urgent work of the
	// backlog meanwhile.
	returnSteps        = 4
	returnStepInterval = time.Second
	// coldPenalty exceeds the penalty for failed runs: maxFailedJobsPerWorker of them eject a
	// worker.
	coldPenalty = 8
)

// maxFormerDomains bounds the failure domains that are kept of one incarnation of a worker.
const maxFormerDomains = 8

// evacuationState is what the owner knows of evacuations; the owner's lock guards it.
type evacuationState struct {
	domains        map[string]bool   // evacuated failure domains
	confirmedAt    time.Duration     // when the latest read of them was sent
	machineDomains map[string]string // failure domain of the latest worker of each machine
}

// evacuationKeys is the result of a read of the evacuation prefix.
type evacuationKeys struct {
	domains  map[string]bool
	sentAt   time.Duration
	revision int64
}

// evacuationsEnabled reports whether the deployment has evacuations.
func (o *Owner) evacuationsEnabled() bool { return o.opts.EvacuationPrefix != "" }

func (o *Owner) evacuationBound() time.Duration {
	return max(minEvacuationBound, o.opts.EvacuationBound)
}

// share returns a share of a duration.
func share(d time.Duration, s float64) time.Duration { return time.Duration(s * float64(d)) }

// listEvacuations reads the evacuation prefix.
func (o *Owner) listEvacuations() (evacuationKeys, error) {
	keys := evacuationKeys{domains: map[string]bool{}, sentAt: o.opts.Clock()}
	var err error
	keys.revision, err = o.listPrefix(o.opts.EvacuationPrefix, func(e platform.Entry) {
		keys.domains[strings.TrimPrefix(e.Key, o.opts.EvacuationPrefix)] = true
	})
	return keys, err
}

// watchEvacuations keeps the evacuated failure domains in sync with the store. The prefix is
// read after each poll, whatever the answer was: a watch that has gone silent then delays
// the state by one poll, and the state is known to be current when the read was sent. While
// the store is unreachable, the last known state remains in force.
func (o *Owner) watchEvacuations(after int64) {
	pause := storeRetryDelay
	for o.ctx.Err() == nil {
		pollErr := o.pollEvacuations(after)
		keys, err := o.listEvacuations()
		if err == nil {
			after = keys.revision
			o.recordWatchAnswer(o.opts.EvacuationPrefix)
			o.mu.Lock()
			o.applyEvacuations(keys.domains, keys.sentAt)
			o.mu.Unlock()
		} else if o.ctx.Err() == nil {
			o.opts.Log.V(1).Info("failed to read the evacuated failure domains", "reason", err.Error())
		}
		if pollErr == nil && err == nil {
			pause = storeRetryDelay
			continue
		}
		wait.Sleep(o.ctx, pause)
		pause = min(2*pause, maxStoreRetryDelay)
	}
}

// pollEvacuations waits for a change of the evacuation prefix. Evacuations that begin are
// applied at once.
func (o *Owner) pollEvacuations(after int64) error {
	d := share(o.evacuationBound(), evacuationPollShare)
	sentAt := o.opts.Clock()
	ctx, cancel := context.WithTimeout(o.ctx, d+storeTimeout)
	defer cancel()
	changes, err := o.opts.Store.Poll(ctx, o.opts.EvacuationPrefix, after, d)
	if err != nil {
		return err
	}
	begun := map[string]bool{}
	for _, e := range changes.Events {
		if !e.Deleted {
			begun[strings.TrimPrefix(e.Entry.Key, o.opts.EvacuationPrefix)] = true
		}
	}
	if len(begun) > 0 {
		o.mu.Lock()
		maps.Copy(begun, o.evacuations.domains)
		o.applyEvacuations(begun, o.evacuations.confirmedAt)
		o.mu.Unlock()
	}
	if len(changes.Events) == 0 {
		wait.Sleep(o.ctx, d-(o.opts.Clock()-sentAt)) // the answer may come early
	}
	return nil
}

// applyEvacuations replaces the evacuated failure domains by those that a read sent at
// confirmedAt has found; the lock is held.
func (o *Owner) applyEvacuations(domains map[string]bool, confirmedAt time.Duration) {
	before := o.evacuations.domains
	o.evacuations.domains, o.evacuations.confirmedAt = domains, confirmedAt
	if maps.Equal(before, domains) {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if !before[domain] {
			o.beginEvacuation(domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(before)) {
		if !domains[domain] {
			o.endEvacuation(domain)
		}
	}
	o.lastScanAt = 0 // the next cycle moves long-running tasks
	o.triggerCycle()
}

// beginEvacuation withdraws the starts on the workers of a failure domain; the lock is held.
func (o *Owner) beginEvacuation(domain string) {
	workers, runs := 0, 0
	known := map[string]bool{}
	var unsent []*run
	for _, w := range o.sortedWorkers() {
		if w.Zone != "" {
			known[w.Zone] = true
		}
		if domain == "" || !w.inDomain(domain) {
			continue
		}
		workers++
		w.returnsAt = 0
		for r := range w.runs {
			runs++
			if !r.startSent() {
				unsent = append(unsent, r)
			}
		}
	}
	for _, r := range unsent {
		if _, present := r.worker.runs[r]; present { // it may have been withdrawn with its gang
			o.countWithheldStart()
			o.withdrawStart(r, "its failure domain is evacuated")
		}
	}
	o.opts.Metrics.Event("evacuation_began")
	o.opts.Log.Info("evacuation of a failure domain begins", "domain", domain, "workers", workers, "runs", runs, "withdrawnStarts", len(unsent), "evacuated", len(o.evacuations.domains))
	switch {
	case domain == "":
		o.opts.Log.Info("evacuation key names no failure domain; it has no effect", "key", o.opts.EvacuationPrefix)
	case workers == 0:
		o.opts.Log.Info("evacuated failure domain has no workers; its name may be wrong", "domain", domain, "known", slices.Sorted(maps.Keys(known)))
	}
}

// endEvacuation lets the workers of a failure domain return in steps. Whole racks return
// together, as gangs may need one; the lock is held.
func (o *Owner) endEvacuation(domain string) {
	now, cold := o.opts.Clock(), 0
	returning := map[string][]*worker{} // by service
	for _, w := range o.sortedWorkers() {
		if domain == "" || !w.listed || !w.inDomain(domain) || o.evacuated(w) {
			continue
		}
		if w.coldUntil > now {
			cold++
		}
		returning[w.Service] = append(returning[w.Service], w)
	}
	workers := 0
	for _, all := range returning {
		workers += len(all)
		slices.SortStableFunc(all, func(a, b *worker) int { return cmp.Compare(a.Rack, b.Rack) })
		for i, w := range all {
			w.returnsAt = now + time.Duration(i*returnSteps/len(all))*returnStepInterval
		}
	}
	o.opts.Metrics.Event("evacuation_ended")
	o.opts.Log.Info("evacuation of a failure domain ends", "domain", domain, "workers", workers, "cold", cold, "evacuated", len(o.evacuations.domains))
}

// inDomain reports whether an entry of this incarnation of a worker names a failure domain.
// An entry of another writer may name a wrong one, so one that was named before counts too.
func (w *worker) inDomain(domain string) bool {
	return w.Zone == domain || slices.Contains(w.formerDomains, domain)
}

// evacuated reports whether the failure domain of a worker is evacuated; the lock is held.
func (o *Owner) evacuated(w *worker) bool {
	if len(o.evacuations.domains) == 0 {
		return false
	}
	return (w.Zone != "" && o.evacuations.domains[w.Zone]) ||
		slices.ContainsFunc(w.formerDomains, func(d string) bool { return o.evacuations.domains[d] })
}

// isEvacuated is evacuated without the lock held.
func (o *Owner) isEvacuated(w *worker) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evacuated(w)
}

// noteDomain records the failure domain and the cold time of an entry that a worker gets; the
// lock is held.
func (o *Owner) noteDomain(w *worker, entry WorkerEntry) {
	if !o.evacuationsEnabled() {
		return
	}
	if w.entryIncarnation != entry.Incarnation {
		w.formerDomains = nil
	} else if w.Zone != "" && w.Zone != entry.Zone && !slices.Contains(w.formerDomains, w.Zone) && len(w.formerDomains) < maxFormerDomains {
		w.formerDomains = append(w.formerDomains, w.Zone)
	}
	w.coldUntil = o.opts.Clock() + entry.ColdLeft
	if entry.ColdLeft == 0 {
		w.returnsAt = 0
	}
	if entry.Machine != "" {
		o.evacuations.machineDomains[entry.Machine] = entry.Zone
	}
}

// returnsLater reports whether a worker that may be cold is kept for later, after the end of an
// evacuation. Work that may use ejected workers may use it; the lock is held.
func (o *Owner) returnsLater(w *worker, now time.Duration) bool {
	return now < w.returnsAt && o.ruleEnabled(RuleColdWorkersLast)
}

// coldPenalty makes cold workers less preferred; the lock is held.
func (o *Owner) coldPenalty(w *worker, now time.Duration) int {
	if now < w.coldUntil && o.ruleEnabled(RuleColdWorkersLast) {
		return coldPenalty
	}
	return 0
}

// startTTL returns how long a start order sent now may be carried out. With evacuations it
// ends before a change of the evacuated failure domains that the owner may not know yet has
// to be in force. False means that the remaining time is too short: the start has to wait
// until the state is confirmed. The lock is held.
func (o *Owner) startTTL(now time.Duration) (ttl time.Duration, ok bool) {
	if !o.evacuationsEnabled() {
		return startOrderTTL, true
	}
	bound := o.evacuationBound()
	margin := share(bound, evacuationMarginShare) + share(maxClockReadingAge, maxClockDrift)
	ttl = min(startOrderTTL, o.evacuations.confirmedAt+bound-margin-now)
	return ttl, ttl >= share(bound, minStartTTLShare)
}

// deferStart queues a start again, as it is not known which failure domains are evacuated.
func (o *Owner) deferStart(w *worker, r *run) {
	o.opts.Metrics.Event("start_deferred")
	o.opts.Log.V(1).Info("start waits until the evacuated failure domains are known", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", w.ID)
	o.retryOrderLater(w, order{kind: orderStart, run: r})
}

// startSent reports whether the start order of a run was or may have been sent.
func (r *run) startSent() bool {
	return r.phase != phasePlanned && (r.phase != phaseStarting || r.startSentAt > 0)
}

// withdrawStart makes the task of a run whose start was not sent pending again, and the other
// members of its gang as well, so that they are placed elsewhere. Members whose start was sent
// are stopped; the lock is held.
func (o *Owner) withdrawStart(r *run, reason string) {
	g := r.group
	o.unassign(r)
	if g.spec().Gang {
		for _, member := range g.runs {
			if member.startSent() {
				o.stopRun(member, reason)
			} else {
				o.unassign(member)
			}
		}
	}
	o.triggerCycle()
}

func (o *Owner) countWithheldStart() { o.opts.Metrics.Event("start_withheld") }

// moveFromEvacuated stops long-running tasks on the workers of evacuated failure domains, so
// that they restart elsewhere. Other tasks end by themselves: nothing tells that their worker
// leaves, and a stop would lose work. The lock is held.
func (o *Owner) moveFromEvacuated() {
	if len(o.evacuations.domains) == 0 {
		return
	}
	for _, w := range o.sortedWorkers() {
		if !o.evacuated(w) {
			continue
		}
		for r := range w.runs {
			if r.phase != phaseRunning || !r.group.spec().LongRunning {
				continue
			}
			if r.group.spec().Gang {
				o.stopGroup(r.group, "its failure domain is evacuated")
			} else if r.group.mayMove(r) {
				o.stopRun(r, "its failure domain is evacuated")
			}
		}
	}
}

// mayMove reports whether at most MaxUnavailable tasks of a long-running step are unavailable
// once a run of it is stopped. Other than disruptionAllowed, it lets a task move that is not
// available itself.
func (g *taskGroup) mayMove(moved *run) bool {
	limit := g.spec().MaxUnavailable
	if limit == 0 {
		return true
	}
	left := 0
	for _, r := range g.runs {
		if r != moved && r.phase == phaseRunning && r.progressPercent >= fullyReadyPercent {
			left++
		}
	}
	return g.spec().Tasks-left <= limit
}

// anyToMove reports whether a long-running task is to be moved from an evacuated failure
// domain; the lock is held.
func (o *Owner) anyToMove() bool {
	if len(o.evacuations.domains) == 0 || o.automationHeld() || !o.ruleEnabled(RuleEvacuationMove) {
		return false
	}
	for _, w := range o.sortedWorkers() {
		if !o.evacuated(w) {
			continue
		}
		for r := range w.runs {
			if r.group.spec().LongRunning {
				return true
			}
		}
	}
	return false
}

// mayBringIntoService reports whether a standby machine may be fetched: it is certainly in no
// evacuated failure domain. The domain of a machine is known from its workers only.
func (o *Owner) mayBringIntoService(m Machine) bool {
	if !o.evacuationsEnabled() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, current := o.startTTL(o.opts.Clock()); !current {
		return false
	}
	if len(o.evacuations.domains) == 0 {
		return true
	}
	if w := o.workers[m.Worker]; w != nil && w.Zone != "" {
		return !o.evacuated(w)
	}
	domain := o.evacuations.machineDomains[m.ID]
	return domain != "" && !o.evacuations.domains[domain]
}
