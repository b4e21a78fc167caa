// Package shortage decides what a service does while callers compete for insufficient
// capacity: when urgent work stops other work, and at whose cost. The owner of the fleet
// supplies the input. The package does no I/O and reads no clock.
package shortage

import (
	"math"
	"time"
)

// Parameters of preemption.
const (
	// stopOverhead is the time of a run's capacity that each stop costs beside the work lost, so
	// that of equal losses the smaller victims go first. It is far below the usual loss, since
	// the limit of a request bounds the sum.
	stopOverhead = 100 * time.Millisecond
	// maxJobStops is the number of preemptions of a job from which on it is the last to be
	// chosen: on image builds one job was preempted 71 times.
	maxJobStops = 3
	// aboutToEnd is the remaining run time below which stopping a run brings nothing: a stop
	// takes as long.
	aboutToEnd = time.Second
	// waitShare is the share of the slack for which a group may wait for capacity. The rest
	// covers the error of expected run times: the slowest task of a job took 2.1 times the
	// median.
	waitShare = 0.5
	// reclaimMargin is the time between the decision to stop work for a guarantee and the
	// bound of its start: a stop takes up to 0.9 s, the rest is for its order, the write of
	// the assignment and the start.
	reclaimMargin = 1400 * time.Millisecond
)

// Victim is a unit of preemption: a single run, or a whole gang.
type Victim struct {
	Lost     float64       // work in core-seconds that a stop discards
	Cores    float64       // capacity of its runs, in core equivalents
	EndsIn   time.Duration // when its last run is expected to end
	EndKnown bool          // EndsIn is reliable for all of its runs
	Stops    int           // preemptions of its job so far
}

// StopCost returns the cost of stopping the victim, in core-seconds. A job costs more each
// time it is stopped.
func (v Victim) StopCost() float64 {
	return (v.Lost + stopOverhead.Seconds()*v.Cores) * float64(1+v.Stops)
}

// LastResort reports whether the victim is stopped only within a guarantee, and only if no
// other work suffices.
func (v Victim) LastResort() bool {
	return v.Stops >= maxJobStops || (v.EndKnown && v.EndsIn <= aboutToEnd)
}

// Urgency is what an urgent group has left at a time.
type Urgency struct {
	Slack     time.Duration // within which it must start to complete in time
	LateSlack time.Duration // within which it must start to be of value to its caller
	// Guaranteed means that it is within the guarantee of its workspace and has to start
	// within StartWithin.
	Guaranteed  bool
	StartWithin time.Duration
}

// MustStart reports whether other work has to be stopped now, at any cost, so that a group
// within its guarantee starts in time.
func (u Urgency) MustStart() bool { return u.Guaranteed && u.StartWithin <= reclaimMargin }

// MayWait returns how long the group may wait for capacity that becomes free by itself; 0 if
// it may not.
func (u Urgency) MayWait() time.Duration {
	wait := time.Duration(math.MaxInt64)
	if slack := u.Slack; slack >= 0 {
		wait = time.Duration(waitShare * float64(slack))
	} else if u.LateSlack >= 0 {
		wait = time.Duration(waitShare * float64(u.LateSlack))
	}
	if u.Guaranteed {
		wait = min(wait, u.StartWithin-reclaimMargin)
	}
	return max(0, wait)
}
