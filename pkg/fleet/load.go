package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// load reads all jobs, their progress and the workers from the store, and
// returns the revisions from which changes have to be followed.
func (o *Owner) load() (jobsFrom, workersFrom int64, err error) {
	startedAt := o.opts.Clock()
	progress := map[string]platform.Entry{}
	var jobs, workers []platform.Entry
	// Only the owner writes progress, so the order of the readings is free.
	var readings errgroup.Group
	readings.Go(func() error {
		_, err := o.listAll(ProgressPrefix, func(e platform.Entry) { progress[e.Key] = e })
		return err
	})
	readings.Go(func() (err error) {
		jobsFrom, err = o.listAll(JobPrefix, func(e platform.Entry) { jobs = append(jobs, e) })
		return err
	})
	readings.Go(func() (err error) {
		workersFrom, err = o.listAll(o.opts.WorkerPrefix, func(e platform.Entry) { workers = append(workers, e) })
		return err
	})
	if err := readings.Wait(); err != nil {
		return 0, 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tookOverAt = o.opts.Clock()
	for _, e := range workers {
		o.applyWorker(e.Key, e.Value)
	}
	for _, e := range jobs {
		o.applyJob(e, progress)
	}
	for _, j := range o.jobs {
		o.adoptAssigned(j)
	}
	o.loaded = true
	o.opts.Log.Info("state loaded from the store", "jobs", len(o.jobs), "live", len(o.live), "workers", len(o.workers),
		"tookMS", (o.opts.Clock() - startedAt).Milliseconds())
	return jobsFrom, workersFrom, nil
}

// listAll reads all pages of a prefix. Changes after the returned revision,
// which is that of the first page, have to be followed.
func (o *Owner) listAll(prefix string, take func(platform.Entry)) (int64, error) {
	first, after := int64(0), ""
	for {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		page, err := o.opts.Store.List(ctx, prefix, after, 0)
		cancel()
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, e := range page.Entries {
			take(e)
			after = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return first, nil
		}
	}
}

// applyJob takes over one entry below JobPrefix; the lock is held.
func (o *Owner) applyJob(e platform.Entry, progress map[string]platform.Entry) {
	id, cancel := parseJobKey(e.Key)
	if cancel {
		o.applyCancel(id)
		return
	}
	if _, ok := o.jobs[id]; ok {
		return
	}
	record, err := workload.DecodeJob(e.Value)
	if err != nil {
		o.opts.Log.Error(err, "job record cannot be used", "job", id)
		return
	}
	p, version := workload.NewProgress(record), int64(0)
	if stored, ok := progress[ProgressKey(id)]; ok {
		decoded, err := workload.DecodeProgress(record, stored.Value)
		if err != nil {
			o.opts.Log.Error(err, "progress record cannot be used", "job", id)
			return
		}
		p, version = decoded, stored.Version
	}
	o.learnJob(record, p, version)
}

// learnJob adds a job that is not known yet; the lock is held.
func (o *Owner) learnJob(record *workload.Job, p *workload.Progress, version int64) {
	id := record.ID
	if _, ok := o.jobs[id]; ok {
		return
	}
	j := newJob(record, p)
	j.version = version
	age := o.opts.Now().UnixMilli() - record.AcceptedUnixMS
	j.firstAt = o.opts.Clock() - time.Duration(max(0, age))*time.Millisecond
	o.jobs[id] = j
	if !p.State.Final() {
		o.live[id] = j
	}
	o.opts.Log.V(1).Info("job known", "job", id, "queue", j.Queue, "workspace", j.Workspace, "state", p.State, "ageMS", age)
}

// applyCancel takes over a cancel mark. The mark's key sorts after the job's,
// so the job is known; the lock is held.
func (o *Owner) applyCancel(id string) {
	j, ok := o.jobs[id]
	if !ok || j.cancelRequested {
		return
	}
	j.cancelRequested = true
	o.opts.Log.Info("cancel seen", "job", id, "state", j.shown)
}

// adoptAssigned makes runs of the assignments of a former owner. They are
// settled by a look at their workers; the lock is held.
func (o *Owner) adoptAssigned(j *job) {
	for _, g := range j.groups {
		for i := range g.tasks() {
			t := &g.tasks()[i]
			if t.Phase != workload.Assigned {
				continue
			}
			w := o.workers[t.Assigned.Worker]
			if w == nil {
				w = o.addWorker(WorkerEntry{ID: t.Assigned.Worker, Incarnation: t.Assigned.Incarnation})
			}
			r := &run{
				group: g, index: i, number: t.Run, worker: w, phase: settling, demand: g.spec().Demand(), pace: unknownPace,
				orderedAt: o.tookOverAt, unanswered: true,
			}
			g.runs[i] = r
			w.runs[r] = struct{}{}
			o.send(w, order{kind: orderAdopt, run: r})
		}
	}
}

// feed is a prefix of the store that the owner follows.
type feed struct {
	prefix string
	// gather is the pause after changes, so that frequent ones share a call.
	gather time.Duration
	// silence returns how long the feed may bring nothing before it is taken for
	// deaf and listed anew; 0 if nothing is expected of it.
	silence func() time.Duration
	apply   func([]platform.Event)
	relist  func() (int64, error)
}

// wait returns how long a poll of the feed may wait, and whether it has to bring
// something within that time.
func (f feed) wait() (d time.Duration, expected bool) {
	if f.silence == nil {
		return watchWait, false
	}
	if s := f.silence(); s > 0 && s < watchWait {
		return s, true
	}
	return watchWait, false
}

// follow applies the changes of a feed until ownership ends. When the history is
// gone, the feed is deaf, or the revision is 0, it lists.
func (o *Owner) follow(f feed, after int64) {
	for after == 0 && o.ctx.Err() == nil {
		var err error
		if after, err = f.relist(); err != nil && !wait.Sleep(o.ctx, retryPause) {
			return
		}
	}
	pause := retryPause
	for o.ctx.Err() == nil {
		revision, err := o.followOnce(f, after)
		if err == nil {
			after, pause = revision, retryPause
			continue
		}
		if o.ctx.Err() == nil {
			o.opts.Log.V(1).Info("watch failed", "prefix", f.prefix, "reason", err.Error())
		}
		wait.Sleep(o.ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// followOnce polls a feed once and returns the revision to continue from.
func (o *Owner) followOnce(f feed, after int64) (int64, error) {
	d, expected := f.wait()
	ctx, cancel := context.WithTimeout(o.ctx, d+storeTimeout)
	defer cancel()
	changes, err := o.opts.Store.Poll(ctx, f.prefix, after, d)
	switch {
	case errkind.Is(err, errkind.Conflict):
		o.opts.Log.Info("history of the store is gone; listing again", "prefix", f.prefix)
		return o.listFeed(f)
	case err != nil:
		return after, err
	case len(changes.Events) == 0 && expected:
		o.opts.Log.Info("watch brings nothing; listing again", "prefix", f.prefix, "silentMS", d.Milliseconds())
		return o.listFeed(f)
	case len(changes.Events) > 0:
		f.apply(changes.Events)
		o.triggerCycle()
		if len(changes.Events) < fullAnswer {
			wait.Sleep(o.ctx, f.gather)
		}
	}
	return changes.Revision, nil
}

func (o *Owner) listFeed(f feed) (int64, error) {
	revision, err := f.relist()
	if err == nil {
		o.triggerCycle()
	}
	return revision, err
}

// fullAnswer is the number of changes from which on an answer may have been cut
// short, so that the next poll follows at once: a page of the platform's store
// holds about 500 items.
const fullAnswer = 400

// workerLease is the life of everything on a worker without a renewal.
func (o *Owner) workerLease() time.Duration {
	if o.opts.MaxWorkerLease > 0 {
		return min(longestLease, o.opts.MaxWorkerLease)
	}
	return longestLease
}

// lapseBound is the longest time that a lease given by a former owner may last
// on a slow worker clock.
func (o *Owner) lapseBound() time.Duration {
	return time.Duration(float64(o.workerLease()) / (1 - clockSlack))
}

// workerGather is the pause between two answers with heartbeats of workers. It
// delays the news that a worker drains, which may leave 1.5 s later.
const workerGather = 150 * time.Millisecond

// missedBeats is the number of heartbeats, of all workers together, that have to
// be missing before their watch is taken for deaf; minSilence bounds it from below.
const (
	missedBeats = 8
	minSilence  = 300 * time.Millisecond
)

// watchWait bounds a watch, and so the time until a silent connection to the
// store is noticed.
const watchWait = 2500 * time.Millisecond

func (o *Owner) followJobs(after int64) {
	apply := func(events []platform.Event) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range events {
			if !e.Deleted {
				o.applyJob(e.Entry, nil)
			}
		}
	}
	relist := func() (int64, error) {
		var entries []platform.Entry
		revision, err := o.listAll(JobPrefix, func(e platform.Entry) { entries = append(entries, e) })
		if err != nil {
			return 0, err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range entries {
			o.applyJob(e, nil)
		}
		return revision, nil
	}
	o.follow(feed{prefix: JobPrefix, apply: apply, relist: relist}, after)
}

func (o *Owner) followWorkers(after int64) {
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
		revision, err := o.listAll(o.opts.WorkerPrefix, func(e platform.Entry) { entries = append(entries, e) })
		if err != nil {
			return 0, err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range entries {
			seen[e.Key] = true
			o.applyWorker(e.Key, e.Value)
		}
		for id := range o.workers {
			if key := o.opts.WorkerPrefix + id; !seen[key] {
				o.unlistWorker(key)
			}
		}
		return revision, nil
	}
	o.follow(feed{prefix: o.opts.WorkerPrefix, gather: workerGather, silence: o.beatSilence, apply: apply, relist: relist}, after)
}

// beatSilence returns how long the heartbeats of all workers may be missing
// before their watch is taken for deaf; 0 while too few workers are listed.
func (o *Owner) beatSilence() time.Duration {
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
	return max(minSilence, missedBeats*o.opts.HeartbeatInterval/time.Duration(listed))
}
