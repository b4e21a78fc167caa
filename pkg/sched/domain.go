package sched

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Domain is the scheduler of one failure domain. It is safe for concurrent use.
type Domain struct {
	mu    sync.Mutex
	name  string
	opts  Options
	rules Rules

	doc              *policy.Document
	workspaces       map[string]*workspace
	sortedWorkspaces []*workspace // sorted by name
	pinsStale        bool

	workers     []*worker // in order of registration
	workersByID map[string]*worker
	racks       []*rack
	racksByName map[string]*rack
	indexes     [viewCount]workerIndex

	jobs                   map[api.JobID]*job
	groups                 map[groupKey]*jobGroup
	activeGroups           []*jobGroup // groups with queued jobs
	claims                 []*claim
	queued                 int
	queuedByClass          map[string]int
	lastSeq                uint64
	capacityFreed          bool // capacity may have become free since the last Decide
	preemptionTokens       bucket
	nextDecide             time.Time
	sparePlacements        []Placement
	useWindows             []useWindow
	runTimes               runTimeLearner
	levelCapacity          [3]int  // accelerators of the largest worker, the largest rack and the domain
	placementRate          float64 // placements per second
	rateUpdatedAt          time.Time
	placedSinceUpdate      int
	reservations           []*reservation
	stragglerChecks        stragglerHeap
	hedgeCount             int
	suspects, inQuarantine []*worker // candidates for quarantine; quarantined workers
}

// workspace is the state of a workspace in the domain.
type workspace struct {
	name           string
	quota          policy.Quota
	weight         float64
	cells          []*cell
	parts          []*cellPart
	guaranteeUnmet bool
	accelerators   int // in use or claimed, counted against the quota
	slots          int
	queued         int
}

// NewDomain returns a scheduler for the failure domain of the given name, without
// workers.
func NewDomain(name string, opts Options) *Domain {
	opts = opts.withDefaults()
	d := &Domain{
		name: name, opts: opts, rules: opts.Rules, doc: &policy.Document{},
		workspaces: map[string]*workspace{}, workersByID: map[string]*worker{}, racksByName: map[string]*rack{},
		jobs: map[api.JobID]*job{}, groups: map[groupKey]*jobGroup{}, queuedByClass: map[string]int{},
		runTimes: newRunTimeLearner(),
	}
	d.preemptionTokens = newBucket(opts.ReclaimPerSecond, opts.ReclaimPerSecond)
	return d
}

// SetPolicy applies a new configuration document.
func (d *Domain) SetPolicy(_ time.Time, doc *policy.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setPolicy(doc)
}

func (d *Domain) setPolicy(doc *policy.Document) {
	d.doc = doc
	for name := range doc.Workspaces {
		d.workspace(name)
	}
	for _, ws := range d.sortedWorkspaces {
		p := doc.Workspaces[ws.name]
		ws.quota, ws.weight = p.Quota, p.Weight
		if ws.weight <= 0 {
			ws.weight = 1
		}
		d.setGuarantees(ws, p.Guarantees)
	}
	for _, w := range d.workers {
		d.applyDrain(w)
	}
	d.reclassify()
	d.pinsStale, d.capacityFreed = true, true
}

// reclassify updates the class of every job and queues waiting jobs again whose rank
// has changed.
func (d *Domain) reclassify() {
	for _, j := range d.sortedJobs() {
		c := d.class(j.Class)
		if j.phase == phaseQueued && c.Rank != j.class.Rank {
			d.dequeue(j)
			j.class = c
			d.enqueue(j)
		}
		j.class = c
	}
}

// sortedJobs returns all jobs in order of arrival.
func (d *Domain) sortedJobs() []*job {
	out := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	return out
}

// workspace returns the state of the named workspace and creates it if needed.
func (d *Domain) workspace(name string) *workspace {
	ws := d.workspaces[name]
	if ws == nil {
		ws = &workspace{name: name, weight: 1}
		d.workspaces[name] = ws
		i, _ := slices.BinarySearchFunc(d.sortedWorkspaces, name, func(o *workspace, n string) int {
			if o.name < n {
				return -1
			}
			return 1
		})
		d.sortedWorkspaces = slices.Insert(d.sortedWorkspaces, i, ws)
	}
	return ws
}

