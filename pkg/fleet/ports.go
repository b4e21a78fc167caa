// Package fleet schedules all jobs of the deployment on its workers. One VM at a
// time holds the ownership lease in the platform's store; it reads jobs from the
// store and decides which worker runs which task. It never sends an order before
// the assignment is stored, nor acknowledges the end of a run before the end is
// stored. Its memory is rebuilt from the store and the workers after a takeover.
package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// WorkerEntry is the description of itself that a worker keeps in the store.
type WorkerEntry struct {
	ID           string
	Incarnation  int64 // start time of the worker process, Unix milliseconds
	Service      string
	Address      string
	Zone         string
	Rack         string
	Machine      string // machine that hosts this incarnation
	Labels       []string
	Capacity     workload.Resources
	Draining     bool
	MinRemaining time.Duration // lower bound of the time until a draining worker shuts down
	ColdLeft     time.Duration // how much longer the worker is slow, from when the entry was written
}

// RunState is the state of a run that its worker reports as running.
type RunState struct {
	Task       workload.TaskID
	Run        int64
	Checkpoint string
	Percent    int
	Load       int // tail latency in ms of a long-running task, otherwise the CPU in use
}

// EndReason says how a run ended.
type EndReason string

// Reasons why a run ended.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // the task or its worker failed
	EndStopped        EndReason = "stopped" // the owner ordered it to stop
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease expired
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // the other gang members did not start in time
)

// RunEnd reports the end of a run; a worker lists it until it is acknowledged.
type RunEnd struct {
	Sequence   int64 // increases within an incarnation of the worker
	Task       workload.TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// RenewLeaseRequest renews the lease of all runs on a worker, acknowledges ends
// and polls for the state of its runs.
type RenewLeaseRequest struct {
	Token        int64         // fencing token of the owner
	AckedThrough int64         // the worker may drop ends up to this sequence number
	LeaseEndMS   int64         // expiry of the lease on the worker's clock, ms; 0 leaves the expiry unchanged
	MaxWait      time.Duration // how long the worker may delay its answer until a run ends
}

// RenewLeaseReply is the worker's answer to a RenewLeaseRequest.
type RenewLeaseReply struct {
	ClockMS     int64
	Incarnation int64
	Running     []RunState
	Ended       []RunEnd
	// MoreEnds means that Ended may lack the newest unacknowledged ends, as a worker
	// lists only so many at a time.
	MoreEnds bool
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task       workload.TaskID
	Run        int64
	Payload    string
	Checkpoint string
	DeadlineMS int64 // latest time to start the run, on the worker's clock, ms
	Token      int64
	Ticket     string
}

// Verdict is a worker's answer to an order.
type Verdict string

// Verdicts of a worker.
const (
	Accepted             Verdict = "accepted"
	Fenced               Verdict = "fence"  // another owner has a higher token
	StaleRun             Verdict = "old"    // the run number is not higher than that of a run that ended
	TooLate              Verdict = "late"   // the deadline of the order has passed
	InsufficientCapacity Verdict = "room"   // the task does not fit
	NoTicket             Verdict = "ticket" // the ticket is missing or has expired
	Unhealthy            Verdict = "unhealthy"
	OtherIncarnation     Verdict = "other_life" // another incarnation of the worker answered
	BadOrder             Verdict = "bad_order"
	Unanswered           Verdict = "unanswered" // the worker may still execute the order
	NotSent              Verdict = "not_sent"   // the worker refused the connection
	Withdrawn            Verdict = "withdrawn"  // not sent: the worker no longer accepts new runs
)

// OrderReply is the answer to an order.
type OrderReply struct {
	Verdict Verdict
	ClockMS int64 // 0 if the answer carried no clock
}

// WorkerClient calls workers. Instance is the ID of the worker that is expected at
// the address.
type WorkerClient interface {
	RenewLease(ctx context.Context, address, instance string, r RenewLeaseRequest) (RenewLeaseReply, Verdict, error)
	Start(ctx context.Context, address, instance string, o StartOrder) (OrderReply, error)
	Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (OrderReply, error)
	Throttle(ctx context.Context, address, instance string, o ThrottleOrder) (OrderReply, error)
}

// WorkerDecoder decodes a worker's entry in the store; it returns false for an
// unusable entry.
type WorkerDecoder func(key string, value []byte) (WorkerEntry, bool)

// Clock is a monotonic clock that also counts the time a VM is suspended.
type Clock func() time.Duration
