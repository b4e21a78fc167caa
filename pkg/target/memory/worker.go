// Package memory is an in-memory worker that runs simulated tasks, with fault
// switches. It takes the time from package time only, so it runs under
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
	// DefaultMaxEndedTasks covers 20 s of the shortest tasks on 8 slots, longer
	// than a task lease, at about 8 MB a worker.
	DefaultMaxEndedTasks = 16384
)

// Config configures a Worker; a zero field takes its default.
type Config struct {
	ID    string
	Slots int // one per task
	// Accelerators is the number of accelerators; negative means none.
	Accelerators int
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation     int64
	CheckpointDelay time.Duration // negative means none
	UsageLag        time.Duration // negative means none
	MaxStartRecords int           // newest task starts kept
	// MaxEndedTasks is the number of ended and fenced tasks whose identity is
	// remembered, so that it cannot start again.
	MaxEndedTasks int
	// IgnoreEpochs switches the epoch check off; only tests that show what the
	// check protects from set it.
	IgnoreEpochs bool
}

func (c Config) withDefaults() Config {
	c.Slots = preset(c.Slots, target.DefaultSlots)
	c.Accelerators = max(0, preset(c.Accelerators, DefaultAccelerators))
	c.Incarnation = preset(c.Incarnation, time.Now().UnixNano())
	c.CheckpointDelay = max(0, preset(c.CheckpointDelay, DefaultCheckpointDelay))
	c.UsageLag = max(0, preset(c.UsageLag, DefaultUsageLag))
	c.MaxStartRecords = preset(c.MaxStartRecords, DefaultMaxStartRecords)
	c.MaxEndedTasks = preset(c.MaxEndedTasks, DefaultMaxEndedTasks)
	return c
}

func preset[T int | int64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Worker implements target.Target. It holds no goroutines; Close stops its
// tasks and ends waiting calls.
type Worker struct {
	config Config

	mu          sync.Mutex
	incarnation int64
	epoch       int64 // newest epoch seen
	seq         int64 // number of the newest change
	leaving     bool
	closed      bool
	tasks       map[api.TaskID]*task
	live        map[api.TaskID]*task // those of tasks that hold a place
	order       *list.List           // tasks by their newest change, oldest first
	ended       []api.TaskID
	results     resultBudget
	busy        []api.TaskID  // task that holds each accelerator
	changed     chan struct{} // closed and replaced at each change
	faults      Faults
	starts      startLog
	usage       usageLog
}

// NewWorker returns a worker without tasks.
func NewWorker(config Config) *Worker {
	config = config.withDefaults()
	w := &Worker{config: config, incarnation: config.Incarnation, changed: make(chan struct{})}
	w.starts.limit = config.MaxStartRecords
	w.usage.lag = config.UsageLag
	w.clear()
	return w
}

// clear forgets all tasks, epochs and changes.
func (w *Worker) clear() {
	for _, t := range w.live {
		t.stopTimers()
	}
	w.tasks, w.live = map[api.TaskID]*task{}, map[api.TaskID]*task{}
	w.order = list.New()
	w.ended = nil
	w.results = resultBudget{}
	w.busy = make([]api.TaskID, w.config.Accelerators)
	// Changes are numbered from 1: a caller that passed back a sequence number
	// of 0 would ask for all tasks again and not wait.
	w.epoch, w.seq = 0, 1
	w.recordUsage()
}

// ID returns the name of the worker.
func (w *Worker) ID() string { return w.config.ID }

// Incarnation returns the incarnation of the worker process.
func (w *Worker) Incarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Restart acts like a crash and a new start of the worker process: all tasks
// are gone, nothing is remembered, and the incarnation is new. The start log
// and the fault switches stay. It returns the new incarnation.
func (w *Worker) Restart() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = max(w.incarnation+1, time.Now().UnixNano())
	w.leaving = false
	w.clear()
	w.wake()
	return w.incarnation
}

// Close stops all tasks, ends waiting calls and refuses further ones.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.clear()
	w.wake()
}

// SetLeaving sets whether the worker is about to leave: it then refuses new
// reservations, and Sync says so.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving != leaving {
		w.leaving = leaving
		w.bump()
	}
}

// LiveTasks returns the number of tasks that run or hold a reservation.
func (w *Worker) LiveTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.live)
}

// bump numbers a change and wakes the waiting calls.
func (w *Worker) bump() {
	w.seq++
	w.wake()
}

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// enter locks the worker for one call, unless a fault keeps the call from
// being answered. On success the caller must unlock.
func (w *Worker) enter(ctx context.Context) error {
	for {
		w.mu.Lock()
		err := w.reachable(ctx)
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

func (w *Worker) reachable(ctx context.Context) error {
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

// enterEpoch locks the worker and refuses an epoch below the newest seen.
func (w *Worker) enterEpoch(ctx context.Context, epoch int64) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	if err := w.checkEpoch(epoch); err != nil {
		w.mu.Unlock()
		return err
	}
	return nil
}

// checkEpoch records a newer epoch and wakes calls that wait under an older one.
func (w *Worker) checkEpoch(epoch int64) error {
	if w.config.IgnoreEpochs {
		return nil
	}
	if epoch < w.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d at worker %s", epoch, w.epoch, w.config.ID)
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.wake()
	}
	return nil
}
