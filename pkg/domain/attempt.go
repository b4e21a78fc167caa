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
	// copies holds the current placement and, while a straggler is hedged, a second one.
	copies    []*placedCopy
	state     api.State
	startedAt time.Time
	placing   bool // reserving or starting is in progress
	// withdrawReason is why the attempt was withdrawn; empty if it was not.
	withdrawReason string
	// recallReason is why the attempt is to be taken back unless it starts; empty if it is
	// not.
	recallReason     string
	preemption       *preemption
	report           Report                      // the newest report
	reporting        bool                        // a goroutine is delivering reports
	reportChanged    bool                        // since the report was last sent
	ended            bool                        // report contains the outcome
	orphan           bool                        // adopted from targets and not offered by a partition yet
	placementBackoff *backoff.ExponentialBackOff // delays between rejected placements
	droppedCopyRan   bool                        // a copy that was dropped since may have run
	pendingEnd       *pendingEnd
	offeredAt        time.Time // zero while it is only adopted
	resolving        bool      // a journaled claim is being resolved; the attempt may have run
}

// preemption is a stop in progress, with a checkpoint if the job can make one.
type preemption struct {
	stopBy             time.Time // latest stop time; zero: none, as a stop without a checkpoint would only lose work
	reason             string
	startedAt          time.Time
	reclaim            bool // returns a guaranteed cell to its workspace
	stopping           bool
	initialCheckpoints map[api.TaskID]string // checkpoints at the beginning, by task
}

// tightenStopBy moves stopBy to an earlier time.
func (p *preemption) tightenStopBy(stopBy time.Time) {
	if !stopBy.IsZero() && (p.stopBy.IsZero() || stopBy.Before(p.stopBy)) {
		p.stopBy = stopBy
	}
}

// placedCopy is one placement of all tasks of a job.
type placedCopy struct {
	allocations []api.Allocation
	tasks       []*task
	started     bool
	hedge       bool
	adopted     bool // found at the targets; not known yet whether all its tasks run
}

// task is one task of a copy, at one target.
type task struct {
	id     api.TaskID
	job    api.JobID
	index  int // in copy
	copy   *placedCopy
	worker *worker
	status target.TaskStatus
	// stopping is set once a stop has been requested.
	stopping bool
	// lost is set when the worker restarted, or was unreachable until the lease expired.
	lost bool
	// reserved is set once the target confirmed the reservation.
	reserved bool
}

func (t *task) allocation() api.Allocation { return t.copy.allocations[t.index] }

func (t *task) finished() bool { return t.lost || t.status.State.Ended() }

// taskMeta is stored with a task at its target, so that the next owner of the
// domain can adopt the job.
type taskMeta struct {
	Offer       Offer            `json:"offer"`
	Index       int              `json:"index"`
	Allocations []api.Allocation `json:"places"`
	Hedge       bool             `json:"hedge,omitempty"`
}

// schedJob converts an offer to a job of the scheduler.
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

// taskID returns the ID of one task. Epoch and round make the IDs of different
// placements of one attempt distinct, because a target rejects an ID that it has fenced.
func taskID(o Offer, epoch int64, round, index int) api.TaskID {
	return api.TaskID(fmt.Sprintf("%s/%d/%d.%d.%d", o.Job, o.Attempt, epoch, round, index))
}

func (a *attempt) allocations() []api.Allocation {
	if len(a.copies) == 0 {
		return nil
	}
	return slices.Clone(a.copies[0].allocations)
}

// newReport returns a report of the attempt's current state, without an outcome.
func (a *attempt) newReport(domain string, epoch int64) Report {
	return Report{
		Job: a.offer.Job, Attempt: a.offer.Attempt, Domain: domain, Epoch: epoch,
		State: a.state, Allocations: a.allocations(), StartedAt: a.startedAt,
	}
}

// result returns the result of a single task unchanged, and those of a gang as an
// array in task order.
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
		return nil // a part is not valid JSON; targets send only JSON
	}
	return b
}

// checkpoint returns the name of the gang's checkpoint: that of its first task, valid
// only if every task made one.
func (c *placedCopy) checkpoint() string {
	for _, t := range c.tasks {
		if t.status.Checkpoint == "" {
			return ""
		}
	}
	return c.tasks[0].status.Checkpoint
}
