package fleet

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Owner holds the state of all jobs and workers while this VM owns the fleet.
// The state isn't sharded, and a single lock guards it, because gangs and quota
// guarantees span the whole service.
type Owner struct {
	opts      Options
	ownership ownershipLease
	validity  *leaseValidity

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu              sync.Mutex
	loaded          bool
	resigned        bool
	tookOverAt      time.Duration
	jobs            map[string]*job          // loaded jobs, until they are released
	live            map[string]*job          // jobs whose progress has no final state yet
	active          map[string]*job          // live jobs without those that are dormant
	dormant         dormantJobs              // live jobs that have nothing to do until their next due time
	offloaded       map[string]*offloadedJob // live jobs that do not fit into the memory
	ending          map[*job]struct{}        // jobs with a final state that are not released yet
	released        map[string]*releasedJob  // ended jobs until their records are deleted
	reserved        int64                    // bytes reserved for the loaded jobs
	offloadedBytes  int64                    // bytes that the offloaded jobs would take
	runRoom         int                      // runs that may still begin in this cycle
	leastMemory     int64                    // least memory of a VM, in bytes
	vms             int                      // VMs that have announced themselves
	cpuShare        float64                  // processor time of this VM, in cores
	largerVMs       []string                 // addresses of VMs to which this one would hand the fleet over
	handoverFrom    time.Duration            // no handover before
	handedOver      bool                     // ownership has ended by a handover
	nextReleaseAt   time.Duration
	urgentNeed      map[string]int64 // by workspace: accelerators that its live urgent jobs need
	workers         map[string]*worker
	workersByID     []*worker                  // workers by ID; nil after a change of the set
	planners        map[string]*servicePlanner // by service name
	cycles          int64                      // placement cycles so far
	borrowed        map[*taskGroup]bool        // urgent work beyond a guarantee, in this cycle; nil if none has to give way
	cordoned        map[string]bool            // machines whose workers get no new tasks
	evacuations     evacuationState
	lastScanAt      time.Duration               // last scan of all runs and worker leases; 0 forces a scan
	dirty           map[*job]struct{}           // jobs whose progress has to be written
	learnedRunTimes map[string]*learnedRunTime  // by queue
	urgentDemand    map[string]*urgentDemand    // by service
	kinds           map[string]*shortage.Kind   // by queue
	shortages       map[string]*serviceShortage // by service
	arriving        map[servicePriority]*shortage.Rate
	admission       atomic.Pointer[admissionTable]
	speeds          speedState // estimates of the workers' speeds
	nextCleanupAt   time.Duration
	adviceRequests  chan adviceRequest
	automationHold  atomic.Bool // operators have suspended all automatic actions

	cycle            cycleStats                  // of the latest placement cycle
	explained        int                         // blocked requests of this cycle whose reason was computed
	batches          map[*progressBatch]struct{} // being written
	givenUpRuns      map[string][]givenUpRun     // by worker
	watchAnsweredAt  map[string]time.Duration    // latest answer to a watch, by prefix
	placedSinceStart bool                        // this owner has placed a group
	lateJobLines     lineBudget
	conflictLines    lineBudget
	fullQueueLines   lineBudget
	offloadLines     lineBudget
	runLimitLines    lineBudget
	oddEntryLines    lineBudget
	cycleRequestedAt atomic.Int64 // oldest request for a cycle that has not begun; 0 if none

	// Used only by machineOpsLoop.
	waves          map[int64]*waveState
	machines       map[string]Machine
	machinesReadAt time.Duration
	homePools      map[string]string // home pool of each machine that was moved out of standby
	returning      map[string]bool   // those that are cordoned for their return

	adaptiveWriteTimeout   storecall.AdaptiveTimeout // of progress writes
	adaptiveStartTimeout   storecall.AdaptiveTimeout // of start orders
	adaptiveContactTimeout storecall.AdaptiveTimeout // of first calls to workers

	cycleTrigger       chan struct{} // requests a scheduling cycle
	machineListTrigger chan struct{} // requests the machine list: a worker with runs does not answer
	probeSlots         callSlots     // for polls of workers that do not answer
	startSlots         callSlots     // for start orders whose answer is not late
	writeSlots         chan struct{} // semaphore: one element for each open write
	contactSlots       chan struct{} // semaphore: one element for each first call to a worker
}

