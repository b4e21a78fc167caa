package domain

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// scenario is one job with one fault. Each guards against a job that is lost,
// runs partially, or runs although it is reported as not run.
type scenario struct {
	name    string
	workers int
	spec    api.JobSpec
	fault   func(w *world)            // before the offer
	during  func(w *world, d *Domain) // 2 s after it
	settle  time.Duration             // until the outcome is checked
	want    api.Outcome
	starts  int // at the workers, in all
}

func refuse(kind errkind.Kind) func() error {
	return func() error { return errkind.New(kind, "refused by the test") }
}

func before(h func(string, string) error) func(*world) { return func(w *world) { w.hook(h, nil) } }
func after(h func(string, string) error) func(*world)  { return func(w *world) { w.hook(nil, h) } }

func restart(i int) func(*world, *Domain) {
	return func(w *world, _ *Domain) { w.workers[i].Restart() }
}

func faults(i int, f memory.Faults) func(*world, *Domain) {
	return func(w *world, _ *Domain) { w.workers[i].SetFaults(f) }
}

func withdraw(_ *world, d *Domain) { _ = d.Withdraw(context.Background(), testJob, 1, "cancelled") }

var atMostOnce = api.JobSpec{AtMostOnce: true, Payload: running("5s")}

func amoGang() api.JobSpec {
	s := gang("5s")
	s.AtMostOnce = true
	return s
}

// restartOn restarts the first worker at its next call of the method.
func restartOn(method string) func(*world) {
	return func(w *world) {
		w.hook(once("w0", method, 1, func() error { w.workers[0].Restart(); return nil }), nil)
	}
}

// startThenRestart loses the answer of the first start, then restarts the worker.
func startThenRestart(w *world) {
	w.hook(nil, once("w0", "start", 1, func() error { w.workers[0].Restart(); return lost() }))
}

