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

// scenario is one job with one fault. Each scenario guards against a job that is lost,
// runs partially, or runs although it is reported as not run.
type scenario struct {
	name       string
	workers    int
	spec       api.JobSpec
	fault      func(w *world)            // injected before the offer
	during     func(w *world, d *Domain) // runs 2 s after the offer
	checkAfter time.Duration             // time until the outcome is checked, at least 10 s
	want       api.Outcome
	starts     int // total of started tasks at the workers
}

func refuse(kind errkind.Kind) func() error {
	return func() error { return errkind.New(kind, "refused by the test") }
}

func before(h func(string, string) error) func(*world) { return func(w *world) { w.inject(h, nil) } }

func after(h func(string, string) error) func(*world) { return func(w *world) { w.inject(nil, h) } }

func restartWorker(i int) func(*world, *Domain) {
	return func(w *world, _ *Domain) { w.workers[i].Restart() }
}

func setFaults(i int, f memory.Faults) func(*world, *Domain) {
	return func(w *world, _ *Domain) { w.workers[i].SetFaults(f) }
}

func withdraw(_ *world, d *Domain) { _ = d.Withdraw(context.Background(), testJob, 1, "cancelled") }

var atMostOnce = api.JobSpec{AtMostOnce: true, Payload: runPayload("5s")}

func atMostOnceGang() api.JobSpec {
	s := gang("5s")
	s.AtMostOnce = true
	return s
}

// restartOn restarts the first worker at its next call of the method.
func restartOn(method string) func(*world) {
	return func(w *world) {
		w.inject(firstCalls("w0", method, 1, func() error { w.workers[0].Restart(); return nil }), nil)
	}
}

// startThenRestart loses the answer of the first start, then restarts the worker.
func startThenRestart(w *world) {
	w.inject(nil, firstCalls("w0", "start", 1, func() error { w.workers[0].Restart(); return lostAnswer() }))
}

