package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/explain"
	"github.com/carawayusher/carawayusher/pkg/placement"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// newIdleOwner returns an Owner that runs nothing, its time, and its log lines.
func newIdleOwner() (o *Owner, now *time.Duration, lines *[]string) {
	now, lines = new(time.Duration), new([]string)
	log := funcr.New(func(_, args string) { *lines = append(*lines, args) }, funcr.Options{})
	o = newOwner(Options{Log: log, Clock: func() time.Duration { return *now }, Now: func() time.Time { return time.Unix(0, 0).Add(*now) }}, ownershipLease{validUntil: time.Hour})
	return o, now, lines
}

// Guards against a cycle that is slow, or begins long after it was requested, without a
// line that says so.
func TestSlowAndLateCyclesAreReported(t *testing.T) {
	const at = time.Minute
	tests := map[string]struct {
		late, took time.Duration
		want       bool
	}{
		"in time":       {50 * time.Millisecond, 50 * time.Millisecond, false},
		"slow":          {0, 301 * time.Millisecond, true},
		"requested":     {301 * time.Millisecond, 0, true},
		"far from both": {0, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			o, now, lines := newIdleOwner()
			*now = at
			o.triggerCycle()
			*now = at + tc.late/2
			o.triggerCycle() // the first request counts
			*now = at + tc.late
			late := o.cycleDelay(*now, at+time.Second)
			o.reportCycle(*now, *now+tc.took, late)
			if got := len(*lines) > 0; got != tc.want {
				t.Errorf("got %q", *lines)
			}
			if again := o.cycleDelay(*now+time.Second, at+2*time.Second); again != 0 {
				t.Errorf("the next cycle is late by %s", again)
			}
		})
	}
}

