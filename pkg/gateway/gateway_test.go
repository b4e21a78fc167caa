package gateway

import (
	"context"
	"fmt"
	"runtime"
	"strings"
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

// noOwner is an Owner while the fleet has none.
type noOwner struct{}

func (noOwner) State(context.Context, string, workload.QueueRef) (workload.State, error) {
	return "", errkind.New(errkind.Unavailable, "no owner")
}

func (noOwner) QueueLength(context.Context, workload.QueueRef) (int, error) {
	return 0, errkind.New(errkind.Unavailable, "no owner")
}
func (noOwner) MaximalCapacities(string) []workload.Resources { return nil }
func (noOwner) CurrentCapacities(context.Context, string) []workload.Resources {
	return nil
}
func (noOwner) NotifySubmitted(*workload.Job) {}
func (noOwner) NotifyCancelRequested(string)  {}

// faultyCommitStore is a store with an injected Commit.
type faultyCommitStore struct {
	*memory.Store
	commit func(context.Context, platform.Txn) (platform.TxnResult, error)
}

func (s *faultyCommitStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	return s.commit(ctx, txn)
}

func newJob() *workload.Job {
	return &workload.Job{ID: "0123456789abcdef", Queue: "q", QueueAddress: "h/q/", Steps: []workload.Step{{Tasks: 1}}}
}

// Guards against refusing a job as not run when it may be stored, and against
// accepting one that is not stored. Happens when answers of the store are lost.
func TestAcceptRefusesOnlyWhatWasNotStored(t *testing.T) {
	refused := errkind.New(errkind.Overloaded, "503")
	lost := errkind.New(errkind.StoreUnavailable, "no answer")
	tests := map[string]struct {
		commit func(s *memory.Store, try int, txn platform.Txn) error
		want   errkind.Kind
		stored bool
	}{
		"no fault":          {func(s *memory.Store, _ int, txn platform.Txn) error { return commit(s, txn) }, "", true},
		"all calls refused": {func(*memory.Store, int, platform.Txn) error { return refused }, errkind.Unavailable, false},
		"no answers":        {func(*memory.Store, int, platform.Txn) error { return lost }, errkind.Timeout, false},
		"refused after a try": {func(_ *memory.Store, try int, _ platform.Txn) error {
			return map[bool]error{true: lost, false: refused}[try == 0]
		}, errkind.Timeout, false},
		"answer lost, carried out": {func(s *memory.Store, try int, txn platform.Txn) error {
			err := commit(s, txn)
			if try == 0 {
				return lost
			}
			return err
		}, "", true},
		"answer lost, then refused": {func(s *memory.Store, try int, txn platform.Txn) error {
			if try == 0 {
				_ = commit(s, txn)
				return lost
			}
			return refused
		}, errkind.Timeout, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &faultyCommitStore{Store: memory.NewStore(memory.Options{})}
				try := -1
				store.commit = func(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
					try++
					time.Sleep(4 * time.Millisecond)
					err := tc.commit(store.Store, try, txn)
					var res platform.TxnResult
					if errkind.Is(err, errkind.Conflict) {
						entry, _ := store.Get(t.Context(), txn.Conditions[0].Key) // the condition failed, so it exists
						res.Current = []platform.Entry{entry}
					}
					return res, err
				}
				g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				err := g.Accept(ctx, newJob())
				if (err == nil) != (tc.want == "") || (err != nil && errkind.Of(err) != tc.want) {
					t.Errorf("error %v, want kind %q", err, tc.want)
				}
				if _, err := store.Get(t.Context(), fleet.JobKey(newJob().ID)); (err == nil) != tc.stored {
					t.Errorf("stored: %v", err)
				}
			})
		})
	}
}

func commit(s *memory.Store, txn platform.Txn) error {
	_, err := s.Commit(context.Background(), txn)
	return err
}

