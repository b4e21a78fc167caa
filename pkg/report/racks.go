package report

import (
	"cmp"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// RackUse shows how the free accelerators of a rack are spread over its workers.
type RackUse struct {
	Rack          string
	FailureDomain string
	Workers       int // workers that take work
	Accelerators  int
	Free          int
	// Largest is the most free accelerators on one worker.
	Largest int
	// Fragmentation is 1 - Largest / Free; zero when nothing is free.
	Fragmentation float64
}

// racks sums the workers up by rack, in order of failure domain and rack.
func racks(workers []api.WorkerStatus) []RackUse {
	type key struct{ domain, rack string }
	byRack := map[key]*RackUse{}
	for _, w := range workers {
		k := key{w.FailureDomain, w.Rack}
		r := byRack[k]
		if r == nil {
			r = &RackUse{Rack: w.Rack, FailureDomain: w.FailureDomain}
			byRack[k] = r
		}
		r.Accelerators += w.Accelerators
		if w.State != api.WorkerReady {
			continue
		}
		r.Workers++
		r.Free += w.AcceleratorsFree
		r.Largest = max(r.Largest, w.AcceleratorsFree)
	}
	out := make([]RackUse, 0, len(byRack))
	for _, r := range byRack {
		if r.Free > 0 {
			r.Fragmentation = 1 - float64(r.Largest)/float64(r.Free)
		}
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b RackUse) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Rack, b.Rack))
	})
	return out
}
