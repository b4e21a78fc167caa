package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Owner holds the state of all jobs and workers while this VM owns the fleet.
// One lock guards it all: the shard of this state is the whole service, because
// gangs and guarantees span it.
type Owner struct {
	opts  Options
	lease ownership

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	loaded      bool
	resigned    bool
	validUntil  time.Duration
	tookOverAt  time.Duration
	jobs        map[string]*job
	live        map[string]*job // jobs without a final state in the store
	workers     map[string]*worker
	inOrder     []*worker                  // workers by ID; nil after a change of the set
	planners    map[string]*servicePlanner // by service
	cycles      int64                      // placements so far
	scannedAt   time.Duration              // when runs and leases were last gone through
	dirty       map[*job]struct{}
	rates       map[string]*learnedRunTime // learned run times by queue
	nextCollect time.Duration
	adviceCalls chan adviceRequest
	holding     atomic.Bool // an operator holds all automatic actions

	// Used by the duties loop only.
	waves      map[int64]*waveState
	machines   map[string]Machine
	machinesAt time.Duration
	fetched    map[string]string // machines from standby, and their home pool

	timeout    storecall.AdaptiveTimeout // of writes
	orderTimes storecall.AdaptiveTimeout // of starts

	wake    chan struct{} // work for the cycle
	suspect chan struct{} // a worker with runs does not answer
	writes  chan struct{} // holds one element for each batch that is being written
	valid   chan struct{} // closed and replaced when ownership is renewed
}

func newOwner(opts Options, lease ownership) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		opts: opts, lease: lease, ctx: ctx, cancel: cancel,
		validUntil: lease.validUntil,
		jobs:       map[string]*job{}, live: map[string]*job{}, workers: map[string]*worker{},
		dirty: map[*job]struct{}{}, planners: map[string]*servicePlanner{}, rates: map[string]*learnedRunTime{},
		waves: map[int64]*waveState{}, fetched: map[string]string{}, adviceCalls: make(chan adviceRequest, adviceQueueSize),
		wake: make(chan struct{}, 1), suspect: make(chan struct{}, 1), writes: make(chan struct{}, maxWrites), valid: make(chan struct{}),
	}
}

// run serves until ctx ends or ownership is lost.
func (o *Owner) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, o.cancel)
	defer stop()
	o.opts.Log.Info("took ownership of the fleet", "token", o.lease.token)
	o.opts.Metrics.Event("takeover")
	o.goRun(o.renew)
	o.goRun(o.cycleLoop)
	o.goRun(o.adviceLoop)
	o.wg.Wait()
	o.opts.Log.Info("ownership of the fleet ended", "token", o.lease.token)
}

func (o *Owner) goRun(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// lose ends this ownership for good; another VM may be the owner.
func (o *Owner) lose(reason string) {
	if o.ctx.Err() == nil {
		o.opts.Log.Info("ownership lost", "token", o.lease.token, "reason", reason)
		o.opts.Metrics.Event("ownership_lost")
	}
	o.cancel()
}

// resign stops all work so that another VM can take over at once.
func (o *Owner) resign() {
	o.mu.Lock()
	o.resigned = true
	o.mu.Unlock()
	o.lose("this VM shuts down")
	o.wg.Wait()
}

// release ends the lease, which lets a successor start without waiting for it
// to run out. It must come after the last order.
func (o *Owner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := o.opts.Store.Revoke(ctx, o.lease.lease); err != nil && !errkind.Is(err, errkind.NotFound) {
		o.opts.Log.Info("lease not ended; it runs out by itself", "reason", err.Error())
	}
}

// renew keeps the ownership lease alive. Validity counts from before a renewal
// is sent.
func (o *Owner) renew() {
	open := make(chan struct{}, maxRenewals)
	for wait.Sleep(o.ctx, ownershipRenewInterval) {
		if o.isCutOff() {
			o.goRun(o.vacate)
		}
		select {
		case open <- struct{}{}:
			o.goRun(func() {
				o.renewOnce()
				<-open
			})
		default: // as many as make sense are on their way
		}
	}
}

// isCutOff reports whether the store has served this VM nothing lately. While it
// merely loses answers or is slow, some of the other calls are served.
func (o *Owner) isCutOff() bool {
	if o.opts.ReleaseOwnerKey == nil || o.opts.LastStoreAnswer == nil {
		return false
	}
	now := o.opts.Clock()
	renewedAt := o.validity() - LeaseTTL + ownershipMargin
	return now-renewedAt >= cutOffThreshold && now-o.opts.LastStoreAnswer() >= cutOffThreshold
}

// vacate lets another VM free the owner key, which is quicker than to let the lease
// run out. Until the key is free, this owner goes on as before: what it may still
// send has been written, so the successor knows of it.
func (o *Owner) vacate() {
	if o.reachesStore() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, ownershipRenewInterval)
	defer cancel()
	err := o.opts.ReleaseOwnerKey(ctx, o.lease.token)
	o.opts.Log.Info("asked another VM to free the owner key", "token", o.lease.token, "outcome", errorText(err))
	if err == nil || errkind.Is(err, errkind.Conflict) {
		o.opts.Metrics.Event("ownership_offered")
		o.lose("this VM has lost the store; others elect an owner")
	}
}

