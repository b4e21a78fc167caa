// Package gateway implements the job API behind the HTTP handler of each VM. It stores
// jobs and cancellations in the platform's store, and queries job states from the owner
// of the fleet or, without one, from the store. It never schedules jobs.
package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Timings of calls.
const (
	// storeRetryDelay is the delay before a failed call to the store is retried.
	storeRetryDelay = 60 * time.Millisecond
	// refusalTimeout is how long a write is retried against a store that refuses every
	// call, before the caller is told to retry at another VM.
	refusalTimeout = 600 * time.Millisecond
	// ownerTimeout bounds a query to the owner; after it the store is queried.
	ownerTimeout = 400 * time.Millisecond
	// RetryAfter is the Retry-After of refused calls. By then another VM, or this one
	// after a typical disturbance of the store, may accept the job.
	RetryAfter = time.Second
	// maxNotifyAge is the age of a job from which the owner is not notified of it. It is
	// far below the retention of ended jobs: a notification that arrives after the deletion
	// of its job would add the job again.
	maxNotifyAge = 30 * time.Second
	// impossibleRetryAfter is the Retry-After for a job that fits on no worker. Only
	// larger machines would help, and adding those takes longer.
	impossibleRetryAfter = time.Minute
	// memoryRetryAfter is the Retry-After for a job that does not fit into the memory, if the owner
	// has told it. Jobs that fill it last for minutes.
	memoryRetryAfter = 30 * time.Second
)

// Owner queries and notifies the owner of the fleet.
type Owner interface {
	// State returns a job's state; kind not_found is an unknown job, and kind
	// unavailable an owner that cannot answer. Kind stale_epoch comes with a state that
	// may be outdated, since the lease of the owner has run out.
	State(ctx context.Context, id string, queue workload.QueueRef) (workload.State, error)
	// QueueLength returns the number of a queue's jobs that have not started, or kinds as
	// State.
	QueueLength(ctx context.Context, queue workload.QueueRef) (int, error)
	// MaximalCapacities returns the worker capacities of a service that no other
	// worker of the service exceeds; none if they are not known. They may be up to 30 s
	// old. CurrentCapacities asks the owner.
	MaximalCapacities(service string) []workload.Resources
	CurrentCapacities(ctx context.Context, service string) []workload.Resources
	// NotifySubmitted and NotifyCancelRequested announce a record that was just
	// stored. They do not block and may fail silently: the owner watches the store
	// as well.
	NotifySubmitted(j *workload.Job)
	NotifyCancelRequested(id string)
}

// Options configures a Gateway.
type Options struct {
	Store platform.Transactor
	Owner Owner
	Relay Relay // nil: calls are not relayed
	// Load returns the load of a service with a lasting shortage, as known from the owner within
	// the last second; nil admits every job.
	Load func(service string) *shortage.Load
	// ReserveMemory reserves memory of the owner for a job; nil admits every job.
	ReserveMemory func(ctx context.Context, j *workload.Job) Reservation
	Metrics       *metrics.Set // nil disables metrics
	Now           func() time.Time
	Log           logr.Logger
}

// Gateway accepts, cancels and queries jobs.
type Gateway struct {
	opts       Options
	timeout    storecall.AdaptiveTimeout
	tombstones *tombstones
}

// New returns a Gateway.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, tombstones: newTombstones(opts.Store)}
}

// Accept stores a job. Kinds unavailable and impossible mean that it was not accepted, kind
// cancelled that it was cancelled before and never runs, kind timeout that it may have been
// accepted. It is idempotent: a repeated call for the same job succeeds.
func (g *Gateway) Accept(ctx context.Context, j *workload.Job) error {
	if err := j.Validate(); err != nil {
		return err
	}
	j.AcceptedUnixMS = g.opts.Now().UnixMilli()
	value, err := workload.EncodeJob(j)
	if err != nil {
		return err
	}
	if err := g.checkFeasible(ctx, j); err != nil {
		return err
	}
	if err := g.checkAdmission(ctx, j); err != nil {
		return err
	}
	release, err := g.reserveMemory(ctx, j)
	if err != nil {
		return err
	}
	defer release()
	return g.withRelay(ctx, func(ctx context.Context) error {
		return g.storeJob(ctx, j, value)
	}, func(ctx context.Context) error {
		return g.opts.Relay.Accept(ctx, j)
	})
}

