package shortage

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a refusal of a job that could be in time, for which capacity is free, or that is
// within a guarantee; and against a Retry-After after which it would be refused again at once.
func TestRefuse(t *testing.T) {
	gang := workload.Resources{MilliCPU: 1000, Accelerators: 16}
	load := func(change func(*Load)) *Load {
		l := &Load{
			Scarce: Accelerators, Capacity: 100, Free: workload.Resources{MilliCPU: 9000, Accelerators: 15}, Guaranteed: map[string]int64{"owed": 16},
			Priorities: []PriorityLoad{{Priority: 0, Ahead: 2000, AheadBeyond: 2000}, {Priority: 1, Ahead: 2000, AheadBeyond: 4000, Arriving: 50}},
		}
		if change != nil {
			change(l)
		}
		return l
	}
	job := func(priority int, workspace string, objective time.Duration) Applicant {
		return Applicant{Workspace: workspace, Priority: priority, FirstDemand: gang, Accelerators: 16, Work: Work{Accelerators: 100}, CriticalPath: 2 * time.Second, Objective: objective}
	}
	tests := map[string]struct {
		load    *Load
		job     Applicant
		retry   time.Duration
		refused bool
	}{
		"no table":                       {nil, job(1, "other", time.Second), 0, false},
		"waits 42 s, can wait 10 s":      {load(nil), job(1, "other", 4*time.Second), 32 * time.Second, true},
		"waits 42 s, can wait 19 s":      {load(nil), job(1, "other", 7*time.Second), 0, false},
		"higher priority waits less":     {load(nil), job(0, "other", 8*time.Second), 0, false},
		"urgent without a guarantee":     {load(nil), job(0, "other", 3*time.Second), 14 * time.Second, true},
		"urgent within a guarantee":      {load(nil), job(0, "owed", 3*time.Second), 0, false},
		"capacity is free":               {load(func(l *Load) { l.Free.Accelerators = 16 }), job(1, "other", time.Second), 0, false},
		"beyond its fair part":           {load(func(l *Load) { l.Beyond = map[string]bool{"other": true} }), job(1, "other", 10*time.Second), 54 * time.Second, true},
		"a priority without known loads": {load(nil), job(2, "other", time.Second), 0, false},
	}
	for name, tc := range tests {
		retry, refused := tc.load.Refuse(tc.job)
		if retry != tc.retry || refused != tc.refused {
			t.Errorf("%s: refused %v, retry after %v; want %v, %v", name, refused, retry, tc.refused, tc.retry)
		}
	}
}

// Guards against refusing jobs that have a due time, run until they are cancelled, or whose run
// time is not known.
func TestNewApplicant(t *testing.T) {
	step := workload.Step{Tasks: 3, Gang: true, Request: workload.Resources{Accelerators: 2}, Estimate: 2 * time.Second}
	class := workload.Class{Priority: 1, SlackFactor: 1.5, TargetRuntime: time.Second}
	chained := step
	chained.After, chained.Gang = []int{0}, false
	a, ok := NewApplicant(&workload.Job{Workspace: "w", Class: class, Steps: []workload.Step{step, chained}})
	want := Applicant{Workspace: "w", Priority: 1, FirstDemand: workload.Resources{Accelerators: 6}, Accelerators: 6, Work: Work{Accelerators: 24}, CriticalPath: 4 * time.Second, Objective: 7 * time.Second}
	if !ok || a != want {
		t.Errorf("got %+v, %v, want %+v", a, ok, want)
	}
	lasting, unknown := step, step
	lasting.LongRunning, unknown.Estimate = true, 0
	for name, j := range map[string]*workload.Job{
		"due time": {Class: class, Steps: []workload.Step{step}, Schedule: workload.Schedule{Count: 1}},
		"lasting":  {Class: class, Steps: []workload.Step{lasting}},
		"unknown":  {Class: class, Steps: []workload.Step{unknown}},
	} {
		if _, ok := NewApplicant(j); ok {
			t.Errorf("%s: may be refused", name)
		}
	}
}
