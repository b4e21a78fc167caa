package memory

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Bounds the time of one task against overflow when it is slowed down.
const maxTaskTime = 365 * 24 * time.Hour

// run begins a reserved task.
func (w *Worker) run(t *task, req target.StartRequest) {
	t.State, t.Started, t.StartedAt = target.TaskRunning, true, time.Now()
	t.program = parseProgram(req.Payload)
	t.resumed, t.Checkpoint = req.Checkpoint, req.Checkpoint
	t.since, t.share = t.StartedAt, 1
	t.slowdown = w.faults.slowdown(t.Task)
	if done, err := checkpointProgress(req.Checkpoint); err != nil {
		t.program = program{err: err}
	} else {
		t.done = min(done, t.program.run)
	}
	w.starts.add(StartRecord{
		Task: t.Task, Job: t.Task.Job(), Worker: w.config.ID, Class: req.Class,
		Incarnation: w.incarnation, Epoch: req.Epoch, StartedAt: t.StartedAt,
	})
	if w.faults.FailAll || t.program.err != nil {
		w.failAtOnce(t)
		return
	}
	w.setSpeed(t)
	w.touch(t)
	w.recordUsage()
}

// failAtOnce ends a task as soon as it started: a worker that fails fast
// attracts more work than one that fails after the run time.
func (w *Worker) failAtOnce(t *task) {
	message := "the worker fails every task"
	if t.program.err != nil {
		message = t.program.err.Error()
	}
	w.end(t, target.TaskFailed, nil, message)
}

// setSpeed takes stock of the progress and plans the end at the present speed.
func (w *Worker) setSpeed(t *task) {
	t.done, t.since = t.progress(), time.Now()
	t.speed = t.share / t.slowdown
	left := min(float64(t.program.run-t.done)/t.speed, float64(maxTaskTime))
	if t.finish != nil {
		t.finish.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Duration(left), func() { w.finished(t, &timer) })
	t.finish = timer
}

// finished runs when a task has done its run time. The timer tells a timer
// that was replaced but could not be stopped any more from the present one.
func (w *Worker) finished(t *task, timer **time.Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.State != target.TaskRunning || t.finish != *timer {
		return
	}
	if t.program.fail {
		w.end(t, target.TaskFailed, nil, "the task failed as its payload says")
		return
	}
	w.end(t, target.TaskSucceeded, w.result(t), "")
}

// beginCheckpoint saves the progress as it is now; its name appears in the
// status once it is written.
func (w *Worker) beginCheckpoint(t *task) {
	if t.checkpoint != nil {
		return
	}
	name := checkpointName(t.Task, t.progress())
	t.checkpoint = time.AfterFunc(w.config.CheckpointDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.Task] != t || t.State != target.TaskRunning {
			return
		}
		t.checkpoint = nil
		t.Checkpoint = name
		w.touch(t)
	})
}

// running returns a task that runs; others yield not_found or conflict.
func (w *Worker) running(t *task, ok bool) error {
	switch {
	case !ok:
		return errkind.New(errkind.NotFound, "worker %s does not know the task", w.config.ID)
	case t.State != target.TaskRunning:
		return errkind.New(errkind.Conflict, "task %s is %s, not running", t.Task, t.State)
	default:
		return nil
	}
}