var scenarios = []scenario{
	{name: "single", workers: 1, spec: api.JobSpec{Payload: runPayload("5s")}, want: api.OutcomeSucceeded, starts: 1},
	{name: "single that fails", workers: 1, spec: api.JobSpec{Payload: []byte(`{"fail":true}`)}, want: api.OutcomeFailed, starts: 1},
	{name: "gang", workers: 2, spec: gang("5s"), want: api.OutcomeSucceeded, starts: 2},
	{
		name: "gang, one worker refuses once", workers: 2, spec: gang("5s"),
		fault: before(firstCalls("w1", "reserve", 1, refuse(errkind.CapacityExceeded))), want: api.OutcomeSucceeded, starts: 2,
	},
	{name: "gang, one worker dies between reserve and start", workers: 2, spec: gang("5s"), fault: restartOn("start"), want: api.OutcomeStopped, starts: 1},
	{
		name: "gang, one worker does not answer any more", workers: 2, spec: gang("60s"),
		during: setFaults(0, memory.Faults{RefuseConnections: true}), checkAfter: 25 * time.Second, want: api.OutcomeLost, starts: 2,
	},
	{name: "gang, one worker restarts", workers: 2, spec: gang("60s"), during: restartWorker(0), want: api.OutcomeLost, starts: 2},
	{name: "gang, an answer to reserve is lost", workers: 2, spec: gang("5s"), fault: after(firstCalls("w1", "reserve", 1, lostAnswer)), want: api.OutcomeSucceeded, starts: 2},
	{name: "gang, an answer to start is lost", workers: 2, spec: gang("5s"), fault: after(firstCalls("w1", "start", 1, lostAnswer)), want: api.OutcomeSucceeded, starts: 2},
	{name: "gang, all answers to start are lost", workers: 2, spec: gang("20s"), fault: after(firstCalls("w1", "start", 5, lostAnswer)), checkAfter: 30 * time.Second, want: api.OutcomeSucceeded, starts: 2},
	{name: "answer to reserve with start is lost", workers: 1, spec: api.JobSpec{Payload: runPayload("5s")}, fault: after(firstCalls("", "reserve", 1, lostAnswer)), want: api.OutcomeSucceeded, starts: 1},
	{
		name: "answer to reserve with start is lost and the task has ended", workers: 1, spec: api.JobSpec{Payload: runPayload("10ms")},
		fault: after(firstCalls("", "reserve", 1, func() error { time.Sleep(50 * time.Millisecond); return lostAnswer() })), want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "reserve with start and its fence are lost", workers: 1, spec: api.JobSpec{Payload: runPayload("1ms")},
		fault: func(w *world) {
			a, b := firstCalls("", "reserve", 1, lostAnswer), firstCalls("", "fence", 1, lostAnswer)
			w.inject(nil, func(id, m string) error {
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
			w.inject(firstCalls("", "fence", 3, lostAnswer), nil)
		}, want: api.OutcomeNotRun,
	},
	{name: "at most once, worker restarts before the start", workers: 1, spec: atMostOnce, fault: restartOn("start"), want: api.OutcomeNotRun},
	{name: "at most once, start answer lost and worker restarted", workers: 1, spec: atMostOnce, fault: startThenRestart, want: api.OutcomeLost, starts: 1},
	{
		name: "at most once, start answer lost and the next try refused", workers: 1, spec: atMostOnce,
		fault: func(w *world) {
			w.inject(firstCalls("", "start", 2, func() func() error {
				n := 0
				return func() error {
					if n++; n == 2 {
						return errkind.New(errkind.Conflict, "refused by the test")
					}
					return nil
				}
			}()), firstCalls("", "start", 1, lostAnswer))
		}, want: api.OutcomeSucceeded, starts: 1,
	},
	{name: "at most once gang", workers: 2, spec: atMostOnceGang(), want: api.OutcomeSucceeded, starts: 2},
	{name: "worker restarts", workers: 1, spec: api.JobSpec{Payload: runPayload("5s")}, during: restartWorker(0), want: api.OutcomeLost, starts: 1},
	{
		name: "worker paused past its lease", workers: 1, spec: api.JobSpec{Payload: runPayload("60s")},
		during: func(w *world, _ *Domain) {
			w.workers[0].SetFaults(memory.Faults{Pause: true})
			time.Sleep(18 * time.Second)
			w.workers[0].SetFaults(memory.Faults{})
		}, want: api.OutcomeLost, starts: 1,
	},
	{
		name: "answers to sync lost past the lease", workers: 1, spec: api.JobSpec{Payload: runPayload("120s")},
		during: func(w *world, _ *Domain) {
			w.inject(nil, firstCalls("", "sync", 1000, lostAnswer))
			time.Sleep(20 * time.Second)
			w.inject(nil, nil)
		}, want: api.OutcomeLost, starts: 1,
	},
	{name: "withdrawn while queued", workers: 0, spec: api.JobSpec{}, during: withdraw, want: api.OutcomeNotRun},
	{name: "withdrawn while running", workers: 1, spec: api.JobSpec{Payload: runPayload("60s")}, during: withdraw, want: api.OutcomeStopped, starts: 1},
	{
		name: "withdrawn while placing", workers: 1, spec: api.JobSpec{Payload: runPayload("60s")},
		fault:  after(firstCalls("", "reserve", 1, func() error { time.Sleep(3 * time.Second); return nil })),
		during: withdraw, want: api.OutcomeStopped, starts: 1,
	},
	{
		name: "withdrawn while reserve with start is unclear", workers: 1, spec: api.JobSpec{Payload: runPayload("60s")},
		fault: after(firstCalls("", "reserve", 1, func() error { time.Sleep(3 * time.Second); return lostAnswer() })), during: withdraw,
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
		}, checkAfter: 60 * time.Second, want: api.OutcomeSucceeded, starts: 1,
	},
	{
		name: "report refused by the partition", workers: 1, spec: api.JobSpec{Payload: runPayload("60s")},
		fault: func(w *world) { w.part.report = refuse(errkind.Conflict) }, want: "", starts: 1,
	},
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			withWorld(t, s.workers, func(t *testing.T, w *world, d *Domain) { s.run(t, w, d) })
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
	time.Sleep(max(s.checkAfter, 10*time.Second))
	r := w.part.outcome(testJob)
	if r.Outcome != s.want {
		t.Errorf("outcome %q (%s), want %q", r.Outcome, r.Reason, s.want)
	}
	if n := len(w.starts(testJob)); n != s.starts {
		t.Errorf("%d tasks were started, want %d", n, s.starts)
	}
	if n := w.live(); n != 0 {
		t.Errorf("%d tasks are still live after the end", n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.attempts) != 0 || len(d.byTask) != 0 {
		t.Errorf("%d attempts and %d tasks are still kept", len(d.attempts), len(d.byTask))
	}
}

// An at-most-once job must not start before its claim is journaled.
func TestNoStartBeforeClaim(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
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

// A worker that rejects a reservation must not exclude the other workers of its gang
// from new work: only the worker that failed first is blamed.
func TestRefusalBlamesOneWorker(t *testing.T) {
	withWorld(t, 3, func(t *testing.T, w *world, d *Domain) {
		var mu sync.Mutex
		refused := ""
		w.inject(func(id, method string) error {
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

// Guards against a retry storm: a worker that refuses all connections for a minute must
// be called a bounded number of times, and not in step with other workers.
func TestSilentWorkersAreBackedOff(t *testing.T) {
	withWorld(t, 20, func(t *testing.T, w *world, d *Domain) {
		var mu sync.Mutex
		calls, at := 0, map[time.Time]int{}
		w.inject(func(string, string) error {
			mu.Lock()
			defer mu.Unlock()
			calls++
			at[time.Now()]++
			return lostAnswer()
		}, nil)
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if limit := 20 * 60; calls > limit {
			t.Errorf("%d calls in a minute to 20 unreachable workers, want at most %d", calls, limit)
		}
		for when, n := range at {
			if n > 4 {
				t.Errorf("%d workers were called in the same instant, %v", n, when)
			}
		}
	})
}

// A result above the limit must fail the job and must not be sent to the partition.
func TestResultMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stop()
		w.maxResultBytes = 1000
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

// The first copy that succeeds must determine the outcome and the other must end; a
// hedge that cannot be placed must not affect the first copy.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(w *world)
		want   api.Outcome
		starts int
	}{
		"both run":                  {nil, api.OutcomeSucceeded, 2},
		"hedge is refused":          {before(firstCalls("w1", "reserve", 1, refuse(errkind.CapacityExceeded))), api.OutcomeSucceeded, 1},
		"first copy is lost":        {func(w *world) { time.AfterFunc(time.Second, func() { w.workers[0].Restart() }) }, api.OutcomeSucceeded, 2},
		"first ends while it waits": {after(firstCalls("w1", "reserve", 1, func() error { time.Sleep(10 * time.Second); return nil })), api.OutcomeSucceeded, 2},
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
			withWorld(t, 2, func(t *testing.T, w *world, d *Domain) {
				w.workers[1].SetLeaving(true) // forces the first copy onto w0
				time.Sleep(time.Second)
				mustOffer(t, d, offerOf(api.JobSpec{Payload: runPayload("5s")}))
				time.Sleep(time.Second)
				w.workers[1].SetLeaving(false)
				if c.fault != nil {
					c.fault(w)
				}
				d.execute(sched.Action{Type: sched.ActionHedge, Job: testJob, Attempt: 1, Placements: []sched.Placement{{Worker: "w1"}}})
				time.Sleep(20 * time.Second)
				if r := w.part.outcome(testJob); r.Outcome != c.want || len(w.starts(testJob)) != c.starts || w.live() != 0 {
					t.Errorf("outcome %q (%s), %d starts, %d tasks left", r.Outcome, r.Reason, len(w.starts(testJob)), w.live())
				}
			})
		})
	}
}

// An offer that is retried after the attempt ended must not run it again.
func TestLateOfferOfEndedAttempt(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		o := offerOf(api.JobSpec{})
		mustOffer(t, d, o)
		time.Sleep(time.Second)
		if err := d.Offer(t.Context(), o); !errkind.Is(err, errkind.Conflict) {
			t.Errorf("retried offer: %v, want conflict", err)
		}
		o.Attempt = 2
		mustOffer(t, d, o)
		time.Sleep(10 * time.Second)
		if n := len(w.starts(testJob)); n != 2 {
			t.Errorf("%d starts of two attempts, want 2", n)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.recentlyEnded.attempts)+len(d.recentlyEnded.byEndTime) != 0 {
			t.Error("records of ended attempts were not pruned")
		}
	})
}

// Guards against stopping a run, whose outcome is unknown then if it may not be repeated, by a
// recall that was sent while the job still waited: the offer of another failure domain is no
// reason to stop work.
func TestRecallDoesNotStopWhatHasStarted(t *testing.T) {
	recall := func(d *Domain) error {
		return d.Recall(context.Background(), testJob, 1, "another domain has capacity")
	}
	for name, spec := range map[string]api.JobSpec{"at most once": atMostOnce, "repeatable": {Payload: runPayload("5s")}, "gang": atMostOnceGang()} {
		for method, want := range map[string]api.Outcome{"start": api.OutcomeSucceeded, "reserve": ""} {
			t.Run(name+", during "+method, func(t *testing.T) {
				withWorld(t, 2, func(t *testing.T, w *world, d *Domain) {
					w.inject(firstCalls("", method, 1, func() error {
						if err := recall(d); err != nil {
							t.Errorf("recall of an attempt that is being placed: %v", err)
						}
						return nil
					}), nil)
					mustOffer(t, d, offerOf(spec))
					time.Sleep(2 * time.Second)
					if err := recall(d); len(w.starts("")) > 0 && !errkind.Is(err, errkind.Conflict) {
						t.Errorf("recall of a running attempt: %v, want conflict", err)
					}
					time.Sleep(8 * time.Second)
					r, started := w.part.outcome(testJob), len(w.starts("")) > 0
					if want == "" {
						want = map[bool]api.Outcome{true: api.OutcomeSucceeded, false: api.OutcomeNotRun}[started]
					}
					if r.Outcome != want {
						t.Errorf("outcome %q (%s), want %q", r.Outcome, r.Reason, want)
					}
				})
			})
		}
	}
}

// Guards against keeping an attempt that waits and is recalled.
func TestRecallTakesBackWhatWaits(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		w.workers[0].SetLeaving(true) // so that nothing is placed
		time.Sleep(time.Second)
		mustOffer(t, d, offerOf(api.JobSpec{Payload: runPayload("5s")}))
		time.Sleep(time.Second)
		if err := d.Recall(context.Background(), testJob, 1, "another domain has capacity"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomeNotRun {
			t.Errorf("outcome %q, want not_run", r.Outcome)
		}
	})
}
