package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
)

// Guards against a second attempt of a running job whose failure domain lost its
// owner together with the partition, and against ending such a job as not run when
// it is cancelled before the domain has a new owner.
func TestRecoveryWaitsForSilentDomain(t *testing.T) {
	for name, resolve := range map[string]func(ctx context.Context, f *fixture, p *Partition, attempt domain.KnownAttempt) error{
		"queried again": func(_ context.Context, f *fixture, _ *Partition, attempt domain.KnownAttempt) error {
			f.domains.knownAttempts = []domain.KnownAttempt{attempt}
			f.domains.setUnreachable("")
			return nil
		},
		"reported": func(ctx context.Context, _ *fixture, p *Partition, attempt domain.KnownAttempt) error {
			return p.Report(ctx, attempt.Report)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				st := submit(t, f.start(t, 1), api.JobSpec{Class: api.ClassLong}, "k")
				offered := f.domains.lastOffer(t)
				offered.Attempt = 4
				f.domains.setUnreachable(testDomain)
				p := f.start(t, 2)
				time.Sleep(2 * time.Second)
				if got, err := p.Cancel(t.Context(), "postbud", st.ID); err != nil || got.State.Terminal() {
					t.Errorf("cancelled while its domain is unreachable: %+v, %v", got, err)
				}
				report := domain.Report{Job: st.ID, Attempt: 4, Domain: testDomain, State: api.StateRunning, Epoch: 7}
				if err := resolve(t.Context(), f, p, domain.KnownAttempt{Offer: offered, Report: report}); err != nil {
					t.Errorf("report of the next owner: %v", err)
				}
				time.Sleep(unresponsiveDomainTimeout + time.Second)
				if got := get(t, p, st.ID); got.Attempt != 4 || got.State != api.StateRunning || f.domains.offerCount() != 1 {
					t.Errorf("%+v after %d offers", got, f.domains.offerCount())
				}
				if len(f.domains.withdrawn) == 0 {
					t.Error("the cancellation did not reach the domain")
				}
			})
		})
	}
}

// Guards against a recovered job that waits forever for the answer of a failure
// domain that no longer exists.
func TestRecoveryGivesSilentDomainUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.domainNames = []string{testDomain, "r1/b"}
		st := submit(t, f.start(t, 1), api.JobSpec{Class: api.ClassLong}, "k")
		f.domains.setUnreachable(testDomain)
		p := f.start(t, 2)
		time.Sleep(unresponsiveDomainTimeout + 5*time.Second)
		if got := get(t, p, st.ID); got.Attempt == 1 || got.FailureDomain != "r1/b" {
			t.Errorf("after the timeout of the unresponsive domain: %+v", got)
		}
	})
}

// Guards against short jobs that wait for the successor of a failed domain owner,
// which cannot be elected during a store outage.
func TestUnansweredOfferGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.domainNames = []string{testDomain, "r1/b"}
		f.domains.setUnreachable(testDomain)
		p := f.start(t, 1)
		time.Sleep(time.Second)
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} { // the domain is chosen at random
			submit(t, p, api.JobSpec{Class: api.ClassShort}, key)
		}
		time.Sleep(2 * rerouteDelay)
		if n := f.domains.offerCount(); n != 6 {
			t.Errorf("%d of 6 jobs were offered to the other domain", n)
		}
	})
}

// Guards against a cancellation that never reaches the failure domain, as an earlier recall
// came too late to take the job back.
func TestCancelAfterARecallThatCameTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.domainNames = []string{testDomain, "r1/b"}
		p := f.start(t, 1)
		st := submit(t, p, api.JobSpec{Class: api.ClassShort}, "k")
		time.Sleep(2 * rerouteDelay)
		recalls := f.domains.withdrawals()
		if recalls == 0 {
			t.Fatal("the waiting job was not recalled for the other domain")
		}
		offered := f.domains.lastOffer(t)
		if err := p.Report(t.Context(), domain.Report{Job: st.ID, Attempt: offered.Attempt, Domain: get(t, p, st.ID).FailureDomain, State: api.StateRunning, Epoch: 7}); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Cancel(t.Context(), "postbud", st.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n := f.domains.withdrawals(); n <= recalls {
			t.Error("the cancellation did not reach the domain")
		}
	})
}

// withdrawals returns the number of withdrawals and recalls.
func (f *fakeDomains) withdrawals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.withdrawn)
}
