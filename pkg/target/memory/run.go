package memory

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// maxRunTime limits the remaining time of a slowed-down task, which could overflow
// time.Duration.
const maxRunTime = 365 * 24 * time.Hour

// beginRun starts a reserved task and records the start.
func (w *Worker) beginRun(t *task, req target.StartRequest) {
	t.State, t.Started, t.StartedAt = target.TaskRunning, true, time.Now()
	t.program = parseProgram(req.Payload)
	t.resumedFrom, t.Checkpoint = req.Checkpoint, req.Checkpoint
	t.doneAt, t.share = t.StartedAt, 1
	t.slowdown = w.faults.slowdown(t.Task)
	if done, err := checkpointProgress(req.Checkpoint); err != nil {
		t.program = program{err: err}
	} else {
		t.doneRunTime = min(done, t.program.runTime)
	}
	w.starts.add(StartRecord{
		Task: t.Task, Job: t.Task.Job(), Worker: w.config.ID, Class: req.Class,
		Incarnation: w.incarnation, Epoch: req.Epoch, StartedAt: t.StartedAt,
	})
	if w.faults.FailAll || t.program.err != nil {
		w.failImmediately(t)
		return
	}
	w.updateSpeed(t)
	w.recordTaskChange(t)
	w.recordUsage()
}

// failImmediately ends a task right after its start. This is the harder case for
// a scheduler: a worker that fails fast attracts more tasks than one that fails
// after the run time.
func (w *Worker) failImmediately(t *task) {
	message := "the worker fails every task"
	if t.program.err != nil {
		message = t.program.err.Error()
	}
	w.end(t, target.TaskFailed, nil, message)
}

// updateSpeed records the progress so far and sets the timer for the end of the
// task at its current speed.
func (w *Worker) updateSpeed(t *task) {
	t.doneRunTime, t.doneAt = t.progress(), time.Now()
	t.speed = t.share / t.slowdown
	left := min(float64(t.program.runTime-t.doneRunTime)/t.speed, float64(maxRunTime))
	if t.finishTimer != nil {
		t.finishTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Duration(left), func() { w.completeRun(t, &timer) })
	t.finishTimer = timer
}

// completeRun ends a task whose run time is over. The timer argument identifies
// the timer that fired: one that was replaced after it had fired is ignored.
func (w *Worker) completeRun(t *task, timer **time.Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.State != target.TaskRunning || t.finishTimer != *timer {
		return
	}
	if t.program.fail {
		w.end(t, target.TaskFailed, nil, "the task failed as its payload says")
		return
	}
	w.end(t, target.TaskSucceeded, w.result(t), "")
}

// beginCheckpoint starts a checkpoint of the current progress, unless one is being
// written. Its name appears in the status after the configured delay.
func (w *Worker) beginCheckpoint(t *task) {
	if t.checkpointTimer != nil {
		return
	}
	name := checkpointName(t.Task, t.progress())
	t.checkpointTimer = time.AfterFunc(w.config.CheckpointDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.Task] != t || t.State != target.TaskRunning {
			return
		}
		t.checkpointTimer = nil
		t.Checkpoint = name
		w.recordTaskChange(t)
	})
}

// checkRunning returns an error of kind not_found for an unknown task (ok is
// false) and of kind conflict for one that is not running.
func (w *Worker) checkRunning(t *task, ok bool) error {
	switch {
	case !ok:
		return errkind.New(errkind.NotFound, "worker %s does not know the task", w.config.ID)
	case t.State != target.TaskRunning:
		return errkind.New(errkind.Conflict, "task %s is %s, not running", t.Task, t.State)
	default:
		return nil
	}
}
