package ingress

import (
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// checkCapacity rejects a gang that would not fit into any failure domain even
// if the domain were idle. It accepts the job when the size of a domain is not
// known, because a refusal is final; the owner of the domain decides then.
func checkCapacity(spec api.JobSpec, domains []sched.Summary) error {
	level := spec.Adjacency
	if spec.RelaxAdjacency {
		level = relaxed(level)
	}
	largest := 0
	for _, d := range domains {
		if d.Workers == 0 {
			return nil
		}
		largest = max(largest, levelCapacity(d, level))
	}
	if len(domains) == 0 || spec.Accelerators <= largest {
		return nil
	}
	return errkind.New(errkind.Impossible, "no %s has %d accelerators; the largest has %d", level, spec.Accelerators, largest)
}

func relaxed(level api.Adjacency) api.Adjacency {
	if level == api.AdjacencyWorker {
		return api.AdjacencyRack
	}
	return api.AdjacencyDomain
}

func levelCapacity(d sched.Summary, level api.Adjacency) int {
	switch level {
	case api.AdjacencyWorker:
		return d.LargestWorker
	case api.AdjacencyRack:
		return d.LargestRack
	default:
		return d.Accelerators
	}
}
