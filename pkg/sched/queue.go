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
	jobs  []*job
	dirty bool // got a job since it was last tried
}

// before orders the jobs of one group.
func before(a, b *job) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if c := compareDeadline(a.Deadline, b.Deadline); c != 0 {
		return c < 0
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
func (d *Domain) order() []*group {
	d.active = slices.DeleteFunc(d.active, func(g *group) bool { return len(g.jobs) == 0 })
	slices.SortFunc(d.active, compareGroups)
	return d.active
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
