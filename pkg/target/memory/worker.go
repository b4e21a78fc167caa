// Package memory implements a target in memory: a worker that runs simulated
// tasks, with injectable faults. Tests, the embedded mode and the stand-in worker
// use it. Its only clock is package time, so that it works under
// testing/synctest.
package memory

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Defaults of Config.
const (
	DefaultAccelerators    = 8
	DefaultCheckpointDelay = 100 * time.Millisecond
	DefaultUsageLag        = 2 * time.Second
	DefaultMaxStartRecords = 65536
	// DefaultMaxEndedTasks covers 20 s of the shortest tasks on 8 slots, which is
	// longer than a task lease, and takes about 8 MB per worker.
	DefaultMaxEndedTasks = 16384
)

// Config configures a Worker; a zero field takes its default.
type Config struct {
	ID    string
	Slots int // number of slots; each task takes one
	// Accelerators is the number of accelerators; negative means none.
	Accelerators int
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation     int64
	CheckpointDelay time.Duration // negative means none
	UsageLag        time.Duration // negative means none
	MaxStartRecords int           // number of newest task starts to keep
	// MaxEndedTasks is the number of ended and fenced tasks whose identities are
	// kept, so that they can't be started again.
	MaxEndedTasks int
	// IgnoreEpochs disables the epoch check. Only tests set it, to show which
	// faults the check prevents.
	IgnoreEpochs bool
}

func (c Config) withDefaults() Config {
	c.Slots = valueOrDefault(c.Slots, target.DefaultSlots)
	c.Accelerators = max(0, valueOrDefault(c.Accelerators, DefaultAccelerators))
	c.Incarnation = valueOrDefault(c.Incarnation, time.Now().UnixNano())
	c.CheckpointDelay = max(0, valueOrDefault(c.CheckpointDelay, DefaultCheckpointDelay))
	c.UsageLag = max(0, valueOrDefault(c.UsageLag, DefaultUsageLag))
	c.MaxStartRecords = valueOrDefault(c.MaxStartRecords, DefaultMaxStartRecords)
	c.MaxEndedTasks = valueOrDefault(c.MaxEndedTasks, DefaultMaxEndedTasks)
	return c
}

func valueOrDefault[T int | int64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Worker implements target.Target. It runs no goroutines of its own; Close stops
// its tasks and ends waiting calls.
type Worker struct {
	config Config

	mu               sync.Mutex
	incarnation      int64
	epoch            int64 // newest epoch seen
	seq              int64 // sequence number of the newest change
	leaving          bool
	closed           bool
	tasks            map[api.TaskID]*task
	liveTasks        map[api.TaskID]*task // reserved and running tasks, a subset of tasks
	tasksByChange    *list.List           // all tasks, ordered by their newest change, oldest first
	endedIDs         []api.TaskID
	results          resultBudget
	acceleratorTasks []api.TaskID  // task that holds each accelerator, empty if it is free
	changed          chan struct{} // closed and replaced at each change
	faults           Faults
	starts           startLog
	usage            usageLog
}

// NewWorker returns a worker without tasks.
func NewWorker(config Config) *Worker {
	config = config.withDefaults()
	w := &Worker{config: config, incarnation: config.Incarnation, changed: make(chan struct{})}
	w.starts.limit = config.MaxStartRecords
	w.usage.lag = config.UsageLag
	w.reset()
	return w
}

// reset removes all tasks and resets the epoch and the sequence numbers.
func (w *Worker) reset() {
	for _, t := range w.liveTasks {
		t.stopTimers()
	}
	w.tasks, w.liveTasks = map[api.TaskID]*task{}, map[api.TaskID]*task{}
	w.tasksByChange = list.New()
	w.endedIDs = nil
	w.results = resultBudget{}
	w.acceleratorTasks = make([]api.TaskID, w.config.Accelerators)
	// Sequence numbers begin at 1: a caller that passed back a sequence number of 0
	// would request all tasks again and not wait.
	w.epoch, w.seq = 0, 1
	w.recordUsage()
}

// ID returns the ID of the worker.
func (w *Worker) ID() string { return w.config.ID }

// Incarnation returns the incarnation of the worker process.
func (w *Worker) Incarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Restart simulates a crash and restart of the worker process: all tasks and
// their identities are lost, and the incarnation changes. The start log and the
// injected faults are kept. It returns the new incarnation.
func (w *Worker) Restart() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = max(w.incarnation+1, time.Now().UnixNano())
	w.leaving = false
	w.reset()
	w.notifyWaiters()
	return w.incarnation
}

// Close stops all tasks, ends waiting calls and rejects further ones.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.reset()
	w.notifyWaiters()
}

// SetLeaving sets whether the worker is about to leave. A leaving worker rejects
// new reservations, and Sync reports it as leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving != leaving {
		w.leaving = leaving
		w.recordChange()
	}
}

// LiveTasks returns the number of reserved and running tasks.
func (w *Worker) LiveTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.liveTasks)
}

// recordChange assigns a sequence number to a change and wakes the waiting calls.
func (w *Worker) recordChange() {
	w.seq++
	w.notifyWaiters()
}

func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// beginCall locks the worker for one call. It blocks while the worker is paused,
// and fails if the worker is unreachable or closed or if ctx ends. On success the
// caller must unlock.
func (w *Worker) beginCall(ctx context.Context) error {
	for {
		w.mu.Lock()
		err := w.checkReachable(ctx)
		if err == nil && !w.faults.Pause {
			return nil
		}
		changed := w.changed
		w.mu.Unlock()
		if err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *Worker) checkReachable(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "no answer from worker %s in time", w.config.ID)
	case w.closed:
		return errkind.New(errkind.Unavailable, "worker %s is closed", w.config.ID)
	case w.faults.RefuseConnections:
		return errkind.New(errkind.Unavailable, "worker %s refused the connection", w.config.ID)
	default:
		return nil
	}
}

// beginOwnerCall is beginCall for the call of an owner; it rejects an epoch older
// than the newest seen.
func (w *Worker) beginOwnerCall(ctx context.Context, epoch int64) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	if err := w.checkEpoch(epoch); err != nil {
		w.mu.Unlock()
		return err
	}
	return nil
}

// checkEpoch rejects an epoch older than the newest seen. It records a newer one
// and wakes the waiting calls, so that those with an older epoch fail.
func (w *Worker) checkEpoch(epoch int64) error {
	if w.config.IgnoreEpochs {
		return nil
	}
	if epoch < w.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d at worker %s", epoch, w.epoch, w.config.ID)
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.notifyWaiters()
	}
	return nil
}