// Guards, without an owner, against two jobs under one ID, states of unknown jobs, and
// queries that are not answered from the store.
func TestWithoutOwner(t *testing.T) {
	store := memory.NewStore(memory.Options{})
	g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
	ctx := t.Context()
	for range 2 { // Accept is idempotent
		if err := g.Accept(ctx, newJob()); err != nil {
			t.Fatal(err)
		}
	}
	q := newJob().QueueRef()
	other := newJob()
	other.Queue, other.QueueAddress = "other", "h/other/"
	if err := g.Accept(ctx, other); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("another job under the ID: %v", err)
	}
	if s, err := g.State(ctx, newJob().ID, q); err != nil || s != workload.Queued {
		t.Errorf("state %q, %v", s, err)
	}
	if n, err := g.QueueLength(ctx, q); err != nil || n != 1 {
		t.Errorf("waiting %d, %v", n, err)
	}
	for id, queue := range map[string]workload.QueueRef{"ffffffffffffffff": q, newJob().ID: {Name: "other", Address: "h/other/"}} {
		if _, err := g.State(ctx, id, queue); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("state of %s in %s: %v", id, queue, err)
		}
		if err := g.Cancel(ctx, id, queue); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("cancel of %s in %s: %v", id, queue, err)
		}
	}
	for range 2 { // Cancel is idempotent
		if err := g.Cancel(ctx, newJob().ID, q); err != nil {
			t.Error(err)
		}
	}
	p := workload.NewProgress(newJob())
	p.State = workload.Completed
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, fleet.ProgressKey(newJob().ID), data, 0, 0); err != nil {
		t.Fatal(err)
	}
	if s, err := g.State(ctx, newJob().ID, q); err != nil || s != workload.Completed {
		t.Errorf("state %q, %v", s, err)
	}
}

// Guards against answering that a job does not exist, or belongs to another, once a new
// version of the configuration has given the queue at its address another name.
func TestJobOfARenamedQueueIsFoundAtItsAddress(t *testing.T) {
	store := memory.NewStore(memory.Options{})
	g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
	ctx := t.Context()
	if err := g.Accept(ctx, newJob()); err != nil {
		t.Fatal(err)
	}
	renamed := newJob()
	renamed.Queue = "renamed"
	q := renamed.QueueRef()
	if err := g.Accept(ctx, renamed); err != nil {
		t.Errorf("the job is handed in again: %v", err)
	}
	if s, err := g.State(ctx, renamed.ID, q); err != nil || s != workload.Queued {
		t.Errorf("state %q, %v", s, err)
	}
	if n, err := g.QueueLength(ctx, q); err != nil || n != 1 {
		t.Errorf("waiting %d, %v", n, err)
	}
	if err := g.Cancel(ctx, renamed.ID, q); err != nil {
		t.Errorf("cancel: %v", err)
	}
	if _, err := store.Get(ctx, fleet.CancelKey(renamed.ID)); err != nil {
		t.Errorf("the cancellation is not stored: %v", err)
	}
}

// Guards, without an owner, against taking the assignment of a task for its start.
func TestAssignedJobWaitsUntilItHasBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		store := memory.NewStore(memory.Options{})
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		p := workload.NewProgress(newJob())
		*p.Task(0, 0, 0) = workload.Task{Phase: workload.Assigned, Run: 3, Assigned: workload.Assignment{Worker: "w", Incarnation: 7}}
		p.Begun = begun
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), fleet.ProgressKey(newJob().ID), data, 0, 0); err != nil {
			t.Fatal(err)
		}
		state, err := g.State(t.Context(), newJob().ID, newJob().QueueRef())
		if want := map[bool]workload.State{true: workload.Running, false: workload.Queued}[begun]; err != nil || state != want {
			t.Errorf("begun %v: state %q, want %q (%v)", begun, state, want, err)
		}
		n, err := g.QueueLength(t.Context(), newJob().QueueRef())
		if want := map[bool]int{true: 0, false: 1}[begun]; err != nil || n != want {
			t.Errorf("begun %v: %d waiting, want %d (%v)", begun, n, want, err)
		}
	}
}

// Guards against delaying a caller until the call timeout when the answer of the store
// was lost although the job is stored.
func TestLostAnswerDoesNotHoldTheCaller(t *testing.T) {
	const maxLatency = 250 * time.Millisecond // latency objective of urgent jobs
	synctest.Test(t, func(t *testing.T) {
		store := &faultyCommitStore{Store: memory.NewStore(memory.Options{})}
		var tries atomic.Int64
		store.commit = func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
			res, err := store.Store.Commit(ctx, txn)
			if tries.Add(1) == 1 {
				<-ctx.Done()
				return platform.TxnResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "answer lost")
			}
			return res, err
		}
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		startedAt := time.Now()
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(startedAt); took > maxLatency {
			t.Errorf("accepted after %v, want %v at most", took, maxLatency)
		}
	})
}

