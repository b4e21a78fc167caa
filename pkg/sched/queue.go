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
	workspace, class           string
	rank                       int
	accelerators               int
	adjacency                  api.Adjacency
	relaxAdjacency, atMostOnce bool
}

// group is the queue of the jobs of one shape, a heap in order of before.
type jobGroup struct {
	groupKey
	jobs     []*job
	dirty    bool // got a job since it was last tried
	orderKey orderKey
}

// before orders the jobs of one group.
func jobBefore(a, b *job) bool {
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

func (g *jobGroup) push(j *job) {
	j.group, j.pos = g, len(g.jobs)
	g.jobs = append(g.jobs, j)
	g.up(j.pos)
}

func (g *jobGroup) remove(j *job) {
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

func (g *jobGroup) swap(i, k int) {
	g.jobs[i], g.jobs[k] = g.jobs[k], g.jobs[i]
	g.jobs[i].pos, g.jobs[k].pos = i, k
}

func (g *jobGroup) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !jobBefore(g.jobs[i], g.jobs[parent]) {
			return
		}
		g.swap(i, parent)
		i = parent
	}
}

func (g *jobGroup) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(g.jobs) {
			return
		}
		if c+1 < len(g.jobs) && jobBefore(g.jobs[c+1], g.jobs[c]) {
			c++
		}
		if !jobBefore(g.jobs[c], g.jobs[i]) {
			return
		}
		g.swap(i, c)
		i = c
	}
}

// keptGroups is how many shapes are remembered without a waiting job, which
// saves small work an allocation.
const maxCachedGroups = 4096

// enqueue puts the job into the queue of its shape.
func (d *Domain) enqueue(j *job) {
	k := groupKey{j.Workspace, j.Class, j.class.Rank, j.Accelerators, j.Adjacency, j.RelaxAdjacency, j.AtMostOnce}
	g := d.groups[k]
	if g == nil {
		g = &jobGroup{groupKey: k}
		d.groups[k] = g
	}
	if len(g.jobs) == 0 {
		d.activeGroups = append(d.activeGroups, g)
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
func (d *Domain) sortedGroups(now time.Time) []*jobGroup {
	d.activeGroups = slices.DeleteFunc(d.activeGroups, func(g *jobGroup) bool {
		if len(g.jobs) == 0 && len(d.groups) > maxCachedGroups {
			delete(d.groups, g.groupKey)
		}
		return len(g.jobs) == 0
	})
	if !d.rules.Aging {
		slices.SortFunc(d.activeGroups, compareGroups)
		return d.activeGroups
	}
	for _, g := range d.activeGroups {
		g.orderKey = d.orderKeyOf(now, g.jobs[0])
	}
	slices.SortFunc(d.activeGroups, func(a, b *jobGroup) int {
		return cmp.Or(cmp.Compare(a.orderKey.tier, b.orderKey.tier), a.orderKey.at.Compare(b.orderKey.at), cmp.Compare(a.jobs[0].seq, b.jobs[0].seq))
	})
	return d.activeGroups
}

// urgency is the place of a job in the order.
type orderKey struct {
	tier int
	at   time.Time
}

// Tiers of the order. Work that waits longer than starveAfter goes before all but
// urgent work, which bounds the wait of every job that fits.
const (
	tierUrgent = iota
	tierAged
	tierShort
	tierDeadlineRisk // its deadline leaves little slack
	tierDefault
)

const (
	// starveAfter is the wait after which only urgent work goes before a job.
	starvationLimit = 10 * time.Minute
	// rankStep is the head start of a class over the next one among work that
	// is not short. A strict order made the last class wait for whole bursts.
	rankHeadStart = time.Minute
	// riskSlack is the slack below which a deadline decides the order.
	minDeadlineSlack = 10 * time.Minute
)

func (d *Domain) orderKeyOf(now time.Time, j *job) orderKey {
	switch {
	case j.urgent():
		return orderKey{tierUrgent, j.SubmittedAt}
	case now.Sub(j.queuedAt) >= starvationLimit:
		return orderKey{tierAged, j.SubmittedAt}
	case j.class.Short:
		return orderKey{tierShort, j.SubmittedAt.Add(time.Duration(j.class.Rank) * rankHeadStart)}
	}
	if !j.Deadline.IsZero() {
		if slack := j.Deadline.Sub(now) - d.remaining(now, j); slack < minDeadlineSlack {
			return orderKey{tierDeadlineRisk, j.Deadline.Add(-d.remaining(now, j))}
		}
	}
	// Service that a checkpoint kept counts as seniority, so that preempted work
	// is finished first.
	return orderKey{tierDefault, j.SubmittedAt.Add(time.Duration(j.class.Rank)*rankHeadStart - j.AttainedService)}
}

func compareGroups(a, b *jobGroup) int {
	x, y := a.jobs[0], b.jobs[0]
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(y.Priority, x.Priority),
		compareDeadline(x.Deadline, y.Deadline),
		cmp.Compare(x.seq, y.seq),
	)
}
