package partition

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// fakeLog is a journal that keeps its records in a slice shared by all owners.
type fakeLog struct {
	mu             sync.Mutex
	records        [][]byte
	epoch          int64 // newest owner
	errBeforeWrite error // returned by Append without writing
	errAfterWrite  error // returned by Append after writing
}

type fakeOwnerLog struct {
	shared *fakeLog
	epoch  int64
}

func (l *fakeLog) open(epoch int64) OpenJournal {
	return func(context.Context, func() [][]byte) (journal.Log, journal.Recovered, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.epoch = epoch
		return &fakeOwnerLog{l, epoch}, journal.Recovered{Records: append([][]byte(nil), l.records...)}, nil
	}
}

func (o *fakeOwnerLog) Append(_ context.Context, _ journal.Priority, b []byte) error {
	o.shared.mu.Lock()
	defer o.shared.mu.Unlock()
	if o.shared.epoch != o.epoch {
		return errkind.New(errkind.StaleEpoch, "fenced")
	}
	if o.shared.errBeforeWrite != nil {
		return o.shared.errBeforeWrite
	}
	o.shared.records = append(o.shared.records, b)
	return o.shared.errAfterWrite
}

func (o *fakeOwnerLog) Close(context.Context) error { return nil }

// fakeDomains records offers and withdrawals.
type fakeDomains struct {
	mu            sync.Mutex
	offers        []domain.Offer
	withdrawn     []api.JobID
	offerErr      error
	knownAttempts []domain.KnownAttempt
	unreachable   string // name of the failure domain that has no owner
}

// setUnreachable sets the failure domain that has no owner.
func (f *fakeDomains) setUnreachable(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = name
}

func (f *fakeDomains) Offer(_ context.Context, name string, o domain.Offer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.unreachable {
		return errkind.New(errkind.Unavailable, "no owner")
	}
	if f.offerErr != nil {
		return f.offerErr
	}
	f.offers = append(f.offers, o)
	return nil
}

func (f *fakeDomains) Withdraw(_ context.Context, _ string, job api.JobID, _ int, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = append(f.withdrawn, job)
	return nil
}

func (f *fakeDomains) Recall(ctx context.Context, name string, job api.JobID, attempt int, reason string) error {
	return f.Withdraw(ctx, name, job, attempt, reason)
}

func (f *fakeDomains) KnownAttempts(_ context.Context, name string, _ int) ([]domain.KnownAttempt, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.unreachable {
		return nil, errkind.New(errkind.Unavailable, "no owner")
	}
	return f.knownAttempts, nil
}

func (f *fakeDomains) Explain(context.Context, string, api.JobID) (string, error) { return "", nil }

func (f *fakeDomains) Summary(context.Context, string) (sched.Summary, error) {
	return sched.Summary{}, nil
}

func (f *fakeDomains) lastOffer(t *testing.T) domain.Offer {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.offers) == 0 {
		t.Fatal("no offer was made")
	}
	return f.offers[len(f.offers)-1]
}

func (f *fakeDomains) offerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.offers)
}

type fakeGate struct{ automationHeld atomic.Bool }

func (g *fakeGate) Allow(gate.Kind, string, gate.Proposal) bool { return !g.automationHeld.Load() }

type noConfig struct{}

func (noConfig) Current() *policy.Document        { return nil }
func (noConfig) Subscribe(func(*policy.Document)) {}
func (noConfig) Change(context.Context, int64, *policy.Document) (*policy.Document, error) {
	return nil, nil
}

const testDomain = "r1/a"

type fixture struct {
	log         *fakeLog
	domains     *fakeDomains
	gate        *fakeGate
	storeUp     atomic.Bool
	domainEpoch atomic.Int64 // of the domain's owner
	domainNames []string     // failure domains, all with the same capacity
}

func newFixture() *fixture {
	f := &fixture{log: &fakeLog{}, domains: &fakeDomains{}, gate: &fakeGate{}, domainNames: []string{testDomain}}
	f.storeUp.Store(true)
	f.domainEpoch.Store(7)
	return f
}

func (f *fixture) start(t *testing.T, epoch int64) *Partition {
	t.Helper()
	return f.startWith(t, epoch, func(*Options) {})
}

func (f *fixture) startWith(t *testing.T, epoch int64, customize func(*Options)) *Partition {
	t.Helper()
	opts := Options{
		Partition: 3, Epoch: epoch, OpenJournal: f.log.open(epoch),
		StoreReachable: f.storeUp.Load, Domains: f.domains,
		Summaries:   f.summaries,
		DomainEpoch: func(string) (int64, bool) { return f.domainEpoch.Load(), true },
		Config:      noConfig{}, Gate: f.gate, Retries: NewBudgetedRetries(),
		Recorder: timeline.Discard{}, Log: logr.Discard(), Retention: time.Hour,
	}
	customize(&opts)
	p := New(opts)
	p.Start()
	t.Cleanup(func() { p.Stop(context.Background(), false) })
	return p
}

