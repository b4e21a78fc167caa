package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Guards against a worker that fails all jobs and stays in use, against one fault that
// quarantines more than maxQuarantineShare of the workers, and against a quarantine
// that never ends.
func TestFailingWorkersAreQuarantined(t *testing.T) {
	d := testDomain(16, nil)
	out := 0
	for n := range 200 {
		id := api.JobID(fmt.Sprint("j", n))
		mustEnqueue(t, d, Job{ID: id, Workspace: "a", Class: "short"})
		for _, a := range d.Decide(t0) {
			if a.Type == ActionQuarantine {
				out++
			}
			if a.Type == ActionPlace {
				d.Ended(t0, a.Job, 0, EndFailed, a.Placements[0].Worker)
			}
		}
	}
	if out != 1 {
		t.Errorf("%d workers in quarantine although all 16 fail, want 10%% at most", out)
	}
	if acts := d.Decide(t0.Add(minQuarantineTime)); countActions(acts, ActionUnquarantine) != 1 {
		t.Errorf("actions %+v, want the worker back on probation", acts)
	}
}

// Guards against a straggler that is never hedged and against a second copy of an
// at-most-once job.
func TestStragglersAreHedgedIfRepeatable(t *testing.T) {
	d := testDomain(2, nil)
	now := t0
	begin := func(id api.JobID, once bool) {
		if err := d.Enqueue(now, Job{ID: id, Workspace: "a", Class: "short", AtMostOnce: once}); err != nil {
			t.Fatal(err)
		}
		d.Decide(now)
		d.Started(now, id, 0)
	}
	for n := range minHedgeRuns {
		id := api.JobID(fmt.Sprint("j", n))
		begin(id, false)
		now = now.Add(time.Second)
		d.Ended(now, id, 0, EndSucceeded, "")
	}
	begin("slow", false)
	begin("once", true)
	acts := d.Decide(now.Add(10 * time.Second))
	if len(acts) != 1 || acts[0].Type != ActionHedge || acts[0].Job != "slow" {
		t.Fatalf("actions %+v, want one hedge of the repeatable straggler", acts)
	}
	d.Ended(now, "slow", 0, EndSucceeded, "")
	d.Ended(now, "once", 0, EndSucceeded, "")
	if free := d.Summary(now).FreeSlots; free != 16 {
		t.Errorf("%d slots free after both copies ended, want 16", free)
	}
}

// Guards against refusing urgent jobs before less urgent ones, and against a refusal
// without Retry-After.
func TestOverloadShedsWhatCanWait(t *testing.T) {
	d := NewDomain("r/a", Options{MaxQueued: 100})
	accepted := map[string]int{}
	for n := range 400 {
		class := []string{"archive", "long", "short", "urgent"}[n/100]
		err := d.Enqueue(t0, Job{ID: api.JobID(fmt.Sprint("j", n)), Workspace: "a", Class: class})
		if err == nil {
			accepted[class]++
		} else if !errkind.Is(err, errkind.Overloaded) || errkind.As(err).RetryAfter <= 0 {
			t.Fatalf("refusal %v", err)
		}
	}
	want := map[string]int{"archive": 25, "long": 50, "short": 15, "urgent": 10}
	for class, n := range want {
		if accepted[class] != n {
			t.Errorf("%d %s jobs accepted, want %d", accepted[class], class, n)
		}
	}
}

// Guards against a retry storm after an outage: the budget allows a share of the first
// attempts plus a low rate, and backoff delays stay within their limit.
func TestRetryBudgetAndBackoff(t *testing.T) {
	b := NewRetryBudget(0.1, 1, 10)
	allowed := 0
	for range 1_000 {
		b.RecordAttempt(t0, "a")
		if b.AllowRetry(t0, "a") {
			allowed++
		}
	}
	if allowed < 100 || allowed > 115 {
		t.Errorf("%d retries for 1000 attempts, want about a tenth and the burst", allowed)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for retry := range 100 {
		if d := (Backoff{Base: time.Second, Max: time.Minute}).Delay(retry, rng); d <= 0 || d > time.Minute {
			t.Fatalf("delay %v before retry %d", d, retry)
		}
	}
}

// Guards against a preview of a configuration document that omits a preemption or
// changes the state of the domain.
func TestPreviewLeavesTheStateAlone(t *testing.T) {
	d := testDomain(1, nil)
	mustEnqueue(t, d, Job{ID: "b", Workspace: "other", Class: "long", Accelerators: 8})
	d.Decide(t0)
	mustEnqueue(t, d, Job{ID: "u", Workspace: "own", Class: "urgent", Accelerators: 8})
	p := d.Preview(t0.Add(time.Second), guaranteeDocument(1, 8, api.AdjacencyWorker))
	if len(p.Preempt) != 1 || p.Preempt[0].Job != "b" {
		t.Errorf("preview %+v, want the preemption of b", p)
	}
	if s := d.Summary(t0); s.UsedByWorkspace["other"] != 8 || s.QueuedByClass["urgent"] != 1 || len(s.IdleGuaranteed) != 0 {
		t.Errorf("the preview changed the state: %+v", s)
	}
}
