package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Control of fillers beside service tasks. Fillers back off fast and come back
// slowly, since a service over its target harms its users at once.
const (
	// paceHigh and paceLow are the shares of a service's target between which the
	// fillers beside it stay as they are.
	paceHigh = 0.85
	paceLow  = 0.6
	// paceDown is the factor and paceUp the step in percent of a change.
	paceDown = 0.4
	paceUp   = 15
	// paceFirst is the percent at which a filler starts beside a service.
	paceFirst = 30
	// paceFloor is the percent below which a filler rests.
	paceFloor = 5
	// sharedLook is how long a look at a worker with both may wait; its figures
	// are of the last half second.
	sharedLook = 500 * time.Millisecond
)

// shares reports whether fillers run beside service tasks with a target; the
// lock is held.
func (w *worker) shares() bool {
	filler, target := false, false
	for r := range w.runs {
		spec := r.group.spec()
		filler = filler || spec.Filler
		target = target || (spec.LongRunning && spec.TargetLatency > 0)
	}
	return filler && target
}

// paceFillers sets the share of the fillers on a worker by how close the
// services beside them are to their targets; the lock is held.
func (o *Owner) paceFillers(w *worker) {
	if !w.shares() {
		return
	}
	worst := 0.0
	for r := range w.runs {
		spec := r.group.spec()
		if spec.LongRunning && spec.TargetLatency > 0 && r.phase == running {
			worst = max(worst, r.tail.Seconds()/spec.TargetLatency.Seconds())
		}
	}
	for r := range w.runs {
		if !r.group.spec().Filler || r.phase != running {
			continue
		}
		if next := nextPace(r.pace, worst); next != r.pace {
			r.pace = next
			o.send(w, order{kind: orderPace, run: r})
		}
	}
}

// nextPace is the percent of a filler beside a service at a share of its target.
func nextPace(pace int, share float64) int {
	switch {
	case pace > paceFirst && share == 0:
		return paceFirst // nothing is known of the service yet
	case share > paceHigh:
		next := int(paceDown * float64(pace))
		if next < paceFloor {
			next = 0
		}
		return next
	case share < paceLow:
		return min(100, pace+paceUp)
	default:
		return pace
	}
}

// sendPace orders the share of a filler. A later look orders it again if this
// one gets lost.
func (o *Owner) sendPace(w *worker, r *run) {
	o.mu.Lock()
	_, present := w.runs[r]
	percent := r.pace
	task := r.group.taskID(r.index)
	address, id := w.Address, w.ID
	o.mu.Unlock()
	if !present {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	reply, err := o.opts.Workers.Throttle(ctx, address, id, ThrottleOrder{Task: task, Run: r.number, Percent: percent, Token: o.ownership.token})
	if reply.Verdict == Fenced {
		o.endOwnership("worker " + id + " has seen a higher token")
		return
	}
	o.opts.Log.V(1).Info("filler paced", "task", task.String(), "worker", id, "percent", percent, "verdict", reply.Verdict, "error", errorText(err))
	if reply.Verdict == Unanswered {
		o.mu.Lock()
		r.pace = unknownPace
		o.mu.Unlock()
	}
}

// unknownPace marks a filler whose last pace order was not answered; any next
// value differs from it.
const unknownPace = 99

// ThrottleOrder limits a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    workload.TaskID
	Run     int64
	Percent int
	Token   int64
}
