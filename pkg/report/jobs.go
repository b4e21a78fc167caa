package report

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// job is what the measures need of a job. Zero times are unknown.
type job struct {
	id        api.JobID
	workspace string
	class     string // empty if only events are known
	submitted time.Time
	started   time.Time // first start
	ended     time.Time
	succeeded bool
}

// collectJobs joins events and statuses. A status knows the class; the events
// know the first start of a job that ran more than once.
func collectJobs(d *Data) []job {
	jobs := map[api.JobID]*job{}
	for _, e := range d.Events {
		if e.Job == "" {
			continue
		}
		j, ok := jobs[e.Job]
		if !ok {
			j = &job{id: e.Job}
			jobs[e.Job] = j
		}
		j.observe(e)
	}
	for _, s := range d.Jobs {
		j, ok := jobs[s.ID]
		if !ok {
			j = &job{id: s.ID}
			jobs[s.ID] = j
		}
		j.merge(s)
	}
	out := make([]job, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		out = append(out, *jobs[id])
	}
	return out
}

func (j *job) observe(e timeline.Event) {
	if e.Workspace != "" {
		j.workspace = e.Workspace
	}
	at := e.At.Time()
	switch e.Type {
	case timeline.Admitted, timeline.Queued:
		if j.submitted.IsZero() {
			j.submitted = at
		}
	case timeline.Started:
		if j.started.IsZero() {
			j.started = at
		}
	case timeline.Ended:
		// The reason of an end begins with the state.
		j.ended, j.succeeded = at, e.Reason == "" || strings.HasPrefix(e.Reason, string(api.StateSucceeded))
	case timeline.CancelledEvent, timeline.Refused:
		j.ended, j.succeeded = at, false
	}
}

func (j *job) merge(s api.JobStatus) {
	j.workspace, j.class, j.submitted = s.Spec.Workspace, s.Spec.Class, s.SubmittedAt
	if j.started.IsZero() {
		j.started = s.StartedAt
	}
	if s.State.Terminal() {
		j.ended, j.succeeded = s.EndedAt, s.State == api.StateSucceeded
	}
}

// wait returns the time from the submission to the first start.
func (j job) wait() (time.Duration, bool) {
	if j.submitted.IsZero() || j.started.IsZero() {
		return 0, false
	}
	return max(0, j.started.Sub(j.submitted)), true
}

// completion returns the time from the submission to the successful end.
func (j job) completion() (time.Duration, bool) {
	if j.submitted.IsZero() || j.ended.IsZero() || !j.succeeded {
		return 0, false
	}
	return max(0, j.ended.Sub(j.submitted)), true
}
