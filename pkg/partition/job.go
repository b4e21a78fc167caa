package partition

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// claim is the journaled permission to start an at-most-once job on places.
type claim struct {
	attempt int
	domain  string
	places  []api.Allocation
	at      time.Time
}

// job is a job as its partition's owner keeps it; the partition's lock guards it.
type job struct {
	status   api.JobStatus
	key      string // idempotency key
	specHash string
	durable  bool

	// accepted is closed once the acceptance is durable or has failed.
	accepted  chan struct{}
	acceptErr error
	// done is closed once the job is terminal and its answer may be given.
	done chan struct{}
	// retryAfter is the hint for callers of a job that ended without a run.
	retryAfter time.Duration

	claim           *claim
	cancelRequested bool
	// end is the terminal status as journaled or to be journaled.
	end *api.JobStatus
	// endDurable says that end stands in the journal.
	endDurable bool
	endPending bool

	failures   int // runs that failed or were lost
	preempted  bool
	checkpoint string
	attained   time.Duration
	avoid      []string

	offeredEpoch int64 // epoch of the domain's owner that took the offer; 0: none
	offering     bool
	withdrawing  bool
	unsure       bool // recovered; a domain that has not answered may hold an attempt
	retryPending bool // another attempt waits for the automation gate
	offeredAt    time.Time
	notBefore    time.Time
	// unanswered is since when offers to the chosen domain get no answer; shunned
	// is the last domain that was given up for it.
	unanswered time.Time
	shunned    string
	refusedBy  map[string]*errkind.Error // domains that cannot run the job
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

// finish releases the waiting callers; repeating it is harmless.
func (j *job) finish() {
	select {
	case <-j.done:
	default:
		close(j.done)
	}
}

// terminal reports whether an end has been decided, durable or not.
func (j *job) terminal() bool { return j.status.State.Terminal() }

// refusal returns the error that callers get for a job that ended without a run.
func (j *job) refusal() error {
	if !j.terminal() || j.status.Ran != string(errkind.NotRun) {
		return nil
	}
	return errkind.New(errkind.Kind(j.status.ErrorKind), "%s", j.status.Reason).WithRetryAfter(j.retryAfter)
}

// nextAttempt prepares another attempt in any failure domain.
func (j *job) nextAttempt(notBefore time.Time) {
	j.status.Attempt++
	j.status.State = api.StateQueued
	j.status.FailureDomain = ""
	j.status.Allocations = nil
	j.offeredEpoch = 0
	j.withdrawing = false
	j.unanswered = time.Time{}
	j.notBefore = notBefore
}

// jobKey is the index key of an idempotency key within its workspace.
func jobKey(workspace, key string) string { return workspace + "\x00" + key }
