package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// shortageGroups returns waiting groups in the order by slack: those of a workspace that floods
// the service before those of another one, beside one of another service and an urgent one.
func shortageGroups() []pendingGroup {
	var waiting []pendingGroup
	add := func(id, workspace, service string, priority int) {
		class := workload.Class{Priority: priority, Service: service}
		j := newJob(&workload.Job{
			ID: id, Queue: "q-" + service, Workspace: workspace, Class: class,
			Steps: []workload.Step{{Tasks: 4, Gang: true, Request: workload.Resources{Accelerators: 1}, Estimate: time.Second}},
		}, workload.NewProgress(&workload.Job{Steps: []workload.Step{{Tasks: 4}}}))
		waiting = append(waiting, pendingGroup{group: j.group(0, 0), pending: []int{0, 1, 2, 3}, priority: priority, slack: time.Duration(len(waiting)) * time.Second})
	}
	add("urgent", "flood", "s", 0)
	for n := range 8 {
		add(fmt.Sprint("flood", n), "flood", "s", 1)
		if n == 2 {
			add("elsewhere", "flood", "t", 1)
		}
	}
	add("other", "other", "s", 1)
	return waiting
}

// Guards against an order that differs from that by slack without a shortage, and against a
// shortage that changes the order of priorities or of other services, or that lets a workspace
// which floods the service delay another one.
func TestOrderChangesOnlyUnderShortage(t *testing.T) {
	const capacity = 16
	play := func(at time.Duration, workers int) []string {
		o, now, _ := newIdleOwner()
		o.opts.Catalog = func() *catalog.Catalog { return nil }
		for n := range workers {
			id := fmt.Sprint("w", n)
			w := &worker{WorkerEntry: WorkerEntry{ID: id, Service: "s", Capacity: workload.Resources{Accelerators: capacity}}, listed: true}
			o.workers[id] = w
		}
		var waiting []pendingGroup
		for *now = time.Second; *now <= time.Second+at; *now += 100 * time.Millisecond {
			waiting = shortageGroups()
			o.cycles++
			o.orderUnderShortage(waiting, *now)
		}
		var order []string
		for _, c := range waiting {
			order = append(order, c.group.job.ID)
		}
		return order
	}
	var bySlack []string
	for _, c := range shortageGroups() {
		bySlack = append(bySlack, c.group.job.ID)
	}
	for name, got := range map[string][]string{"demand fits": play(10*time.Second, 3), "a short excess": play(1900*time.Millisecond, 1)} {
		if !slices.Equal(got, bySlack) {
			t.Errorf("%s: got %v, want the order by slack", name, got)
		}
	}
	got := play(2*time.Second, 1)
	if got[0] != "urgent" || got[4] != "elsewhere" {
		t.Errorf("under shortage: got %v, want the urgent group and the other service at their places", got)
	}
	if other, last := slices.Index(got, "other"), slices.Index(got, "flood7"); other > last || other == len(got)-1 {
		t.Errorf("under shortage: got %v, want the other workspace before most of the one that floods", got)
	}
}

// BenchmarkCycleUnderShortage measures a cycle of an owner of 350 full workers with 300 waiting
// groups, 20 of them urgent.
func BenchmarkCycleUnderShortage(b *testing.B) {
	for name, disabled := range map[string]Rules{"on": 0, "off": RulePreemptionWait | RuleVictimCost | RuleShortageOrder | RuleAdmission} {
		b.Run(name, func(b *testing.B) {
			o, now, _ := newIdleOwner()
			o.opts.Log = logr.Discard()
			o.opts.DisabledRules, o.opts.ReclaimBound = disabled, 2700*time.Millisecond
			o.opts.Catalog = func() *catalog.Catalog {
				return &catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "w0", Guaranteed: workload.Resources{Accelerators: 100}}}}
			}
			*now = time.Minute
			add := func(id string, priority, tasks int) *job {
				record := &workload.Job{
					ID: id, Queue: "q", Workspace: fmt.Sprint("w", len(o.jobs)%20), Class: workload.Class{Priority: priority, Service: "s", SlackFactor: 100},
					Steps: []workload.Step{{Tasks: tasks, Gang: true, Request: workload.Resources{Accelerators: 1}, Estimate: 8 * time.Second}},
				}
				record.AcceptedUnixMS = o.opts.Now().UnixMilli()
				o.addJob(record, workload.NewProgress(record), 0, sourceNotified)
				return o.jobs[id]
			}
			for n := range 350 {
				id := fmt.Sprintf("w%03d", n)
				w := &worker{WorkerEntry: WorkerEntry{ID: id, Service: "s", Rack: fmt.Sprint("r", n/20), Capacity: workload.Resources{Accelerators: 8}}, listed: true, runs: map[*run]struct{}{}, failedAt: map[string]time.Duration{}}
				o.workers[id] = w
				j := add("running"+id, 2, 8)
				for i := range 8 {
					r := &run{group: j.group(0, 0), index: i, worker: w, phase: phaseRunning, startedAt: *now, demand: workload.Resources{Accelerators: 1}}
					j.group(0, 0).addRun(r)
					j.group(0, 0).tasks()[i].Phase = workload.Assigned
				}
			}
			for n := range 300 {
				add(fmt.Sprintf("waiting%03d", n), map[bool]int{true: 0, false: 1 + n%2}[n < 20], 13)
			}
			for b.Loop() {
				*now += 100 * time.Microsecond
				o.placePending(*now)
			}
		})
	}
}
