package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// minRetryAfter is the shortest Retry-After of an overload or quota error.
const minRetryAfter = 2 * time.Second

// admit checks that the domain can run the job and that the queue has room for it.
func (d *Domain) admit(_ time.Time, ws *workspace, in Job) error {
	if err := d.checkFeasible(ws, in); err != nil {
		return err
	}
	if q := ws.quota.Queued; q > 0 && ws.queued >= q {
		return errkind.New(errkind.QuotaExceeded, "workspace %s has %d jobs waiting, its quota", ws.name, q).WithRetryAfter(minRetryAfter)
	}
	return d.checkQueueLimit(in)
}

// Shares of MaxQueued above which jobs of a class are refused. Sheddable classes
// are refused first and classes with a start bound last.
const (
	queueShareSheddable = 0.25
	queueShareLong      = 0.75
	queueShareShort     = 0.9
	maxRetryAfter       = 5 * time.Minute
)

// checkQueueLimit returns an overload error when the queue has reached the limit
// of the job's class.
func (d *Domain) checkQueueLimit(in Job) error {
	c, share := d.class(in.Class), queueShareLong
	switch {
	case !d.rules.ShedLoad || c.StartWithin > 0:
		share = 1
	case c.Sheddable:
		share = queueShareSheddable
	case c.Short:
		share = queueShareShort
	}
	if limit := int(share * float64(d.opts.MaxQueued)); d.queued >= limit {
		return errkind.New(errkind.Overloaded, "%d jobs wait in failure domain %s and work of class %s is accepted up to %d; it was not run",
			d.queued, d.name, in.Class, limit).WithRetryAfter(d.estimateRetryAfter(limit))
	}
	return nil
}

// estimateRetryAfter estimates how long the queue takes to fall below limit at
// the recent placement rate.
func (d *Domain) estimateRetryAfter(limit int) time.Duration {
	if d.placementRate <= 0 {
		return minRetryAfter
	}
	wait := time.Duration(float64(d.queued-limit+1) / d.placementRate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// recordPlacement updates the placement rate, an exponential moving average over
// about one minute.
func (d *Domain) recordPlacement(now time.Time) {
	if dt := now.Sub(d.rateUpdatedAt).Seconds(); dt > 0 {
		keep := math.Exp(-dt / placementRateWindow.Seconds())
		d.placementRate = d.placementRate*keep + float64(d.placedSinceUpdate)*(1-keep)/dt
		d.rateUpdatedAt, d.placedSinceUpdate = now, 0
	}
	d.placedSinceUpdate++
}

const placementRateWindow = time.Minute

// checkFeasible returns an error when the domain could not run the job even with
// no other job running. A domain without known workers accepts every job that is
// within its workspace's quota.
func (d *Domain) checkFeasible(ws *workspace, in Job) error {
	if q := ws.quota.Accelerators; q > 0 && in.Accelerators > q {
		return errkind.New(errkind.Impossible, "the job needs %d accelerators and the quota of workspace %s is %d", in.Accelerators, ws.name, q)
	}
	if len(d.workers) == 0 {
		return nil
	}
	size := &d.levelCapacity
	_, loosest := adjacencyLevels(in.Adjacency, in.RelaxAdjacency)
	if in.Accelerators > size[loosest] {
		return errkind.New(errkind.Impossible, "the job needs %d adjacent accelerators and the largest %s of failure domain %s has %d",
			in.Accelerators, levelNames[loosest], d.name, size[loosest])
	}
	if in.AtMostOnce && in.Accelerators > 0 {
		return d.checkFeasibleNonPreemptible(ws, in, loosest)
	}
	return nil
}

// checkFeasibleNonPreemptible returns an error when a non-preemptible job does not
// fit outside the guaranteed cells of other workspaces.
func (d *Domain) checkFeasibleNonPreemptible(ws *workspace, in Job, loosest int) error {
	d.refreshPins()
	total, best := 0, 0
	for _, r := range d.racks {
		rack := 0
		for _, w := range r.workers {
			m := w.capacity &^ w.pinned
			for _, p := range w.parts {
				if p.cell.ws == ws {
					m |= p.mask
				}
			}
			n := bits.OnesCount64(m)
			rack += n
			if bestFitBlock(m, w.capacity, in.Accelerators) != 0 {
				best = max(best, in.Accelerators)
			}
		}
		if loosest >= levelRack {
			best = max(best, rack)
		}
		total += rack
	}
	if loosest == levelDomain {
		best = max(best, total)
	}
	if best < in.Accelerators {
		return errkind.New(errkind.Impossible, "the job may not be preempted, and no %d adjacent accelerators lie outside the guarantees of other workspaces", in.Accelerators)
	}
	return nil
}

var levelNames = [...]string{"worker", "rack", "whole"}

// levelCapacities returns the number of accelerators of the largest worker, the
// largest rack and the failure domain.
func levelCapacities(racks []*rack) (size [3]int) {
	for _, r := range racks {
		size[levelRack] = max(size[levelRack], r.capacity)
		size[levelDomain] += r.capacity
		for _, w := range r.workers {
			size[levelWorker] = max(size[levelWorker], w.Accelerators)
		}
	}
	return size
}

func levelName(a api.Adjacency) string {
	tightest, _ := adjacencyLevels(a, false)
	return [...]string{"worker", "rack", "failure domain"}[tightest]
}
