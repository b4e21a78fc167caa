package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// unreadableStore is a store that answers no reads.
type unreadableStore struct{ *memory.Store }

func (unreadableStore) List(context.Context, string, string, int) (platform.ListResult, error) {
	return platform.ListResult{}, errkind.New(errkind.StoreUnavailable, "no answer")
}

// Guards against a refused job that is stored, against a refusal of a job that is stored or may
// be, and against a refusal without a recent load.
func TestHopelessJobIsRefusedBeforeItIsStored(t *testing.T) {
	hopeless := &shortage.Load{Capacity: 1, Priorities: []shortage.PriorityLoad{{Priority: 1, Ahead: 1000, AheadBeyond: 1000}}}
	tests := map[string]struct {
		load             *shortage.Load
		storedBefore     bool
		unreadable       bool
		refused, present bool
	}{
		"hopeless":               {load: hopeless, refused: true},
		"no recent load":         {present: true},
		"repeated call":          {load: hopeless, storedBefore: true, present: true},
		"the store cannot tell":  {load: hopeless, unreadable: true, present: true},
		"repeated, cannot tell":  {load: hopeless, unreadable: true, storedBefore: true, present: true},
		"repeated, no more load": {storedBefore: true, present: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := memory.NewStore(memory.Options{})
			newHopeless := func() *workload.Job {
				j := newJob()
				j.Class = workload.Class{Priority: 1, SlackFactor: 1, TargetRuntime: time.Second}
				j.Steps = []workload.Step{{Tasks: 1, Request: workload.Resources{MilliCPU: 1000}, Estimate: time.Second}}
				return j
			}
			if tc.storedBefore {
				if err := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()}).Accept(t.Context(), newHopeless()); err != nil {
					t.Fatal(err)
				}
			}
			options := Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard(), Load: func(string) *shortage.Load { return tc.load }}
			if tc.unreadable {
				options.Store = unreadableStore{store}
			}
			err := New(options).Accept(t.Context(), newHopeless())
			if errkind.Is(err, errkind.Unavailable) != tc.refused || (err != nil) != tc.refused {
				t.Errorf("got %v, want refused: %v", err, tc.refused)
			}
			if tc.refused && errkind.As(err).RetryAfter < time.Second {
				t.Errorf("Retry-After is %v", errkind.As(err).RetryAfter)
			}
			if _, err := store.Get(t.Context(), fleet.JobKey(newJob().ID)); (err == nil) != tc.present {
				t.Errorf("in the store: %v, want present: %v", err, tc.present)
			}
		})
	}
}

// Guards against a job that is accepted although no VM that may take over can hold it, against a
// refusal of a job that is stored or may be, against one without a known limit, against a long
// Retry-After while only the owner is silent, and against memory that stays reserved.
func TestJobBeyondTheMemoryIsRefusedBeforeItIsStored(t *testing.T) {
	full := fleet.MemoryUse{UsedBytes: 1 << 20, LimitBytes: 1 << 20}
	tests := map[string]struct {
		use                      fleet.MemoryUse
		storedBefore, unreadable bool
		unconfirmed              bool
		refused, present         bool
	}{
		"full":                {use: full, refused: true},
		"owner is silent":     {use: full, unconfirmed: true, refused: true},
		"room":                {use: fleet.MemoryUse{UsedBytes: 1 << 19, LimitBytes: 1 << 20}, present: true},
		"limit not known":     {use: fleet.MemoryUse{UsedBytes: 1 << 40}, present: true},
		"repeated call":       {use: full, storedBefore: true, present: true},
		"the store is silent": {use: full, unreadable: true, present: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := memory.NewStore(memory.Options{})
			options := Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()}
			if tc.storedBefore {
				if err := New(options).Accept(t.Context(), newJob()); err != nil {
					t.Fatal(err)
				}
			}
			if tc.unreadable {
				options.Store = unreadableStore{store}
			}
			released := false
			options.ReserveMemory = func(_ context.Context, j *workload.Job) Reservation {
				return Reservation{Use: tc.use, Fits: tc.use.Fits(j, 0), Confirmed: !tc.unconfirmed, Release: func() { released = true }}
			}
			err := New(options).Accept(t.Context(), newJob())
			if errkind.Is(err, errkind.Unavailable) != tc.refused || (err != nil) != tc.refused {
				t.Errorf("got %v, want refused: %v", err, tc.refused)
			}
			if tc.refused && (errkind.As(err).RetryAfter < 10*time.Second) != tc.unconfirmed {
				t.Errorf("Retry-After is %v", errkind.As(err).RetryAfter)
			}
			if fits := tc.use.Fits(newJob(), 0); released != fits {
				t.Errorf("released: %v, want %v", released, fits)
			}
			if _, err := store.Get(t.Context(), fleet.JobKey(newJob().ID)); (err == nil) != tc.present {
				t.Errorf("in the store: %v, want present: %v", err, tc.present)
			}
		})
	}
}
