package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Jobs that do not fit into the memory of the VM were accepted by a larger VM, or by an earlier
// version. They are offloaded: the owner holds an entry of each, and loads it when there is room.
const (
	reloadInterval = time.Second
	// reloadLead is how long before its due time a job goes before others that are not due.
	reloadLead = 5 * time.Second
	// blockedAfter is how long a job that finds no place stays loaded while others of its
	// priority wait to be loaded.
	blockedAfter = 5 * time.Second
	// maxReloads is the number of jobs that are loaded in one interval.
	maxReloads = 64
)

// offloadedJob is the entry of a live job whose records are only in the store. None of its tasks
// is assigned to a worker.
type offloadedJob struct {
	id              string
	queue           workload.QueueRef
	workspace       string
	priority        int
	urgentNeed      int64 // accelerators that it needs if it is urgent
	acceptedUnixMS  int64
	dueUnixMS       int64 // of its next occurrence, if none has begun; 0 if it is due
	reserved        int64 // bytes to reserve for it when it is loaded
	offloadedAt     time.Duration
	started         bool
	cancelRequested bool
	wanted          bool // a worker lists the end of a run of it
	blocked         bool // when it was loaded last, nothing of it found a place for blockedAfter
	loaded          bool // the entry serves to compare a job that is loaded
}

func newOffloadedJob(j *workload.Job, p *workload.Progress) *offloadedJob {
	f := &offloadedJob{
		id: j.ID, queue: j.QueueRef(), workspace: j.Workspace, priority: j.Class.Priority, acceptedUnixMS: j.AcceptedUnixMS,
		reserved: JobMemory(j), started: p.Started(),
	}
	if f.priority == 0 {
		f.urgentNeed = maxStepAccelerators(j)
	}
	if j.HasDueTimes() && len(p.OpenOccurrences()) == 0 {
		f.dueUnixMS = j.DueUnixMS(nextUntouched(j, p, 0))
	}
	return f
}

// rank orders jobs that do not all fit: first those that must be loaded, then those that are due,
// by priority. Jobs that found no place go after others of their priority, and take turns.
func (f *offloadedJob) rank(unixMS int64) int {
	switch {
	case f.mustLoad():
		return math.MinInt
	case f.dueUnixMS > unixMS+reloadLead.Milliseconds():
		return math.MaxInt
	case f.blocked && f.loaded:
		return 3*f.priority + 2
	case f.blocked:
		return 3*f.priority + 1
	}
	return 3 * f.priority
}

// mustLoad reports whether a job is loaded although it does not fit.
func (f *offloadedJob) mustLoad() bool { return f.cancelRequested || f.wanted }

// byRank returns the order in which jobs are loaded.
func byRank(unixMS int64) func(a, b *offloadedJob) int {
	return func(a, b *offloadedJob) int {
		byDue := 0
		if a.rank(unixMS) == math.MaxInt {
			byDue = cmp.Compare(a.dueUnixMS, b.dueUnixMS)
		}
		return cmp.Or(cmp.Compare(a.rank(unixMS), b.rank(unixMS)), byDue, cmp.Compare(a.offloadedAt, b.offloadedAt),
			cmp.Compare(a.acceptedUnixMS, b.acceptedUnixMS), cmp.Compare(a.id, b.id))
	}
}

// knows reports whether a job is loaded, offloaded or has ended; the lock is held.
func (o *Owner) knows(id string) bool {
	return o.jobs[id] != nil || o.offloaded[id] != nil || o.released[id] != nil
}

// fits reports whether there is memory for jobs that take this much. Jobs of which only an entry
// is held leave half of it for others. The lock is held.
func (o *Owner) fits(bytes int64) bool {
	entries := int64(len(o.offloaded))*offloadedMemory + int64(len(o.released))*releasedMemory
	return o.reserved+bytes+min(entries, o.jobMemoryLimit()/2) <= o.jobMemoryLimit()
}

// addOffloaded adds the entry of a job; the lock is held.
func (o *Owner) addOffloaded(f *offloadedJob) {
	f.offloadedAt = o.opts.Clock()
	o.offloaded[f.id] = f
	o.offloadedBytes += f.reserved
	o.urgentNeed[f.workspace] += f.urgentNeed
}

// cancelOffloaded records a cancel request. What the job would take is free for others; it is
// loaded to end. The lock is held.
func (o *Owner) cancelOffloaded(f *offloadedJob) {
	o.offloadedBytes -= f.reserved
	f.cancelRequested, f.reserved = true, 0
}

