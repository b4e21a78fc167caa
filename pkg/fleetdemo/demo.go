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

// Schedule of the demo; times of faults count from the start of the load.
const (
	loadDuration        = 14 * time.Second
	drainTimeout        = 20 * time.Second // limit for all jobs to end after the load
	callTimeout         = 3 * time.Second  // timeout of a client's call
	retryInterval       = 200 * time.Millisecond
	killAt              = 3 * time.Second
	outageAt            = 7 * time.Second
	outageDuration      = 3 * time.Second
	unreachableAt       = 12 * time.Second
	unreachableDuration = 2 * time.Second
	seed                = 1
)

// jobKind is a kind of job in the load.
type jobKind struct {
	name     string
	interval time.Duration // between two submissions
	duration time.Duration
	priority int
	step     workload.Step
}

func jobKinds() []jobKind {
	task := func(accelerators int64) workload.Resources {
		return workload.Resources{MilliCPU: 2000, MemoryMiB: 4000, Accelerators: accelerators}
	}
	return []jobKind{
		{"urgent flag", 250 * time.Millisecond, 400 * time.Millisecond, 0, workload.Step{Tasks: 3, Gang: true, Request: task(2)}},
		{"full letter", 700 * time.Millisecond, 1500 * time.Millisecond, 1, workload.Step{Tasks: 4, Gang: true, Request: task(4), Checkpointing: true}},
		{"archive index", time.Second, time.Second, 2, workload.Step{Tasks: 10, Request: task(1)}},
	}
}

// jobResult is the last known state of a job and the time until it ended or the
// load was over.
type jobResult struct {
	kind  string
	took  time.Duration
	state workload.State
}

// Run runs the demo and writes its progress and a table of results to w. It
// returns an error if a job did not complete or a guarantee was violated, such as
// a task that ran twice.
func Run(ctx context.Context, w io.Writer, log logr.Logger) error {
	s := newSystem(log)
	defer s.stop()
	fmt.Fprintf(w, "fleet of %d workers with %d accelerators each, %d VMs, one store\n", workerCount, capacity.Accelerators, vmCount)
	s.workers.SetOutcome(outcomes())
	if !wait.Sleep(ctx, time.Second) { // time for the leader election
		return errkind.As(ctx.Err())
	}
	var faults sync.WaitGroup
	faults.Go(func() { s.injectFaults(ctx, w) })
	results := s.runLoad(ctx)
	faults.Wait()
	return report(w, results, s.workers.Violations())
}

// outcomes returns a function that sets the duration of a task to that of its
// job kind times a random factor from 0.5 to 1.5 that depends only on the job.
func outcomes() func(workload.TaskID, int64) fleettest.Outcome {
	all := jobKinds()
	return func(task workload.TaskID, _ int64) fleettest.Outcome {
		var number int
		if _, err := fmt.Sscanf(task.Job, "%x", &number); err != nil {
			return fleettest.Outcome{Duration: time.Second}
		}
		random := rand.New(rand.NewPCG(uint64(number), seed))
		return fleettest.Outcome{Duration: time.Duration((0.5 + random.Float64()) * float64(all[number%len(all)].duration))}
	}
}

// injectFaults kills the owner, makes the store unavailable for a while and then
// makes two workers unreachable.
func (s *system) injectFaults(ctx context.Context, w io.Writer) {
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
			s.store.SetFaults(storeOutage)
			note("the store is down; its leases run out")
		}},
		{outageAt + outageDuration, func() {
			s.store.SetFaults(noStoreFaults)
			note("the store is back")
		}},
		{unreachableAt, func() { s.setUnreachable(true); note("two workers do not answer") }},
		{unreachableAt + unreachableDuration, func() { s.setUnreachable(false); note("they answer again") }},
	}
	began := s.clock()
	for _, step := range steps {
		if !wait.Sleep(ctx, began+step.at-s.clock()) {
			return
		}
		step.do()
	}
}

func (s *system) setUnreachable(on bool) {
	for i := range 2 {
		s.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = on })
	}
}

// runLoad submits all jobs at the intervals of their kinds and waits until each has
// ended or the time limit has passed.
func (s *system) runLoad(ctx context.Context) []jobResult {
	ctx, cancel := context.WithTimeout(ctx, loadDuration+drainTimeout)
	defer cancel()
	var mu sync.Mutex
	var results []jobResult
	var callers sync.WaitGroup
	all := jobKinds()
	for n, k := range all {
		for i := range int(loadDuration / k.interval) {
			callers.Go(func() {
				if !wait.Sleep(ctx, time.Duration(i)*k.interval) {
					return
				}
				r := s.runJob(ctx, k, n+i*len(all))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	}
	callers.Wait()
	return results
}

// runJob submits one job, retrying until it is accepted, and polls its state until
// the job has ended or ctx is done.
func (s *system) runJob(ctx context.Context, k jobKind, number int) jobResult {
	j := &workload.Job{
		ID: fmt.Sprintf("%016x", number), Queue: k.name, Steps: []workload.Step{k.step},
		Class: workload.Class{Priority: k.priority, MaxAttempts: 3, SlackFactor: 2, TargetRuntime: time.Second, Service: "service"},
	}
	j.Steps[0].Estimate = k.duration
	s.workers.AddJob(j)
	began := time.Now()
	r := jobResult{kind: k.name}
	for accepted := false; !r.state.Final(); {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var err error
		if !accepted {
			submitted := *j
			err = s.gateway.Accept(callCtx, &submitted)
			accepted = err == nil
		} else if r.state, err = s.gateway.State(callCtx, j.ID, j.QueueRef()); err != nil {
			s.log.V(1).Info("job state is not available", "job", j.ID, "reason", err.Error())
		}
		cancel()
		if !r.state.Final() && !wait.Sleep(ctx, retryInterval) {
			break
		}
	}
	r.took = time.Since(began)
	return r
}

// report prints the table of results, and returns an error if a job did not
// complete or there are violations.
func report(w io.Writer, results []jobResult, violations []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tjobs\tcompleted\tmedian\tlongest\t")
	lost := 0
	for _, k := range jobKinds() {
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