// checkFeasible refuses a job with a task that does not fit on any worker of its service
// even when idle, since it would stay queued forever. A job that was accepted before,
// when there were larger workers, stays accepted.
func (g *Gateway) checkFeasible(ctx context.Context, j *workload.Job) error {
	if stepBeyond(j, g.opts.Owner.MaximalCapacities(j.Class.Service)) < 0 {
		return nil
	}
	// A larger worker may have come since.
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	n := stepBeyond(j, g.opts.Owner.CurrentCapacities(ownerCtx, j.Class.Service))
	cancel()
	if n < 0 {
		return nil
	}
	entries, err := lister(g.visit).all(ctx, fleet.JobKey(j.ID))
	if err != nil {
		return err
	}
	if stored, _, err := g.findJob(entries, j.ID); err != nil || stored != nil {
		return err
	}
	demand := j.Steps[n].Demand()
	return errkind.New(errkind.Impossible, "step %d: no worker holds a task with %d accelerators, %d thousandths of a core and %d MiB",
		n, demand.Accelerators, demand.MilliCPU, demand.MemoryMiB).WithRetryAfter(impossibleRetryAfter)
}

// stepBeyond returns the first step of a job with a task that exceeds all capacities, or -1 if
// there is none or the capacities are not known.
func stepBeyond(j *workload.Job, capacities []workload.Resources) int {
	if len(capacities) == 0 {
		return -1
	}
	return slices.IndexFunc(j.Steps, func(s workload.Step) bool { return !slices.ContainsFunc(capacities, s.Demand().Fits) })
}

// storeJob creates the record of a job unless it exists or the job was cancelled. The store
// checks both when it carries out the write, however late that is.
func (g *Gateway) storeJob(ctx context.Context, j *workload.Job, value []byte) error {
	key := fleet.JobKey(j.ID)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key}, {Key: fleet.TombstoneKey(j.ID)}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	res, err := g.commit(ctx, txn)
	if errkind.Is(err, errkind.Conflict) {
		// The write may be this one, sent twice, or that of a VM that did not notify the owner.
		j, err = g.sameJob(j, res.Current)
	}
	if err == nil && g.opts.Now().UnixMilli()-j.AcceptedUnixMS < maxNotifyAge.Milliseconds() {
		g.opts.Owner.NotifySubmitted(j)
	}
	return err
}

// sameJob returns the stored record of a job that the store has refused to create. Kind
// conflict means that another job is stored under the ID, kind cancelled that the job was
// cancelled before it was stored.
func (g *Gateway) sameJob(j *workload.Job, current []platform.Entry) (*workload.Job, error) {
	stored, _, err := g.findJob(current, j.ID)
	switch {
	case err != nil:
		return nil, err
	case stored != nil && stored.In(j.QueueRef()) && stored.Workspace == j.Workspace:
		return stored, nil
	case stored != nil:
		return nil, errkind.New(errkind.Conflict, "the ID belongs to another job")
	case slices.ContainsFunc(current, func(e platform.Entry) bool { return e.Key == fleet.TombstoneKey(j.ID) && e.Version > 0 }):
		g.opts.Metrics.Event("submit_after_cancel")
		return nil, errkind.New(errkind.Cancelled, "the job was cancelled before it was accepted").WithRetryAfter(tombstoneLeaseTTL)
	}
	return nil, errNoRecord()
}

// errNoRecord is the error for a refused transaction whose answer does not show why.
func errNoRecord() error {
	return errkind.New(errkind.Timeout, "the store refused the job as existing but does not return it")
}