var scenarios = []scenario{
	{name: "single", workers: 1, spec: api.JobSpec{Payload: running("5s")}, want: api.OutcomeSucceeded, starts: 1},
	{name: "single that fails", workers: 1, spec: api.JobSpec{Payload: []byte(`{"fail":true}`)}, want: api.OutcomeFailed, starts: 1},
	{name: "gang", workers: 2, spec: gang("5s"), want: api.OutcomeSucceeded, starts: 2},
	{
		name: "gang, one worker refuses once", workers: 2, spec: gang("5s"),
		fault: before(once("w1", "reserve", 1, refuse(errkind.CapacityExceeded))), want: api.OutcomeSucceeded, starts: 2,
	},
	{name: "gang, one worker dies between reserve and start", workers: 2, spec: gang("5s"), fault: restartOn("start"), want: api.OutcomeStopped, starts: 1},
	{
		name: "gang, one worker does not answer any more", workers: 2, spec: gang("60s"),
		during: faults(0, memory.Faults{RefuseConnections: true}), settle: 25 * time.Second, want: api.OutcomeLost, starts: 2,
	},
	{name: "gang, one worker restarts", workers: 2, spec: gang("60s"), during: restart(0), want: api.OutcomeLost, starts: 2},
	{name: "gang, an answer to reserve is lost", workers: 2, spec: gang("5s"), fault: after(once("w1", "reserve", 1, lost)), want: api.OutcomeSucceeded, starts: 2},
	{name: "gang, an answer to start is lost", workers: 2, spec: gang("5s"), fault: after(once("w1", "start", 1, lost)), want: api.OutcomeSucceeded, starts: 2},
	{name: "gang, all answers to start are lost", workers: 2, spec: gang("20s"), fault: after(once("w1", "start", 5, lost)), settle: 30 * time.Second, want: api.OutcomeSucceeded, starts: 2},
	{name: "answer to reserve with start is lost", workers: 1, spec: api.JobSpec{Payload: running("5s")}, fault: after(once("", "reserve", 1, lost)), want: api.OutcomeSucceeded, starts: 1},
	{
		name: "answer to reserve with start is lost and the task has ended", workers: 1, spec: api.JobSpec{Payload: running("10ms")},
		fault: after(once("", "reserve", 1, func() error { time.Sleep(50 * time.Millisecond); return lost() })), want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "reserve with start and its fence are lost", workers: 1, spec: api.JobSpec{Payload: running("1ms")},
		fault: func(w *world) {
			a, b := once("", "reserve", 1, lost), once("", "fence", 1, lost)
			w.hook(nil, func(id, m string) error {
				if err := a(id, m); err != nil {
					return err
				}
				return b(id, m)
			})
		}, want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "at most once", workers: 1, spec: atMostOnce, want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "claim refused", workers: 1, spec: atMostOnce,
		fault: func(w *world) { w.part.claim = refuse(errkind.Conflict) }, want: api.OutcomeNotRun,
	},
	{
		name: "claim answer lost", workers: 1, spec: atMostOnce,
		fault: func(w *world) { w.part.claimAfter = refuse(errkind.Timeout) }, want: api.OutcomeNotRun,
	},
	{
		name: "claim refused and the fence unanswered", workers: 1, spec: atMostOnce,
		fault: func(w *world) {
			w.part.claim = refuse(errkind.Conflict)
			w.hook(once("", "fence", 3, lost), nil)
		}, want: api.OutcomeNotRun,
	},
	{name: "at most once, worker restarts before the start", workers: 1, spec: atMostOnce, fault: restartOn("start"), want: api.OutcomeNotRun},
	{name: "at most once, start answer lost and worker restarted", workers: 1, spec: atMostOnce, fault: startThenRestart, want: api.OutcomeLost, starts: 1},
	{
		name: "at most once, start answer lost and the next try refused", workers: 1, spec: atMostOnce,
		fault: func(w *world) {
			w.hook(once("", "start", 2, func() func() error {
				n := 0
				return func() error {
					if n++; n == 2 {
						return errkind.New(errkind.Conflict, "refused by the test")
					}
					return nil
				}
			}()), once("", "start", 1, lost))
		}, want: api.OutcomeSucceeded, starts: 1,
	},
	{name: "at most once gang", workers: 2, spec: amoGang(), want: api.OutcomeSucceeded, starts: 2},
	{name: "worker restarts", workers: 1, spec: api.JobSpec{Payload: running("5s")}, during: restart(0), want: api.OutcomeLost, starts: 1},
	{
		name: "worker paused past its lease", workers: 1, spec: api.JobSpec{Payload: running("60s")},
		during: func(w *world, _ *Domain) {
			w.workers[0].SetFaults(memory.Faults{Pause: true})
			time.Sleep(18 * time.Second)
			w.workers[0].SetFaults(memory.Faults{})
		}, want: api.OutcomeLost, starts: 1,
	},
	{
		name: "answers to sync lost past the lease", workers: 1, spec: api.JobSpec{Payload: running("120s")},
		during: func(w *world, _ *Domain) {
			w.hook(nil, once("", "sync", 1000, lost))
			time.Sleep(20 * time.Second)
			w.hook(nil, nil)
		}, want: api.OutcomeLost, starts: 1,
	},
	{name: "withdrawn while queued", workers: 0, spec: api.JobSpec{}, during: withdraw, want: api.OutcomeNotRun},
	{name: "withdrawn while running", workers: 1, spec: api.JobSpec{Payload: running("60s")}, during: withdraw, want: api.OutcomeStopped, starts: 1},
	{
		name: "withdrawn while placing", workers: 1, spec: api.JobSpec{Payload: running("60s")},
		fault:  after(once("", "reserve", 1, func() error { time.Sleep(3 * time.Second); return nil })),
		during: withdraw, want: api.OutcomeStopped, starts: 1,
	},
	{
		name: "withdrawn while reserve with start is unclear", workers: 1, spec: api.JobSpec{Payload: running("60s")},
		fault: after(once("", "reserve", 1, func() error { time.Sleep(3 * time.Second); return lost() })), during: withdraw,
		want: api.OutcomeStopped, starts: 1,
	},
	{
		name: "report is retried until it is taken", workers: 1, spec: api.JobSpec{},
		fault: func(w *world) {
			n := 0
			w.part.report = func() error {
				if n++; n < 20 {
					return errkind.New(errkind.Unavailable, "no owner")
				}
				return nil
			}
		}, settle: 60 * time.Second, want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "report refused by the partition", workers: 1, spec: api.JobSpec{Payload: running("60s")},
		fault: func(w *world) { w.part.report = refuse(errkind.Conflict) }, want: "", starts: 1,
	},
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			inWorld(t, s.workers, func(t *testing.T, w *world, d *Domain) { s.run(t, w, d) })
		})
	}
}

func (s scenario) run(t *testing.T, w *world, d *Domain) {
	if s.fault != nil {
		s.fault(w)
	}
	mustOffer(t, d, offerOf(s.spec))
	time.Sleep(2 * time.Second)
	if s.during != nil {
		s.during(w, d)
	}
	time.Sleep(max(s.settle, 10*time.Second))
	r := w.part.outcome(testJob)
	if r.Outcome != s.want {
		t.Errorf("outcome %q (%s), want %q", r.Outcome, r.Reason, s.want)
	}
	if n := len(w.starts(testJob)); n != s.starts {
		t.Errorf("%d tasks were started, want %d", n, s.starts)
	}
	if n := w.live(); n != 0 {
		t.Errorf("%d tasks still hold a place after the end", n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.attempts) != 0 || len(d.byTask) != 0 {
		t.Errorf("%d attempts and %d tasks are still kept", len(d.attempts), len(d.byTask))
	}
}

// An at-most-once job must not start before its claim stands.
func TestNoStartBeforeClaim(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		w.part.claim = func() error {
			if n := len(w.starts("")); n != 0 {
				t.Errorf("%d tasks started before the claim", n)
			}
			return nil
		}
		mustOffer(t, d, offerOf(atMostOnce))
		time.Sleep(time.Second)
		if n := len(w.starts("")); n != 1 {
			t.Errorf("%d tasks started after the claim, want 1", n)
		}
	})
}

