// Package fleettest emulates the workers of the platform: leases on their own
// clock, fences, run numbers, ends that are listed until they are acknowledged,
// gangs, and the faults of the network between them and the owner. It takes the
// time from package time, so it runs under testing/synctest, and it records
// what breaks the promises of the product.
package fleettest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Timings of workers, as on the platform's page.
const (
	maxLease  = 10 * time.Second
	stopGrace = 200 * time.Millisecond
	gangWait  = 3 * time.Second
	// drainBound is how long after its word that it leaves a worker may still be
	// given work.
	drainBound = 2 * time.Second
)

// Outcome says how a run ends.
type Outcome struct {
	Duration time.Duration
	Fails    bool
}

// activeRun is a run that is present on a worker.
type activeRun struct {
	task     workload.TaskID
	number   int64
	demand   workload.Resources
	since    time.Time // of work; zero while a gang waits
	arrived  time.Time
	outcome  Outcome
	gang     int // tasks of the gang; 0 for separate tasks
	stopping bool
	saved    string
}

// Worker is one emulated worker.
type Worker struct {
	fleet   *Fleet
	entry   fleet.WorkerEntry
	bornAt  time.Time
	token   int64
	lease   int64 // on its own clock, ms
	runs    map[workload.TaskID]*activeRun
	highest map[workload.TaskID]int64 // newest run that was stopped or has ended
	ended   []fleet.RunEnd
	number  int64
	endedAt map[int64]int64 // on its own clock, by number
	// failedEnds are the ends as failed, by number.
	failedEnds map[int64]*failedEnd
	lapsedAt   int64 // when its lease was last found lapsed
	changed    chan struct{}
	silent     bool
	dead       bool    // it has crashed and not started anew
	gone       bool    // it has left for good, with its machine
	rate       float64 // speed of its clock
	slow       float64 // how many times longer tasks take
	failAll    bool
	hang       bool
	wireLost   int // answers that get lost, the order having been carried out
	late       int // orders that are carried out late
	lateBy     time.Duration
	drainedAt  time.Time // when the store took the word that it leaves
	refuse     int       // orders refused as unhealthy after those whose answers get lost
}

func (w *Worker) clockMS() int64 {
	return int64(float64(time.Since(w.bornAt).Milliseconds()) * w.rate)
}

func (w *Worker) used() workload.Resources {
	var u workload.Resources
	for _, r := range w.runs {
		u = u.Add(r.demand)
	}
	return u
}

// start carries out a start order; the fleet's lock is held.
func (w *Worker) start(o fleet.StartOrder) fleet.Verdict {
	if o.Token < w.token {
		return fleet.Fenced
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.DeadlineMS)
		return fleet.Accepted
	}
	if o.DeadlineMS <= w.clockMS() {
		return fleet.TooLate
	}
	w.extend(o.DeadlineMS)
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return fleet.StaleRun
	}
	step, ok := w.fleet.stepOf(o.Task)
	if !ok {
		w.fleet.violate("a worker was told to start %s, which nobody submitted", o.Task)
		return fleet.BadOrder
	}
	if w.fleet.tickets != nil && !w.fleet.tickets[o.Ticket].After(time.Now()) {
		w.fleet.rejected++
		return fleet.NoTicket
	}
	if !step.Demand().Fits(w.entry.Capacity.Sub(w.used())) {
		w.fleet.rejected++
		return fleet.InsufficientCapacity
	}
	if w.fleet.drains && !w.drainedAt.IsZero() && time.Since(w.drainedAt) > drainBound {
		w.fleet.violate("%s started on %s %v after the word that it leaves was stored", o.Task, w.entry.ID, time.Since(w.drainedAt))
	}
	r := &activeRun{task: o.Task, number: o.Run, demand: step.Demand(), arrived: time.Now(), outcome: w.fleet.outcome(o.Task, o.Run), saved: o.Checkpoint}
	if w.failAll {
		r.outcome = Outcome{Duration: 50 * time.Millisecond, Fails: true}
	}
	if step.Gang {
		r.gang = step.Tasks
	}
	w.fleet.noteStart(w, r)
	w.runs[o.Task] = r
	if r.gang <= 1 {
		w.beginWork(r)
	} else {
		w.fleet.gangArrived(r)
	}
	w.armLapse()
	return fleet.Accepted
}

