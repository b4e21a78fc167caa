package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Throttling of fillers that share a worker with service tasks. Fillers are slowed down
// fast and sped up slowly, since a service above its latency target affects its users at
// once.
const (
	// throttleHighShare and throttleLowShare are the shares of a service's latency
	// target between which the fillers beside it keep their speed.
	throttleHighShare = 0.85
	throttleLowShare  = 0.6
	// throttleDownFactor is the factor of a decrease, throttleUpPercent the step of an
	// increase in percent of full speed.
	throttleDownFactor = 0.4
	throttleUpPercent  = 15
	// initialThrottlePercent limits a filler until the service beside it has reported
	// a latency.
	initialThrottlePercent = 30
	fullSpeedPercent       = 100
	// minThrottlePercent is the percentage below which a filler is paused.
	minThrottlePercent = 5
	// colocatedMaxWait bounds the wait of a lease renewal at a worker with both; the
	// reported latencies cover the last half second.
	colocatedMaxWait = 500 * time.Millisecond
)

// colocatesFillers reports whether the worker runs fillers beside service tasks with a
// latency target; the lock is held.
func (w *worker) colocatesFillers() bool {
	filler, target := false, false
	for r := range w.runs {
		spec := r.group.spec()
		filler = filler || spec.Filler
		target = target || (spec.LongRunning && spec.TargetLatency > 0)
	}
	return filler && target
}

// throttleFillers adjusts the speed of the fillers on a worker to how close the services
// beside them are to their latency targets; without such a service they run at full speed. The
// lock is held.
func (o *Owner) throttleFillers(w *worker) {
	worst, colocated := 0.0, w.colocatesFillers()
	for r := range w.runs {
		spec := r.group.spec()
		if spec.LongRunning && spec.TargetLatency > 0 && r.phase == phaseRunning {
			worst = max(worst, r.tailLatency.Seconds()/spec.TargetLatency.Seconds())
		}
	}
	for r := range w.runs {
		if !r.group.spec().Filler || r.phase != phaseRunning {
			continue
		}
		next := fullSpeedPercent
		if colocated {
			next = nextThrottlePercent(r.throttlePercent, worst)
		}
		if next != r.throttlePercent {
			r.throttlePercent = next
			o.enqueueOrder(w, order{kind: orderThrottle, run: r})
		}
	}
}

// nextThrottlePercent returns the new speed of a filler in percent, given the present one
// and the latency of the service beside it as a share of the service's target.
func nextThrottlePercent(percent int, share float64) int {
	switch {
	case percent > initialThrottlePercent && share == 0:
		return initialThrottlePercent // the service has not reported a latency yet
	case share > throttleHighShare:
		next := int(throttleDownFactor * float64(percent))
		if next < minThrottlePercent {
			next = 0
		}
		return next
	case share < throttleLowShare:
		return min(fullSpeedPercent, percent+throttleUpPercent)
	default:
		return percent
	}
}

// executeThrottle sends the current speed limit of a filler to its worker. After an
// unanswered order the next change is sent anew.
func (o *Owner) executeThrottle(w *worker, r *run) {
	o.mu.Lock()
	_, present := w.runs[r]
	percent := r.throttlePercent
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
	o.opts.Log.V(1).Info("sent the throttle order of a filler", "task", task.String(), "worker", id, "percent", percent, "verdict", reply.Verdict, "error", errorText(err))
	if reply.Verdict == Unanswered {
		o.mu.Lock()
		r.throttlePercent = unknownThrottlePercent
		o.mu.Unlock()
	}
}

// unknownThrottlePercent stands for the speed of a filler that is not known, as its last
// throttle order was not answered or its run was adopted. An order is sent as soon as it is
// to have another one.
const unknownThrottlePercent = 99

// ThrottleOrder tells a worker to limit a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    workload.TaskID
	Run     int64
	Percent int
	Token   int64
}