func (f *fixture) summaries() []sched.Summary {
	var out []sched.Summary
	for _, name := range f.domainNames {
		out = append(out, sched.Summary{Domain: name, Workers: 8, Accelerators: 64, LargestRack: 64, LargestWorker: 8, FreeSlots: 64})
	}
	return out
}

func submit(t *testing.T, p *Partition, spec api.JobSpec, key string) api.JobStatus {
	t.Helper()
	spec.Workspace = "postbud"
	st, err := p.Submit(t.Context(), SubmitRequest{
		ID: api.JobID("j3-" + key), Spec: spec, IdempotencyKey: key, SpecHash: "h", Durable: spec.Class == api.ClassLong,
	})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return st
}

func get(t *testing.T, p *Partition, id api.JobID) api.JobStatus {
	t.Helper()
	st, err := p.Get(t.Context(), "postbud", id)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

var atMostOnceSpec = api.JobSpec{Class: api.ClassShort, AtMostOnce: true}

// Guards against a second run of an at-most-once job: a claim must be granted only
// once, and only to the attempt and domain that hold the offer.
func TestClaimIsGivenOnce(t *testing.T) {
	cases := map[string]struct {
		change func(c *domain.Claim)
		before func(p *Partition, id api.JobID)
		want   errkind.Kind
	}{
		"first":         {},
		"other attempt": {change: func(c *domain.Claim) { c.Attempt = 2 }, want: errkind.Conflict},
		"other domain":  {change: func(c *domain.Claim) { c.Domain = "r1/b" }, want: errkind.Conflict},
		"unknown job":   {change: func(c *domain.Claim) { c.Job = "j3-x" }, want: errkind.NotFound},
		"claimed before": {before: func(p *Partition, id api.JobID) {
			_ = p.Claim(context.Background(), domain.Claim{Job: id, Attempt: 1, Domain: testDomain, Epoch: 7})
		}, want: errkind.Conflict},
		"cancelled": {before: func(p *Partition, id api.JobID) { _, _ = p.Cancel(context.Background(), "postbud", id) }, want: errkind.Conflict},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture().start(t, 1)
				st := submit(t, p, atMostOnceSpec, "k")
				if tc.before != nil {
					tc.before(p, st.ID)
				}
				c := domain.Claim{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7}
				if tc.change != nil {
					tc.change(&c)
				}
				if got := errkind.Of(p.Claim(t.Context(), c)); got != tc.want {
					t.Errorf("kind = %q, want %q", got, tc.want)
				}
			})
		})
	}
}

// submitClaimed starts an owner, submits a job and claims it. It returns the owner,
// the job and the claimed allocations.
func submitClaimed(t *testing.T, f *fixture) (*Partition, api.JobStatus, []api.Allocation) {
	t.Helper()
	p := f.start(t, 1)
	st := submit(t, p, atMostOnceSpec, "k")
	allocations := []api.Allocation{{Worker: "w1", Incarnation: 5}}
	if err := p.Claim(t.Context(), domain.Claim{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7, Allocations: allocations}); err != nil {
		t.Fatal(err)
	}
	return p, st, allocations
}

// Guards against a claim that is lost with the partition's owner: the successor must
// offer the attempt with its claimed allocations, so that the domain resolves it and
// does not run it again.
func TestSuccessorKeepsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		old, st, _ := submitClaimed(t, f)
		successor := f.start(t, 2)
		synctest.Wait()
		time.Sleep(time.Second)
		o := f.domains.lastOffer(t)
		if o.Attempt != 1 || len(o.ClaimedAllocations) != 1 || o.ClaimedAllocations[0].Worker != "w1" {
			t.Fatalf("offer of the successor = %+v", o)
		}
		if err := successor.Report(t.Context(), domain.Report{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7, Outcome: api.OutcomeLost}); err != nil {
			t.Fatal(err)
		}
		if got := get(t, successor, st.ID); got.State != api.StateUnknown || got.Ran != "unknown" {
			t.Errorf("state = %s, ran = %s; want unknown", got.State, got.Ran)
		}
		if err := old.Claim(t.Context(), domain.Claim{Job: st.ID, Attempt: 1, Domain: testDomain, Epoch: 7}); err == nil {
			t.Error("the fenced owner granted a claim")
		}
	})
}