func (w *Worker) extend(deadline int64) {
	if now := w.clockMS(); w.lease < now {
		w.lapsedAt = now
	}
	w.lease = max(w.lease, min(deadline, w.clockMS()+maxLease.Milliseconds()))
}

// beginWork starts the clock of a run.
func (w *Worker) beginWork(r *activeRun) {
	r.since = time.Now()
	if w.hang {
		return
	}
	takes := time.Duration(float64(r.outcome.Duration) * max(1, w.slow))
	time.AfterFunc(takes, func() {
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

// end removes a run and lists its end.
func (w *Worker) end(r *activeRun, reason fleet.EndReason) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.number++
	w.endedAt[w.number] = w.clockMS()
	w.ended = append(w.ended, fleet.RunEnd{Sequence: w.number, Task: r.task, Run: r.number, Reason: reason, Checkpoint: r.saved})
	w.fleet.noteEnd(w, r, reason)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop carries out a stop order.
func (w *Worker) stop(task workload.TaskID, number, token int64) fleet.Verdict {
	if token < w.token {
		return fleet.Fenced
	}
	w.token = token
	w.highest[task] = max(w.highest[task], number)
	r := w.runs[task]
	if r == nil || r.number > number || r.stopping {
		return fleet.Accepted
	}
	r.stopping = true
	time.AfterFunc(stopGrace/2, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.endGang(w, r, fleet.EndStopped)
	})
	return fleet.Accepted
}

// armLapse kills everything once the lease has run out.
func (w *Worker) armLapse() {
	left := time.Duration(float64(w.lease-w.clockMS())/w.rate+1) * time.Millisecond
	time.AfterFunc(left, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.lease > w.clockMS() {
			if len(w.runs) > 0 {
				w.armLapse()
			}
			return
		}
		for _, r := range w.runs {
			w.end(r, fleet.EndLeaseExpired)
		}
	})
}

// hold carries out a look.
func (w *Worker) hold(r fleet.RenewLeaseRequest) fleet.Verdict {
	if r.Token < w.token {
		return fleet.Fenced
	}
	w.token = r.Token
	if r.LeaseEndMS > 0 {
		w.extend(r.LeaseEndMS)
	}
	kept := w.ended[:0]
	if w.lease < w.clockMS() {
		w.lapsedAt = w.clockMS()
	}
	for _, e := range w.ended {
		if e.Sequence > r.AckedThrough {
			kept = append(kept, e)
		} else {
			if w.lapsedAt <= w.endedAt[e.Sequence] {
				w.fleet.noteAck(w, e) // an end from before a lapse is not taken note of
			}
		}
	}
	w.ended = kept
	return fleet.Accepted
}

func (w *Worker) lists() fleet.RenewLeaseReply {
	reply := fleet.RenewLeaseReply{ClockMS: w.clockMS(), Incarnation: w.entry.Incarnation, Ended: append([]fleet.RunEnd(nil), w.ended...)}
	for _, r := range w.runs {
		percent := 0
		if !r.since.IsZero() && !w.hang {
			percent = int(100 * time.Since(r.since) / time.Duration(float64(r.outcome.Duration)*max(1, w.slow)))
		}
		if step, ok := w.fleet.stepOf(r.task); ok && step.LongRunning {
			percent = 100 + 99 // at work at once
		}
		reply.Running = append(reply.Running, fleet.RunState{Task: r.task, Run: r.number, Checkpoint: r.saved, Percent: min(100, percent)})
	}
	return reply
}

// encode is the Encoder whose entries Decode reads.
func encode(e fleet.WorkerEntry) (key string, value []byte) {
	value, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("worker entry: %v", err)) // plain data, it can be encoded
	}
	return WorkerPrefix + e.ID, value
}

// Decode reads an entry that an emulated worker has written.
func Decode(_ string, value []byte) (fleet.WorkerEntry, bool) {
	var e fleet.WorkerEntry
	err := json.Unmarshal(value, &e)
	return e, err == nil && e.ID != ""
}
