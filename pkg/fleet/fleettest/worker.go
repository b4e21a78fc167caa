// Package fleettest emulates the workers and machines of the platform for tests of
// package fleet: worker leases on the worker's own clock, fencing tokens, run numbers,
// run ends that are listed until they are acknowledged, gangs, and network faults
// between workers and the owner. It uses package time, so it runs under
// testing/synctest, and it records violations of the guarantees of package fleet.
package fleettest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Timings of workers, as the platform specifies them.
const (
	maxLease         = 10 * time.Second
	stopGrace        = 200 * time.Millisecond
	gangStartTimeout = 3 * time.Second
	// drainStartBound is how long tasks may still be started on a worker after it
	// reported that it drains.
	drainStartBound = 2 * time.Second
	// defaultListedEnds is how many unacknowledged ends a worker lists at a time.
	defaultListedEnds = 500
)

// Outcome is how long a run takes and whether it fails.
type Outcome struct {
	Duration time.Duration
	Fails    bool
	// GangFails means that the other members of the gang end as failed together with this
	// one, and not as broken.
	GangFails bool
}

// activeRun is a run on a worker that has not ended.
type activeRun struct {
	task         workload.TaskID
	number       int64
	demand       workload.Resources
	workingSince time.Time // start of its work; zero while its gang is incomplete
	startedAt    time.Time
	outcome      Outcome
	gangSize     int // tasks of the gang; 0 for separate tasks
	stopping     bool
	checkpoint   string
}

// Worker is one emulated worker.
type Worker struct {
	fleet          *Fleet
	entry          fleet.WorkerEntry
	processStart   time.Time
	token          int64
	leaseEndMS     int64 // on the worker's clock
	runs           map[workload.TaskID]*activeRun
	newestEndedRun map[workload.TaskID]int64 // highest run number that was stopped or has ended
	ended          []fleet.RunEnd
	lastSequence   int64
	endedAtMS      map[int64]int64 // on the worker's clock, by sequence number
	// failedEnds are the ends of failed runs, by sequence number.
	failedEnds    map[int64]*failedEnd
	expiredAtMS   int64 // when its lease was last found expired, on the worker's clock
	changed       chan struct{}
	unreachable   bool
	dead          bool    // it has crashed and not restarted
	removed       bool    // it has left permanently, with its machine
	clockRate     float64 // speed of its clock
	slowdown      float64 // factor of the run time of tasks
	failAll       bool
	hang          bool
	loseAnswers   int // number of next orders that are carried out but not answered
	lateOrders    int // number of next orders that are carried out late and not answered
	lateBy        time.Duration
	coldUntil     time.Time // it reports that it is slow before this time
	drainStoredAt time.Time // when the store accepted the entry that reports draining
	refuseOrders  int       // number of orders refused as unhealthy, after those whose answers are lost
}

func (w *Worker) clockMS() int64 {
	return int64(float64(time.Since(w.processStart).Milliseconds()) * w.clockRate)
}

func (w *Worker) usage() workload.Resources {
	var u workload.Resources
	for _, r := range w.runs {
		u = u.Add(r.demand)
	}
	return u
}

// start carries out a start order. The caller holds the fleet's lock.
func (w *Worker) start(o fleet.StartOrder) fleet.Verdict {
	if o.Token < w.token {
		return fleet.Fenced
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extendLease(o.DeadlineMS)
		return fleet.Accepted
	}
	if o.DeadlineMS <= w.clockMS() {
		return fleet.TooLate
	}
	w.extendLease(o.DeadlineMS)
	if o.Run <= w.newestEndedRun[o.Task] || w.runs[o.Task] != nil {
		return fleet.StaleRun
	}
	step, ok := w.fleet.stepOf(o.Task)
	if !ok {
		w.fleet.recordViolationLocked("a worker received a start order for %s, which was not submitted", o.Task)
		return fleet.BadOrder
	}
	if w.fleet.tickets != nil && !w.fleet.tickets[o.Ticket].After(time.Now()) {
		w.fleet.rejectedStarts++
		return fleet.NoTicket
	}
	if !step.Demand().Fits(w.entry.Capacity.Sub(w.usage())) {
		w.fleet.rejectedStarts++
		return fleet.InsufficientCapacity
	}
	if w.fleet.checkDrains && !w.drainStoredAt.IsZero() && time.Since(w.drainStoredAt) > drainStartBound {
		w.fleet.recordViolationLocked("%s started on %s %v after the store accepted that the worker drains", o.Task, w.entry.ID, time.Since(w.drainStoredAt))
	}
	w.fleet.checkEvacuation(w, o.Task)
	r := &activeRun{task: o.Task, number: o.Run, demand: step.Demand(), startedAt: time.Now(), outcome: w.fleet.runOutcome(o.Task, o.Run), checkpoint: o.Checkpoint}
	if w.failAll {
		r.outcome = Outcome{Duration: 50 * time.Millisecond, Fails: true}
	}
	if step.Gang {
		r.gangSize = step.Tasks
	}
	w.fleet.recordStart(w, r)
	w.runs[o.Task] = r
	if r.gangSize <= 1 {
		w.beginWork(r)
	} else {
		w.fleet.gangMemberStarted(r)
	}
	w.armLeaseExpiry()
	return fleet.Accepted
}