func newOwner(opts Options, acquired ownershipLease) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		opts: opts, ownership: acquired, ctx: ctx, cancel: cancel,
		validity: newLeaseValidity(acquired.validUntil),
		jobs:     map[string]*job{}, live: map[string]*job{}, active: map[string]*job{}, ending: map[*job]struct{}{},
		offloaded: map[string]*offloadedJob{}, released: map[string]*releasedJob{}, urgentNeed: map[string]int64{},
		leastMemory: math.MaxInt64, workers: map[string]*worker{},
		dirty: map[*job]struct{}{}, planners: map[string]*servicePlanner{}, learnedRunTimes: map[string]*learnedRunTime{}, urgentDemand: map[string]*urgentDemand{}, speeds: newSpeedState(),
		kinds: map[string]*shortage.Kind{}, shortages: map[string]*serviceShortage{}, arriving: map[servicePriority]*shortage.Rate{},
		batches: map[*progressBatch]struct{}{}, givenUpRuns: map[string][]givenUpRun{}, watchAnsweredAt: map[string]time.Duration{},
		evacuations: evacuationState{machineDomains: map[string]string{}}, waves: map[int64]*waveState{}, homePools: map[string]string{}, returning: map[string]bool{}, adviceRequests: make(chan adviceRequest, adviceQueueSize),
		cycleTrigger: make(chan struct{}, 1), machineListTrigger: make(chan struct{}, 1), writeSlots: make(chan struct{}, maxOpenWrites), contactSlots: make(chan struct{}, maxOpenContacts),
	}
}

// run schedules jobs until ctx is done or ownership ends.
func (o *Owner) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, o.cancel)
	defer stop()
	claimed := o.opts.Clock() - o.ownership.vacantSince
	o.opts.Log.Info("took ownership of the fleet", "token", o.ownership.token, "sinceVacantMS", claimed.Milliseconds())
	o.opts.Metrics.Event("takeover")
	o.opts.Metrics.TakeoverPhase("claimed", claimed)
	o.goRun(o.renewLoop)
	o.goRun(o.cycleLoop)
	o.goRun(o.adviceLoop)
	o.goRun(o.standingLoop)
	o.goRun(o.healthLoop)
	o.goRun(o.reloadLoop)
	o.goRun(o.vmLoop)
	o.goRun(o.handoverLoop)
	o.wg.Wait()
	o.opts.Metrics.OwnerGauges(metrics.OwnerGauges{})
	o.opts.Log.Info("stopped all work as the owner of the fleet", "token", o.ownership.token)
}

func (o *Owner) goRun(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// endOwnership stops this Owner permanently. Another VM may already be the owner.
func (o *Owner) endOwnership(reason string) {
	if o.ctx.Err() == nil {
		o.opts.Log.Info("ownership lost", "token", o.ownership.token, "reason", reason)
		o.opts.Metrics.Event("ownership_lost")
	}
	o.cancel()
}

// resign stops all work and waits for its end, so that another VM can take over
// without delay.
func (o *Owner) resign() {
	o.mu.Lock()
	o.resigned = true
	o.mu.Unlock()
	o.endOwnership("this VM is shutting down")
	o.wg.Wait()
}

// revokeLease revokes the ownership lease, so that a successor doesn't have to wait
// for its expiry. It must not be called before the last order was sent.
func (o *Owner) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := o.opts.Store.Revoke(ctx, o.ownership.id); err != nil && !errkind.Is(err, errkind.NotFound) {
		o.opts.Log.Info("could not revoke the ownership lease; it will expire", "reason", err.Error())
	}
}

// renewLoop renews the ownership lease periodically. Validity counts from the time
// at which a renewal was sent, not from its answer.
func (o *Owner) renewLoop() {
	slots := make(chan struct{}, maxOpenRenewals)
	for wait.Sleep(o.ctx, ownershipRenewInterval) {
		if o.lostStore() {
			o.goRun(o.requestKeyRelease)
		}
		select {
		case slots <- struct{}{}:
			o.goRun(func() {
				o.renewOnce()
				<-slots
			})
		default: // maxOpenRenewals are unanswered
		}
	}
}

// lostStore reports whether neither a renewal nor any other call of this VM has
// been answered recently. If the store is only slow or loses some answers, other
// calls still succeed.
func (o *Owner) lostStore() bool {
	if o.opts.ReleaseOwnerKey == nil || o.opts.LastStoreAnswer == nil {
		return false
	}
	now := o.opts.Clock()
	renewedAt := o.validUntil() - LeaseTTL + ownershipMargin
	return now-renewedAt >= cutOffThreshold && now-o.opts.LastStoreAnswer() >= cutOffThreshold
}

// requestKeyRelease asks another VM to free the owner key, which is faster than
// waiting for the lease to expire. Until the key is free, this owner keeps
// working: it sends only orders that are already stored, so the successor knows
// of them.
func (o *Owner) requestKeyRelease() {
	if o.storeReachable() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, ownershipRenewInterval)
	defer cancel()
	err := o.opts.ReleaseOwnerKey(ctx, o.ownership.token)
	o.opts.Log.Info("asked another VM to free the owner key", "token", o.ownership.token, "outcome", errorText(err))
	if err == nil || errkind.Is(err, errkind.Conflict) {
		o.opts.Metrics.Event("ownership_offered")
		o.endOwnership("this VM cannot reach the store; another VM will be elected")
	}
}

