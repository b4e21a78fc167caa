package shortage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times over which a shortage is recognized. Bursts last 3 to 6 s; in shorter ones the order by
// slack loses no job.
const (
	shortageAfter = 2 * time.Second
	shortageUntil = 3 * time.Second
)

// Detector recognizes a shortage of a service: its demand exceeds its capacity for
// shortageAfter, and has not stayed below for shortageUntil since.
type Detector struct {
	since, last time.Duration // of the demand that exceeds the capacity; 0 if there is none
	active      bool
	activeSince time.Duration
}

// Update records whether the demand exceeds the capacity at a time, and reports whether there is
// a shortage.
func (d *Detector) Update(now time.Duration, exceeds bool) bool {
	if d.last > 0 && now-d.last >= shortageUntil {
		d.active, d.since, d.last = false, 0, 0
	}
	switch {
	case exceeds:
		if d.since == 0 {
			d.since = now
		}
		d.last = now
		if !d.active && now-d.since >= shortageAfter {
			d.active, d.activeSince = true, now
		}
	case !d.active:
		d.since, d.last = 0, 0
	}
	return d.active
}

// Lasting reports whether there is a shortage for so long that jobs may be refused.
func (d *Detector) Lasting(now time.Duration) bool {
	return d.active && now-d.activeSince >= refuseAfter
}

// Group is a waiting group of tasks.
type Group struct {
	Workspace string
	Lateness  int           // 0: can end in time, 1: late, 2: too late to be of value
	Slack     time.Duration // within which it must start to complete in time
	Demand    float64       // capacity of its pending tasks
	Starved   bool          // a large job of a kind whose large jobs are served too rarely
}

// Share is a workspace's part of a service.
type Share struct {
	Used       float64 // capacity that its runs use
	Guaranteed float64
	Weight     float64 // beyond guarantees, capacity is divided in proportion to it; above 0
}

// shareMargin is the factor of its fair part up to which a workspace counts as within it: the
// demand of equal workspaces differs by chance.
const shareMargin = 1.5

// Beyond returns the workspaces that use and want more than their fair part of a capacity.
func Beyond(groups []Group, capacity float64, shares map[string]*Share) map[string]bool {
	byWorkspace, want := map[string][]int{}, map[string]float64{}
	for w, s := range shares {
		want[w] = s.Used
	}
	for i := range groups {
		w := groups[i].Workspace
		byWorkspace[w] = append(byWorkspace[w], i)
		want[w] += groups[i].Demand
	}
	beyond := map[string]bool{}
	for w, part := range fairParts(groups, byWorkspace, capacity, shares) {
		if want[w] > shareMargin*part {
			beyond[w] = true
		}
	}
	return beyond
}

// Order returns the order in which groups of one priority are placed on a service of some
// capacity while there is a shortage: first groups of value within the fair parts of their
// workspaces, then those beyond, then those without value; within these, starved groups, then
// those that can end in time, by slack.
func Order(groups []Group, capacity float64, shares map[string]*Share) []int {
	var within, beyond, worthless []int
	byWorkspace := map[string][]int{}
	for i := range groups {
		if groups[i].Lateness > 1 {
			worthless = append(worthless, i)
		} else {
			byWorkspace[groups[i].Workspace] = append(byWorkspace[groups[i].Workspace], i)
		}
	}
	fair := fairParts(groups, byWorkspace, capacity, shares)
	for w, of := range byWorkspace {
		slices.SortStableFunc(of, func(i, j int) int { return compareUrgency(&groups[i], &groups[j]) })
		use := 0.0
		if s := shares[w]; s != nil {
			use = s.Used
		}
		for _, i := range of {
			used := use
			use += groups[i].Demand
			// A group that is larger than the fair part is not kept waiting by its size alone.
			if use <= shareMargin*fair[w] || used == 0 {
				within = append(within, i)
			} else {
				beyond = append(beyond, i)
			}
		}
	}
	byUrgency := func(i, j int) int { return cmp.Or(compareUrgency(&groups[i], &groups[j]), cmp.Compare(i, j)) }
	slices.SortFunc(within, byUrgency)
	slices.SortFunc(beyond, byUrgency)
	return slices.Concat(within, beyond, worthless)
}

func compareUrgency(a, b *Group) int {
	starvedFirst := func(g *Group) int {
		if g.Starved {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(starvedFirst(a), starvedFirst(b)), cmp.Compare(a.Lateness, b.Lateness), cmp.Compare(a.Slack, b.Slack))
}

// fairParts divides the capacity: each workspace gets what it uses and wants up to its guarantee,
// and the rest is divided in proportion to the weights among those that want more.
func fairParts(groups []Group, byWorkspace map[string][]int, capacity float64, shares map[string]*Share) map[string]float64 {
	want, fair := map[string]float64{}, map[string]float64{}
	for w, s := range shares {
		want[w] = s.Used
	}
	for w, of := range byWorkspace {
		for _, i := range of {
			want[w] += groups[i].Demand
		}
	}
	weight := func(w string) float64 {
		if s := shares[w]; s != nil {
			return s.Weight
		}
		return 1
	}
	open := slices.Sorted(maps.Keys(want)) // in a fixed order, so that sums are reproducible
	left := capacity
	for _, w := range open {
		if s := shares[w]; s != nil {
			fair[w] = min(want[w], s.Guaranteed)
			left -= fair[w]
		}
	}
	// Each round satisfies at least one workspace or divides all that is left.
	for left > 0 && len(open) > 0 {
		total := 0.0
		for _, w := range open {
			total += weight(w)
		}
		unit, before := left/total, len(open)
		open = slices.DeleteFunc(open, func(w string) bool {
			missing := want[w] - fair[w]
			if missing > unit*weight(w) {
				return false
			}
			left -= missing
			fair[w] = want[w]
			return true
		})
		if len(open) == before {
			for _, w := range open {
				fair[w] += unit * weight(w)
			}
			break
		}
	}
	return fair
}
