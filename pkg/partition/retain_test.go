package partition

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// reportSucceeded reports the job's first attempt as succeeded, with a result of size
// bytes.
func reportSucceeded(t *testing.T, p *Partition, id api.JobID, size int) {
	t.Helper()
	if err := p.Report(t.Context(), domain.Report{
		Job: id, Attempt: 1, Domain: testDomain, Epoch: 7, Outcome: api.OutcomeSucceeded, Result: bytes.Repeat([]byte("1"), size),
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against memory that grows with the number of ended jobs, and against a
// second run of an at-most-once job whose result was dropped to free memory.
func TestRetainedMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture().startWith(t, 1, func(o *Options) { o.RetainedBytes = 10 * (jobOverheadBytes + 1000) })
		first := submit(t, p, atMostOnceSpec, "order")
		reportSucceeded(t, p, first.ID, 1000)
		var ids []api.JobID
		for i := range 30 {
			st := submit(t, p, api.JobSpec{Class: api.ClassLong}, fmt.Sprint("k", i))
			reportSucceeded(t, p, st.ID, 1000)
			ids = append(ids, st.ID)
			time.Sleep(time.Millisecond)
		}
		for i, id := range ids {
			_, err := p.Get(t.Context(), "postbud", id)
			if gone := i < 20; gone != errkind.Is(err, errkind.NotFound) {
				t.Errorf("job %d of 30: %v; only the newest 10 should be kept", i, err)
			}
		}
		if again := submit(t, p, atMostOnceSpec, "order"); again.ID != first.ID || again.State != api.StateSucceeded || again.Result != nil {
			t.Errorf("repeated order: %+v", again)
		}
		p.mu.Lock()
		if len(p.active) != 0 {
			t.Errorf("the sweep still visits %d ended jobs", len(p.active))
		}
		p.mu.Unlock()
		time.Sleep(2 * time.Hour)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.jobs)+len(p.jobIDsByKey) != 0 || p.ended.bytes != 0 {
			t.Errorf("%d jobs, %d keys, %d bytes after the retention", len(p.jobs), len(p.jobIDsByKey), p.ended.bytes)
		}
	})
}

// Guards against a result that exceeds the size limit of a journal entry: the job
// must end as failed and must not run again.
func TestResultTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		p := f.startWith(t, 1, func(o *Options) { o.MaxResultBytes = 100 })
		small, large := submit(t, p, api.JobSpec{Class: api.ClassLong}, "s"), submit(t, p, api.JobSpec{Class: api.ClassLong}, "l")
		reportSucceeded(t, p, small.ID, 100)
		reportSucceeded(t, p, large.ID, 101)
		if got := get(t, p, small.ID); got.State != api.StateSucceeded || len(got.Result) != 100 {
			t.Errorf("at the limit: %s with %d bytes", got.State, len(got.Result))
		}
		got := get(t, p, large.ID)
		if got.State != api.StateFailed || got.ErrorKind != string(errkind.TooLarge) || got.Ran != string(errkind.HasRun) || got.Result != nil {
			t.Errorf("above the limit: %s %s ran=%s", got.State, got.ErrorKind, got.Ran)
		}
	})
}

// Guards against accepting reports or claims of a failure domain's former owner once
// the partition knows its successor.
func TestSupersededDomainOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		p := f.start(t, 1)
		st := submit(t, p, atMostOnceSpec, "k")
		f.domainEpoch.Store(8)
		r := domain.Report{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7, Outcome: api.OutcomeLost}
		if err := p.Report(t.Context(), r); !errkind.Is(err, errkind.Conflict) {
			t.Errorf("report: %v, want conflict", err)
		}
		if err := p.Claim(t.Context(), domain.Claim{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7}); !errkind.Is(err, errkind.Conflict) {
			t.Errorf("claim: %v, want conflict", err)
		}
		if got := get(t, p, st.ID); got.State != api.StateQueued {
			t.Errorf("state %s, want queued", got.State)
		}
	})
}

// Guards against a second run of an at-most-once job: a claim must be released only
// by a report that the claimed allocations did not run.
func TestNotRunReleasesOnlyItsOwnClaim(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome     api.Outcome
		claimed     bool
		reported    string
		wantAttempt int // of the next offer
		wantClaim   bool
	}{
		"own allocations":             {api.OutcomeNotRun, true, "t1", 2, false},
		"another owner's allocations": {api.OutcomeNotRun, true, "t2", 1, true},
		"no allocations":              {api.OutcomeNotRun, true, "", 1, true},
		"lost without a claim":        {api.OutcomeLost, false, "", 2, false},
		"not run without a claim":     {api.OutcomeNotRun, false, "", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				p := f.start(t, 1)
				st := submit(t, p, atMostOnceSpec, "k")
				if tc.claimed {
					allocations := []api.Allocation{{Worker: "w1", Task: "t1"}}
					if err := p.Claim(t.Context(), domain.Claim{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7, Allocations: allocations}); err != nil {
						t.Fatal(err)
					}
				}
				r := domain.Report{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7, Outcome: tc.outcome}
				if tc.reported != "" {
					r.Allocations = []api.Allocation{{Worker: "w1", Task: api.TaskID(tc.reported)}}
				}
				if err := p.Report(t.Context(), r); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if o := f.domains.lastOffer(t); o.Attempt != tc.wantAttempt || (len(o.ClaimedAllocations) == 1) != tc.wantClaim {
					t.Errorf("next offer: attempt %d with claim %v", o.Attempt, o.ClaimedAllocations)
				}
			})
		})
	}
}