// Guards against a starved processor, a lock that is held for long, or an expired lease
// that cannot be told from the log.
func TestOwnerDelaysAreReported(t *testing.T) {
	tests := map[string]struct {
		timerLate, lockWait, validUntil time.Duration
		want                            string
	}{
		"in time":       {100 * time.Millisecond, 100 * time.Millisecond, time.Hour, ""},
		"starved":       {2 * time.Second, 0, time.Hour, `"timerLateMS"=2000`},
		"lock held":     {0, time.Second, time.Hour, `"lockWaitMS"=1000`},
		"lease expired": {0, 0, 59 * time.Second, `"expiredMS"=1000`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			o, now, lines := newIdleOwner()
			*now, o.validity = time.Minute, newLeaseValidity(tc.validUntil)
			o.reportDelay(tc.timerLate, tc.lockWait)
			if got := strings.Join(*lines, "\n"); !strings.Contains(got, tc.want) || (tc.want == "") != (got == "") {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a wrong age of the oldest unstored change while a job changes again
// during the write of an earlier change.
func TestAgeOfUnstoredChanges(t *testing.T) {
	o, now, _ := newIdleOwner()
	record := &workload.Job{ID: "a", Steps: []workload.Step{{Tasks: 1}}}
	j := newJob(record, workload.NewProgress(record))
	check := func(want time.Duration) {
		t.Helper()
		if got := o.writeState(*now).oldestUnstored; got != want {
			t.Errorf("at %s the oldest change is %s old, want %s", *now, got, want)
		}
	}
	*now = 10 * time.Second
	o.markDirty(j)
	*now = 11 * time.Second
	o.markDirty(j)
	check(time.Second)
	first := o.takeBatch()
	*now = 12 * time.Second
	o.markDirty(j)
	*now = 13 * time.Second
	o.markDirty(j)
	check(3 * time.Second)
	o.recordStored(first, 1)
	check(time.Second)
	second := o.takeBatch()
	if got := o.writeState(*now).open; got != 1 {
		t.Errorf("%d open writes, want 1", got)
	}
	o.recordStored(second, 2)
	check(0)
}

// Guards against a reason that does not fit the state of the group.
func TestReasonFollowsTheStateOfTheGroup(t *testing.T) {
	const now = time.Minute
	planned := func(code placement.Code, reason placement.Reason) func(*taskGroup) {
		return func(g *taskGroup) {
			g.planned.record(placement.Outcome{Code: code, Reason: reason}, now-100*time.Millisecond)
		}
	}
	runs := func(adopted bool, phases ...runPhase) func(*taskGroup) {
		return func(g *taskGroup) {
			for i, p := range phases {
				g.tasks()[i].Phase = workload.Assigned
				g.addRun(&run{group: g, index: i, phase: p, phaseSince: now - time.Duration(len(phases)-i)*time.Second, adopted: adopted, worker: &worker{runs: map[*run]struct{}{}}})
			}
		}
	}
	both := func(a, b func(*taskGroup)) func(*taskGroup) { return func(g *taskGroup) { a(g); b(g) } }
	tests := map[string]struct {
		gang    bool
		prepare func(*taskGroup)
		want    standingReason
		run     int // index of the named run; -1: none
	}{
		"never planned":                 {false, func(*taskGroup) {}, reasonNotPlanned, -1},
		"planned long ago":              {false, func(g *taskGroup) { g.planned.record(placement.Outcome{Code: placement.Blocked}, now-2*time.Second) }, reasonNotPlanned, -1},
		"placed, but nothing runs":      {false, planned(placement.Placed, ""), reasonStartFailed, -1},
		"victims stop":                  {false, planned(placement.Preempting, ""), reasonAwaitingStops, -1},
		"others stop":                   {false, planned(placement.AwaitingStops, ""), reasonAwaitingStops, -1},
		"others end soon":               {false, planned(placement.AwaitingEnds, ""), reasonAwaitingEnds, -1},
		"blocked":                       {false, planned(placement.Blocked, ""), reasonBlocked, -1},
		"blocked by headroom":           {false, planned(placement.Blocked, placement.Headroom), "headroom", -1},
		"headroom earlier":              {false, both(planned(placement.Blocked, placement.Headroom), planned(placement.Blocked, "")), "headroom", -1},
		"headroom before a placement":   {false, both(planned(placement.Blocked, placement.Headroom), both(planned(placement.Placed, ""), planned(placement.Blocked, ""))), reasonBlocked, -1},
		"assigned":                      {true, runs(false, phasePlanned, phasePlanned), reasonNotStored, 0},
		"the oldest run counts":         {true, runs(false, phaseStopping, phaseStarting), reasonStopping, 0},
		"starting":                      {true, runs(false, phaseStarting, phaseStarting), reasonStarting, 0},
		"uncertain":                     {true, runs(false, phaseUncertain, phaseStarting), reasonUncertain, 0},
		"adopted":                       {true, runs(true, phaseUncertain, phaseUncertain), reasonAdopted, 0},
		"part of a gang is left":        {true, both(planned(placement.Placed, ""), runs(false, phaseUncertain)), reasonFormerRun, 0},
		"separate tasks, one uncertain": {false, both(planned(placement.Placed, ""), runs(false, phaseUncertain)), reasonUncertain, 0},
		"separate tasks, rest blocked":  {false, both(planned(placement.Blocked, placement.Label), runs(false, phaseUncertain)), "label", -1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			record := &workload.Job{ID: "a", Steps: []workload.Step{{Tasks: 2, Gang: tc.gang}}}
			g := newJob(record, workload.NewProgress(record)).group(0, 0)
			tc.prepare(g)
			reason, r := g.standingReason(now)
			index := -1
			if r != nil {
				index = r.index
			}
			if reason != tc.want || index != tc.run {
				t.Errorf("got %s with run %d, want %s with run %d", reason, index, tc.want, tc.run)
			}
		})
	}
}

// Guards against a reason that explain prints as its bare code.
func TestEveryReasonIsExplained(t *testing.T) {
	reasons := []standingReason{
		reasonNotStored, reasonStarting, reasonStopping, reasonUncertain, reasonSilent, reasonAdopted, reasonFormerRun, reasonStartFailed, reasonNotPlanned, reasonAwaitingStops, reasonAwaitingEnds, reasonBlocked,
	}
	for _, r := range []placement.Reason{
		placement.NoCapacity, placement.Fragmented, placement.Unschedulable, placement.KeptForStops, placement.Reserved, placement.Headroom, placement.Ejected, placement.SingleRack,
		placement.Excluded, placement.NotEligible, placement.Limit, placement.Label, placement.Combined,
	} {
		reasons = append(reasons, standingReason(r))
	}
	for _, reason := range reasons {
		var out strings.Builder
		line := fmt.Sprintf(`{"msg":"job is standing","job":"a","standingMS":2000,"reason":%q}`, reason)
		if err := explain.Job(strings.NewReader(line), &out, "a"); err != nil {
			t.Fatal(err)
		}
		if _, cause, _ := strings.Cut(out.String(), "cause:"); !strings.Contains(cause, " ") || strings.Contains(cause, ": "+string(reason)+"\n") {
			t.Errorf("%s: got %q", reason, cause)
		}
	}
}

// Guards against a line for each failed run on a worker that is ejected already.
func TestEjectionIsLoggedOnce(t *testing.T) {
	o, now, lines := newIdleOwner()
	*now = time.Minute
	w := &worker{WorkerEntry: WorkerEntry{ID: "w", Rack: "r"}, failedAt: map[string]time.Duration{}}
	for i := range 100 {
		record := &workload.Job{ID: fmt.Sprintf("%016x", i), Steps: []workload.Step{{Tasks: 1}}}
		o.recordWorkerFailure(w, newJob(record, workload.NewProgress(record)).group(0, 0))
		*now += time.Millisecond
	}
	if n := len(*lines); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
}

// BenchmarkAssess measures an assessment of jobs that all stand, with one run that is
// unresolved for each of half of the workers.
func BenchmarkAssess(b *testing.B) {
	const workers, jobs = 1100, 2000
	o, now, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	for i := range workers {
		id := fmt.Sprintf("w%05d", i)
		o.workers[id] = &worker{WorkerEntry: WorkerEntry{ID: id, Service: "service"}, listed: true, runs: map[*run]struct{}{}}
	}
	for i := range jobs {
		record := &workload.Job{ID: fmt.Sprintf("%016x", i), Steps: []workload.Step{{Tasks: 8, Gang: true}, {Tasks: 8, After: []int{0}}}}
		j := newJob(record, workload.NewProgress(record))
		o.addLive(j)
		if i < workers/2 {
			r := &run{group: j.group(0, 0), phase: phaseUncertain, worker: o.workers[fmt.Sprintf("w%05d", i)]}
			j.group(0, 0).addRun(r)
		}
	}
	*now = time.Minute
	reporter := standingReporter{summarizedAt: map[string]time.Duration{}, silencedAt: map[string]time.Duration{}}
	for b.Loop() {
		*now += standingInterval
		reporter.report(o, o.assess())
	}
}
