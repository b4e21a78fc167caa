package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// groupKey is what decides whether a job can be placed now: if one job of a
// group does not fit, no other does.
type groupKey struct {
	workspace, class string
	rank             int
	accelerators     int
	adjacency        api.Adjacency
	relax, amo       bool
}

// group is the queue of the jobs of one shape, a heap in order of before.
type group struct {
	groupKey
	jobs    []*job
	dirty   bool // got a job since it was last tried
	urgency urgency
}

// before orders the jobs of one group.
func before(a, b *job) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if c := compareDeadline(a.Deadline, b.Deadline); c != 0 {
		return c < 0
	}
	if !a.SubmittedAt.Equal(b.SubmittedAt) {
		return a.SubmittedAt.Before(b.SubmittedAt)
	}
	return a.seq < b.seq
}

// compareDeadline puts no deadline last.
func compareDeadline(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

func (g *group) push(j *job) {
	j.group, j.pos = g, len(g.jobs)
	g.jobs = append(g.jobs, j)
	g.up(j.pos)
}

func (g *group) remove(j *job) {
	i, last := j.pos, len(g.jobs)-1
	g.swap(i, last)
	g.jobs[last] = nil
	g.jobs = g.jobs[:last]
	if i < last {
		g.up(i)
		g.down(i)
	}
	j.pos = -1
}

func (g *group) swap(i, k int) {
	g.jobs[i], g.jobs[k] = g.jobs[k], g.jobs[i]
	g.jobs[i].pos, g.jobs[k].pos = i, k
}

func (g *group) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(g.jobs[i], g.jobs[parent]) {
			return
		}
		g.swap(i, parent)
		i = parent
	}
}

func (g *group) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(g.jobs) {
			return
		}
		if c+1 < len(g.jobs) && before(g.jobs[c+1], g.jobs[c]) {
			c++
		}
		if !before(g.jobs[c], g.jobs[i]) {
			return
		}
		g.swap(i, c)
		i = c
	}
}

// keptGroups is how many shapes are remembered without a waiting job, which
// saves small work an allocation.
const keptGroups = 4096

// enqueue puts the job into the queue of its shape.
func (d *Domain) enqueue(j *job) {
	k := groupKey{j.Workspace, j.Class, j.class.Rank, j.Accelerators, j.Adjacency, j.RelaxAdjacency, j.AtMostOnce}
	g := d.groups[k]
	if g == nil {
		g = &group{groupKey: k}
		d.groups[k] = g
	}
	if len(g.jobs) == 0 {
		d.active = append(d.active, g)
	}
	j.phase = phaseQueued
	g.push(j)
	g.dirty = true
	j.ws.queued++
	d.queued++
	d.queuedBy[j.Class]++
}

// dequeue takes the job out of its queue.
func (d *Domain) dequeue(j *job) {
	j.group.remove(j)
	j.ws.queued--
	d.queued--
	d.queuedBy[j.Class]--
}

// order sorts the groups with waiting jobs by what goes first and drops empty ones.
func (d *Domain) order(now time.Time) []*group {
	d.active = slices.DeleteFunc(d.active, func(g *group) bool {
		if len(g.jobs) == 0 && len(d.groups) > keptGroups {
			delete(d.groups, g.groupKey)
		}
		return len(g.jobs) == 0
	})
	if !d.rules.Aging {
		slices.SortFunc(d.active, compareGroups)
		return d.active
	}
	for _, g := range d.active {
		g.urgency = d.urgency(now, g.jobs[0])
	}
	slices.SortFunc(d.active, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.urgency.tier, b.urgency.tier), a.urgency.at.Compare(b.urgency.at), cmp.Compare(a.jobs[0].seq, b.jobs[0].seq))
	})
	return d.active
}

// urgency is the place of a job in the order.
type urgency struct {
	tier int
	at   time.Time
}

// Tiers of the order. Work that waits longer than starveAfter goes before all but
// urgent work, which bounds the wait of every job that fits.
const (
	tierUrgent = iota
	tierAged
	tierShort
	tierRisk // its deadline leaves little slack
	tierRest
)

const (
	// starveAfter is the wait after which only urgent work goes before a job.
	starveAfter = 10 * time.Minute
	// rankStep is the head start of a class over the next one among work that
	// is not short. A strict order made the last class wait for whole bursts.
	rankStep = time.Minute
	// riskSlack is the slack below which a deadline decides the order.
	riskSlack = 10 * time.Minute
)

func (d *Domain) urgency(now time.Time, j *job) urgency {
	switch {
	case j.urgent():
		return urgency{tierUrgent, j.SubmittedAt}
	case now.Sub(j.queuedAt) >= starveAfter:
		return urgency{tierAged, j.SubmittedAt}
	case j.class.Short:
		return urgency{tierShort, j.SubmittedAt.Add(time.Duration(j.class.Rank) * rankStep)}
	}
	if !j.Deadline.IsZero() {
		if slack := j.Deadline.Sub(now) - d.remaining(now, j); slack < riskSlack {
			return urgency{tierRisk, j.Deadline.Add(-d.remaining(now, j))}
		}
	}
	// Service that a checkpoint kept counts as seniority, so that preempted work
	// is finished first.
	return urgency{tierRest, j.SubmittedAt.Add(time.Duration(j.class.Rank)*rankStep - j.AttainedService)}
}

func compareGroups(a, b *group) int {
	x, y := a.jobs[0], b.jobs[0]
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(y.Priority, x.Priority),
		compareDeadline(x.Deadline, y.Deadline),
		cmp.Compare(x.seq, y.seq),
	)
}
