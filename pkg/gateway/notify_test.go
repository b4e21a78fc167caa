package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// notedOwner counts the jobs and cancellations of which it is notified.
type notedOwner struct {
	noOwner
	submitted, cancelled atomic.Int64
}

func (o *notedOwner) NotifySubmitted(*workload.Job) { o.submitted.Add(1) }

func (o *notedOwner) NotifyCancelRequested(string) { o.cancelled.Add(1) }

// newGatewayWithLostAnswers returns a gateway whose store carries out each write but does
// not answer the first time.
func newGatewayWithLostAnswers(owner *notedOwner) *Gateway {
	store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	answered := map[string]bool{}
	return New(Options{
		Store: &faultyCommitStore{store, func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
			res, err := store.Commit(ctx, txn)
			if key := txn.Writes[0].Key; !answered[key] {
				answered[key] = true
				return platform.TxnResult{}, errkind.New(errkind.StoreUnavailable, "no answer")
			}
			return res, err
		}},
		Owner: owner, Now: time.Now, Log: logr.Discard(),
	})
}

// Guards against a stored job or cancellation of which the owner is not notified because
// the first answer of the store was lost: it would then depend on the owner's watch alone.
func TestOwnerIsNotifiedWhenAnAnswerOfTheStoreWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &notedOwner{}
		g := newGatewayWithLostAnswers(owner)
		j := newJob()
		if err := g.Accept(t.Context(), j); err != nil {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), j.ID, j.QueueRef()); err != nil {
			t.Fatal(err)
		}
		if owner.submitted.Load() == 0 || owner.cancelled.Load() == 0 {
			t.Errorf("the owner was notified of %d jobs and %d cancellations", owner.submitted.Load(), owner.cancelled.Load())
		}
	})
}

// Guards against a notification that adds an ended job again, because it arrives after the
// deletion of the job.
func TestRepeatedSubmissionOfAnOldJobDoesNotNotifyTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &notedOwner{}
		g := newGatewayWithLostAnswers(owner)
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		before := owner.submitted.Load()
		time.Sleep(time.Minute)
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		if n := owner.submitted.Load() - before; n > 0 {
			t.Errorf("the owner was notified of an old job %d times", n)
		}
	})
}

// Guards against a stored cancellation of which the owner is not notified, because the VM
// that stored it did not live to do so: a repeated call finds it in the store.
func TestRepeatedCancellationNotifiesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &notedOwner{}
		g := newGatewayWithLostAnswers(owner)
		j := newJob()
		if err := g.Accept(t.Context(), j); err != nil {
			t.Fatal(err)
		}
		if _, err := g.opts.Store.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: fleet.CancelKey(j.ID)}}}); !errkind.Is(err, errkind.StoreUnavailable) {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), j.ID, j.QueueRef()); err != nil {
			t.Fatal(err)
		}
		if owner.cancelled.Load() == 0 {
			t.Error("the owner was not notified of the cancellation")
		}
	})
}