// commit retries a transaction until it has a definite outcome. A write without an
// answer may still take effect, so later refusals leave the outcome unknown. Kind not_found
// means that the store does not have the lease of a write.
func (g *Gateway) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	startedAt, unknown := g.opts.Now(), false
	for {
		res, err := storecall.Hedge(ctx, &g.timeout, func(ctx context.Context) (platform.TxnResult, error) {
			return g.opts.Store.Commit(ctx, txn)
		})
		switch {
		case err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound):
			return res, err
		case errkind.Is(err, errkind.StoreUnavailable):
			unknown = true
		case !unknown && g.opts.Now().Sub(startedAt) >= refusalTimeout:
			return res, errkind.Wrap(err, errkind.Unavailable, "the store refuses calls").WithRetryAfter(RetryAfter)
		}
		if !wait.Sleep(ctx, storeRetryDelay) {
			if unknown {
				return res, errkind.Wrap(err, errkind.Timeout, "the store did not answer in time")
			}
			return res, errkind.Wrap(err, errkind.Unavailable, "the store refuses calls").WithRetryAfter(RetryAfter)
		}
	}
}

// Cancel marks a job as cancelled. An unknown job has kind not_found, and a submission of it
// that is still on its way is refused from then on.
func (g *Gateway) Cancel(ctx context.Context, id string, queue workload.QueueRef) error {
	return g.withRelay(ctx, func(ctx context.Context) error {
		return g.cancel(ctx, id, queue)
	}, func(ctx context.Context) error {
		return g.opts.Relay.Cancel(ctx, id, queue)
	})
}

func (g *Gateway) cancel(ctx context.Context, id string, queue workload.QueueRef) error {
	entries, err := lister(g.visit).all(ctx, fleet.JobKey(id))
	if err != nil {
		return err
	}
	stored, cancelled, err := g.findJob(entries, id)
	if err == nil && stored == nil {
		stored, err = g.preventSubmission(ctx, id)
	}
	if err != nil {
		return err
	}
	if err := checkQueue(stored, queue); err != nil {
		return err
	}
	if !cancelled {
		_, err = g.commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: fleet.CancelKey(id)}},
			Writes:     []platform.Write{{Key: fleet.CancelKey(id)}},
		})
		if err != nil && !errkind.Is(err, errkind.Conflict) {
			return err
		}
	}
	// It may have been stored by this call, sent twice, or by a VM that did not notify the
	// owner.
	g.opts.Owner.NotifyCancelRequested(id)
	return nil
}

// checkQueue returns not_found if a job does not exist or is not one of a queue.
func checkQueue(stored *workload.Job, queue workload.QueueRef) error {
	switch {
	case stored == nil:
		return errNotStored()
	case !stored.In(queue):
		return errkind.New(errkind.NotFound, "it was handed in to queue %q at %q, not to %q at %q", stored.Queue, stored.QueueAddress, queue.Name, queue.Address)
	}
	return nil
}

func errNotStored() error { return errkind.New(errkind.NotFound, "it is not stored") }

// findJob returns the record of a job, nil if there is none, and whether its cancellation is
// requested.
func (g *Gateway) findJob(entries []platform.Entry, id string) (stored *workload.Job, cancelled bool, err error) {
	for _, e := range entries {
		switch {
		case e.Version == 0: // an absent key of a refused transaction
		case e.Key == fleet.JobKey(id):
			if stored, err = workload.DecodeJob(e.Value); err != nil {
				return nil, false, err
			}
		case e.Key == fleet.CancelKey(id):
			cancelled = true
		}
	}
	return stored, cancelled, nil
}

// State returns the state of a job; an unknown job has kind not_found.
func (g *Gateway) State(ctx context.Context, id string, queue workload.QueueRef) (workload.State, error) {
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	state, err := g.opts.Owner.State(ownerCtx, id, queue)
	cancel()
	return current(g, state, err, func(read lister) (workload.State, error) { return g.stateFromStore(ctx, read, id, queue) })
}

// lister reads all entries below a prefix and passes each to visit, until it returns an error.
type lister func(ctx context.Context, prefix string, visit func(platform.Entry) error) error