// reachesStore makes a short call to the store, which may just have come back.
func (o *Owner) reachesStore() bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeProbeTimeout)
	defer cancel()
	_, err := o.opts.Store.Get(ctx, OwnerKey)
	return err == nil
}

// maxRenewals bounds the renewals that wait for an answer.
const maxRenewals = 3

func (o *Owner) renewOnce() {
	sentAt := o.opts.Clock()
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	err := o.opts.Store.KeepAlive(ctx, o.lease.lease)
	switch {
	case err == nil:
		o.renewed(sentAt + LeaseTTL - ownershipMargin)
	case errkind.Is(err, errkind.NotFound):
		o.lose("the lease has run out")
	case o.ctx.Err() == nil:
		o.opts.Log.Info("ownership not renewed", "reason", err.Error(), "validForMS", (o.validity() - o.opts.Clock()).Milliseconds())
	}
}

func (o *Owner) renewed(until time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until > o.validUntil {
		o.validUntil = until
	}
	close(o.valid)
	o.valid = make(chan struct{})
}

func (o *Owner) validity() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.validUntil
}

// awaitValid waits until ownership is certain; false means that it is over.
func (o *Owner) awaitValid() bool {
	for {
		o.mu.Lock()
		valid, renewed := o.opts.Clock() < o.validUntil, o.valid
		o.mu.Unlock()
		if o.ctx.Err() != nil {
			return false
		}
		if valid {
			return true
		}
		select {
		case <-renewed:
		case <-o.ctx.Done():
			return false
		}
	}
}

// signal asks for a cycle.
func (o *Owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// touch marks a job's progress as changed; the lock is held.
func (o *Owner) touch(j *job) {
	j.changeSeq++
	o.dirty[j] = struct{}{}
}

// State returns what callers may be told of a job.
func (o *Owner) State(id, queue string) (state workload.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.jobs[id]
	if !ok || j.Queue != queue {
		return "", false
	}
	if j.storedState.Final() {
		return j.storedState, true
	}
	if j.progress.Started() {
		return workload.Running, true
	}
	return workload.Queued, true
}

// NotifySubmitted adds a job that was just stored. The watch of the store delivers
// it as well, but may lag or be interrupted.
func (o *Owner) NotifySubmitted(j *workload.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded {
		o.addJob(j, workload.NewProgress(j), 0)
		o.signal()
	}
}

// NotifyCancelRequested applies a cancel mark that was just stored.
func (o *Owner) NotifyCancelRequested(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded {
		o.applyCancelRequest(id)
		o.signal()
	}
}

// QueueLength returns the number of a queue's jobs of which no task has started;
// false means that the jobs are not loaded yet.
func (o *Owner) QueueLength(queue string) (n int, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.live {
		if j.Queue == queue && !j.storedState.Final() && !j.progress.Started() {
			n++
		}
	}
	return n, o.loaded
}

// MaximalCapacities returns, by service, the worker capacities that no other worker
// of the service exceeds; nil while the workers are not loaded.
func (o *Owner) MaximalCapacities() map[string][]workload.Resources {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
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
