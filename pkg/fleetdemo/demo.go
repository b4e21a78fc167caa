package fleetdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Course of the demo.
const (
	loadTime    = 14 * time.Second
	settleTime  = 20 * time.Second // in which all jobs have to end after the load
	callTime    = 3 * time.Second  // of one call of a caller
	callPause   = 200 * time.Millisecond
	killAt      = 3 * time.Second
	outageAt    = 7 * time.Second
	outageTime  = 3 * time.Second
	silenceAt   = 12 * time.Second
	silenceTime = 2 * time.Second
	seed        = 1
)

// kind is one kind of work of the load.
type kind struct {
	name     string
	every    time.Duration // between two jobs
	takes    time.Duration
	priority int
	step     workload.Step
}

func kinds() []kind {
	task := func(accelerators int64) workload.Resources {
		return workload.Resources{MilliCPU: 2000, MemoryMiB: 4000, Accelerators: accelerators}
	}
	return []kind{
		{"urgent flag", 250 * time.Millisecond, 400 * time.Millisecond, 0, workload.Step{Tasks: 3, Gang: true, Request: task(2)}},
		{"full letter", 700 * time.Millisecond, 1500 * time.Millisecond, 1, workload.Step{Tasks: 4, Gang: true, Request: task(4), Checkpointing: true}},
		{"archive index", time.Second, time.Second, 2, workload.Step{Tasks: 10, Request: task(1)}},
	}
}

// result is what became of one job.
type result struct {
	kind  string
	took  time.Duration
	state workload.State
}

// Run carries the demo out and writes progress and a table to w. An error means
// that a job was lost or run twice.
func Run(ctx context.Context, w io.Writer, log logr.Logger) error {
	s := newSystem(log)
	defer s.stop()
	fmt.Fprintf(w, "fleet of %d workers with %d accelerators each, %d VMs, one store\n", workerCount, capacity.Accelerators, vmCount)
	s.workers.SetOutcome(outcomes())
	if !wait.Sleep(ctx, time.Second) { // an owner is elected
		return errkind.As(ctx.Err())
	}
	var faults sync.WaitGroup
	faults.Go(func() { s.bringFaults(ctx, w) })
	results := s.load(ctx)
	faults.Wait()
	return report(w, results, s.workers.Violations())
}

// outcomes gives each task the run time of its kind, more or less.
func outcomes() func(workload.TaskID, int64) fleettest.Outcome {
	all := kinds()
	return func(task workload.TaskID, _ int64) fleettest.Outcome {
		var number int
		if _, err := fmt.Sscanf(task.Job, "%x", &number); err != nil {
			return fleettest.Outcome{Duration: time.Second}
		}
		random := rand.New(rand.NewPCG(uint64(number), seed))
		return fleettest.Outcome{Duration: time.Duration((0.5 + random.Float64()) * float64(all[number%len(all)].takes))}
	}
}

// bringFaults kills the owner, takes the store away and silences two workers.
func (s *system) bringFaults(ctx context.Context, w io.Writer) {
	note := func(text string) { fmt.Fprintf(w, "%5.1f s  %s\n", s.clock().Seconds(), text) }
	steps := []struct {
		at time.Duration
		do func()
	}{
		{killAt, func() {
			note("killed " + s.killOwner() + ", the owner of the fleet")
			s.startVM()
		}},
		{outageAt, func() {
			s.store.SetFaults(memoryOutage)
			note("the store is down; its leases run out")
		}},
		{outageAt + outageTime, func() {
			s.store.SetFaults(memoryCalm)
			note("the store is back")
		}},
		{silenceAt, func() { s.silence(true); note("two workers do not answer") }},
		{silenceAt + silenceTime, func() { s.silence(false); note("they answer again") }},
	}
	began := s.clock()
	for _, step := range steps {
		if !wait.Sleep(ctx, began+step.at-s.clock()) {
			return
		}
		step.do()
	}
}

func (s *system) silence(on bool) {
	for i := range 2 {
		s.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = on })
	}
}

// load submits all jobs and waits for their ends.
func (s *system) load(ctx context.Context) []result {
	ctx, cancel := context.WithTimeout(ctx, loadTime+settleTime)
	defer cancel()
	var mu sync.Mutex
	var results []result
	var callers sync.WaitGroup
	all := kinds()
	for n, k := range all {
		for i := range int(loadTime / k.every) {
			callers.Go(func() {
				if !wait.Sleep(ctx, time.Duration(i)*k.every) {
					return
				}
				r := s.call(ctx, k, n+i*len(all))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	}
	callers.Wait()
	return results
}

// call submits one job, again after each refusal, and waits for its end.
func (s *system) call(ctx context.Context, k kind, number int) result {
	j := &workload.Job{
		ID: fmt.Sprintf("%016x", number), Queue: k.name, Steps: []workload.Step{k.step},
		Class: workload.Class{Priority: k.priority, MaxAttempts: 3, SlackFactor: 2, TargetRuntime: time.Second, Service: "service"},
	}
	j.Steps[0].Estimate = k.takes
	s.workers.AddJob(j)
	began := time.Now()
	r := result{kind: k.name}
	for accepted := false; !r.state.Final(); {
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		var err error
		if !accepted {
			submitted := *j
			err = s.gateway.Accept(callCtx, &submitted)
			accepted = err == nil
		} else if r.state, err = s.gateway.State(callCtx, j.ID, j.Queue); err != nil {
			s.log.V(1).Info("state not told", "job", j.ID, "reason", err.Error())
		}
		cancel()
		if !r.state.Final() && !wait.Sleep(ctx, callPause) {
			break
		}
	}
	r.took = time.Since(began)
	return r
}

// report prints the table and the verdict.
func report(w io.Writer, results []result, violations []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tjobs\tcompleted\tmedian\tlongest\t")
	lost := 0
	for _, k := range kinds() {
		var took []time.Duration
		jobs := 0
		for _, r := range results {
			if r.kind != k.name {
				continue
			}
			jobs++
			if r.state == workload.Completed {
				took = append(took, r.took)
			}
		}
		lost += jobs - len(took)
		slices.Sort(took)
		if len(took) == 0 {
			fmt.Fprintf(table, "%s\t%d\t0\t-\t-\t\n", k.name, jobs)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f s\t%.1f s\t\n", k.name, jobs, len(took), took[len(took)/2].Seconds(), took[len(took)-1].Seconds())
	}
	if err := table.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "table")
	}
	fmt.Fprintf(w, "lost=%d broken_promises=%d\n", lost, len(violations))
	if lost > 0 || len(violations) > 0 {
		return errkind.New(errkind.Internal, "%d jobs did not complete; %v", lost, violations)
	}
	return nil
}