// storeReachable makes a short call to the store, in case it has just recovered.
func (o *Owner) storeReachable() bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeProbeTimeout)
	defer cancel()
	_, err := o.opts.Store.Get(ctx, OwnerKey)
	return err == nil
}

// maxOpenRenewals is the maximum number of unanswered renewals.
const maxOpenRenewals = 3

func (o *Owner) renewOnce() {
	sentAt := o.opts.Clock()
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	err := o.opts.Store.KeepAlive(ctx, o.ownership.id)
	switch {
	case err == nil:
		o.validity.extend(sentAt + LeaseTTL - ownershipMargin)
	case errkind.Is(err, errkind.NotFound):
		o.endOwnership("the ownership lease has expired")
	case o.ctx.Err() == nil:
		o.opts.Log.Info("ownership not renewed", "reason", err.Error(), "validForMS", (o.validUntil() - o.opts.Clock()).Milliseconds())
	}
}

// validUntil returns when the ownership lease ends.
func (o *Owner) validUntil() time.Duration {
	until, _ := o.validity.end()
	return until
}

// awaitOwnership waits until the ownership lease is valid; it returns false once
// ownership has ended.
func (o *Owner) awaitOwnership() bool {
	for {
		until, changed := o.validity.end()
		if o.ctx.Err() != nil {
			return false
		}
		if o.opts.Clock() < until {
			return true
		}
		select {
		case <-changed:
		case <-o.ctx.Done():
			return false
		}
	}
}

// triggerCycle requests a scheduling cycle.
func (o *Owner) triggerCycle() {
	o.cycleRequestedAt.CompareAndSwap(0, int64(o.opts.Clock()))
	select {
	case o.cycleTrigger <- struct{}{}:
	default:
	}
}

// markDirty marks a job's progress as changed. The caller holds the lock.
func (o *Owner) markDirty(j *job) {
	j.changeSeq++
	o.activate(j)
	o.noteChange(j)
	o.dirty[j] = struct{}{}
}

// Current reports whether the ownership lease is valid. If it is, what the owner answered
// just before is up to date; if not, another owner may know better.
func (o *Owner) Current() bool { return o.opts.Clock() < o.validUntil() }

// State returns the state of a job as clients see it: a final state only once it
// is stored. A job of another queue is reported as unknown.
func (o *Owner) State(id string, queue workload.QueueRef) (state workload.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.released[id]; r != nil {
		return r.state, r.queue.Matches(queue)
	}
	if f := o.offloaded[id]; f != nil {
		return liveState(f.started), f.queue.Matches(queue)
	}
	j, ok := o.jobs[id]
	if !ok || !j.In(queue) {
		return "", false
	}
	if j.storedState.Final() {
		return j.storedState, true
	}
	return liveState(j.progress.Started()), true
}

// liveState returns the state of a job that has not ended.
func liveState(started bool) workload.State {
	if started {
		return workload.Running
	}
	return workload.Queued
}

// NotifySubmitted adds a job that was just stored. The watch on the store delivers
// it as well, but may lag or be interrupted.
func (o *Owner) NotifySubmitted(j *workload.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded {
		o.addJob(j, workload.NewProgress(j), 0, sourceNotified)
		o.triggerCycle()
	}
}

// NotifyCancelRequested applies a cancel request that was just stored.
func (o *Owner) NotifyCancelRequested(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded {
		o.applyCancelRequest(id)
		o.triggerCycle()
	}
}

// QueueLength returns the number of jobs in a queue of which no task has started;
// known is false while the jobs are not loaded.
func (o *Owner) QueueLength(queue workload.QueueRef) (n int, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.live {
		if j.In(queue) && !j.storedState.Final() && !j.progress.Started() {
			n++
		}
	}
	for _, f := range o.offloaded {
		if f.queue.Matches(queue) && !f.started {
			n++
		}
	}
	return n, o.loaded
}

// MaximalCapacities returns the worker capacities of each service that no other
// worker of the service exceeds; nil while the workers are not loaded, or another VM may own
// the fleet.
func (o *Owner) MaximalCapacities() map[string][]workload.Resources {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || !o.Current() {
		return nil
	}
	largest := map[string][]workload.Resources{}
	for _, w := range o.workers {
		if !w.listed || w.Address == "" {
			continue
		}
		known := largest[w.Service]
		if slices.ContainsFunc(known, w.Capacity.Fits) {
			continue
		}
		known = slices.DeleteFunc(known, func(r workload.Resources) bool { return r.Fits(w.Capacity) })
		largest[w.Service] = append(known, w.Capacity)
	}
	return largest
}
