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
	// sweepInterval bounds how late a lost offer, a new domain owner, a passed
	// deadline or a due retry is noticed.
	sweepInterval = 100 * time.Millisecond
	// callTimeout bounds one call to a domain's owner.
	callTimeout = 3 * time.Second
	// volatileRetention keeps the end of a job that is not durable for callers
	// whose first answer was lost.
	volatileRetention = time.Minute
	// endGrace is how long callers wait for the end to become durable before they
	// are answered without; it passes only while the store is slow or down.
	endGrace = 500 * time.Millisecond
	// loadInterval is how long an offer counts as load of its domain; the
	// summaries that heartbeats carry show it by then.
	loadInterval = 500 * time.Millisecond
	// rerouteAfter is how long a job waits in one failure domain before another
	// one with free capacity is tried.
	rerouteAfter = 1500 * time.Millisecond
)

// Gate permits or holds automatic actions.
type Gate interface {
	Allow(kind gate.Kind, workspace string, p gate.Proposal) bool
}

// RetryPolicy limits how often and how fast failed jobs are run again.
type RetryPolicy interface {
	// RecordAccepted counts an accepted job of the workspace; retries are limited to a
	// share of these.
	RecordAccepted(workspace string, now time.Time)
	// AllowRetry reports whether the workspace may retry now, and counts the retry.
	AllowRetry(workspace string, now time.Time) bool
	// Backoff returns the pause before the retry after so many failures.
	Backoff(failures int) time.Duration
}

// OpenJournal opens the journal of the partition under the owner's epoch.
type OpenJournal func(ctx context.Context, snapshot func() [][]byte) (journal.Log, journal.Recovered, error)

// Options configure a Partition.
type Options struct {
	Partition   int
	Epoch       int64
	OpenJournal OpenJournal
	// StoreReachable says whether new durable work may be accepted.
	StoreReachable func() bool
	Domains        domain.Service
	// Summaries returns the newest summary of each failure domain; a listed domain
	// that has told none has one without workers.
	Summaries func() []sched.Summary
	// DomainNames returns the failure domains that the platform lists; nil leaves
	// it to Summaries.
	DomainNames func() []string
	// DomainEpoch returns the epoch of a failure domain's present owner.
	DomainEpoch func(name string) (int64, bool)
	Config      configsync.Source
	Gate        Gate
	Retries     RetryPolicy
	Recorder    timeline.Recorder
	Log         logr.Logger
	// Retention is how long the ends of durable jobs are kept.
	Retention time.Duration
	// RetainedBytes bounds the memory of ended jobs; the oldest go first. Zero
	// means DefaultRetainedBytes.
	RetainedBytes int64
	// MaxResultBytes is the largest result that is kept; a larger one fails the job.
	// Zero means no limit.
	MaxResultBytes int64
	// Metrics may be shared by several partitions; nil counts nothing that is shown.
	Metrics *Metrics
}

// Partition owns the jobs of one partition under one epoch.
type Partition struct {
	opts Options

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// recovered is closed once the journal has been read.
	recovered chan struct{}

	mu      sync.Mutex
	jobs    map[api.JobID]*job
	active  map[api.JobID]*job // those of jobs that a sweep looks after
	ended   retained
	byKey   map[string]api.JobID
	log     journal.Log
	stopped bool
	load    map[string]int // offers per domain that its summary may not show yet
	loadAt  time.Time
}

// New returns a partition that is not yet running.
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
		recovered: make(chan struct{}),
		jobs:      map[api.JobID]*job{},
		active:    map[api.JobID]*job{},
		byKey:     map[string]api.JobID{},
		load:      map[string]int{},
	}
}

// Start recovers the partition in the background and then serves it.
func (p *Partition) Start() {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		if p.recover() {
			p.sweepLoop()
		}
	}()
}

// Stop ends the service. With flush set it first writes what is pending until
// ctx ends; without it nothing more is written.
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
			p.opts.Log.V(1).Info("journal closed with pending records", "partition", p.opts.Partition, "error", err.Error())
		}
	}
	p.cancel()
	p.wg.Wait()
}

// goRun runs fn in a goroutine that Stop waits for.
func (p *Partition) goRun(fn func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		fn()
	}()
}

// ready waits until the partition has recovered.
func (p *Partition) ready(ctx context.Context) error {
	select {
	case <-p.recovered:
	case <-p.ctx.Done():
		return errStale()
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "partition %d is recovering", p.opts.Partition)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStale()
	}
	return nil
}

func errStale() *errkind.Error {
	return errkind.New(errkind.StaleEpoch, "this VM no longer owns the partition")
}

// insert adds a job to the indexes; the caller holds the lock or is recovering.
func (p *Partition) insert(j *job) {
	p.jobs[j.status.ID] = j
	p.active[j.status.ID] = j
	if j.key != "" {
		p.byKey[jobKey(j.status.Spec.Workspace, j.key)] = j.status.ID
	}
}

func (p *Partition) remove(j *job) {
	delete(p.jobs, j.status.ID)
	delete(p.active, j.status.ID)
	if j.key != "" {
		delete(p.byKey, jobKey(j.status.Spec.Workspace, j.key))
	}
}

// snapshot returns the records that rebuild the partition's durable state. The
// state includes records that are still being appended, so that a slot of the
// ring is never reused before its record stands in a snapshot.
func (p *Partition) snapshot() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out [][]byte
	for _, j := range p.jobs {
		for _, r := range j.records() {
			b, err := encodeRecord(r)
			if err != nil {
				p.opts.Log.Error(err, "record left out of the snapshot", "job", j.status.ID)
				continue
			}
			out = append(out, b)
		}
	}
	return out
}

// event records a timeline event about a job.
func (p *Partition) event(t timeline.Type, j *job, reason string) {
	p.opts.Recorder.Record(timeline.Event{
		Type: t, Job: j.status.ID, Workspace: j.status.Spec.Workspace,
		Domain: j.status.FailureDomain, Reason: reason,
	})
}

// append journals one record and waits for it.
func (p *Partition) append(ctx context.Context, pr journal.Priority, r record) error {
	b, err := encodeRecord(r)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal record of job %s", r.Job)
	}
	p.mu.Lock()
	log := p.log
	p.mu.Unlock()
	return log.Append(ctx, pr, b)
}
