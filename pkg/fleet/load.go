package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// loadState reads all jobs, their progress, the workers and the evacuations from the store. It
// returns the revisions from which jobs, workers and evacuations have to be watched.
func (o *Owner) loadState() (jobsFrom, workersFrom, evacuationsFrom int64, err error) {
	startedAt := o.opts.Clock()
	o.mu.Lock()
	o.tookOverAt = startedAt // leases of workers and rates of arrivals count from it while it loads
	o.mu.Unlock()
	var evacuations evacuationKeys
	var readings errgroup.Group
	workersKnown := make(chan struct{})
	readings.Go(func() (err error) {
		jobsFrom, err = o.loadJobs(workersKnown)
		return err
	})
	readings.Go(func() (err error) {
		defer close(workersKnown)
		workersFrom, err = o.loadWorkers()
		return err
	})
	readings.Go(o.readVMs)
	if o.evacuationsEnabled() {
		readings.Go(func() (err error) {
			evacuations, err = o.listEvacuations()
			return err
		})
	}
	if err := readings.Wait(); err != nil {
		return 0, 0, 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tookOverAt = o.opts.Clock()
	for _, j := range o.jobs {
		j.noteAdopted(o.tookOverAt)
		o.adoptAssignments(j)
	}
	o.applyEvacuations(evacuations.domains, evacuations.sentAt)
	o.loaded = true
	now := o.opts.Clock()
	o.opts.Log.Info("state loaded from the store", "jobs", len(o.jobs), "ended", len(o.released), "live", len(o.live), "offloaded", len(o.offloaded), "reservedBytes", o.reserved, "workers", len(o.workers),
		"tookMS", (now - startedAt).Milliseconds(), "sinceVacantMS", (now - o.ownership.vacantSince).Milliseconds())
	o.opts.Metrics.TakeoverPhase("loaded", now-o.ownership.vacantSince)
	return jobsFrom, workersFrom, evacuations.revision, nil
}

// loadWorkers reads the workers. It returns the revision from which they have to be watched.
func (o *Owner) loadWorkers() (revision int64, err error) {
	var workers []platform.Entry
	revision, err = o.listPrefix(o.opts.WorkerPrefix, func(e platform.Entry) { workers = append(workers, e) })
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range workers {
		o.applyWorker(e.Key, e.Value)
	}
	return revision, err
}

// loadJobs reads the records of jobs and their progress side by side, both in the order of their
// keys, so that a few pages of them are in memory at a time. Only the owner writes progress, so the
// two lists match although they are not a snapshot. It applies none before workersKnown
// is closed, as the memory for jobs depends on the workers. It returns the revision from which the
// jobs have to be watched.
func (o *Owner) loadJobs(workersKnown <-chan struct{}) (revision int64, err error) {
	pages := make(chan []platform.Entry)
	readings, ctx := errgroup.WithContext(o.ctx)
	readings.Go(func() error {
		_, err := o.listPages(ctx, ProgressPrefix, func(page []platform.Entry) error { return send(ctx, pages, page) })
		if err == nil {
			close(pages)
		}
		return err
	})
	readings.Go(func() (err error) {
		progress := progressReader{pages: pages}
		revision, err = o.listPages(ctx, JobPrefix, func(page []platform.Entry) error {
			if _, err := receive(ctx, workersKnown); err != nil {
				return err
			}
			for _, e := range page {
				id, _ := parseJobKey(e.Key)
				stored, err := progress.find(ctx, ProgressKey(id))
				if err != nil {
					return err
				}
				o.mu.Lock()
				o.applyJob(e, stored, sourceTakeover)
				o.mu.Unlock()
			}
			return nil
		})
		if err != nil {
			return err
		}
		return progress.drain(ctx)
	})
	err = readings.Wait()
	return revision, err
}

// send sends a value unless ctx ends before.
func send[T any](ctx context.Context, c chan<- T, value T) error {
	select {
	case c <- value:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receive receives a value unless ctx ends before; it is the zero value if the channel is closed.
func receive[T any](ctx context.Context, c <-chan T) (value T, err error) {
	select {
	case value = <-c:
		return value, nil
	case <-ctx.Done():
		return value, ctx.Err()
	}
}

// progressReader finds progress records in a sequence of pages, which is closed after the last.
type progressReader struct {
	pages <-chan []platform.Entry
	page  []platform.Entry // what is left of the current one
}

// find returns the entry of a key, or an absent one. Keys have to be asked for in order. An error
// means that the pages have not all been read.
func (r *progressReader) find(ctx context.Context, key string) (platform.Entry, error) {
	for {
		for len(r.page) > 0 && r.page[0].Key < key {
			r.page = r.page[1:]
		}
		if len(r.page) > 0 && r.page[0].Key == key {
			return r.page[0], nil
		}
		if len(r.page) > 0 {
			return platform.Entry{}, nil
		}
		var err error
		if r.page, err = receive(ctx, r.pages); err != nil || len(r.page) == 0 {
			return platform.Entry{}, err
		}
	}
}

// drain reads the remaining pages, which hold nothing of a job that is stored.
func (r *progressReader) drain(ctx context.Context) error {
	for {
		if page, err := receive(ctx, r.pages); err != nil || len(page) == 0 {
			return err
		}
	}
}

// listPrefix reads all pages of a prefix and passes each entry to visit. It returns
// the revision of the first page, from which the prefix has to be watched.
func (o *Owner) listPrefix(prefix string, visit func(platform.Entry)) (int64, error) {
	return o.listPages(o.ctx, prefix, func(page []platform.Entry) error {
		for _, e := range page {
			visit(e)
		}
		return nil
	})
}

// listPages is listPrefix by pages that have entries; an error of visit ends it.
func (o *Owner) listPages(ctx context.Context, prefix string, visit func([]platform.Entry) error) (int64, error) {
	first, after := int64(0), ""
	for {
		callCtx, cancel := storecall.WithProgressTimeout(ctx, storeTimeout)
		page, err := o.opts.Store.List(callCtx, prefix, after, 0)
		cancel()
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		if len(page.Entries) == 0 {
			return first, nil
		}
		if err := visit(page.Entries); err != nil {
			return 0, err
		}
		if !page.More {
			return first, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// applyJob applies a job record or cancel request stored below JobPrefix; the lock
// is held. An absent progress entry has no version.
func (o *Owner) applyJob(e, progress platform.Entry, source jobSource) {
	id, cancel := parseJobKey(e.Key)
	if cancel {
		o.applyCancelRequest(id)
		return
	}
	if o.knows(id) {
		return
	}
	record, err := workload.DecodeJob(e.Value)
	if err != nil {
		o.opts.Log.Error(err, "job record cannot be used", "job", id)
		return
	}
	p := workload.NewProgress(record)
	if progress.Version != 0 {
		if p, err = workload.DecodeProgress(record, progress.Value); err != nil {
			o.opts.Log.Error(err, "progress record cannot be used", "job", id)
			return
		}
	}
	o.addJob(record, p, progress.Version, source)
}

// jobSource is how the owner learned of a job.
type jobSource string

const (
	sourceTakeover jobSource = "takeover" // read with the state of a former owner
	sourceNotified jobSource = "notified" // by the VM that accepted it
	sourceWatch    jobSource = "watch"    // by the watch on the store
	sourceList     jobSource = "list"     // when the watch was started again
	sourceReload   jobSource = "reload"   // from the store, after it was offloaded
)

// addJob adds a job unless it is known already; the lock is held.
func (o *Owner) addJob(record *workload.Job, p *workload.Progress, version int64, source jobSource) {
	id := record.ID
	if o.knows(id) {
		return
	}
	if o.opts.ObserveConfig != nil {
		o.opts.ObserveConfig(record.ConfigVersion)
	}
	age := o.opts.Now().UnixMilli() - record.AcceptedUnixMS
	acceptedAt := o.opts.Clock() - time.Duration(max(0, age))*time.Millisecond
	if source != sourceReload {
		o.noteAccepted(record, acceptedAt)
	}
	if source != sourceReload && !p.State.Final() && !p.HasAssigned() && len(o.live) > 0 && !o.fits(JobMemory(record)) {
		o.addOffloaded(newOffloadedJob(record, p))
		o.opts.Metrics.Event("job_offloaded")
		if o.offloadLines.allow(o.opts.Clock()) {
			o.opts.Log.Info("job does not fit into the memory of this VM; it is offloaded", "job", id, "queue", record.Queue, "workspace", record.Workspace,
				"bytes", JobMemory(record), "reservedBytes", o.reserved, "limitBytes", o.jobMemoryLimit(), "offloaded", len(o.offloaded))
		}
		return
	}
	if p.State.Final() && !p.HasAssigned() {
		o.addReleased(record, p)
		return
	}
	j := newJob(record, p)
	j.progressVersion, j.acceptedAt = version, acceptedAt
	o.jobs[id] = j
	o.reserveOpen(j)
	if p.State.Final() {
		o.ending[j] = struct{}{}
	} else {
		o.addLive(j)
		o.reportLateJob(j, source, time.Duration(age)*time.Millisecond)
	}
	o.opts.Log.V(1).Info("job added", "job", id, "queue", j.Queue, "workspace", j.Workspace, "state", p.State, "ageMS", age)
}

// noteAccepted counts a job in the statistics of jobs and, unless its occurrences are due later,
// of arrivals; the lock is held.
func (o *Owner) noteAccepted(j *workload.Job, acceptedAt time.Duration) {
	o.kindOf(j).AddSize(o.work(j))
	if !j.HasDueTimes() {
		o.noteArrival(j, acceptedAt)
		o.recordUrgentArrival(j, acceptedAt)
	}
}

// applyCancelRequest applies a cancel request. Its key sorts after the job's key, so
// the job is read first; the lock is held.
func (o *Owner) applyCancelRequest(id string) {
	if f := o.offloaded[id]; f != nil {
		o.cancelOffloaded(f)
		return
	}
	j, ok := o.jobs[id]
	if !ok || j.cancelRequested {
		return
	}
	j.cancelRequested = true
	o.activate(j)
	o.opts.Log.Info("cancel seen", "job", id, "state", j.storedState)
}

// adoptAssignments creates runs for the assignments of a former owner. Polls of
// their workers resolve them; the lock is held.
func (o *Owner) adoptAssignments(j *job) {
	for g := range j.groups() {
		for i := range g.tasks() {
			t := &g.tasks()[i]
			if t.Phase != workload.Assigned && !t.Stopping {
				continue
			}
			w := o.workers[t.Assigned.Worker]
			if w == nil {
				w = o.addAssignedWorker(t.Assigned)
			}
			w.compareWithAssignment(t.Assigned)
			r := &run{
				group: g, index: i, number: t.Run, worker: w, phase: phaseUncertain, demand: g.spec().Demand(), throttlePercent: unknownThrottlePercent,
				phaseSince: o.tookOverAt, startUnanswered: !t.Assigned.StartSettled, adopted: true,
				startSentAt: o.tookOverAt - time.Duration(t.Assigned.StartAgeS)*time.Second,
			}
			r.speed.resumed = t.Run > 1 && g.spec().Checkpointing // it may have begun with a checkpoint
			g.addRun(r)
			o.enqueueOrder(w, order{kind: orderAdopt, run: r})
		}
	}
}

// storeWatch is a watch of a prefix of the store.
type storeWatch struct {
	prefix string
	// batchDelay is the pause after a poll with changes, so that frequent changes share
	// a poll.
	batchDelay time.Duration
	// maxEventGap returns how long the watch may deliver no event before it counts as
	// broken and the prefix is listed again; 0 means no limit.
	maxEventGap func() time.Duration
	apply       func([]platform.Event)
	relist      func() (int64, error)
}

// pollWait returns how long a poll may wait for events, and whether at least one is
// expected within that time.
func (w storeWatch) pollWait() (d time.Duration, expected bool) {
	if w.maxEventGap == nil {
		return maxWatchWait, false
	}
	if gap := w.maxEventGap(); gap > 0 && gap < maxWatchWait {
		return gap, true
	}
	return maxWatchWait, false
}

// runWatch applies the events of a watch after a revision until ownership ends. It
// lists the prefix first if the revision is 0, and lists it again when the store no
// longer has the history or the watch counts as broken.
func (o *Owner) runWatch(w storeWatch, after int64) {
	for after == 0 && o.ctx.Err() == nil {
		var err error
		if after, err = w.relist(); err != nil && !wait.Sleep(o.ctx, storeRetryDelay) {
			return
		}
	}
	pause := storeRetryDelay
	for o.ctx.Err() == nil {
		revision, err := o.pollWatch(w, after)
		if err == nil {
			after, pause = revision, storeRetryDelay
			continue
		}
		if o.ctx.Err() == nil {
			o.opts.Log.V(1).Info("poll of a store watch failed", "prefix", w.prefix, "reason", err.Error())
		}
		wait.Sleep(o.ctx, pause)
		pause = min(2*pause, maxStoreRetryDelay)
	}
}

// pollWatch polls a watch once and returns the revision to continue from.
func (o *Owner) pollWatch(w storeWatch, after int64) (int64, error) {
	d, expected := w.pollWait()
	ctx, cancel := storecall.WithProgressTimeout(o.ctx, d+storeTimeout)
	defer cancel()
	changes, err := o.opts.Store.Poll(ctx, w.prefix, after, d)
	if err == nil {
		o.recordWatchAnswer(w.prefix)
	}
	switch {
	case errkind.Is(err, errkind.Conflict):
		o.opts.Log.Info("the store no longer has the watched history; listing the prefix again", "prefix", w.prefix)
		return o.relistWatch(w)
	case err != nil:
		return after, err
	case len(changes.Events) == 0 && expected:
		o.opts.Log.Info("no event within the expected time; listing the prefix again", "prefix", w.prefix, "silentMS", d.Milliseconds())
		return o.relistWatch(w)
	case len(changes.Events) > 0:
		w.apply(changes.Events)
		o.triggerCycle()
		if len(changes.Events) < fullPollEvents {
			wait.Sleep(o.ctx, w.batchDelay)
		}
	}
	return changes.Revision, nil
}

func (o *Owner) relistWatch(w storeWatch) (int64, error) {
	revision, err := w.relist()
	if err == nil {
		o.triggerCycle()
	}
	return revision, err
}

// fullPollEvents is the number of events at which a reply may be truncated, so that
// the next poll follows at once: a page of the platform's store holds about 500 items.
const fullPollEvents = 400

// workerLeaseTTL returns how long the runs on a worker last without a renewal of the
// worker's lease.
func (o *Owner) workerLeaseTTL() time.Duration {
	if o.opts.MaxWorkerLease > 0 {
		return min(maxWorkerLease, o.opts.MaxWorkerLease)
	}
	return maxWorkerLease
}

// maxFormerLeaseTTL returns the longest time that a lease renewed by a former owner
// may last on a slow worker clock.
func (o *Owner) maxFormerLeaseTTL() time.Duration {
	return time.Duration(float64(o.workerLeaseTTL()) / (1 - maxClockDrift))
}

// workerBatchDelay is the batch delay of the workers' watch. It also delays the
// notice that a worker drains, and such a worker may shut down 1.5 s later.
const workerBatchDelay = 150 * time.Millisecond

// The workers' watch counts as broken after the time in which all workers together
// send maxMissedHeartbeats heartbeats, but not before minHeartbeatGap.
const (
	maxMissedHeartbeats = 8
	minHeartbeatGap     = 300 * time.Millisecond
)

// maxWatchWait bounds the wait of a poll, and thus the time until a dead connection
// to the store is noticed.
const maxWatchWait = 2500 * time.Millisecond

func (o *Owner) watchJobs(after int64) {
	apply := func(events []platform.Event) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range events {
			if !e.Deleted {
				o.applyJob(e.Entry, platform.Entry{}, sourceWatch)
			}
		}
	}
	relist := func() (int64, error) {
		o.mu.Lock()
		before := make(map[string]bool, len(o.jobs)+len(o.offloaded)+len(o.released))
		for id := range o.jobs {
			before[id] = true
		}
		for id := range o.offloaded {
			before[id] = true
		}
		for id := range o.released {
			before[id] = true
		}
		o.mu.Unlock()
		var entries []platform.Entry
		revision, err := o.listPrefix(JobPrefix, func(e platform.Entry) { entries = append(entries, e) })
		if err != nil {
			return 0, err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range entries {
			if id, _ := parseJobKey(e.Key); before[id] && !o.knows(id) {
				continue // its records were deleted after they were listed
			}
			o.applyJob(e, platform.Entry{}, sourceList)
		}
		return revision, nil
	}
	o.runWatch(storeWatch{prefix: JobPrefix, apply: apply, relist: relist}, after)
}

func (o *Owner) watchWorkers(after int64) {
	apply := func(events []platform.Event) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range events {
			if e.Deleted {
				o.unlistWorker(e.Entry.Key)
				continue
			}
			o.applyWorker(e.Entry.Key, e.Entry.Value)
		}
	}
	relist := func() (int64, error) {
		seen := map[string]bool{}
		var entries []platform.Entry
		revision, err := o.listPrefix(o.opts.WorkerPrefix, func(e platform.Entry) { entries = append(entries, e) })
		if err != nil {
			return 0, err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range entries {
			seen[e.Key] = o.applyWorker(e.Key, e.Value)
		}
		for id := range o.workers {
			if key := o.opts.WorkerPrefix + id; !seen[key] {
				o.unlistWorker(key)
			}
		}
		return revision, nil
	}
	o.runWatch(storeWatch{prefix: o.opts.WorkerPrefix, batchDelay: workerBatchDelay, maxEventGap: o.maxHeartbeatGap, apply: apply, relist: relist}, after)
}

// maxHeartbeatGap returns how long the workers' watch may deliver no heartbeat
// before it counts as broken; 0 if no worker is listed or no heartbeat interval is set.
func (o *Owner) maxHeartbeatGap() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := 0
	for _, w := range o.workers {
		if w.listed {
			listed++
		}
	}
	if listed == 0 || o.opts.HeartbeatInterval <= 0 {
		return 0
	}
	return max(minHeartbeatGap, maxMissedHeartbeats*o.opts.HeartbeatInterval/time.Duration(listed))
}
