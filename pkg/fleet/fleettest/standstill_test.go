package fleettest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// standstillBed is a fleet of four workers in two racks, without an owner.
type standstillBed struct {
	t        *testing.T
	fleet    *Fleet
	detector *StandstillDetector
	started  time.Time
}

const standstillJob = "0123456789abcdef"

func (b *standstillBed) submit(id string, steps ...workload.Step) *workload.Job {
	j := &workload.Job{ID: id, Queue: "q", Steps: steps, Class: workload.Class{MaxAttempts: 2}}
	b.fleet.AddJob(j)
	return j
}

func (b *standstillBed) start(worker int, task workload.TaskID, run int64) {
	b.t.Helper()
	o := fleet.StartOrder{Task: task, Run: run, DeadlineMS: time.Since(b.started).Milliseconds() + 9000, Token: 1}
	if reply, err := b.fleet.Start(b.t.Context(), workerAddress(worker), "", o); err != nil || reply.Verdict != fleet.Accepted {
		b.t.Fatalf("start of %s: %v, %v", task, reply.Verdict, err)
	}
}

func (b *standstillBed) observe(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		b.detector.Observe()
	}
}

// Guards against a detector that misses a job which stands still, or that reports one which
// runs, is not due or has too little capacity.
func TestStandstillDetector(t *testing.T) {
	accelerators := func(tasks int, n int64) workload.Step {
		return workload.Step{Tasks: tasks, Request: workload.Resources{MilliCPU: 1000, MemoryMiB: 100, Accelerators: n}}
	}
	gang := func(tasks int, n int64) workload.Step {
		s := accelerators(tasks, n)
		s.Gang = true
		return s
	}
	chain := func() []workload.Step {
		second := accelerators(1, 1)
		second.After = []int{0}
		return []workload.Step{accelerators(1, 1), second}
	}
	with := func(s workload.Step, change func(*workload.Step)) workload.Step {
		change(&s)
		return s
	}
	first := workload.TaskID{Job: standstillJob}
	accepted := func(b *standstillBed, steps ...workload.Step) {
		b.submit(standstillJob, steps...)
		b.fleet.Accepted(standstillJob)
	}
	fault := func(b *standstillBed, change func(*Faults), workers ...int) {
		for _, i := range workers {
			b.fleet.UpdateFaults(i, change)
		}
	}
	tests := map[string]struct {
		play func(b *standstillBed)
		want int
	}{
		"waits in an empty fleet":                  {func(b *standstillBed) { accepted(b, accelerators(3, 1)) }, 1},
		"not accepted yet":                         {func(b *standstillBed) { b.submit(standstillJob, accelerators(3, 1)) }, 0},
		"cancelled":                                {func(b *standstillBed) { accepted(b, accelerators(3, 1)); b.fleet.Cancelled(standstillJob) }, 0},
		"another task of it runs":                  {func(b *standstillBed) { accepted(b, accelerators(3, 1)); b.start(0, first, 1) }, 0},
		"a gang that fits twice":                   {func(b *standstillBed) { accepted(b, gang(2, 8)) }, 1},
		"a gang that fits once":                    {func(b *standstillBed) { accepted(b, gang(3, 8)) }, 0},
		"separate tasks of which two fit":          {func(b *standstillBed) { accepted(b, accelerators(100, 8)) }, 1},
		"the first step waits, the second is late": {func(b *standstillBed) { accepted(b, chain()...) }, 1},
		"no worker has the label": {func(b *standstillBed) {
			accepted(b, with(accelerators(1, 1), func(s *workload.Step) { s.RequiredLabel = "none" }))
		}, 0},
		"two workers have the label": {func(b *standstillBed) {
			accepted(b, with(accelerators(1, 8), func(s *workload.Step) { s.RequiredLabel = "r0" }))
		}, 1},
		"the limit per worker leaves room once": {func(b *standstillBed) {
			accepted(b, with(gang(3, 1), func(s *workload.Step) { s.MaxPerWorker = 1 }))
		}, 0},
		"the limit per worker leaves room twice": {func(b *standstillBed) {
			accepted(b, with(gang(2, 1), func(s *workload.Step) { s.MaxPerWorker = 1 }))
		}, 1},
		"a task fits once, as three workers are out of use": {func(b *standstillBed) {
			accepted(b, accelerators(1, 8))
			fault(b, func(f *Faults) { f.Unreachable = true }, 0)
			fault(b, func(f *Faults) { f.FailAll = true }, 1)
			b.fleet.Drain(2, time.Minute)
		}, 0},
		"a task fits twice on the two workers in use": {func(b *standstillBed) {
			accepted(b, accelerators(1, 8))
			fault(b, func(f *Faults) { f.Hang = true }, 0)
			b.fleet.Crash(1, time.Hour)
		}, 1},
		"half of the accelerators are in use": {func(b *standstillBed) {
			accepted(b, accelerators(1, 1))
			b.submit("other", accelerators(2, 8))
			b.start(0, workload.TaskID{Job: "other"}, 1)
			b.start(1, workload.TaskID{Job: "other", Index: 1}, 1)
		}, 0},
		"a quarter of the accelerators are in use": {func(b *standstillBed) {
			accepted(b, accelerators(1, 1))
			b.submit("other", accelerators(1, 8))
			b.start(0, workload.TaskID{Job: "other"}, 1)
		}, 1},
		"not due yet": {func(b *standstillBed) {
			j := b.submit(standstillJob, accelerators(1, 1))
			j.Schedule = workload.Schedule{Count: 2, FirstUnixMS: time.Now().UnixMilli() + 7000, Interval: time.Hour}
			b.fleet.Accepted(standstillJob)
		}, 0},
		"due after a second": {func(b *standstillBed) {
			j := b.submit(standstillJob, accelerators(1, 1))
			j.Schedule = workload.Schedule{Count: 2, FirstUnixMS: time.Now().UnixMilli() + 1000, Interval: time.Hour}
			b.fleet.Accepted(standstillJob)
		}, 1},
		"all done": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} })
			accepted(b, accelerators(1, 1))
			b.start(0, first, 1)
		}, 0},
		"the second step waits after the first": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} })
			accepted(b, chain()...)
			b.start(0, first, 1)
		}, 1},
		"the worker that knows the end of the first step is unreachable": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} })
			accepted(b, chain()...)
			b.start(0, first, 1)
			fault(b, func(f *Faults) { f.Unreachable = true }, 0)
		}, 0},
		"a crash loses the end of its only task": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second} })
			accepted(b, accelerators(1, 1))
			b.start(0, first, 1)
			time.AfterFunc(2*time.Second, func() { b.fleet.Restart(0) })
		}, 1},
		"waits for its second attempt": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Second, Fails: true} })
			accepted(b, accelerators(1, 1))
			b.start(0, first, 1)
		}, 1},
		"its attempts are used": {func(b *standstillBed) {
			b.fleet.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: 100 * time.Millisecond, Fails: true} })
			accepted(b, accelerators(1, 1))
			b.start(0, first, 1)
			b.observe(time.Second)
			b.start(0, first, 2)
		}, 0},
		"starts before the threshold": {func(b *standstillBed) {
			accepted(b, accelerators(1, 1))
			b.observe(2 * time.Second)
			b.start(0, first, 1)
		}, 0},
		"starts after the threshold": {func(b *standstillBed) {
			accepted(b, accelerators(1, 1))
			b.observe(4 * time.Second)
			b.start(0, first, 1)
		}, 1},
		"two jobs": {func(b *standstillBed) {
			accepted(b, accelerators(1, 1))
			b.submit("other", gang(2, 2))
			b.fleet.Accepted("other")
		}, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(memory.NewStore(memory.Options{}), 4, 2, workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8})
				f.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: time.Hour} })
				b := &standstillBed{t: t, fleet: f, detector: f.NewStandstillDetector(StandstillThreshold), started: time.Now()}
				tc.play(b)
				b.observe(6 * time.Second)
				found := b.detector.Standstills()
				if len(found) != tc.want {
					t.Errorf("found %v, want %d", found, tc.want)
				}
				for _, s := range found {
					if s.Duration() < StandstillThreshold || s.Others != tc.want-1 || s.Slots < capacityFactor {
						t.Errorf("interval %v lasts %v beside %d others with %d slots", s, s.Duration(), s.Others, s.Slots)
					}
				}
				time.Sleep(2 * time.Hour) // timers of the emulator
			})
		})
	}
}

