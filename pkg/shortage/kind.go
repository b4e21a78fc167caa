package shortage

import "slices"

// Parameters of the statistics of a kind of jobs.
const (
	keptSizes     = 128  // newest jobs whose sizes are kept
	minSizes      = 10   // jobs from which on the largest tenth is known
	servedWeight  = 0.02 // weight of a job among the outcomes of its kind
	largeWeight   = 0.1  // the same among the largest tenth, of which there are fewer
	largeQuantile = 0.9
	// minLargeService is the share of the service of all jobs of the kind that the largest tenth
	// must get: the platform requires half. With 0.6 it got 0.47 of it at three times the capacity;
	// with 0.8 a long tail of sizes lost 0.05 of its value.
	minLargeService = 0.7
)

// Kind holds the sizes and outcomes of the jobs of a queue.
type Kind struct {
	sizes      []float64 // work of the newest jobs, a ring
	next       int
	sorted     []float64 // the same in order; nil if it has to be computed
	sum        float64
	all, large float64 // moving averages of the outcomes, 1 for a job that was served
	allN       int
	largeN     int
}

// AddSize records the work of a job that arrived.
func (k *Kind) AddSize(work float64) {
	k.sorted = nil
	if len(k.sizes) < keptSizes {
		k.sizes = append(k.sizes, work)
		k.sum += work
		return
	}
	k.sum += work - k.sizes[k.next]
	k.sizes[k.next] = work
	k.next = (k.next + 1) % keptSizes
}

// Mean returns the mean work of a job; 0 if none is known.
func (k *Kind) Mean() float64 { return k.sum / float64(max(1, len(k.sizes))) }

// Large reports whether a job of some work is in the largest tenth of its kind.
func (k *Kind) Large(work float64) bool {
	if len(k.sizes) < minSizes {
		return false
	}
	if k.sorted == nil {
		k.sorted = slices.Sorted(slices.Values(k.sizes))
	}
	return work >= k.sorted[int(largeQuantile*float64(len(k.sorted)))]
}

// AddOutcome records whether a job was served, that is, completed while it was of value.
func (k *Kind) AddOutcome(work float64, served bool) {
	outcome := 0.0
	if served {
		outcome = 1
	}
	add := func(average *float64, n *int, weight float64) {
		*n++
		*average += max(weight, 1/float64(*n)) * (outcome - *average)
	}
	add(&k.all, &k.allN, servedWeight)
	if k.Large(work) {
		add(&k.large, &k.largeN, largeWeight)
	}
}

// Starved reports whether the largest tenth is served too rarely compared to all jobs.
func (k *Kind) Starved() bool { return k.largeN > 0 && k.large < minLargeService*k.all }
