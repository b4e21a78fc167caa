package domain

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// attempt is one attempt of a job in this domain; the domain's lock guards it.
type attempt struct {
	offer Offer
	// copies are the present placement and, while a straggler is hedged, a second one.
	copies    []*placedCopy
	state     api.State
	startedAt time.Time
	placing   bool // reserving or starting is in progress
	// withdrawn says why the attempt is taken back; empty if it is not.
	withdrawn string
	preempt   *preemption
	report    Report                      // the newest report
	reporting bool                        // a goroutine delivers reports
	dirty     bool                        // report changed since it was last sent
	ended     bool                        // report carries the outcome
	orphan    bool                        // adopted from targets; no offer has come yet
	refusals  *backoff.ExponentialBackOff // pauses between refused placements
	ran       bool                        // a copy that is forgotten by now was started
	pending   *pendingEnd
	offeredAt time.Time // zero while it is only adopted
	resolving bool      // a journaled claim is being resolved; it may have run
}

// preemption is a stop in progress that keeps the work by a checkpoint.
type preemption struct {
	stopBy   time.Time // zero: a stop without a checkpoint would only lose work
	reason   string
	since    time.Time
	reclaim  bool // gives a guaranteed cell back
	stopping bool
	before   map[api.TaskID]string // checkpoints when it began
}

// tighten moves the latest time of the stop forward.
func (p *preemption) tighten(stopBy time.Time) {
	if !stopBy.IsZero() && (p.stopBy.IsZero() || stopBy.Before(p.stopBy)) {
		p.stopBy = stopBy
	}
}

// placedCopy is one set of places on which all tasks of a job run.
type placedCopy struct {
	places  []api.Allocation
	tasks   []*task
	started bool
	hedge   bool
	adopted bool // found at the targets, and not yet known to run whole
}

// task is one task at one target.
type task struct {
	id     api.TaskID
	job    api.JobID
	index  int // in copy
	copy   *placedCopy
	worker *worker
	status target.TaskStatus
	// stopping is set once a stop has been asked for.
	stopping bool
	// lost is set when the worker is gone and the lease has lapsed.
	lost bool
	// reserved is set once the target confirmed the reservation.
	reserved bool
}

func (t *task) place() api.Allocation { return t.copy.places[t.index] }

func (t *task) over() bool { return t.lost || t.status.State.Ended() }

// taskMeta is kept with a task at its target, so that the next owner of the
// domain can adopt the job.
type taskMeta struct {
	Offer  Offer            `json:"offer"`
	Index  int              `json:"index"`
	Places []api.Allocation `json:"places"`
	Hedge  bool             `json:"hedge,omitempty"`
}

// schedJob returns the scheduler's view of an offer.
func schedJob(o Offer) sched.Job {
	s := o.Spec
	return sched.Job{
		ID: o.Job, Workspace: s.Workspace, Class: s.Class, Priority: s.Priority,
		Accelerators: s.Accelerators, Adjacency: s.Adjacency, RelaxAdjacency: s.RelaxAdjacency,
		Checkpointable: s.Checkpointable, AtMostOnce: s.AtMostOnce,
		DeclaredRunTime: time.Duration(s.DeclaredSeconds * float64(time.Second)),
		Deadline:        s.Deadline, SubmittedAt: o.SubmittedAt, Attempt: o.Attempt,
		AttainedService: o.AttainedService, AvoidWorkers: o.AvoidWorkers, Preempted: o.Preempted,
	}
}

// taskID names one task; epoch and round keep the IDs of different placements
// of one attempt apart, because a target refuses an ID that it has fenced.
func taskID(o Offer, epoch int64, round, index int) api.TaskID {
	return api.TaskID(fmt.Sprintf("%s/%d/%d.%d.%d", o.Job, o.Attempt, epoch, round, index))
}

func (a *attempt) allocations() []api.Allocation {
	if len(a.copies) == 0 {
		return nil
	}
	return slices.Clone(a.copies[0].places)
}

// newReport starts a report with what is known of the attempt.
func (a *attempt) newReport(domain string, epoch int64) Report {
	return Report{
		Job: a.offer.Job, Attempt: a.offer.Attempt, Domain: domain, Epoch: epoch,
		State: a.state, Allocations: a.allocations(), StartedAt: a.startedAt,
	}
}

// result joins the tasks' results: that of a single task as it is, those of a
// gang as an array in the order of the tasks.
func (c *placedCopy) result() json.RawMessage {
	if len(c.tasks) == 1 {
		return c.tasks[0].status.Result
	}
	parts := make([]json.RawMessage, len(c.tasks))
	for i, t := range c.tasks {
		parts[i] = t.status.Result
		if len(parts[i]) == 0 {
			parts[i] = json.RawMessage("null")
		}
	}
	b, err := json.Marshal(parts)
	if err != nil {
		return nil // a part that is no JSON; targets send JSON only
	}
	return b
}

// checkpoint names the gang's checkpoint: that of its first task, valid only if
// every task made one.
func (c *placedCopy) checkpoint() string {
	for _, t := range c.tasks {
		if t.status.Checkpoint == "" {
			return ""
		}
	}
	return c.tasks[0].status.Checkpoint
}
