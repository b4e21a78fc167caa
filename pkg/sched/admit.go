package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// overloadRetry is the least Retry-After of a refusal for overload.
const minOverloadRetryAfter = 2 * time.Second

// admit checks that the job can run at all and that there is room in the queue.
func (d *Domain) admit(_ time.Time, ws *workspace, in Job) error {
	if err := d.checkFeasible(ws, in); err != nil {
		return err
	}
	if q := ws.quota.Queued; q > 0 && ws.queued >= q {
		return errkind.New(errkind.QuotaExceeded, "workspace %s has %d jobs waiting, its quota", ws.name, q).WithRetryAfter(minOverloadRetryAfter)
	}
	return d.checkQueueLimit(in)
}

// Shares of the queue after which work is refused: what can wait is refused
// first, and urgent work last.
const (
	queueShareSheddable   = 0.25
	queueShareLong        = 0.75
	queueShareShort       = 0.9
	maxOverloadRetryAfter = 5 * time.Minute
)

// admitLoad refuses work when the queue holds more than its class may wait for.
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

// drainTime estimates when the queue is shorter than limit, by the rate at which
// waiting jobs were placed lately.
func (d *Domain) estimateRetryAfter(limit int) time.Duration {
	if d.placementRate <= 0 {
		return minOverloadRetryAfter
	}
	wait := time.Duration(float64(d.queued-limit+1) / d.placementRate * float64(time.Second))
	return min(max(wait, minOverloadRetryAfter), maxOverloadRetryAfter)
}

// notePlaced keeps the rate of placements, averaged over about a minute.
func (d *Domain) recordPlacement(now time.Time) {
	if dt := now.Sub(d.rateUpdatedAt).Seconds(); dt > 0 {
		keep := math.Exp(-dt / placementRateWindow.Seconds())
		d.placementRate = d.placementRate*keep + float64(d.placedSinceUpdate)*(1-keep)/dt
		d.rateUpdatedAt, d.placedSinceUpdate = now, 0
	}
	d.placedSinceUpdate++
}

const placementRateWindow = time.Minute

// possible reports whether an empty fleet could run the job. A domain that
// knows no workers yet accepts everything.
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

// possibleFirm reports whether work that cannot be preempted has a place outside
// the cells of other workspaces.
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

// largest returns the accelerators of the largest worker, the largest rack and
// the failure domain.
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
