package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// Limits from which the owner reports its own state.
const (
	// ownerDelayLimit is the duration or delay of a cycle, and of the wait for the
	// processor or the lock, that is reported.
	ownerDelayLimit = 300 * time.Millisecond
	// lateJobAge is the age from which a job that the owner learns of is reported.
	lateJobAge = time.Second
	// writeAttemptsLogged is the number of failed attempts to write a batch, or of
	// conflicts of a job in a row, between two reports.
	writeAttemptsLogged = 6
	// healthInterval is the time between two reports of the process.
	healthInterval = 10 * time.Second
	// usageLimit is the share of a limit of the process from which it is reported.
	usageLimit = 0.8
	// eventLinesPerSecond bounds the lines about single late or conflicting jobs.
	eventLinesPerSecond = 20
)

// cycleStats describes the latest placement cycle. It is written by the cycle loop.
type cycleStats struct {
	endedAt  time.Duration
	lockWait time.Duration
	live     int // jobs without a final state
	pending  int // groups to place
}

// cycleDelay returns how much later than requested a cycle begins.
func (o *Owner) cycleDelay(startedAt, tickDue time.Duration) time.Duration {
	late := startedAt - tickDue
	if requestedAt := time.Duration(o.cycleRequestedAt.Swap(0)); requestedAt > 0 {
		late = max(late, startedAt-requestedAt)
	}
	return max(0, late)
}

// reportCycle reports a placement cycle that began late by a delay.
func (o *Owner) reportCycle(startedAt, endedAt, late time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gap := startedAt - o.cycle.endedAt
	if o.cycle.endedAt == 0 {
		gap = 0
	}
	o.cycle.endedAt = endedAt
	o.opts.Metrics.Cycle(endedAt-startedAt, gap)
	if late <= ownerDelayLimit && endedAt-startedAt <= ownerDelayLimit {
		return
	}
	o.opts.Log.Info("placement cycle was slow or late", "tookMS", (endedAt - startedAt).Milliseconds(), "lateMS", late.Milliseconds(), "gapMS", gap.Milliseconds(),
		"lockWaitMS", o.cycle.lockWait.Milliseconds(), "live", o.cycle.live, "pending", o.cycle.pending, "workers", len(o.workers), "openWrites", len(o.batches))
}

// reportDelay reports that a timer fired late, as on a starved or suspended processor,
// or that the lock was held for long; the lock is held.
func (o *Owner) reportDelay(timerLate, lockWait time.Duration) {
	now := o.opts.Clock()
	if timerLate > ownerDelayLimit || lockWait > ownerDelayLimit {
		o.opts.Log.Info("owner was delayed", "timerLateMS", timerLate.Milliseconds(), "lockWaitMS", lockWait.Milliseconds(), "leaseValidMS", (o.validUntil() - now).Milliseconds())
	}
	if now >= o.validUntil() && o.ctx.Err() == nil {
		o.opts.Log.Info("ownership lease is not valid; orders and writes wait for its renewal", "expiredMS", (now - o.validUntil()).Milliseconds())
	}
}

// reportLateJob reports a job of which the owner learns; the lock is held.
func (o *Owner) reportLateJob(j *job, source jobSource, age time.Duration) {
	if source == sourceTakeover || source == sourceReload {
		return
	}
	o.opts.Metrics.JobKnown(string(source), age)
	if age >= lateJobAge && o.lateJobLines.allow(o.opts.Clock()) {
		o.opts.Log.Info("job became known late", "job", j.ID, "queue", j.Queue, "source", source, "ageMS", age.Milliseconds())
	}
}

// reportFirstPlacement reports the first placement of this owner; the lock is held.
func (o *Owner) reportFirstPlacement(now time.Duration) {
	if o.placedSinceStart {
		return
	}
	o.placedSinceStart = true
	since := now - o.ownership.vacantSince
	o.opts.Log.Info("first placement after the takeover", "sinceVacantMS", since.Milliseconds(), "sinceLoadedMS", (now - o.tookOverAt).Milliseconds())
	o.opts.Metrics.TakeoverPhase("first_placement", since)
}

// recordWatchAnswer records that the store has answered a watch.
func (o *Owner) recordWatchAnswer(prefix string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watchAnsweredAt[prefix] = o.opts.Clock()
}