// builtinClasses holds the classes used for names that the document does not define.
var builtinClasses = map[string]policy.Class{
	api.ClassUrgent:  {Rank: 0, Short: true, StartWithin: defaultUrgentStartBound},
	api.ClassShort:   {Rank: 1, Short: true},
	api.ClassLong:    {Rank: 2},
	api.ClassArchive: {Rank: 3, Sheddable: true},
}

func (d *Domain) class(name string) policy.Class {
	if c, ok := d.doc.Classes[name]; ok {
		return c
	}
	if c, ok := builtinClasses[name]; ok {
		return c
	}
	return builtinClasses[api.ClassLong]
}

// UpsertWorker adds a worker or replaces its description.
func (d *Domain) UpsertWorker(_ time.Time, in Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upsertWorker(in)
}

func (d *Domain) upsertWorker(in Worker) {
	in.Accelerators = min(max(in.Accelerators, 0), 64)
	w := d.workersByID[in.ID]
	if w == nil {
		w = &worker{bucket: [viewCount]int{unlinked, unlinked, unlinked, unlinked}}
		d.workersByID[in.ID] = w
		d.workers = append(d.workers, w)
	} else if w.Worker == in {
		return
	} else {
		d.removeFromRack(w)
		d.levelCapacity = levelCapacities(d.racks)
	}
	w.Worker = in
	w.capacity = lowMask(in.Accelerators)
	w.free = w.capacity
	w.eachAlloc(func(_ *job, s *allocation) { w.free &^= s.mask })
	d.addToRack(w)
	d.levelCapacity = [3]int{max(d.levelCapacity[levelWorker], w.Accelerators), max(d.levelCapacity[levelRack], w.rack.capacity), d.levelCapacity[levelDomain] + w.Accelerators}
	d.applyDrain(w)
	d.reassignSlots(w)
	d.pinsStale, d.capacityFreed = true, true
}

func (d *Domain) addToRack(w *worker) {
	r := d.racksByName[w.Rack]
	if r == nil {
		r = &rack{name: w.Rack}
		d.racksByName[w.Rack] = r
		d.racks = append(d.racks, r)
	}
	w.rack = r
	r.workers = append(r.workers, w)
	r.capacity += w.Accelerators
}

func (d *Domain) removeFromRack(w *worker) {
	r := w.rack
	r.workers = slices.DeleteFunc(r.workers, func(o *worker) bool { return o == w })
	r.capacity -= w.Accelerators
	for v := range r.free {
		r.free[v] -= w.countedFree[v]
		w.countedFree[v] = 0
	}
	for v := range d.indexes {
		d.indexes[v].unlink(w, capacityView(v))
	}
}

// applyDrain updates whether the document drains the worker or its rack.
func (d *Domain) applyDrain(w *worker) {
	_, one := d.doc.Drained[w.ID]
	_, all := d.doc.Drained["rack:"+w.Rack]
	if w.drained != (one || all) {
		w.drained = one || all
		d.refreshIndexes(w)
	}
}

// SetWorkerState sets whether a worker receives new jobs. Jobs running on it keep
// their accelerators and slots until Ended is called for them.
func (d *Domain) SetWorkerState(_ time.Time, id string, s WorkerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.workersByID[id]
	if w == nil || w.State == s {
		return
	}
	w.State = s
	d.refreshIndexes(w)
	d.pinsStale, d.capacityFreed = true, true
}

// Enqueue adds a job to the queue. It returns impossible, overloaded or
// quota_exceeded if the job is refused, and conflict if an earlier attempt has not
// ended; the job is then not queued.
func (d *Domain) Enqueue(now time.Time, in Job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.jobs[in.ID]; old != nil {
		if old.Attempt >= in.Attempt {
			return nil
		}
		return errkind.New(errkind.Conflict, "attempt %d of job %s has not ended", old.Attempt, in.ID)
	}
	ws := d.workspace(in.Workspace)
	if err := d.admit(now, ws, in); err != nil {
		return err
	}
	j := d.newJob(now, ws, in)
	d.jobs[in.ID] = j
	d.enqueue(j)
	return nil
}