// current returns the owner's answer if it is up to date, and otherwise that of the store. If
// the store does not answer either, an answer of an owner whose lease has run out is the best
// that is known, and the store is asked once only.
func current[T any](g *Gateway, answer T, ownerErr error, fromStore func(lister) (T, error)) (T, error) {
	if ownerErr == nil {
		return answer, nil
	}
	if !errkind.Is(ownerErr, errkind.StaleEpoch) {
		return fromStore(g.visit)
	}
	stored, err := fromStore(g.visitOnce)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return answer, nil
	}
	return stored, err
}

func (g *Gateway) stateFromStore(ctx context.Context, read lister, id string, queue workload.QueueRef) (workload.State, error) {
	entries, err := read.all(ctx, fleet.JobKey(id))
	if err != nil {
		return "", err
	}
	stored, _, err := g.findJob(entries, id)
	if err != nil {
		return "", err
	}
	if err := checkQueue(stored, queue); err != nil {
		return "", err
	}
	progress, err := read.all(ctx, fleet.ProgressKey(id))
	if err != nil {
		return "", err
	}
	for _, e := range progress {
		if e.Key == fleet.ProgressKey(id) {
			return workload.DecodeClientState(e.Value)
		}
	}
	return workload.Queued, nil
}

// QueueLength returns the number of a queue's jobs that have not started.
func (g *Gateway) QueueLength(ctx context.Context, queue workload.QueueRef) (int, error) {
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	n, err := g.opts.Owner.QueueLength(ownerCtx, queue)
	cancel()
	return current(g, n, err, func(read lister) (int, error) { return g.queueLengthFromStore(ctx, read, queue) })
}

// queueLengthFromStore counts the jobs page by page, as all records together may exceed the
// memory of the VM.
func (g *Gateway) queueLengthFromStore(ctx context.Context, read lister, queue workload.QueueRef) (int, error) {
	begun, n := map[string]bool{}, 0
	err := read(ctx, fleet.ProgressPrefix, func(e platform.Entry) error {
		state, err := workload.DecodeClientState(e.Value)
		if err == nil && state != workload.Queued {
			begun[strings.TrimPrefix(e.Key, fleet.ProgressPrefix)] = true
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	err = read(ctx, fleet.JobPrefix, func(e platform.Entry) error {
		id := strings.TrimPrefix(e.Key, fleet.JobPrefix)
		if strings.Contains(id, "/") || begun[id] {
			return nil // a cancellation record, or a job that does not wait
		}
		j, err := workload.DecodeJob(e.Value)
		if err == nil && j.In(queue) {
			n++
		}
		return err
	})
	return n, err
}

// all returns the entries that a lister visits below a prefix that has few of them.
func (read lister) all(ctx context.Context, prefix string) (entries []platform.Entry, err error) {
	err = read(ctx, prefix, func(e platform.Entry) error {
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// visit is a lister that retries failed calls until ctx ends.
func (g *Gateway) visit(ctx context.Context, prefix string, visit func(platform.Entry) error) error {
	return g.visitPages(ctx, prefix, visit, func() bool { return wait.Sleep(ctx, storeRetryDelay) })
}

// visitOnce is a lister without retries.
func (g *Gateway) visitOnce(ctx context.Context, prefix string, visit func(platform.Entry) error) error {
	return g.visitPages(ctx, prefix, visit, func() bool { return false })
}

// visitPages reads all pages of a prefix; retry is asked after a failed call.
func (g *Gateway) visitPages(ctx context.Context, prefix string, visit func(platform.Entry) error, retry func() bool) error {
	after := ""
	for {
		sentAt := time.Now()
		tryCtx, cancel := storecall.WithProgressTimeout(ctx, g.timeout.Next())
		page, err := g.opts.Store.List(tryCtx, prefix, after, 0)
		cancel()
		g.timeout.RecordCall(sentAt, !errkind.Is(err, errkind.StoreUnavailable))
		if err != nil {
			if !retry() {
				// Reads change nothing, so the outcome is not in doubt.
				return errkind.Wrap(err, errkind.Unavailable, "the store did not answer in time").WithRetryAfter(RetryAfter)
			}
			continue
		}
		for _, e := range page.Entries {
			if err := visit(e); err != nil {
				return err
			}
		}
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
