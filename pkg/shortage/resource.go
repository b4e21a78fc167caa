package shortage

import "github.com/carawayusher/carawayusher/pkg/workload"

// Resource is one resource of a service. Demand, capacity and work are compared in the one that
// is scarcest, since the others are not used up.
type Resource int

// Resources of a service.
const (
	MilliCPU Resource = iota
	MemoryMiB
	Accelerators
	resources
)

// Of returns the amount of the resource.
func (r Resource) Of(all workload.Resources) float64 {
	return [...]float64{float64(all.MilliCPU), float64(all.MemoryMiB), float64(all.Accelerators)}[r]
}

// Scarcest returns the resource of which demand is the largest share of the capacity.
func Scarcest(demand, capacity workload.Resources) Resource {
	scarcest, share := MilliCPU, 0.0
	for r := range resources {
		if s := r.Of(demand) / max(1, r.Of(capacity)); s > share {
			scarcest, share = r, s
		}
	}
	return scarcest
}

// Work is an amount of each resource times seconds.
type Work [resources]float64

// Add adds n tasks that each use some resources for a time.
func (w *Work) Add(demand workload.Resources, seconds float64, n int) {
	for r := range resources {
		w[r] += r.Of(demand) * seconds * float64(n)
	}
}
