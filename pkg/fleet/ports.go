// Package fleet is the owner of all jobs and workers of the deployment. One VM
// at a time holds the ownership lease of the platform's store; it learns jobs
// from the store, decides which worker runs which task, writes each assignment
// before it sends the order, and takes note of ends before it acknowledges
// them. What it holds in memory is rebuilt from the store and the workers.
package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// WorkerEntry is what a worker says of itself in the store.
type WorkerEntry struct {
	ID           string
	Incarnation  int64 // start time of the worker process, Unix milliseconds
	Service      string
	Address      string
	Zone         string
	Rack         string
	Machine      string // what this life of the worker lives on
	Labels       []string
	Capacity     workload.Resources
	Draining     bool
	MinRemaining time.Duration // lower bound of the time left until a draining worker leaves
}

// RunState is a run that a worker lists as present.
type RunState struct {
	Task       workload.TaskID
	Run        int64
	Checkpoint string
	Percent    int
	Load       int // tail latency in ms of a service task, else cpu in use
}

// EndReason says how a run ended.
type EndReason string

// Reasons of an end.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // by its own fault or the worker's
	EndStopped        EndReason = "stopped" // by an order
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease expired
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // the other gang members did not start in time
)

// RunEnd is an entry of a worker's list of ends.
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
	StaleRun             Verdict = "old"    // the run number is not higher than one that ended
	TooLate              Verdict = "late"   // the deadline of the order has passed
	InsufficientCapacity Verdict = "room"   // the task does not fit
	NoTicket             Verdict = "ticket" // the ticket is missing or has expired
	Unhealthy            Verdict = "unhealthy"
	OtherIncarnation     Verdict = "other_life" // another incarnation of the worker answered
	BadOrder             Verdict = "bad_order"
	Unanswered           Verdict = "unanswered" // it may still be carried out
	NotSent              Verdict = "not_sent"   // the worker refused the connection
	Withdrawn            Verdict = "withdrawn"  // not sent: the worker has stopped taking work meanwhile
)

// OrderReply is the answer to an order.
type OrderReply struct {
	Verdict Verdict
	ClockMS int64 // 0 if the answer carried no clock
}

// WorkerClient sends calls to workers. Instance names the worker that is meant.
type WorkerClient interface {
	RenewLease(ctx context.Context, address, instance string, r RenewLeaseRequest) (RenewLeaseReply, Verdict, error)
	Start(ctx context.Context, address, instance string, o StartOrder) (OrderReply, error)
	Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (OrderReply, error)
	Throttle(ctx context.Context, address, instance string, o ThrottleOrder) (OrderReply, error)
}

// WorkerDecoder reads a worker's entry in the store; an entry that cannot be
// used yields false.
type WorkerDecoder func(key string, value []byte) (WorkerEntry, bool)

// Clock is a steady clock that also counts the time a VM is suspended.
type Clock func() time.Duration
