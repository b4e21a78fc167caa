package partition

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// claim is the journaled permission to start an at-most-once job on the allocations.
type claim struct {
	attempt     int
	domain      string
	allocations []api.Allocation
	claimedAt   time.Time
}

// job is the state of a job at the owner of its partition, guarded by Partition.mu.
type job struct {
	status         api.JobStatus
	idempotencyKey string
	specHash       string
	durable        bool

	// accepted is closed once the job is accepted, durably if it is a durable job, or
	// once its acceptance has failed with acceptErr.
	accepted  chan struct{}
	acceptErr error
	// done is closed once the job has ended and waiting callers may be answered.
	done chan struct{}
	// retryAfter is the retry delay suggested to callers of a job that ended without
	// a run.
	retryAfter time.Duration

	claim           *claim
	cancelRequested bool
	// finalStatus is the terminal status, as journaled if the job is durable.
	finalStatus *api.JobStatus
	// endDurable reports whether finalStatus is in the journal, endWritePending
	// whether it is being written.
	endDurable      bool
	endWritePending bool

	failures        int // runs that failed or were lost
	preempted       bool
	checkpoint      string
	attainedService time.Duration
	avoidWorkers    []string

	offeredEpoch     int64 // epoch of the domain owner that accepted the offer; 0 if none
	offering         bool
	withdrawing      bool
	placementUnknown bool // after recovery: a domain that has not answered may hold an attempt
	retryPending     bool // the next attempt needs the permission of the automation gate
	offeredAt        time.Time
	notBefore        time.Time
	// unansweredSince is the time since which offers to the chosen domain have been
	// unanswered. unresponsiveDomain is the last domain that the job left for this
	// reason.
	unansweredSince    time.Time
	unresponsiveDomain string
	refusedBy          map[string]*errkind.Error // errors of the domains that cannot run the job
}

func newJob(id api.JobID, spec api.JobSpec, submitted time.Time) *job {
	return &job{
		status: api.JobStatus{
			ID: id, Spec: spec, State: api.StateQueued, Attempt: 1,
			SubmittedAt: submitted, Ran: string(errkind.NotRun),
		},
		accepted: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

func (j *job) markAccepted(err error) {
	j.acceptErr = err
	close(j.accepted)
}

func (j *job) isAccepted() bool {
	select {
	case <-j.accepted:
		return j.acceptErr == nil
	default:
		return false
	}
}

// releaseWaiters unblocks the callers that wait for the job's end. It is idempotent.
func (j *job) releaseWaiters() {
	select {
	case <-j.done:
	default:
		close(j.done)
	}
}

// terminal reports whether the job has ended, even if its end is not durable yet.
func (j *job) terminal() bool { return j.status.State.Terminal() }

// refusal returns the error for callers of a job that ended without a run, else nil.
func (j *job) refusal() error {
	if !j.terminal() || j.status.Ran != string(errkind.NotRun) {
		return nil
	}
	return errkind.New(errkind.Kind(j.status.ErrorKind), "%s", j.status.Reason).WithRetryAfter(j.retryAfter)
}

// nextAttempt prepares another attempt, in any failure domain, that is offered no
// earlier than notBefore.
func (j *job) nextAttempt(notBefore time.Time) {
	j.status.Attempt++
	j.status.State = api.StateQueued
	j.status.FailureDomain = ""
	j.status.Allocations = nil
	j.offeredEpoch = 0
	j.withdrawing = false
	j.unansweredSince = time.Time{}
	j.notBefore = notBefore
}

// idempotencyIndexKey returns the index key of an idempotency key within its workspace.
func idempotencyIndexKey(workspace, key string) string { return workspace + "\x00" + key }
