package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// groupKey holds the properties that determine whether a job can be placed: if one
// job of a group does not fit, the others are not tried.
type groupKey struct {
	workspace, class           string
	rank                       int
	accelerators               int
	adjacency                  api.Adjacency
	relaxAdjacency, atMostOnce bool
}

// jobGroup is the queue of the jobs with the same groupKey, a heap ordered by
// jobBefore.
type jobGroup struct {
	groupKey
	jobs     []*job
	dirty    bool // received a job since it was last tried
	orderKey orderKey
}

// jobBefore reports whether a comes before b in their group: by priority, deadline
// and submission time.
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

// compareDeadline compares deadlines; jobs without a deadline come last.
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

// maxCachedGroups is the number of groups above which empty groups are deleted.
// Keeping them saves a memory allocation for small jobs.
const maxCachedGroups = 4096

// enqueue adds the job to the queue of its group.
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
	d.queuedByClass[j.Class]++
}

// dequeue removes the job from the queue of its group.
func (d *Domain) dequeue(j *job) {
	j.group.remove(j)
	j.ws.queued--
	d.queued--
	d.queuedByClass[j.Class]--
}

// sortedGroups drops empty groups and returns the others in scheduling order.
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

// orderKey determines the position of a group in the scheduling order: by tier, then
// by time.
type orderKey struct {
	tier int
	at   time.Time
}

// Tiers of the scheduling order. Jobs that have waited for starvationLimit precede all
// but urgent jobs, which bounds the wait of every job that fits.
const (
	tierUrgent = iota
	tierAged
	tierShort
	tierDeadlineRisk // the deadline leaves little slack
	tierDefault
)

const (
	// starvationLimit is the wait after which only urgent jobs precede a job.
	starvationLimit = 10 * time.Minute
	// rankHeadStart is the head start of a class over the class of the next rank. With
	// a strict order by class, the last class waited for whole bursts to pass.
	rankHeadStart = time.Minute
	// minDeadlineSlack is the slack below which the deadline determines the order.
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
	// Service preserved by a checkpoint counts as waiting time, so that preempted jobs
	// finish first.
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
