package domain

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// kill stops a domain's owner without a flush, as a crash of its VM does.
func kill(d *Domain) { d.Stop(context.Background(), false) }

// A successor must adopt running attempts and end partially placed ones, whatever step
// the former owner died at.
func TestTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		spec   api.JobSpec
		method string // the former owner dies at its n-th call of the method
		n      int
		want   api.Outcome
		starts int
	}{
		"running single":               {api.JobSpec{Payload: runPayload("20s")}, "", 0, api.OutcomeSucceeded, 1},
		"running gang":                 {gang("20s"), "", 0, api.OutcomeSucceeded, 2},
		"running at most once":         {atMostOnceRun20s(), "", 0, api.OutcomeSucceeded, 1},
		"gang only partly reserved":    {gang("20s"), "reserve", 2, api.OutcomeNotRun, 0},
		"gang only reserved":           {gang("20s"), "start", 1, api.OutcomeNotRun, 0},
		"gang partly started":          {gang("20s"), "start", 2, api.OutcomeStopped, 1},
		"at most once before start":    {atMostOnceRun20s(), "start", 1, api.OutcomeNotRun, 0},
		"at most once before reserve":  {atMostOnceRun20s(), "reserve", 1, "", 0},
		"at most once gang, in halves": {atMostOnceGang(), "start", 2, api.OutcomeStopped, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 2, func(t *testing.T, w *world, d *Domain) {
				if c.method != "" {
					var n atomic.Int32
					w.inject(firstCalls("", c.method, 1000, func() error {
						if int(n.Add(1)) >= c.n {
							time.Sleep(10 * time.Millisecond) // lets earlier calls end
							d.cancel()
							return lostAnswer()
						}
						return nil
					}), nil)
				}
				mustOffer(t, d, offerOf(c.spec))
				time.Sleep(2 * time.Second)
				kill(d)
				w.inject(nil, nil)
				w.start()
				time.Sleep(40 * time.Second)
				r := w.part.outcome(testJob)
				if r.Outcome != c.want || len(w.starts(testJob)) != c.starts {
					t.Errorf("outcome %q (%s) and %d starts, want %q and %d", r.Outcome, r.Reason, len(w.starts(testJob)), c.want, c.starts)
				}
				if n, _ := w.part.count(testJob); c.want != "" && n != 1 {
					t.Errorf("%d outcomes were reported, want 1", n)
				}
				if n := w.live(); n != 0 {
					t.Errorf("%d tasks are still live", n)
				}
			})
		})
	}
}

func atMostOnceRun20s() api.JobSpec { return api.JobSpec{AtMostOnce: true, Payload: runPayload("20s")} }

// A claimed attempt must be resolved from the records of its workers, never be started
// again, and be reported as not run only with proof.
func TestClaimResolution(t *testing.T) {
	for name, c := range map[string]struct {
		before string                    // the former owner dies before this call; empty: after the start
		gap    func(w *world)            // while there is no owner
		during func(w *world, d *Domain) // after the claimed offer
		want   api.Outcome
		starts int
	}{
		"never started":          {before: "start", want: api.OutcomeNotRun},
		"ran and ended":          {gap: func(*world) { time.Sleep(10 * time.Second) }, want: api.OutcomeSucceeded, starts: 1},
		"still running":          {want: api.OutcomeSucceeded, starts: 1},
		"worker restarted":       {gap: func(w *world) { w.workers[0].Restart() }, want: api.OutcomeLost, starts: 1},
		"not started, restarted": {before: "start", gap: func(w *world) { w.workers[0].Restart() }, want: api.OutcomeLost},
		"worker gone":            {gap: func(w *world) { w.workers[0].Close() }, want: api.OutcomeLost, starts: 1},
		"withdrawn while resolving": {
			gap:    func(w *world) { w.workers[0].SetFaults(memory.Faults{RefuseConnections: true}) },
			during: func(w *world, d *Domain) { withdraw(w, d); w.workers[0].SetFaults(memory.Faults{}) },
			want:   api.OutcomeStopped, starts: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
				if c.before != "" {
					w.inject(firstCalls("", c.before, 100, func() error { d.cancel(); return lostAnswer() }), nil)
				}
				spec := api.JobSpec{AtMostOnce: true, Payload: runPayload("8s")}
				o := offerOf(spec)
				mustOffer(t, d, o)
				time.Sleep(2 * time.Second)
				kill(d)
				w.inject(nil, nil)
				claim := w.part.claimOf(testJob)
				o.ClaimedAllocations, o.ClaimedAt = claim.Allocations, time.Now()
				if c.gap != nil {
					c.gap(w)
				}
				next := w.start()
				mustOffer(t, next, o)
				if c.during != nil {
					time.Sleep(time.Second)
					c.during(w, next)
				}
				time.Sleep(40 * time.Second)
				r := w.part.outcome(testJob)
				if r.Outcome != c.want || len(w.starts(testJob)) != c.starts {
					t.Errorf("outcome %q (%s) and %d starts, want %q and %d", r.Outcome, r.Reason, len(w.starts(testJob)), c.want, c.starts)
				}
			})
		})
	}
}