func (w *Worker) extendLease(deadline int64) {
	if now := w.clockMS(); w.leaseEndMS < now {
		w.expiredAtMS = now
	}
	w.leaseEndMS = max(w.leaseEndMS, min(deadline, w.clockMS()+maxLease.Milliseconds()))
}

// beginWork starts the work of a run, which ends after the duration of its outcome.
func (w *Worker) beginWork(r *activeRun) {
	r.workingSince = time.Now()
	if w.hang {
		return
	}
	duration := time.Duration(float64(r.outcome.Duration) * max(1, w.slowdown))
	time.AfterFunc(duration, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.runs[r.task] != r || r.stopping {
			return
		}
		reason := fleet.EndDone
		if r.outcome.Fails {
			reason = fleet.EndFailed
		}
		w.fleet.endGang(w, r, reason)
	})
}

// end removes a run and adds its end to the list of unacknowledged ends.
func (w *Worker) end(r *activeRun, reason fleet.EndReason) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.newestEndedRun[r.task] = max(w.newestEndedRun[r.task], r.number)
	w.lastSequence++
	w.endedAtMS[w.lastSequence] = w.clockMS()
	w.ended = append(w.ended, fleet.RunEnd{Sequence: w.lastSequence, Task: r.task, Run: r.number, Reason: reason, Checkpoint: r.checkpoint})
	w.fleet.recordEnd(w, r, reason)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop carries out a stop order.
func (w *Worker) stop(task workload.TaskID, number, token int64) fleet.Verdict {
	if token < w.token {
		return fleet.Fenced
	}
	w.token = token
	w.newestEndedRun[task] = max(w.newestEndedRun[task], number)
	r := w.runs[task]
	if r == nil || r.number > number || r.stopping {
		return fleet.Accepted
	}
	r.stopping = true
	time.AfterFunc(w.fleet.stopTime, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.endGang(w, r, fleet.EndStopped)
	})
	return fleet.Accepted
}

// armLeaseExpiry ends all runs of the worker once its lease expires.
func (w *Worker) armLeaseExpiry() {
	left := time.Duration(float64(w.leaseEndMS-w.clockMS())/w.clockRate+1) * time.Millisecond
	time.AfterFunc(left, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.leaseEndMS > w.clockMS() {
			if len(w.runs) > 0 {
				w.armLeaseExpiry()
			}
			return
		}
		for _, r := range w.runs {
			w.end(r, fleet.EndLeaseExpired)
		}
	})
}

// renewLease carries out a lease renewal and removes acknowledged ends.
func (w *Worker) renewLease(r fleet.RenewLeaseRequest) fleet.Verdict {
	if r.Token < w.token {
		return fleet.Fenced
	}
	w.token = r.Token
	if r.LeaseEndMS > 0 {
		w.extendLease(r.LeaseEndMS)
	}
	kept := w.ended[:0]
	if w.leaseEndMS < w.clockMS() {
		w.expiredAtMS = w.clockMS()
	}
	for _, e := range w.ended {
		if e.Sequence > r.AckedThrough {
			kept = append(kept, e)
		} else {
			if w.expiredAtMS <= w.endedAtMS[e.Sequence] {
				w.fleet.recordAck(w, e) // ends from before a lease expiry don't count as acknowledged
			}
		}
	}
	w.ended = kept
	return fleet.Accepted
}

func (w *Worker) leaseReply() fleet.RenewLeaseReply {
	listed := min(len(w.ended), w.fleet.listedEnds)
	reply := fleet.RenewLeaseReply{
		ClockMS: w.clockMS(), Incarnation: w.entry.Incarnation, Ended: append([]fleet.RunEnd(nil), w.ended[:listed]...), MoreEnds: listed == w.fleet.listedEnds,
	}
	for _, r := range w.runs {
		percent := 0
		if !r.workingSince.IsZero() && !w.hang {
			percent = int(100 * time.Since(r.workingSince) / time.Duration(float64(r.outcome.Duration)*max(1, w.slowdown)))
		}
		if step, ok := w.fleet.stepOf(r.task); ok && step.LongRunning {
			percent = 100 + 99 // serving as soon as it has started
		}
		reply.Running = append(reply.Running, fleet.RunState{Task: r.task, Run: r.number, Checkpoint: r.checkpoint, Percent: min(100, percent)})
	}
	return reply
}

// encode is the default Encoder; Decode reads its entries.
func encode(e fleet.WorkerEntry) (key string, value []byte) {
	value, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("worker entry: %v", err)) // cannot happen: it is plain data
	}
	return WorkerPrefix + e.ID, value
}

// Decode reads an entry that the default Encoder has written.
func Decode(_ string, value []byte) (fleet.WorkerEntry, bool) {
	var e fleet.WorkerEntry
	err := json.Unmarshal(value, &e)
	return e, err == nil && e.ID != ""
}
