package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// formerOwner is an owner whose lease has run out.
type formerOwner struct{ noOwner }

var errLapsed = errkind.New(errkind.StaleEpoch, "the lease of the owner has run out")

func (formerOwner) State(context.Context, string, workload.QueueRef) (workload.State, error) {
	return workload.Running, errLapsed
}

func (formerOwner) QueueLength(context.Context, workload.QueueRef) (int, error) { return 7, errLapsed }

// Guards against showing a state that is older than one that another owner has stored, and
// against no answer at all while the store is away for everyone.
func TestFormerOwnerAnswersOnlyIfTheStoreDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{})
		g := New(Options{Store: store, Owner: formerOwner{}, Now: time.Now, Log: logr.Discard()})
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		p := workload.NewProgress(newJob())
		p.State = workload.Completed
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), fleet.ProgressKey(newJob().ID), data, 0, 0); err != nil {
			t.Fatal(err)
		}
		check := func(wantState workload.State, wantLength int) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), 2800*time.Millisecond)
			defer cancel()
			if s, err := g.State(ctx, newJob().ID, newJob().QueueRef()); err != nil || s != wantState {
				t.Errorf("state %q, %v; want %q", s, err, wantState)
			}
			if n, err := g.QueueLength(ctx, newJob().QueueRef()); err != nil || n != wantLength {
				t.Errorf("queue length %d, %v; want %d", n, err, wantLength)
			}
		}
		check(workload.Completed, 0)
		store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
		check(workload.Running, 7)
	})
}

// smallerBefore is an owner that has learned of a larger worker since it told this VM.
type smallerBefore struct{ noOwner }

func (smallerBefore) MaximalCapacities(string) []workload.Resources {
	return []workload.Resources{{Accelerators: 1}}
}

func (smallerBefore) CurrentCapacities(context.Context, string) []workload.Resources {
	return []workload.Resources{{Accelerators: 8}}
}

// Guards against refusing a job as impossible by capacities that are no longer current.
func TestJobThatFitsALargerWorkerOfNowIsAccepted(t *testing.T) {
	j := newJob()
	j.Steps[0].Request = workload.Resources{Accelerators: 4}
	g := New(Options{Store: memory.NewStore(memory.Options{}), Owner: smallerBefore{}, Now: time.Now, Log: logr.Discard()})
	if err := g.Accept(t.Context(), j); err != nil {
		t.Error(err)
	}
}
