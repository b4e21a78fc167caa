package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// refusingClient refuses polls, and calls beforeRefusal first.
type refusingClient struct {
	WorkerClient
	beforeRefusal func()
}

func (c refusingClient) RenewLease(context.Context, string, string, RenewLeaseRequest) (RenewLeaseReply, Verdict, error) {
	c.beforeRefusal()
	return RenewLeaseReply{}, NotSent, nil
}

// Guards against a refused poll that withdraws the deadline of a start sent meanwhile, so
// that a run counts as lapsed while its start may still be carried out.
func TestRefusedPollKeepsDeadlineOfLaterStart(t *testing.T) {
	const (
		now           = time.Minute
		startDeadline = 3000 // ms on the worker's clock
	)
	for name, before := range map[string]int64{"no deadline before": 0, "an earlier deadline": startDeadline - 700} {
		t.Run(name, func(t *testing.T) {
			w := &worker{WorkerEntry: WorkerEntry{ID: "w", Address: "w"}, contacted: true, clockReadAt: now, wake: make(chan struct{}, 1)}
			w.recordStartDeadline(before)
			var o *Owner
			client := refusingClient{beforeRefusal: func() {
				o.mu.Lock()
				defer o.mu.Unlock()
				w.recordStartDeadline(startDeadline)
			}}
			o = newOwner(Options{Workers: client, Clock: func() time.Duration { return now }, Log: logr.Discard()}, ownershipLease{validUntil: 2 * now})
			defer o.cancel()
			o.pollWorker(w, 0, true)
			if w.unansweredCalls != 1 || w.maxDeadlineMS != startDeadline {
				t.Errorf("after %d refused polls, orders and leases end at %d ms, want %d ms", w.unansweredCalls, w.maxDeadlineMS, startDeadline)
			}
		})
	}
}

// Guards against a refused poll of a former worker process that brings back its deadlines:
// on the clock of the new process they end too late, and runs on it do not lapse.
func TestRefusedPollOfFormerProcessSetsNoDeadline(t *testing.T) {
	const (
		now            = time.Minute
		formerDeadline = 3_600_000 // ms on the clock of the former process
	)
	w := &worker{WorkerEntry: WorkerEntry{ID: "w", Address: "w"}, contacted: true, unansweredCalls: 1, clockReadAt: now, wake: make(chan struct{}, 1)}
	w.maxDeadlineMS = formerDeadline
	o, clock, _ := newIdleOwner()
	defer o.cancel()
	*clock = now
	o.opts.Workers = refusingClient{beforeRefusal: func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.beginIncarnation(w, "test")
	}}
	o.pollWorker(w, 0, true)
	if w.unansweredCalls != 2 || w.maxDeadlineMS != 0 {
		t.Errorf("after %d refused polls, orders and leases of the new process end at %d ms", w.unansweredCalls, w.maxDeadlineMS)
	}
}