// Guards against dropping a failure domain's report of a claimed attempt between the
// recovery of the partition and its first offer: the domain would drop the result,
// and the outcome would be unknown although the worker is alive.
func TestReportOfClaimedAttemptBeforeTheFirstOffer(t *testing.T) {
	for name, tc := range map[string]struct {
		report domain.Report
		want   api.State
	}{
		"ended":   {domain.Report{Outcome: api.OutcomeSucceeded}, api.StateSucceeded},
		"running": {domain.Report{State: api.StateRunning}, api.StateRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				_, st, allocations := submitClaimed(t, f)
				successor := f.start(t, 2)
				synctest.Wait()
				r := tc.report
				r.Job, r.Attempt, r.Domain, r.Epoch, r.Allocations = st.ID, 1, testDomain, 7, allocations
				if err := successor.Report(t.Context(), r); err != nil {
					t.Errorf("report: %v", err)
				}
				if got := get(t, successor, st.ID); got.State != tc.want {
					t.Errorf("state = %s, want %s", got.State, tc.want)
				}
			})
		})
	}
}

// Guards against the loss of a job that was answered with 202: a durable job and its
// result must survive the failure of the partition's owner.
func TestDurableJobSurvivesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		st := submit(t, f.start(t, 1), api.JobSpec{Class: api.ClassLong}, "k")
		second := f.start(t, 2)
		time.Sleep(time.Second)
		if got := get(t, second, st.ID); got.State != api.StateQueued || !got.Durable {
			t.Fatalf("after takeover: %+v", got)
		}
		o := f.domains.lastOffer(t)
		if err := second.Report(t.Context(), domain.Report{
			Job: st.ID, Attempt: o.Attempt, Domain: testDomain, Epoch: 7, Outcome: api.OutcomeSucceeded, Result: []byte(`1`),
		}); err != nil {
			t.Fatal(err)
		}
		third := f.start(t, 3)
		time.Sleep(time.Second)
		if got := get(t, third, st.ID); got.State != api.StateSucceeded || string(got.Result) != "1" || got.Spec.Class != api.ClassLong {
			t.Errorf("after second takeover: %+v", got)
		}
	})
}

// Guards against duplicate jobs: a repeated idempotency key must return the same job,
// and a different request with the same key must be refused.
func TestIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture().start(t, 1)
		first := submit(t, p, atMostOnceSpec, "k")
		again, err := p.Submit(t.Context(), SubmitRequest{
			ID: "j3-other", Spec: api.JobSpec{Workspace: "postbud", Class: api.ClassShort, AtMostOnce: true}, IdempotencyKey: "k", SpecHash: "h",
		})
		if err != nil || again.ID != first.ID {
			t.Errorf("repeated key: job %s, error %v", again.ID, err)
		}
		_, err = p.Submit(t.Context(), SubmitRequest{
			ID: "j3-third", Spec: api.JobSpec{Workspace: "postbud"}, IdempotencyKey: "k", SpecHash: "different",
		})
		if !errkind.Is(err, errkind.Conflict) {
			t.Errorf("different request: %v", err)
		}
	})
}

// Guards against reporting "not run" for a job that may run later: durable jobs must
// be refused during a known store outage, and an acceptance whose journal write
// failed without a definite outcome must be reported as a timeout.
func TestRefusalSaysTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		p := f.start(t, 1)
		f.storeUp.Store(false)
		_, err := p.Submit(t.Context(), SubmitRequest{ID: "j3-a", Spec: atMostOnceSpec, IdempotencyKey: "a"})
		if !errkind.Is(err, errkind.StoreUnavailable) || f.domains.offerCount() != 0 {
			t.Errorf("outage: %v, offers %d", err, f.domains.offerCount())
		}
		f.storeUp.Store(true)
		f.log.errAfterWrite = errkind.New(errkind.StoreUnavailable, "answer lost")
		_, err = p.Submit(t.Context(), SubmitRequest{ID: "j3-b", Spec: atMostOnceSpec, IdempotencyKey: "b"})
		if !errkind.Is(err, errkind.Timeout) || errkind.Lookup(errkind.Of(err)).Ran != errkind.Unknown {
			t.Errorf("lost answer: %v", err)
		}
	})
}

