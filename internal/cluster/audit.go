package cluster

import (
	"slices"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// Audit compares the callers' answers with the workers' logs.
type Audit struct {
	Calls map[Outcome]int
	// Twice counts at-most-once requests that were started more than once.
	Twice int
	// FalseRefusals counts refusals that said "not run" of a job that was started.
	FalseRefusals int
	// PartialGangs counts successful gangs of which not every task was started.
	PartialGangs int
	// Restarts counts further starts of repeatable work, which are allowed.
	Restarts int
	Repeats  int
	// Refusals counts the refused requests by what the answer said.
	Refusals map[string]int
	// Faults describe the calls that were counted as lost, wrong, unclear or twice.
	Faults []string
}

// Check audits the calls.
func Check(calls []Call, starts Starts) Audit {
	a := Audit{Calls: map[Outcome]int{}, Refusals: map[string]int{}}
	submitted := map[string]int{}
	for _, c := range calls {
		out := c.Outcome()
		a.Calls[out]++
		a.Repeats += c.Repeats
		if c.Job.AtMostOnce {
			submitted[c.Job.Class]++
		}
		switch out {
		case Lost, Wrong, Unclear:
			a.fault(c, string(out))
		case Refused:
			a.Refusals[errkind.As(c.Err).Error()]++
		}
		a.checkStarts(c, out, starts.ByJob[c.Status.ID])
	}
	// A request that ran under two job IDs shows only in the number of starts.
	for class, n := range submitted {
		if extra := starts.ByClass[class] - n; extra > 0 && a.Twice < extra {
			a.Twice = extra
			a.Faults = append(a.Faults, "more starts than requests in class "+class)
		}
	}
	return a
}

func (a *Audit) checkStarts(c Call, out Outcome, records []memory.StartRecord) {
	if c.Status.ID == "" {
		return
	}
	switch {
	case out == Refused && len(records) > 0:
		a.FalseRefusals++
		a.fault(c, "refused as not run, but started")
	case out == Complete && !allStarted(c.Status, records):
		a.PartialGangs++
		a.fault(c, "not all tasks were started")
	}
	extra := len(records) - max(len(c.Status.Allocations), 1)
	switch {
	case extra > 0 && c.Job.AtMostOnce:
		a.Twice++
		a.fault(c, "started more than once")
	case extra > 0:
		a.Restarts += extra
	}
}

// allStarted reports whether every task of the successful attempt was started.
func allStarted(s api.JobStatus, records []memory.StartRecord) bool {
	for _, p := range s.Allocations {
		if !slices.ContainsFunc(records, func(r memory.StartRecord) bool { return r.Task == p.Task }) {
			return false
		}
	}
	return true
}

func (a *Audit) fault(c Call, what string) {
	text := c.Job.Name + " (job " + string(c.Status.ID) + ", state " + string(c.Status.State) + ", " + c.Status.Reason + "): " + what
	if c.Err != nil {
		text += ": " + c.Err.Error()
	}
	a.Faults = append(a.Faults, text)
}