// knownCapacitiesOwner is an unavailable owner with cached worker capacities.
type knownCapacitiesOwner struct {
	noOwner
	capacities []workload.Resources
}

func (o knownCapacitiesOwner) MaximalCapacities(string) []workload.Resources { return o.capacities }
func (o knownCapacitiesOwner) CurrentCapacities(context.Context, string) []workload.Resources {
	return o.capacities
}

// Guards against accepting a job that fits on no worker and would stay queued forever,
// against refusing one that fits or whose workers are not known, and against refusing a
// repeated call for a job that was accepted when there were larger workers.
func TestImpossibleJobsAreRefusedAtOnce(t *testing.T) {
	manyCores := workload.Resources{MilliCPU: 64_000, MemoryMiB: 100, Accelerators: 1}
	manyAccelerators := workload.Resources{MilliCPU: 1000, MemoryMiB: 100, Accelerators: 8}
	tests := map[string]struct {
		capacities []workload.Resources
		demand     workload.Resources
		filler     bool
		stored     bool
		want       errkind.Kind
	}{
		"workers not known":            {nil, workload.Resources{Accelerators: 99}, false, false, ""},
		"fits the one":                 {[]workload.Resources{manyCores, manyAccelerators}, workload.Resources{MilliCPU: 64_000, Accelerators: 1}, false, false, ""},
		"fits the other":               {[]workload.Resources{manyCores, manyAccelerators}, workload.Resources{MilliCPU: 1000, Accelerators: 8}, false, false, ""},
		"fits on neither alone":        {[]workload.Resources{manyCores, manyAccelerators}, workload.Resources{MilliCPU: 2000, Accelerators: 8}, false, false, errkind.Impossible},
		"more memory than any":         {[]workload.Resources{manyCores, manyAccelerators}, workload.Resources{MemoryMiB: 101}, false, false, errkind.Impossible},
		"processor time of a filler":   {[]workload.Resources{manyAccelerators}, workload.Resources{MilliCPU: 9000}, true, false, ""},
		"accepted with larger workers": {[]workload.Resources{manyAccelerators}, workload.Resources{Accelerators: 9}, false, true, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := memory.NewStore(memory.Options{})
			j := newJob()
			j.Steps = []workload.Step{{Tasks: 1, Request: workload.Resources{MilliCPU: 1}}, {Tasks: 2, Request: tc.demand, Filler: tc.filler}}
			if tc.stored {
				before := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
				if err := before.Accept(t.Context(), j); err != nil {
					t.Fatal(err)
				}
			}
			g := New(Options{Store: store, Owner: knownCapacitiesOwner{capacities: tc.capacities}, Now: time.Now, Log: logr.Discard()})
			err := g.Accept(t.Context(), j)
			if (err == nil) != (tc.want == "") || (err != nil && errkind.Of(err) != tc.want) {
				t.Errorf("error %v, want kind %q", err, tc.want)
			}
			_, err = store.Get(t.Context(), fleet.JobKey(j.ID))
			if stored := err == nil; stored != (tc.want == "") {
				t.Errorf("stored: %v", stored)
			}
		})
	}
}

// pagedStore counts the bytes on the heap while it is listed.
type pagedStore struct {
	*memory.Store
	most uint64
}

func (s *pagedStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.most = max(s.most, m.HeapAlloc)
	return s.Store.List(ctx, prefix, after, limit)
}

// Guards against a VM that runs out of memory when it is asked for the length of a queue without
// an owner, since it holds the records of all jobs.
func TestQueueLengthFromTheStoreHoldsOnePageOfRecords(t *testing.T) {
	const jobs, maxHeld = 6000, 8 << 20
	store := &pagedStore{Store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})}
	for n := range jobs {
		j := newJob()
		j.ID, j.Payload = fmt.Sprintf("%016x", n), strings.Repeat("x", workload.MaxPayloadBytes)
		value, err := workload.EncodeJob(j)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), fleet.JobKey(j.ID), value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.List(t.Context(), "none/", "", 0); err != nil {
		t.Fatal(err)
	}
	before := store.most
	n, err := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()}).QueueLength(t.Context(), newJob().QueueRef())
	if err != nil || n != jobs {
		t.Errorf("%d jobs wait, error %v, want %d", n, err, jobs)
	}
	if held := int64(store.most) - int64(before); held > maxHeld {
		t.Errorf("%d bytes are held of records of %d bytes", held, jobs*workload.MaxPayloadBytes)
	}
}