func (d *Domain) newJob(now time.Time, ws *workspace, in Job) *job {
	d.lastSeq++
	j := &job{Job: in, ws: ws, class: d.class(in.Class), queuedAt: now, seq: d.lastSeq, pos: -1}
	if j.SubmittedAt.IsZero() {
		j.SubmittedAt = now
	}
	return j
}

// Adopt registers a job that is already running on the targets, at its current
// placements.
func (d *Domain) Adopt(now time.Time, in Job, placements []Placement, startedAt time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.jobs[in.ID]; old != nil {
		if old.phase == phasePlaced || old.phase == phaseStopping {
			return nil
		}
		d.removeUnplaced(old)
	}
	allocs := make([]allocation, 0, len(placements))
	for _, p := range placements {
		w := d.workersByID[p.Worker]
		if w == nil {
			return errkind.New(errkind.NotFound, "job %s runs on worker %s, which is not in the failure domain", in.ID, p.Worker)
		}
		m := listToMask(p.Accelerators)
		if m&^w.free != 0 {
			return errkind.New(errkind.Conflict, "job %s runs on accelerators of worker %s that are in use", in.ID, p.Worker)
		}
		allocs = append(allocs, allocation{worker: w, mask: m})
	}
	j := d.newJob(now, d.workspace(in.Workspace), in)
	d.jobs[in.ID] = j
	j.allocs = allocs
	j.Accelerators = 0
	for _, s := range allocs {
		j.Accelerators += bits.OnesCount64(s.mask)
	}
	d.allocate(now, j)
	j.startedAt, j.checkpointedAt = startedAt, startedAt
	d.pinsStale = true
	return nil
}

// Started records that all tasks of the job are running.
func (d *Domain) Started(now time.Time, id api.JobID, attempt int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[id]; j != nil && j.Attempt == attempt && len(j.allocs) > 0 && j.startedAt.IsZero() {
		j.startedAt, j.checkpointedAt = now, now
		d.scheduleStragglerCheck(now, j)
	}
}

// Checkpointed records that a checkpoint has saved the job's progress up to now.
func (d *Domain) Checkpointed(now time.Time, id api.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[id]; j != nil {
		j.checkpointedAt = now
	}
}

// Ended releases the job's accelerators and slots and removes the job. Blame is the
// worker that refused or failed it, or empty.
func (d *Domain) Ended(now time.Time, id api.JobID, attempt int, why EndReason, blame string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	if j == nil || j.Attempt != attempt {
		return
	}
	if len(j.allocs) == 0 {
		d.removeUnplaced(j)
		return
	}
	d.recordOutcome(now, j, why, blame)
	d.release(j)
	delete(d.jobs, id)
	d.capacityFreed = true
}

// Cancel removes a job without placements and returns true. It returns false for an
// unknown or placed job; the caller then stops a placed job and calls Ended.
func (d *Domain) Cancel(_ time.Time, id api.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	if j == nil || len(j.allocs) > 0 {
		return false
	}
	d.removeUnplaced(j)
	return true
}

// recordOutcome records the run time of a successful job, or the failure of the
// blamed worker.
func (d *Domain) recordOutcome(now time.Time, j *job, why EndReason, blame string) {
	switch {
	case why == EndSucceeded && !j.startedAt.IsZero():
		d.runTimes.record(j, now.Sub(j.startedAt)+j.AttainedService)
		j.resetFailures()
	case (why == EndFailed || why == EndReservationFailed) && blame != "":
		d.recordFailure(j, blame)
	}
}

// removeUnplaced removes a job that has no placements yet.
func (d *Domain) removeUnplaced(j *job) {
	if j.reservation != nil {
		d.dropReservation(j.reservation)
	}
	if j.claim != nil {
		d.dropClaim(j.claim)
	} else {
		d.dequeue(j)
	}
	delete(d.jobs, j.ID)
}