// Guards against reporting a gang that waits for a single rack like one that fits anywhere.
func TestStandstillTellsGangsBoundToARack(t *testing.T) {
	tests := map[string]struct {
		tasks        int
		accelerators int64
		sameRack     bool
		want         bool
	}{
		"fits on each of two racks": {tasks: 2, accelerators: 8, sameRack: true},
		"fits twice on one rack":    {tasks: 2, accelerators: 4, sameRack: true},
		"fits on no single rack":    {tasks: 5, accelerators: 3, sameRack: true, want: true},
		"needs no single rack":      {tasks: 5, accelerators: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(memory.NewStore(memory.Options{}), 6, 2, workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8})
				if name == "fits on each of two racks" {
					f.Drain(4, time.Hour)
				}
				b := &standstillBed{t: t, fleet: f, detector: f.NewStandstillDetector(StandstillThreshold), started: time.Now()}
				b.submit(standstillJob, workload.Step{
					Tasks: tc.tasks, Gang: true, SameRack: tc.sameRack, Request: workload.Resources{MilliCPU: 1000, MemoryMiB: 100, Accelerators: tc.accelerators},
				})
				f.Accepted(standstillJob)
				b.observe(5 * time.Second)
				found := b.detector.Standstills()
				if len(found) != 1 || found[0].RackBound() != tc.want || !found[0].Open {
					t.Errorf("found %v, want one interval that lasts, bound to a rack %v", found, tc.want)
				}
			})
		})
	}
}

// BenchmarkStandstillObserve observes a fleet of 1,100 workers with 300 jobs that wait.
func BenchmarkStandstillObserve(b *testing.B) {
	f := New(memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1}), 1100, 20, workload.Resources{MilliCPU: 128_000, MemoryMiB: 524_288, Accelerators: 8})
	for n := range 300 {
		j := &workload.Job{ID: fmt.Sprintf("%016x", n), Steps: []workload.Step{{
			Tasks: 26, Gang: true, SameRack: n%2 == 0, Request: workload.Resources{MilliCPU: 52_000, MemoryMiB: 270_000, Accelerators: 4},
		}}}
		f.AddJob(j)
		f.Accepted(j.ID)
	}
	d := f.NewStandstillDetector(StandstillThreshold)
	for b.Loop() {
		d.Observe()
	}
}
