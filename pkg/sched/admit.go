package sched

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// overloadRetry is the least Retry-After of a refusal for overload.
const overloadRetry = 2 * time.Second

// admit checks that the job can run at all and that there is room in the queue.
func (d *Domain) admit(_ time.Time, ws *workspace, in Job) error {
	if err := d.possible(ws, in); err != nil {
		return err
	}
	if q := ws.quota.Queued; q > 0 && ws.queued >= q {
		return errkind.New(errkind.QuotaExceeded, "workspace %s has %d jobs waiting, its quota", ws.name, q).WithRetryAfter(overloadRetry)
	}
	if d.queued >= d.opts.MaxQueued {
		return errkind.New(errkind.Overloaded, "%d jobs wait in failure domain %s", d.queued, d.name).WithRetryAfter(overloadRetry)
	}
	return nil
}

// possible reports whether an empty fleet could run the job. A domain that
// knows no workers yet accepts everything.
func (d *Domain) possible(ws *workspace, in Job) error {
	if q := ws.quota.Accelerators; q > 0 && in.Accelerators > q {
		return errkind.New(errkind.Impossible, "the job needs %d accelerators and the quota of workspace %s is %d", in.Accelerators, ws.name, q)
	}
	if len(d.workers) == 0 {
		return nil
	}
	size := d.largest()
	_, loose := adjacencyLevels(in.Adjacency, in.RelaxAdjacency)
	if in.Accelerators > size[loose] {
		return errkind.New(errkind.Impossible, "the job needs %d adjacent accelerators and the largest %s of failure domain %s has %d",
			in.Accelerators, levelNames[loose], d.name, size[loose])
	}
	return nil
}

var levelNames = [...]string{"worker", "rack", "whole"}

// largest returns the accelerators of the largest worker, the largest rack and
// the failure domain.
func (d *Domain) largest() (size [3]int) {
	for _, r := range d.racks {
		size[levelRack] = max(size[levelRack], r.capacity)
		size[levelDomain] += r.capacity
		for _, w := range r.workers {
			size[levelWorker] = max(size[levelWorker], w.Accelerators)
		}
	}
	return size
}

func levelName(a api.Adjacency) string {
	tight, _ := adjacencyLevels(a, false)
	return [...]string{"worker", "rack", "failure domain"}[tight]
}