// Guards against late reports: a report of another attempt or domain must not change
// the current attempt, but a late success of a repeatable job must end the job.
func TestReportsOfOtherAttempts(t *testing.T) {
	cases := map[string]struct {
		spec    api.JobSpec
		outcome api.Outcome
		want    api.State
	}{
		"late success, repeatable":   {api.JobSpec{Class: api.ClassLong}, api.OutcomeSucceeded, api.StateSucceeded},
		"late failure, repeatable":   {api.JobSpec{Class: api.ClassLong}, api.OutcomeFailed, api.StateQueued},
		"late success, at most once": {atMostOnceSpec, api.OutcomeSucceeded, api.StateQueued},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture().start(t, 1)
				st := submit(t, p, tc.spec, "k")
				if err := p.Report(t.Context(), domain.Report{Job: st.ID, Attempt: 9, Domain: "r1/b", Epoch: 7, Outcome: tc.outcome}); err != nil {
					t.Fatal(err)
				}
				if got := get(t, p, st.ID); got.State != tc.want {
					t.Errorf("state = %s, want %s", got.State, tc.want)
				}
			})
		})
	}
}

// Guards against retries of at-most-once jobs, retries beyond the attempt limit and
// retries during an automation hold.
func TestRetries(t *testing.T) {
	reportFailure := func(t *testing.T, p *Partition, f *fixture) {
		t.Helper()
		o := f.domains.lastOffer(t)
		if err := p.Report(t.Context(), domain.Report{Job: o.Job, Attempt: o.Attempt, Domain: testDomain, Epoch: 7, Outcome: api.OutcomeFailed}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		p := f.start(t, 1)
		st := submit(t, p, api.JobSpec{Class: api.ClassLong}, "k")
		f.gate.automationHeld.Store(true)
		reportFailure(t, p, f)
		if f.domains.offerCount() != 1 {
			t.Fatalf("%d offers while automation is held", f.domains.offerCount())
		}
		f.gate.automationHeld.Store(false)
		time.Sleep(time.Second)
		reportFailure(t, p, f)
		reportFailure(t, p, f)
		if got := get(t, p, st.ID); got.State != api.StateFailed || f.domains.offerCount() != defaultMaxAttempts {
			t.Errorf("state %s after %d offers", got.State, f.domains.offerCount())
		}
		f.domains.offers = nil
		st = submit(t, p, atMostOnceSpec, "o")
		reportFailure(t, p, f)
		if got := get(t, p, st.ID); got.State != api.StateFailed || f.domains.offerCount() != 1 {
			t.Errorf("at most once: state %s after %d offers", got.State, f.domains.offerCount())
		}
	})
}

// Guards against an offer that is lost with the domain's owner: the successor must
// get the same attempt again.
func TestOfferRepeatedToNewDomainOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		p := f.start(t, 1)
		submit(t, p, api.JobSpec{Class: api.ClassLong}, "k")
		f.domainEpoch.Store(8)
		time.Sleep(time.Second)
		if f.domains.offerCount() != 2 || f.domains.lastOffer(t).Attempt != 1 {
			t.Errorf("%d offers, last %+v", f.domains.offerCount(), f.domains.lastOffer(t))
		}
	})
}

// Guards against access to the jobs of another workspace.
func TestOtherWorkspaceIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture().start(t, 1)
		st := submit(t, p, atMostOnceSpec, "k")
		if _, err := p.Get(t.Context(), "lautoka", st.ID); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("Get: %v", err)
		}
		if _, err := p.Cancel(t.Context(), "lautoka", st.ID); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("Cancel: %v", err)
		}
	})
}

// Guards against refusing a job permanently as impossible while a failure domain that
// may fit it has no owner.
func TestImpossibleNeedsAllDomains(t *testing.T) {
	refused := map[string]*errkind.Error{"r1/a": errkind.New(errkind.Impossible, "all cells are guaranteed to others")}
	big := sched.Summary{Domain: "r1/a", Workers: 8, Accelerators: 64, LargestRack: 64, LargestWorker: 8}
	cases := map[string]struct {
		summaries []sched.Summary
		want      errkind.Kind
	}{
		"the other domain has no owner": {[]sched.Summary{big, {Domain: "r1/b"}}, ""},
		"the other domain is too small": {[]sched.Summary{big, {Domain: "r1/b", Workers: 1, Accelerators: 4, LargestRack: 4, LargestWorker: 4}}, errkind.Impossible},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Options{Summaries: func() []sched.Summary { return tc.summaries }})
			j := newJob("j3-a", api.JobSpec{Accelerators: 8, Adjacency: api.AdjacencyWorker}, time.Now())
			j.refusedBy = refused
			chosen, err := p.chooseDomain(j)
			if chosen != "" || errkind.Of(toError(err)) != tc.want {
				t.Errorf("choose = %q, %v", chosen, err)
			}
		})
	}
}

func toError(e *errkind.Error) error {
	if e == nil {
		return nil
	}
	return e
}
