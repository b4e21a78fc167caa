package admin

import (
	"context"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Bounds of a Sampler: 4 hours of samples.
const (
	SampleEvery = 10 * time.Second
	maxSamples  = 1440
)

// Sample is the state of all failure domains at one time.
type Sample struct {
	At      time.Time       `json:"at"`
	Domains []sched.Summary `json:"domains"`
}

// Sampler keeps recent summaries of the failure domains, from which the report
// shows fragmentation and utilization over time.
type Sampler struct {
	summaries func() []sched.Summary

	mu      sync.Mutex
	samples []Sample
}

// NewSampler returns a Sampler; membership.View.Summaries fits as its source.
func NewSampler(summaries func() []sched.Summary) *Sampler { return &Sampler{summaries: summaries} }

// Run takes a sample every SampleEvery until ctx ends.
func (s *Sampler) Run(ctx context.Context) {
	ticker := time.NewTicker(SampleEvery)
	defer ticker.Stop()
	for {
		s.take(time.Now().UTC())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Sampler) take(now time.Time) {
	sample := Sample{At: now, Domains: s.summaries()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) >= maxSamples {
		s.samples = append(s.samples[:0:0], s.samples[1:]...)
	}
	s.samples = append(s.samples, sample)
}

// Since returns the samples at or after t, oldest first.
func (s *Sampler) Since(t time.Time) []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Sample{}
	for _, sample := range s.samples {
		if !sample.At.Before(t) {
			out = append(out, sample)
		}
	}
	return out
}

// MetricsSummary is the body of GET /metrics-summary.
type MetricsSummary struct {
	Samples []Sample `json:"samples"`
}

func (a *API) metricsSummary(r *request) (any, error) {
	since, err := r.since()
	if err != nil {
		return nil, err
	}
	if a.opts.Samples == nil {
		return MetricsSummary{Samples: []Sample{}}, nil
	}
	return MetricsSummary{Samples: a.opts.Samples.Since(since)}, nil
}
