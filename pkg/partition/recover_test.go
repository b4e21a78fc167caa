package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
)

// Guards against a running job that is replaced because the failure domain that
// holds it lost its owner together with the partition, and against a job that
// is cancelled as not run meanwhile.
func TestRecoveryWaitsForSilentDomain(t *testing.T) {
	for name, settle := range map[string]func(ctx context.Context, f *fixture, p *Partition, held domain.KnownAttempt) error{
		"asked again": func(_ context.Context, f *fixture, _ *Partition, held domain.KnownAttempt) error {
			f.domains.held = []domain.KnownAttempt{held}
			f.domains.without("")
			return nil
		},
		"reported": func(ctx context.Context, _ *fixture, p *Partition, held domain.KnownAttempt) error {
			return p.Report(ctx, held.Report)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				st := submit(t, f.start(t, 1), api.JobSpec{Class: api.ClassLong}, "k")
				offered := f.domains.last(t)
				offered.Attempt = 4
				f.domains.without(testDomain)
				p := f.start(t, 2)
				time.Sleep(2 * time.Second)
				if got, err := p.Cancel(t.Context(), "postbud", st.ID); err != nil || got.State.Terminal() {
					t.Errorf("cancelled while its domain is silent: %+v, %v", got, err)
				}
				report := domain.Report{Job: st.ID, Attempt: 4, Domain: testDomain, State: api.StateRunning, Epoch: 7}
				if err := settle(t.Context(), f, p, domain.KnownAttempt{Offer: offered, Report: report}); err != nil {
					t.Errorf("report of the next owner: %v", err)
				}
				time.Sleep(heldGrace + time.Second)
				if got := get(t, p, st.ID); got.Attempt != 4 || got.State != api.StateRunning || f.domains.count() != 1 {
					t.Errorf("%+v after %d offers", got, f.domains.count())
				}
				if len(f.domains.withdrawn) == 0 {
					t.Error("the cancellation did not reach the domain")
				}
			})
		})
	}
}

// Guards against a job that waits for ever because a failure domain has gone.
func TestRecoveryGivesSilentDomainUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.names = []string{testDomain, "r1/b"}
		st := submit(t, f.start(t, 1), api.JobSpec{Class: api.ClassLong}, "k")
		f.domains.without(testDomain)
		p := f.start(t, 2)
		time.Sleep(heldGrace + 5*time.Second)
		if got := get(t, p, st.ID); got.Attempt == 1 || got.FailureDomain != "r1/b" {
			t.Errorf("after the grace: %+v", got)
		}
	})
}

// Guards against short work that waits for the successor of a dead domain owner,
// which cannot be elected during a store outage.
func TestUnansweredOfferGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.names = []string{testDomain, "r1/b"}
		f.domains.without(testDomain)
		p := f.start(t, 1)
		time.Sleep(time.Second)
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} { // the domain is chosen at random
			submit(t, p, api.JobSpec{Class: api.ClassShort}, key)
		}
		time.Sleep(2 * rerouteAfter)
		if n := f.domains.count(); n != 6 {
			t.Errorf("%d of 6 jobs were offered to the other domain", n)
		}
	})
}