// removeOffloaded removes the entry of a job; the lock is held.
func (o *Owner) removeOffloaded(f *offloadedJob) {
	delete(o.offloaded, f.id)
	o.offloadedBytes -= f.reserved
	o.urgentNeed[f.workspace] -= f.urgentNeed
}

// mayOffload reports whether the store has all that is known of a job, and it has no run.
func (j *job) mayOffload() bool { return j.settled() && !j.hasRuns() && !j.progress.HasAssigned() }

// offload keeps only an entry of a live job in memory; the lock is held.
func (o *Owner) offload(j *job) {
	o.removeLive(j)
	delete(o.jobs, j.ID)
	o.reserve(j, 0)
	f := newOffloadedJob(j.Job, j.progress)
	f.blocked = j.blocked(o.opts.Clock())
	o.addOffloaded(f)
}

// reloadLoop loads offloaded jobs when there is room, or when they go before jobs that are loaded.
func (o *Owner) reloadLoop() {
	for wait.Sleep(o.ctx, reloadInterval) {
		for _, f := range o.chooseReloads() {
			if err := o.reload(f); err != nil && o.ctx.Err() == nil {
				o.opts.Log.Info("could not load an offloaded job; retrying", "job", f.id, "reason", err.Error())
			}
		}
	}
}

// chooseReloads returns the offloaded jobs to load, and offloads others that go after them.
func (o *Owner) chooseReloads() (chosen []*offloadedJob) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.offloaded) == 0 || !o.loaded {
		return nil
	}
	unixMS := o.opts.Now().UnixMilli()
	var last []*offloadedJob // loaded jobs, those that go last first; nil before it is needed
	planned := int64(0)
	for _, f := range o.firstOffloaded(unixMS) {
		alone := len(o.live) == 0 && planned == 0 // it is loaded whatever it takes
		for !f.mustLoad() && !alone && !o.fits(planned+f.reserved) {
			if last == nil {
				last = o.loadedByRank(unixMS)
			}
			if len(last) == 0 || last[0].rank(unixMS) <= f.rank(unixMS) {
				return chosen
			}
			o.offload(o.jobs[last[0].id])
			last = last[1:]
		}
		planned += f.reserved
		chosen = append(chosen, f)
	}
	return chosen
}

// firstOffloaded returns the first maxReloads offloaded jobs by rank; the lock is held.
func (o *Owner) firstOffloaded(unixMS int64) []*offloadedJob {
	compare := byRank(unixMS)
	first := make([]*offloadedJob, 0, maxReloads+1)
	for _, f := range o.offloaded {
		if len(first) == maxReloads && compare(f, first[maxReloads-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, f, compare)
		first = slices.Insert(first, i, f)
		first = first[:min(maxReloads, len(first))]
	}
	return first
}

// loadedByRank returns the loaded jobs that may be offloaded, those that go last first; the lock
// is held.
func (o *Owner) loadedByRank(unixMS int64) []*offloadedJob {
	all := make([]*offloadedJob, 0, len(o.live))
	now := o.opts.Clock()
	for _, j := range o.live {
		if j.mayOffload() {
			f := newOffloadedJob(j.Job, j.progress)
			f.blocked, f.loaded = j.blocked(now), true
			all = append(all, f)
		}
	}
	compare := byRank(unixMS)
	slices.SortFunc(all, func(a, b *offloadedJob) int { return compare(b, a) })
	return all
}

// blocked reports whether no task of a job without runs has found a place for blockedAfter. A job
// that no cycle has seen yet has no task that is ready, and is not blocked.
func (j *job) blocked(now time.Duration) bool {
	waited := false
	for g := range j.groups() {
		if g.complete() || !g.ready {
			continue
		}
		if now-g.readySince < blockedAfter {
			return false
		}
		waited = true
	}
	return waited
}

// reload reads the records of an offloaded job and adds it again.
func (o *Owner) reload(f *offloadedJob) error {
	if !o.awaitOwnership() {
		return o.ctx.Err()
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	record, err := o.opts.Store.Get(ctx, JobKey(f.id))
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return err
	}
	progress, err := o.opts.Store.Get(ctx, ProgressKey(f.id))
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeOffloaded(f)
	if record.Version == 0 {
		o.opts.Log.Error(errkind.New(errkind.NotFound, "no such record"), "record of an offloaded job is gone", "job", f.id)
		return nil
	}
	o.applyJob(record, progress, sourceReload)
	if j := o.jobs[f.id]; j != nil {
		j.cancelRequested = f.cancelRequested
		j.noteAdopted(o.opts.Clock())
	}
	o.triggerCycle()
	return nil
}