// One refusing worker must not keep the others of its gang out of use.
func TestRefusalBlamesOneWorker(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world, d *Domain) {
		var mu sync.Mutex
		refused := ""
		w.hook(func(id, method string) error {
			mu.Lock()
			defer mu.Unlock()
			if method == "reserve" && (refused == "" || refused == id) {
				refused = id
				return errkind.New(errkind.CapacityExceeded, "refused by the test")
			}
			return nil
		}, nil)
		mustOffer(t, d, offerOf(gang("1ms")))
		time.Sleep(1500 * time.Millisecond)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomeSucceeded {
			t.Errorf("outcome %q, want succeeded on the two other workers", r.Outcome)
		}
	})
}

// Guards against a storm of retries: a worker that refuses all connections for
// a minute is called a bounded number of times, and not in step with others.
func TestSilentWorkersAreBackedOff(t *testing.T) {
	inWorld(t, 20, func(t *testing.T, w *world, d *Domain) {
		var mu sync.Mutex
		calls, at := 0, map[time.Time]int{}
		w.hook(func(string, string) error {
			mu.Lock()
			defer mu.Unlock()
			calls++
			at[time.Now()]++
			return lost()
		}, nil)
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if limit := 20 * 60; calls > limit {
			t.Errorf("%d calls in a minute to 20 silent workers, want at most %d", calls, limit)
		}
		for when, n := range at {
			if n > 4 {
				t.Errorf("%d workers were called in the same instant, %v", n, when)
			}
		}
	})
}

// A result above the limit must fail the job and not reach the partition.
func TestResultMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stop()
		w.resultMax = 1000
		d := w.start()
		time.Sleep(time.Second)
		mustOffer(t, d, offerOf(api.JobSpec{Payload: []byte(`{"size":1000}`)}))
		time.Sleep(time.Second)
		r := w.part.outcome(testJob)
		if r.Outcome != api.OutcomeFailed || r.ErrorKind != string(errkind.TooLarge) || len(r.Result) != 0 {
			t.Errorf("outcome %q, kind %q, %d bytes", r.Outcome, r.ErrorKind, len(r.Result))
		}
	})
}

// The first copy that succeeds answers; the other ends, and a hedge that cannot
// be placed changes nothing.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(w *world)
		want   api.Outcome
		starts int
	}{
		"both run":                  {nil, api.OutcomeSucceeded, 2},
		"hedge is refused":          {before(once("w1", "reserve", 1, refuse(errkind.CapacityExceeded))), api.OutcomeSucceeded, 1},
		"first copy is lost":        {func(w *world) { time.AfterFunc(time.Second, func() { w.workers[0].Restart() }) }, api.OutcomeSucceeded, 2},
		"first ends while it waits": {after(once("w1", "reserve", 1, func() error { time.Sleep(10 * time.Second); return nil })), api.OutcomeSucceeded, 2},
		"stopped while it is unclear": {func(w *world) {
			w.workers[1].SetFaults(memory.Faults{RefuseConnections: true})
			time.AfterFunc(time.Second, func() { withdraw(w, w.domains[0]) })
			time.AfterFunc(3*time.Second, func() { w.workers[1].SetFaults(memory.Faults{}) })
		}, api.OutcomeStopped, 1},
		"both are lost": {func(w *world) {
			time.AfterFunc(time.Second, func() { w.workers[0].Restart(); w.workers[1].Restart() })
		}, api.OutcomeLost, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world, d *Domain) {
				w.workers[1].SetLeaving(true) // so that the first copy goes to w0
				time.Sleep(time.Second)
				mustOffer(t, d, offerOf(api.JobSpec{Payload: running("5s")}))
				time.Sleep(time.Second)
				w.workers[1].SetLeaving(false)
				if c.fault != nil {
					c.fault(w)
				}
				d.carryOut(sched.Action{Type: sched.ActionHedge, Job: testJob, Attempt: 1, Placements: []sched.Placement{{Worker: "w1"}}})
				time.Sleep(20 * time.Second)
				if r := w.part.outcome(testJob); r.Outcome != c.want || len(w.starts(testJob)) != c.starts || w.live() != 0 {
					t.Errorf("outcome %q (%s), %d starts, %d tasks left", r.Outcome, r.Reason, len(w.starts(testJob)), w.live())
				}
			})
		})
	}
}

// An offer that arrives again after the attempt ended must not run it again.
func TestLateOfferOfEndedAttempt(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		o := offerOf(api.JobSpec{})
		mustOffer(t, d, o)
		time.Sleep(time.Second)
		if err := d.Offer(t.Context(), o); !errkind.Is(err, errkind.Conflict) {
			t.Errorf("the offer again: %v, want conflict", err)
		}
		o.Attempt = 2
		mustOffer(t, d, o)
		time.Sleep(10 * time.Second)
		if n := len(w.starts(testJob)); n != 2 {
			t.Errorf("%d starts of two attempts", n)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.forgotten.attempts)+len(d.forgotten.order) != 0 {
			t.Error("ended attempts are remembered for ever")
		}
	})
}
