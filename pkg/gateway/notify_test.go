package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// notedOwner counts the jobs of which it is notified.
type notedOwner struct {
	noOwner
	submitted atomic.Int64
}

func (o *notedOwner) NotifySubmitted(*workload.Job) { o.submitted.Add(1) }

// Guards against a stored job of which the owner is not notified because the first answer
// of the store was lost: it would then depend on the owner's watch alone.
func TestOwnerIsNotifiedOfAJobWhoseAnswerWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		first := true
		owner := &notedOwner{}
		g := New(Options{
			Store: &faultyCommitStore{store, func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
				res, err := store.Commit(ctx, txn)
				if first {
					first = false
					return platform.TxnResult{}, errkind.New(errkind.StoreUnavailable, "no answer")
				}
				return res, err
			}},
			Owner: owner, Now: time.Now, Log: logr.Discard(),
		})
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		if n := owner.submitted.Load(); n == 0 {
			t.Error("the owner was not notified of the stored job")
		}
	})
}