// watchAge returns how long ago a watch was last answered; the lock is held.
func (o *Owner) watchAge(prefix string, now time.Duration) time.Duration {
	return now - max(o.watchAnsweredAt[prefix], o.tookOverAt)
}

// noteChange records the time of a change of a job's progress that is not stored yet;
// the lock is held.
func (o *Owner) noteChange(j *job) {
	now := o.opts.Clock()
	if _, unstored := o.dirty[j]; !unstored {
		j.unstoredSince = now
	}
	if j.writeInFlight && j.unwrittenSince == 0 {
		j.unwrittenSince = now
	}
}

// writeState describes the writes of job progress.
type writeState struct {
	open           int
	oldest         time.Duration // age of the oldest open write
	attempts       int           // most failed attempts of an open write
	lastError      string        // of that write
	oldestUnstored time.Duration // age of the oldest change that is not stored
}

// writeState returns the state of the writes; the lock is held.
func (o *Owner) writeState(now time.Duration) writeState {
	s := writeState{open: len(o.batches)}
	for b := range o.batches {
		s.oldest = max(s.oldest, now-b.takenAt)
		if b.attempts > s.attempts {
			s.attempts, s.lastError = b.attempts, b.lastError
		}
	}
	for j := range o.dirty {
		s.oldestUnstored = max(s.oldestUnstored, now-j.unstoredSince)
	}
	return s
}

// recordFailedWrite counts a failed attempt to write a batch.
func (o *Owner) recordFailedWrite(b *progressBatch, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b.attempts++
	b.lastError = err.Error()
	if b.attempts%writeAttemptsLogged == 0 {
		o.opts.Log.Info("job progress is still not stored", "jobs", len(b.jobs), "first", b.jobs[0].ID, "attempts", b.attempts,
			"sinceMS", (o.opts.Clock() - b.takenAt).Milliseconds(), "reason", b.lastError)
	}
}

// reportConflict reports a batch that conflicted with the store; the lock is held.
func (o *Owner) reportConflict(b *progressBatch) {
	most := 0
	for _, j := range b.jobs {
		j.conflicts++
		most = max(most, j.conflicts)
	}
	if o.conflictLines.allow(o.opts.Clock()) {
		o.opts.Log.Info("job progress conflicted with the store; writing it again", "jobs", len(b.jobs), "first", b.jobs[0].ID, "inARow", most)
	}
}

// lineBudget bounds the log lines about one kind of event.
type lineBudget struct {
	second time.Duration
	lines  int
}

// allow reports whether one more line may be written now.
func (l *lineBudget) allow(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= eventLinesPerSecond
}

// healthLoop reports what the process uses until ownership ends.
func (o *Owner) healthLoop() {
	if o.opts.ProcessUsage == nil {
		return
	}
	before, at := o.opts.ProcessUsage(), o.opts.Clock()
	for wait.Sleep(o.ctx, healthInterval) {
		u, now := o.opts.ProcessUsage(), o.opts.Clock()
		o.opts.Log.Info("owner health", "openFiles", u.OpenFiles, "openFileLimit", u.OpenFileLimit, "heapMiB", u.HeapBytes>>20, "memoryMiB", u.MemoryBytes>>20, "memoryLimitMiB", u.MemoryLimit>>20,
			"goroutines", u.Goroutines, "cores", (u.CPUTime-before.CPUTime).Seconds()/max(time.Millisecond, now-at).Seconds(), "gcCycles", u.GCCycles-before.GCCycles,
			"maxGCPauseMS", u.MaxGCPause.Milliseconds(), "maxSchedulingDelayMS", u.MaxSchedulingDelay.Milliseconds())
		o.reportUsage("open files", u.OpenFiles, u.OpenFileLimit)
		o.reportUsage("memory", u.MemoryBytes, u.MemoryLimit)
		before, at = u, now
	}
}

// reportUsage reports a resource that is close to its limit.
func (o *Owner) reportUsage(resource string, used, limit int64) {
	if limit > 0 && float64(used) > usageLimit*float64(limit) {
		o.opts.Log.Info("process is close to a limit", "resource", resource, "used", used, "limit", limit)
	}
}
