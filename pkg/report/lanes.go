package report

import (
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Bounds of the lanes, which keep the page below about 2 MB.
const (
	maxLanes    = 64
	maxSegments = 4000
)

// Segment is one task on a worker.
type Segment struct {
	Job       api.JobID
	Workspace string
	Start     time.Time
	End       time.Time
	Outcome   string // "running" if it has not ended
	row       int    // row within the lane; tasks that overlap have different rows
}

// Lane holds the tasks of one worker.
type Lane struct {
	Worker   string
	Segments []Segment
	rows     int
}

type taskKey struct {
	job    api.JobID
	worker string
}

// buildLanes returns the lanes ordered by worker, and notes on what was left
// out. Tasks come from events that name a worker and from the allocations of
// job statuses.
func buildLanes(d *Data, from, to time.Time) (lanes []Lane, notes []string) {
	byWorker := map[string][]Segment{}
	covered := map[taskKey]bool{}
	for worker, s := range eventSegments(d.Events, to) {
		byWorker[worker] = s
		for _, segment := range s {
			covered[taskKey{segment.Job, worker}] = true
		}
	}
	for _, s := range d.Jobs {
		for _, a := range s.Allocations {
			if segment, ok := statusSegment(s, to); ok && !covered[taskKey{s.ID, a.Worker}] {
				byWorker[a.Worker] = append(byWorker[a.Worker], segment)
			}
		}
	}
	for worker, segments := range byWorker {
		if segments = inside(segments, from, to); len(segments) > 0 {
			lanes = append(lanes, newLane(worker, segments))
		}
	}
	slices.SortFunc(lanes, func(a, b Lane) int { return strings.Compare(a.Worker, b.Worker) })
	return limitLanes(lanes)
}

// eventSegments pairs starts with the next end of the same job on the worker.
func eventSegments(events []timeline.Event, to time.Time) map[string][]Segment {
	open := map[taskKey]Segment{}
	out := map[string][]Segment{}
	finish := func(key taskKey, at time.Time, outcome string) {
		s := open[key]
		delete(open, key)
		s.End, s.Outcome = at, outcome
		out[key.worker] = append(out[key.worker], s)
	}
	for _, e := range events {
		key := taskKey{e.Job, e.Worker}
		switch e.Type {
		case timeline.Started:
			if e.Worker != "" && e.Job != "" {
				open[key] = Segment{Job: e.Job, Workspace: e.Workspace, Start: e.At.Time()}
			}
		case timeline.Ended, timeline.Preempted, timeline.Moved, timeline.CancelledEvent, timeline.Retried:
			for k := range open {
				if k.job == e.Job && (e.Worker == "" || k.worker == e.Worker) {
					finish(k, e.At.Time(), string(e.Type))
				}
			}
		}
	}
	for k := range open {
		finish(k, to, "running")
	}
	return out
}

func statusSegment(s api.JobStatus, to time.Time) (Segment, bool) {
	if s.StartedAt.IsZero() {
		return Segment{}, false
	}
	segment := Segment{Job: s.ID, Workspace: s.Spec.Workspace, Start: s.StartedAt, End: to, Outcome: "running"}
	if s.State.Terminal() && !s.EndedAt.IsZero() {
		segment.End, segment.Outcome = s.EndedAt, string(s.State)
	}
	return segment, true
}

func inside(segments []Segment, from, to time.Time) []Segment {
	return slices.DeleteFunc(segments, func(s Segment) bool { return s.End.Before(from) || s.Start.After(to) })
}

// newLane assigns each task the first row that is free at its start.
func newLane(worker string, segments []Segment) Lane {
	slices.SortFunc(segments, func(a, b Segment) int {
		if c := a.Start.Compare(b.Start); c != 0 {
			return c
		}
		return strings.Compare(string(a.Job), string(b.Job))
	})
	var free []time.Time
	for i := range segments {
		row := slices.IndexFunc(free, func(t time.Time) bool { return !t.After(segments[i].Start) })
		if row < 0 {
			row = len(free)
			free = append(free, time.Time{})
		}
		free[row], segments[i].row = segments[i].End, row
	}
	return Lane{Worker: worker, Segments: segments, rows: len(free)}
}

func limitLanes(lanes []Lane) ([]Lane, []string) {
	var notes []string
	if n := len(lanes); n > maxLanes {
		notes = append(notes, plural(n-maxLanes, "worker")+" left out of the lanes")
		lanes = lanes[:maxLanes]
	}
	total := 0
	for i := range lanes {
		keep := max(0, min(len(lanes[i].Segments), maxSegments-total))
		if left := len(lanes[i].Segments) - keep; left > 0 {
			notes = append(notes, plural(left, "task")+" of worker "+lanes[i].Worker+" left out")
			lanes[i].Segments = lanes[i].Segments[:keep]
		}
		total += keep
	}
	return lanes, notes
}
