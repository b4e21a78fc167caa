package ingress

import (
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// checkFleet refuses a gang that no failure domain could hold even when idle.
// It passes the job on when a domain's size is not known, because a refusal is
// final; the owner of the domain decides then.
func checkFleet(spec api.JobSpec, domains []sched.Summary) error {
	level := spec.Adjacency
	if spec.RelaxAdjacency {
		level = looser(level)
	}
	largest := 0
	for _, d := range domains {
		if d.Workers == 0 {
			return nil
		}
		largest = max(largest, capacity(d, level))
	}
	if len(domains) == 0 || spec.Accelerators <= largest {
		return nil
	}
	return errkind.New(errkind.Impossible, "no %s has %d accelerators; the largest has %d", level, spec.Accelerators, largest)
}

func looser(level api.Adjacency) api.Adjacency {
	if level == api.AdjacencyWorker {
		return api.AdjacencyRack
	}
	return api.AdjacencyDomain
}

func capacity(d sched.Summary, level api.Adjacency) int {
	switch level {
	case api.AdjacencyWorker:
		return d.LargestWorker
	case api.AdjacencyRack:
		return d.LargestRack
	default:
		return d.Accelerators
	}
}
