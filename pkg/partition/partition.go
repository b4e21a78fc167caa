package partition

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Periods of a partition's background work.
const (
	// sweepInterval bounds the delay until the sweep detects a lost offer, a new
	// domain owner, a missed deadline or a due retry.
	sweepInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the owner of a failure domain.
	callTimeout = 3 * time.Second
	// volatileRetention is how long an ended non-durable job is kept, for callers
	// that did not receive the first response.
	volatileRetention = time.Minute
	// durableWaitTimeout is how long callers wait until the end or the
	// cancellation of a job is durable, before they get a response that says it is
	// not. It elapses only while the store is slow or down.
	durableWaitTimeout = 500 * time.Millisecond
	// recentOfferWindow is the longest time for which an offer is added to the load
	// of its failure domain. The summaries carried by heartbeats include it by then.
	recentOfferWindow = 500 * time.Millisecond
	// rerouteDelay is how long a job stays queued in one failure domain, or its
	// offers stay unanswered, before another failure domain is tried.
	rerouteDelay = 1500 * time.Millisecond
)

// Gate decides whether an automatic action may run or is held for an operator.
type Gate interface {
	Allow(kind gate.Kind, workspace string, p gate.Proposal) bool
}

// RetryPolicy limits the number and the rate of retries of failed jobs.
type RetryPolicy interface {
	// RecordAccepted counts an accepted job of the workspace; retries are limited to a
	// fraction of the accepted jobs.
	RecordAccepted(workspace string, now time.Time)
	// AllowRetry reports whether the workspace may retry now, and counts the retry.
	AllowRetry(workspace string, now time.Time) bool
	// Backoff returns the delay before the next retry after the given number of failures.
	Backoff(failures int) time.Duration
}

// OpenJournal opens the partition's journal under the owner's epoch. snapshot
// returns the records of the partition's durable state.
type OpenJournal func(ctx context.Context, snapshot func() [][]byte) (journal.Log, journal.Recovered, error)

// Options configure a Partition.
type Options struct {
	Partition   int
	Epoch       int64
	OpenJournal OpenJournal
	// StoreReachable reports whether the store can be reached; new durable jobs are
	// refused while it is not.
	StoreReachable func() bool
	Domains        domain.Service
	// Summaries returns the latest summary of each failure domain. A listed domain
	// that has not reported yet has a summary without workers.
	Summaries func() []sched.Summary
	// DomainNames returns the failure domains that the platform lists. If it is
	// nil, only the domains of Summaries are known.
	DomainNames func() []string
	// DomainEpoch returns the epoch of a failure domain's current owner, if known.
	DomainEpoch func(name string) (int64, bool)
	Config      configsync.Source
	Gate        Gate
	Retries     RetryPolicy
	Recorder    timeline.Recorder
	Log         logr.Logger
	// Retention is how long ended durable jobs are kept, with their results.
	Retention time.Duration
	// RetainedBytes limits the memory of ended jobs; the jobs that ended first are
	// dropped first. Zero means DefaultRetainedBytes.
	RetainedBytes int64
	// MaxResultBytes limits the size of a job's result; a job with a larger result
	// fails. Zero means no limit.
	MaxResultBytes int64
	// Metrics may be shared by several partitions. If it is nil, the metrics are not
	// registered anywhere.
	Metrics *Metrics
}

// Partition manages the jobs of one partition as its owner, for one ownership epoch.
type Partition struct {
	opts Options

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// recovered is closed once the journal has been replayed and the failure domains
	// have been queried.
	recovered chan struct{}

	mu                sync.Mutex
	jobs              map[api.JobID]*job
	active            map[api.JobID]*job // jobs that the sweep processes
	ended             endedJobs
	jobIDsByKey       map[string]api.JobID
	log               journal.Log
	stopped           bool
	recentOffers      map[string]int // offers by domain that its summary may not include yet
	recentOffersSince time.Time
}

