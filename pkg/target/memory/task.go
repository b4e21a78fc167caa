package memory

import (
	"container/list"
	"encoding/json"
	"time"

	"github.com/carawayusher/carawayusher/pkg/target"
)

// maxResultBytes bounds the results that a worker keeps for its ended tasks.
const maxResultBytes = 8 << 20

// task is one task at the worker, alive or ended.
type task struct {
	target.TaskStatus
	seq     int64 // number of its newest change
	element *list.Element
	lease   *time.Timer
	expires time.Time

	// The fields below are those of a running task.
	program    program
	resumed    string        // checkpoint that it started from
	done       time.Duration // run time done until since
	since      time.Time
	speed      float64 // run time done per second
	slowdown   float64 // factor of a straggler, 1 for others
	share      float64 // share of its processors
	finish     *time.Timer
	checkpoint *time.Timer // a checkpoint is being written
}

func (t *task) stopTimers() {
	for _, timer := range []*time.Timer{t.lease, t.finish, t.checkpoint} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// progress returns the run time done so far.
func (t *task) progress() time.Duration {
	done := t.done + time.Duration(float64(time.Since(t.since))*t.speed)
	return min(done, t.program.run)
}

// touch records a change of the task.
func (w *Worker) touch(t *task) {
	w.bump()
	t.seq = w.seq
	if t.element == nil {
		t.element = w.order.PushBack(t)
		return
	}
	w.order.MoveToBack(t.element)
}

// renew extends the lease of a live task.
func (w *Worker) renew(t *task, ttl time.Duration) {
	t.expires = time.Now().Add(ttl)
	if t.lease == nil {
		t.lease = time.AfterFunc(ttl, func() { w.lapse(t) })
		return
	}
	t.lease.Reset(ttl)
}

// lapse runs when the lease timer fires; the lease may have been renewed.
func (w *Worker) lapse(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.State.Ended() {
		return
	}
	if left := time.Until(t.expires); left > 0 {
		t.lease.Reset(left)
		return
	}
	w.end(t, target.TaskLeaseExpired, nil, "the lease ran out")
}

// end frees the place of a live task and remembers its identity.
func (w *Worker) end(t *task, state target.TaskState, result json.RawMessage, message string) {
	t.stopTimers()
	t.lease, t.finish, t.checkpoint, t.program = nil, nil, nil, program{}
	t.State, t.Result, t.Error = state, result, message
	for _, a := range t.Accelerators {
		w.busy[a] = ""
	}
	delete(w.live, t.Task)
	w.remember(t)
	w.touch(t)
	w.recordUsage()
}

// remember keeps the identity of an ended task and drops the oldest ones.
func (w *Worker) remember(t *task) {
	w.ended = append(w.ended, t.Task)
	w.results.add(t)
	for len(w.ended) > w.config.MaxEndedTasks {
		old := w.tasks[w.ended[0]]
		w.ended = w.ended[1:]
		w.order.Remove(old.element)
		delete(w.tasks, old.Task)
	}
}

// resultBudget drops the oldest results when all together grow too large.
type resultBudget struct {
	tasks []*task
	bytes int
}

func (b *resultBudget) add(t *task) {
	if len(t.Result) == 0 {
		return
	}
	b.tasks = append(b.tasks, t)
	b.bytes += len(t.Result)
	for b.bytes > maxResultBytes && len(b.tasks) > 1 {
		old := b.tasks[0]
		b.tasks = b.tasks[1:]
		b.bytes -= len(old.Result)
		old.Result, old.Error = nil, "the result is no longer kept"
	}
}
