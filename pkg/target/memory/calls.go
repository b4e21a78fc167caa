package memory

import (
	"context"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Reserve reserves a slot and accelerators for a task, see target.Target. A
// repeated call with the same accelerators renews the lease.
func (w *Worker) Reserve(ctx context.Context, req target.ReserveRequest) (target.Reservation, error) {
	if req.Task == "" || req.TTL <= 0 || hasDuplicates(req.Accelerators) {
		return target.Reservation{}, errkind.New(errkind.InvalidRequest,
			"a reservation needs a task, a positive TTL and distinct accelerators")
	}
	if err := w.beginOwnerCall(ctx, req.Epoch); err != nil {
		return target.Reservation{}, err
	}
	defer w.mu.Unlock()
	t, err := w.reserve(req)
	if err != nil {
		return target.Reservation{}, err
	}
	if req.Start != nil {
		start := *req.Start
		start.Task, start.Epoch, start.Incarnation = req.Task, req.Epoch, w.incarnation
		if err := w.start(t, start); err != nil {
			return target.Reservation{}, err
		}
	}
	return target.Reservation{Incarnation: w.incarnation}, nil
}

func (w *Worker) reserve(req target.ReserveRequest) (*task, error) {
	if t, ok := w.tasks[req.Task]; ok {
		switch {
		case t.State.Ended():
			// Reserve with Start is idempotent: the caller repeats it when it got
			// no response in time.
			if req.Start != nil && t.Started {
				return t, nil
			}
			return nil, errkind.New(errkind.Conflict, "task %s is %s", t.Task, t.State)
		case !slices.Equal(t.Accelerators, req.Accelerators):
			return nil, errkind.New(errkind.Conflict, "task %s holds accelerators %v", t.Task, t.Accelerators)
		}
		w.renewLease(t, req.TTL)
		return t, nil
	}
	if w.leaving {
		return nil, errkind.New(errkind.TargetLeaving, "worker %s is leaving", w.config.ID)
	}
	if err := w.checkCapacity(req.Accelerators); err != nil {
		return nil, err
	}
	t := &task{TaskStatus: target.TaskStatus{
		Task: req.Task, State: target.TaskReserved, Accelerators: slices.Clone(req.Accelerators), Meta: req.Meta,
	}}
	for _, a := range req.Accelerators {
		w.acceleratorTasks[a] = req.Task
	}
	w.tasks[req.Task], w.liveTasks[req.Task] = t, t
	w.renewLease(t, req.TTL)
	w.recordTaskChange(t)
	w.recordUsage()
	return t, nil
}

func (w *Worker) checkCapacity(accelerators []int) error {
	if len(w.liveTasks) >= w.config.Slots {
		return errkind.New(errkind.CapacityExceeded, "all %d slots of worker %s are taken", w.config.Slots, w.config.ID)
	}
	for _, a := range accelerators {
		if a < 0 || a >= len(w.acceleratorTasks) {
			return errkind.New(errkind.CapacityExceeded, "worker %s has no accelerator %d", w.config.ID, a)
		}
		if w.acceleratorTasks[a] != "" {
			return errkind.New(errkind.CapacityExceeded, "accelerator %d of worker %s is taken by %s", a, w.config.ID, w.acceleratorTasks[a])
		}
	}
	return nil
}

// Start starts a reserved task, see target.Target. A leaving worker still starts
// its reserved tasks, since other tasks of the same gang may already run.
func (w *Worker) Start(ctx context.Context, req target.StartRequest) error {
	if err := w.beginOwnerCall(ctx, req.Epoch); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if req.Incarnation != w.incarnation {
		return errkind.New(errkind.Conflict, "worker %s has incarnation %d, not %d", w.config.ID, w.incarnation, req.Incarnation)
	}
	t, ok := w.tasks[req.Task]
	if !ok {
		return errkind.New(errkind.NotFound, "worker %s has no reservation for task %s", w.config.ID, req.Task)
	}
	return w.start(t, req)
}

// start starts a reserved task; it does nothing if the task was already started.
func (w *Worker) start(t *task, req target.StartRequest) error {
	if !t.Started {
		if t.State != target.TaskReserved {
			return errkind.New(errkind.Conflict, "task %s is %s", t.Task, t.State)
		}
		w.beginRun(t, req)
	}
	if w.faults.LoseStartAnswers > 0 {
		w.faults.LoseStartAnswers--
		return errkind.New(errkind.Unavailable, "the answer of worker %s was lost", w.config.ID)
	}
	return nil
}

// Fence returns the status of the task and prevents a task that was never started
// from being started later, see target.Target.
func (w *Worker) Fence(ctx context.Context, id api.TaskID, epoch int64) (target.TaskStatus, error) {
	if id == "" {
		return target.TaskStatus{}, errkind.New(errkind.InvalidRequest, "a fence needs a task")
	}
	if err := w.beginOwnerCall(ctx, epoch); err != nil {
		return target.TaskStatus{}, err
	}
	defer w.mu.Unlock()
	return w.fence(id).TaskStatus, nil
}

func (w *Worker) fence(id api.TaskID) *task {
	t, ok := w.tasks[id]
	switch {
	case !ok:
		t = &task{TaskStatus: target.TaskStatus{Task: id, State: target.TaskFenced}}
		w.tasks[id] = t
		w.retainEnded(t)
		w.recordTaskChange(t)
	case t.State == target.TaskReserved:
		w.end(t, target.TaskFenced, nil, "")
	case !t.Started && t.State != target.TaskFenced:
		t.State = target.TaskFenced
		w.recordTaskChange(t)
	}
	return t
}

// Release releases a reservation whose task was not started, see target.Target.
func (w *Worker) Release(ctx context.Context, id api.TaskID, epoch int64) error {
	_, err := w.Fence(ctx, id, epoch)
	return err
}

// Checkpoint requests a checkpoint of a running task; it has no effect while one
// is being written.
func (w *Worker) Checkpoint(ctx context.Context, id api.TaskID, epoch int64) error {
	if err := w.beginOwnerCall(ctx, epoch); err != nil {
		return err
	}
	defer w.mu.Unlock()
	t, ok := w.tasks[id]
	if err := w.checkRunning(t, ok); err != nil {
		return err
	}
	w.beginCheckpoint(t)
	return nil
}

// Throttle limits a running task to share (0..1] of its processors.
func (w *Worker) Throttle(ctx context.Context, id api.TaskID, epoch int64, share float64) error {
	if !(share > 0 && share <= 1) {
		return errkind.New(errkind.InvalidRequest, "share %v is not within 0..1", share)
	}
	if err := w.beginOwnerCall(ctx, epoch); err != nil {
		return err
	}
	defer w.mu.Unlock()
	t, ok := w.tasks[id]
	if err := w.checkRunning(t, ok); err != nil {
		return err
	}
	t.share, t.Throttled = share, share < 1
	w.updateSpeed(t)
	w.recordTaskChange(t)
	return nil
}

// Stop stops the task and releases its slot and accelerators; it has no effect on
// an ended task.
func (w *Worker) Stop(ctx context.Context, id api.TaskID, epoch int64) error {
	if err := w.beginOwnerCall(ctx, epoch); err != nil {
		return err
	}
	defer w.mu.Unlock()
	t, ok := w.tasks[id]
	if !ok {
		return errkind.New(errkind.NotFound, "worker %s does not know task %s", w.config.ID, id)
	}
	if !t.State.Ended() {
		w.end(t, target.TaskStopped, nil, "stopped on request")
	}
	return nil
}

func hasDuplicates(accelerators []int) bool {
	sorted := slices.Sorted(slices.Values(accelerators))
	return len(slices.Compact(sorted)) != len(accelerators)
}
