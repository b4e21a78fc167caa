package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/embedded"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// printTable shows count, states, wait before the start and run time per workload.
func printTable(w io.Writer, results []outcome) {
	byLoad := map[string][]outcome{}
	for _, r := range results {
		byLoad[r.load] = append(byLoad[r.load], r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORK\tJOBS\tSUCCEEDED\tWAIT P50\tWAIT MAX\tRUN P50\tRUN MAX")
	for _, load := range loads() {
		rows := byLoad[load.name]
		var wait, run []time.Duration
		ok := 0
		for _, r := range rows {
			if r.err != nil || r.status.State != api.StateSucceeded {
				continue
			}
			ok++
			wait = append(wait, r.status.StartedAt.Sub(r.status.SubmittedAt))
			run = append(run, r.status.EndedAt.Sub(r.status.StartedAt))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", load.name, len(rows), ok, median(wait), longest(wait), median(run), longest(run))
	}
	_ = t.Flush() // w is the terminal; a failed write has no better place
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2].Round(time.Millisecond)
}

func longest(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return slices.Max(d).Round(time.Millisecond)
}

// check compares the answers with the workers' own logs of task starts.
func check(w io.Writer, results []outcome, system *embedded.System) error {
	starts := map[api.JobID]map[api.TaskID]int{}
	for _, worker := range system.Workers {
		for _, s := range worker.Starts().Starts {
			if starts[s.Task.Job()] == nil {
				starts[s.Task.Job()] = map[api.TaskID]int{}
			}
			starts[s.Task.Job()][s.Task]++
		}
	}
	lost, wrong, twice := 0, 0, 0
	for _, r := range results {
		switch {
		case r.err != nil || r.status.State != api.StateSucceeded:
			lost++
			fmt.Fprintf(w, "%s: state %q, error %v\n", r.load, r.status.State, r.err)
		case r.wrong:
			wrong++
		case r.status.Spec.AtMostOnce && len(starts[r.status.ID]) != 1:
			twice++
			fmt.Fprintf(w, "%s: job %s was started %d times\n", r.load, r.status.ID, len(starts[r.status.ID]))
		}
	}
	fmt.Fprintf(w, "lost=%d wrong_answers=%d run_twice=%d\n", lost, wrong, twice)
	if lost+wrong+twice > 0 {
		return errkind.New(errkind.Internal, "%d jobs lost, %d wrong answers, %d run twice", lost, wrong, twice)
	}
	return nil
}
