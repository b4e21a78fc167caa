package main

import (
	"slices"
	"time"
)

// average is a mean weighted by time.
type average struct{ sum, weight float64 }

func (a *average) add(x, weight float64) {
	a.sum += x * weight
	a.weight += weight
}

func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// result holds the measures of one load under one scheduler.
type result struct {
	completion50, completion99, shortWait99 time.Duration
	fragmentation, crestService             float64
	deadlinesMissed, unfinished             int
	attempts                                int
	unmeetable                              bool
}

const urgentBound = 6100 * time.Millisecond

// measure reads the result off a finished simulation.
func (s *sim) measure() result {
	var completion, short []time.Duration
	var urgent, inTime float64
	out := result{fragmentation: s.frag.value(), unmeetable: s.unmeetable}
	for _, r := range s.order {
		if r.canceled {
			continue
		}
		out.attempts += r.Attempt + 1
		wait := r.first - r.at
		if !r.started {
			wait = arrivals + giveUp - r.at
		}
		if !r.done {
			r.ended = arrivals + giveUp
			out.unfinished++
		}
		completion = append(completion, r.ended-r.at)
		if c := r.kind.class; c == "urgent" || c == "short" {
			short = append(short, wait)
		}
		if r.kind.class == "urgent" && r.crest {
			urgent++
			if wait <= urgentBound {
				inTime++
			}
		}
		if !r.Deadline.IsZero() && epoch.Add(r.ended).After(r.Deadline) {
			out.deadlinesMissed++
		}
	}
	out.completion50, out.completion99 = quantile(completion, 0.5), quantile(completion, 0.99)
	out.shortWait99 = quantile(short, 0.99)
	if urgent > 0 {
		out.crestService = inTime / urgent
	}
	return out
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// measures lists the printed measures in their order.
var measures = []struct {
	name  string
	value func(result) float64
}{
	{"completion_p50", func(r result) float64 { return r.completion50.Seconds() }},
	{"completion_p99", func(r result) float64 { return r.completion99.Seconds() }},
	{"fragmentation", func(r result) float64 { return r.fragmentation }},
	{"crest_service", func(r result) float64 { return r.crestService }},
	{"short_wait_p99", func(r result) float64 { return r.shortWait99.Seconds() }},
	{"deadlines_missed", func(r result) float64 { return float64(r.deadlinesMissed) }},
}
