// Package standstill detects that this process did not run for a time, as when its VM
// was suspended or its processor was taken away. What it knew before may then be
// outdated, and what it received meanwhile waits in its sockets.
package standstill

import (
	"context"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

const (
	// tickInterval is the time between two observations of a process that has nothing to do.
	tickInterval = 100 * time.Millisecond
	// MinDuration is the time without an observation that counts as a standstill.
	MinDuration = 250 * time.Millisecond
)

// Detector observes whether the process runs. It is safe for concurrent use.
type Detector struct {
	clock  func() time.Duration
	report func(d time.Duration)

	mu        sync.Mutex
	observed  time.Duration // latest time at which the process ran
	resumedAt time.Duration
}

// New returns a Detector. The clock has to include the time for which a VM is suspended;
// report is called after each standstill with its duration and must not block.
func New(clock func() time.Duration, report func(d time.Duration)) *Detector {
	return &Detector{clock: clock, report: report, observed: clock()}
}

// Run observes the process until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for wait.Sleep(ctx, tickInterval) {
		d.ResumedAt()
	}
}

// ResumedAt returns the time of the clock at which the latest standstill was found to have
// ended, or 0. Each call is an observation, so that nobody who asks acts before a
// standstill that has just ended is known.
func (d *Detector) ResumedAt() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	gap := now - d.observed
	d.observed = max(d.observed, now)
	if gap >= MinDuration {
		d.resumedAt = now
		d.report(gap)
	}
	return d.resumedAt
}
