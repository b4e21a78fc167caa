package memory

import (
	"container/list"
	"encoding/json"
	"time"

	"github.com/carawayusher/carawayusher/pkg/target"
)

// maxResultBytes limits the total size of the results that a worker keeps for its
// ended tasks.
const maxResultBytes = 8 << 20

// task is one task of the worker, live or ended.
type task struct {
	target.TaskStatus
	seq         int64 // sequence number of its newest change
	element     *list.Element
	leaseTimer  *time.Timer
	leaseExpiry time.Time

	// The fields below are set while the task runs.
	program         program
	resumedFrom     string        // name of the checkpoint that the task resumed from
	doneRunTime     time.Duration // run time completed until doneAt
	doneAt          time.Time
	speed           float64 // run time completed per second
	slowdown        float64 // factor by which a straggler runs longer; 1 for other tasks
	share           float64 // share of the processors, see Throttle
	finishTimer     *time.Timer
	checkpointTimer *time.Timer // not nil while a checkpoint is being written
}

func (t *task) stopTimers() {
	for _, timer := range []*time.Timer{t.leaseTimer, t.finishTimer, t.checkpointTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// progress returns the run time completed so far.
func (t *task) progress() time.Duration {
	done := t.doneRunTime + time.Duration(float64(time.Since(t.doneAt))*t.speed)
	return min(done, t.program.runTime)
}

// recordTaskChange records a change of the task, so that Sync reports it.
func (w *Worker) recordTaskChange(t *task) {
	w.recordChange()
	t.seq = w.seq
	if t.element == nil {
		t.element = w.tasksByChange.PushBack(t)
		return
	}
	w.tasksByChange.MoveToBack(t.element)
}

// renewLease renews the lease of a live task.
func (w *Worker) renewLease(t *task, ttl time.Duration) {
	t.leaseExpiry = time.Now().Add(ttl)
	if t.leaseTimer == nil {
		t.leaseTimer = time.AfterFunc(ttl, func() { w.expireLease(t) })
		return
	}
	t.leaseTimer.Reset(ttl)
}

// expireLease runs when the lease timer fires. It ends the task, unless the lease
// was renewed in the meantime.
func (w *Worker) expireLease(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.State.Ended() {
		return
	}
	if left := time.Until(t.leaseExpiry); left > 0 {
		t.leaseTimer.Reset(left)
		return
	}
	w.end(t, target.TaskLeaseExpired, nil, "the lease ran out")
}

// end ends a live task: it releases the slot and the accelerators and retains the
// identity of the task.
func (w *Worker) end(t *task, state target.TaskState, result json.RawMessage, message string) {
	t.stopTimers()
	t.leaseTimer, t.finishTimer, t.checkpointTimer, t.program = nil, nil, nil, program{}
	t.State, t.Result, t.Error = state, result, message
	for _, a := range t.Accelerators {
		w.acceleratorTasks[a] = ""
	}
	delete(w.liveTasks, t.Task)
	w.retainEnded(t)
	w.recordTaskChange(t)
	w.recordUsage()
}

// retainEnded retains the identity of an ended task and drops the oldest ones
// above MaxEndedTasks.
func (w *Worker) retainEnded(t *task) {
	w.endedIDs = append(w.endedIDs, t.Task)
	w.results.add(t)
	for len(w.endedIDs) > w.config.MaxEndedTasks {
		old := w.tasks[w.endedIDs[0]]
		w.endedIDs = w.endedIDs[1:]
		w.tasksByChange.Remove(old.element)
		delete(w.tasks, old.Task)
	}
}

// resultBudget drops the oldest results when the total size exceeds
// maxResultBytes.
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