// With two owners at once, the former one must neither start tasks nor report tasks as
// lost that its successor tracks.
func TestFormerOwnerIsHarmless(t *testing.T) {
	withWorld(t, 2, func(t *testing.T, w *world, old *Domain) {
		mustOffer(t, old, offerOf(gang("60s")))
		time.Sleep(2 * time.Second)
		next := w.start()
		time.Sleep(2 * time.Second)
		late := offerOf(api.JobSpec{})
		late.Job = "j0-2"
		if err := old.Offer(t.Context(), late); !errkind.Is(err, errkind.StaleEpoch) {
			t.Errorf("offer to the former owner: %v, want stale_epoch", err)
		}
		if known, err := old.KnownAttempts(t.Context(), 0); !errkind.Is(err, errkind.StaleEpoch) {
			t.Errorf("known attempts of the former owner: %v, %v, want stale_epoch", known, err)
		}
		if known, err := next.KnownAttempts(t.Context(), 0); err != nil || len(known) != 1 || known[0].Report.State != api.StateRunning {
			t.Errorf("known attempts of the new owner: %v, %v, want one that is running", known, err)
		}
		time.Sleep(30 * time.Second)
		if r := w.part.outcome(testJob); r.Outcome != "" {
			t.Fatalf("outcome %q (%s) while the gang runs", r.Outcome, r.Reason)
		}
		mustOffer(t, next, offerOf(gang("60s"))) // the attempt is already known
		time.Sleep(60 * time.Second)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomeSucceeded || r.Epoch != 2 {
			t.Errorf("outcome %q under epoch %d, want succeeded under 2", r.Outcome, r.Epoch)
		}
		if n := len(w.starts("")); n != 2 {
			t.Errorf("%d starts, want 2", n)
		}
	})
}

// A graceful stop must deliver the pending reports; an owner that lost its failure
// domain must send no more.
func TestStop(t *testing.T) {
	for name, flush := range map[string]bool{"flush": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
				w.part.report = refuse(errkind.Unavailable)
				mustOffer(t, d, offerOf(api.JobSpec{}))
				time.Sleep(2 * time.Second)
				go func() {
					time.Sleep(time.Second)
					w.part.mu.Lock()
					defer w.part.mu.Unlock()
					w.part.report = nil
				}()
				d.Stop(t.Context(), flush)
				time.Sleep(5 * time.Second)
				if got := w.part.outcome(testJob).Outcome != ""; got != flush {
					t.Errorf("outcome delivered: %v, want %v", got, flush)
				}
				_, calls := w.part.count(testJob)
				time.Sleep(time.Minute)
				if _, now := w.part.count(testJob); now != calls {
					t.Error("a stopped domain kept sending reports")
				}
			})
		})
	}
}

// A worker that is listed at a new address must keep its tasks.
func TestWorkerMovesToNewAddress(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		mustOffer(t, d, offerOf(api.JobSpec{Payload: runPayload("30s")}))
		time.Sleep(2 * time.Second)
		w.dialer.Add("new", w.workers[0])
		w.dialer.Add("w0", nil)
		w.mu.Lock()
		w.vms[0].Address = "new"
		w.mu.Unlock()
		time.Sleep(40 * time.Second)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomeSucceeded {
			t.Errorf("outcome %q (%s), want succeeded", r.Outcome, r.Reason)
		}
	})
}

// A gang that was adopted with a worker missing from the VM list must be withdrawable.
func TestWithdrawAdoptedGangWithUnlistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.stop()
		d := w.start()
		time.Sleep(time.Second)
		mustOffer(t, d, offerOf(gang("600s")))
		time.Sleep(2 * time.Second)
		kill(d)
		w.mu.Lock()
		w.vms = w.vms[:1]
		w.mu.Unlock()
		w.workers[1].Close()
		next := w.start()
		time.Sleep(2 * time.Second)
		if err := next.Withdraw(t.Context(), testJob, 1, "cancelled"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomeLost {
			t.Errorf("outcome %q (%s), want lost", r.Outcome, r.Reason)
		}
	})
}