// New returns a partition; Start runs it.
func New(opts Options) *Partition {
	ctx, cancel := context.WithCancel(context.Background())
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.RetainedBytes <= 0 {
		opts.RetainedBytes = DefaultRetainedBytes
	}
	return &Partition{
		opts: opts, ctx: ctx, cancel: cancel,
		recovered:    make(chan struct{}),
		jobs:         map[api.JobID]*job{},
		active:       map[api.JobID]*job{},
		jobIDsByKey:  map[string]api.JobID{},
		recentOffers: map[string]int{},
	}
}

// Start recovers the partition in the background and then runs the periodic
// sweep. Calls wait until the recovery is complete.
func (p *Partition) Start() {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		if p.recover() {
			p.sweepLoop()
		}
	}()
}

// Stop stops the partition and waits for its goroutines. With flush set it first
// writes the pending journal records, until ctx ends; otherwise it writes no more
// records.
func (p *Partition) Stop(ctx context.Context, flush bool) {
	p.mu.Lock()
	p.stopped = true
	log := p.log
	p.mu.Unlock()
	if log != nil {
		if !flush {
			c, cancel := context.WithCancel(ctx)
			cancel()
			ctx = c
		}
		if err := log.Close(ctx); err != nil {
			p.opts.Log.V(1).Info("journal closed before all pending records were written", "partition", p.opts.Partition, "error", err.Error())
		}
	}
	p.cancel()
	p.wg.Wait()
}

// runBackground runs fn in a goroutine that Stop waits for.
func (p *Partition) runBackground(fn func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		fn()
	}()
}

// awaitRecovered waits until the partition has recovered, and fails once it has
// been stopped.
func (p *Partition) awaitRecovered(ctx context.Context) error {
	select {
	case <-p.recovered:
	case <-p.ctx.Done():
		return errStaleEpoch()
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "partition %d is recovering", p.opts.Partition)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStaleEpoch()
	}
	return nil
}

func errStaleEpoch() *errkind.Error {
	return errkind.New(errkind.StaleEpoch, "this VM no longer owns the partition")
}

// insert adds a job to the indexes. The caller must hold p.mu.
func (p *Partition) insert(j *job) {
	p.jobs[j.status.ID] = j
	p.active[j.status.ID] = j
	if j.idempotencyKey != "" {
		p.jobIDsByKey[idempotencyIndexKey(j.status.Spec.Workspace, j.idempotencyKey)] = j.status.ID
	}
}

func (p *Partition) remove(j *job) {
	delete(p.jobs, j.status.ID)
	delete(p.active, j.status.ID)
	if j.idempotencyKey != "" {
		delete(p.jobIDsByKey, idempotencyIndexKey(j.status.Spec.Workspace, j.idempotencyKey))
	}
}

// snapshot returns the records that reproduce the partition's durable state. The
// state includes records that are still being appended, so that a slot of the
// journal's ring is never reused before a snapshot covers its record.
func (p *Partition) snapshot() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out [][]byte
	for _, j := range p.jobs {
		for _, r := range j.snapshotRecords() {
			b, err := encodeRecord(r)
			if err != nil {
				p.opts.Log.Error(err, "failed to encode a journal record; the snapshot omits it", "job", j.status.ID)
				continue
			}
			out = append(out, b)
		}
	}
	return out
}

// recordEvent records a timeline event about a job. The caller must hold p.mu.
func (p *Partition) recordEvent(t timeline.Type, j *job, reason string) {
	p.opts.Recorder.Record(timeline.Event{
		Type: t, Job: j.status.ID, Workspace: j.status.Spec.Workspace,
		Domain: j.status.FailureDomain, Reason: reason,
	})
}

// appendRecord appends one record to the journal and waits until it is written.
func (p *Partition) appendRecord(ctx context.Context, pr journal.Priority, r record) error {
	b, err := encodeRecord(r)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal record of job %s", r.Job)
	}
	p.mu.Lock()
	log := p.log
	p.mu.Unlock()
	return log.Append(ctx, pr, b)
}
