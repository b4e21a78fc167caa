package fleet

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

const (
	// maxReadyTasks is the number of tasks of a step that wait for capacity from which on later
	// occurrences of a job are not opened yet, so that a schedule that is far behind does not hold
	// all that it has missed.
	maxReadyTasks = 128
	// dueLookahead is how long before its next due time a job takes part in the scheduling
	// cycles again: the interval of idle cycles, and that of busy ones as a margin.
	dueLookahead = idleCycleInterval + pendingCycleInterval
)

// occurrence is an occurrence of a job that has begun or whose due time has come, until it is
// done and stored. The others have no state in memory.
type occurrence struct {
	number  int
	groups  []*taskGroup // by step
	doneSeq int64        // a change of the job with which it was done; 0 if it is not known to be done
}

// done reports whether all tasks have succeeded and no run is left.
func (c *occurrence) done() bool {
	return !slices.ContainsFunc(c.groups, func(g *taskGroup) bool { return !g.complete() || len(g.runs) > 0 })
}

// groups returns the groups of the open occurrences, by occurrence, then step.
func (j *job) groups() iter.Seq[*taskGroup] {
	return func(yield func(*taskGroup) bool) {
		for _, c := range j.open {
			for _, g := range c.groups {
				if !yield(g) {
					return
				}
			}
		}
	}
}

// findOpen returns the index of an open occurrence, or where it belongs.
func (j *job) findOpen(number int) (int, bool) {
	return slices.BinarySearchFunc(j.open, number, func(c *occurrence, number int) int { return cmp.Compare(c.number, number) })
}

// group returns the tasks of a step; nil if its occurrence is not open.
func (j *job) group(number, step int) *taskGroup {
	i, ok := j.findOpen(number)
	if !ok || step < 0 || step >= len(j.Steps) {
		return nil
	}
	return j.open[i].groups[step]
}

// openOccurrence creates the groups of an occurrence.
func (j *job) openOccurrence(number int) {
	c := &occurrence{number: number}
	for s := range j.Steps {
		g := &taskGroup{job: j, occurrence: number, step: s}
		for _, t := range g.tasks() {
			if t.Phase == workload.Done {
				g.doneTasks++
			}
			// Runs that neither failed nor are the newest were stopped, mostly for urgent work.
			j.preemptions = max(j.preemptions, int(t.Run)-t.Failures-1)
			if g.attemptsExhausted(t.Failures) {
				j.pendingFinalState = workload.Failed
			}
		}
		c.groups = append(c.groups, g)
	}
	i, _ := j.findOpen(number)
	j.open = slices.Insert(j.open, i, c)
}

// nextDue returns the due time of the next occurrence that has not begun, in Unix milliseconds;
// false if there is none.
func (j *job) nextDue() (unixMS int64, ok bool) {
	j.nextOccurrence = nextUntouched(j.Job, j.progress, j.nextOccurrence)
	return j.DueUnixMS(j.nextOccurrence), j.nextOccurrence < j.Occurrences()
}

// nextUntouched returns the first occurrence from a number on that has not begun; the number of
// all occurrences if there is none.
func nextUntouched(j *workload.Job, p *workload.Progress, number int) int {
	for number < j.Occurrences() && !p.Untouched(number) {
		number++
	}
	return number
}

// openDue opens the occurrences of a job that are due: one, and further ones up to maxReadyTasks
// tasks that wait for capacity, if there is memory for them. The lock is held.
func (o *Owner) openDue(j *job, unixMS int64) {
	defer o.reserveOpen(j)
	var ready []readyStep // nil before an occurrence is due
	for {
		due, ok := j.nextDue()
		if !ok || due > unixMS+dueStartLead.Milliseconds() {
			return
		}
		if ready == nil {
			ready = j.readySteps()
		}
		// Later occurrences can begin with the step that has the fewest, also if others find no place.
		fewest := slices.MinFunc(ready, func(a, b readyStep) int { return cmp.Compare(a.ready, b.ready) }).ready
		if fewest > 0 && (fewest >= maxReadyTasks || !o.fitsFurther(j.occurrenceMemory)) {
			return
		}
		j.openOccurrence(j.nextOccurrence)
		o.reserveOpen(j)
		if j.HasDueTimes() {
			o.noteArrival(j.Job, o.opts.Clock())
		}
		for i := range ready {
			ready[i].ready += ready[i].tasks
		}
	}
}

// readyStep is a step that depends on no other.
type readyStep struct {
	tasks int // in each occurrence
	ready int // without a run and not done, in the open occurrences
}

// readySteps returns the steps with which an occurrence begins; the first step is always one.
func (j *job) readySteps() (steps []readyStep) {
	for s := range j.Steps {
		if len(j.Steps[s].After) > 0 {
			continue
		}
		step := readyStep{tasks: j.Steps[s].Tasks}
		for _, c := range j.open {
			if g := c.groups[s]; !g.complete() {
				step.ready += step.tasks - g.doneTasks - len(g.runs)
			}
		}
		steps = append(steps, step)
	}
	return steps
}

// compactDone frees the occurrences that are done, once the store has their end.
func (j *job) compactDone() {
	j.open = slices.DeleteFunc(j.open, func(c *occurrence) bool {
		if !c.done() {
			return false
		}
		if c.doneSeq == 0 {
			c.doneSeq = j.changeSeq
		}
		return j.committedSeq >= c.doneSeq && j.progress.Compact(c.number)
	})
}

// settled reports whether the store holds all that is known of a job, and nothing is to be
// decided about it.
func (j *job) settled() bool {
	return j.changeSeq == j.committedSeq && !j.writeInFlight && j.unsavedSince == 0 && len(j.afterCommit) == 0 && !j.cancelRequested && j.pendingFinalState == ""
}

// addLive adds a job without a final state; the lock is held.
func (o *Owner) addLive(j *job) {
	o.live[j.ID], o.active[j.ID] = j, j
	if j.Class.Priority == 0 {
		o.urgentNeed[j.Workspace] += maxStepAccelerators(j.Job)
	}
}

// removeLive removes a job that has got its final state; the lock is held.
func (o *Owner) removeLive(j *job) {
	if o.live[j.ID] != j {
		return
	}
	o.activate(j)
	delete(o.live, j.ID)
	delete(o.active, j.ID)
	if j.Class.Priority == 0 {
		o.urgentNeed[j.Workspace] -= maxStepAccelerators(j.Job)
	}
}

// activate makes a dormant job take part in the scheduling cycles again; the lock is held.
func (o *Owner) activate(j *job) {
	if j.dormant {
		heap.Remove(&o.dormant, j.dormantIndex)
		j.dormant = false
		o.active[j.ID] = j
	}
}

// activateDue activates the dormant jobs whose next due time is near; the lock is held.
func (o *Owner) activateDue(unixMS int64) {
	for len(o.dormant) > 0 && o.dormant[0].dormantUntil <= unixMS+dueLookahead.Milliseconds() {
		o.activate(o.dormant[0])
	}
}

// awaitsDue reports whether an occurrence of a job is due soon. A job that has nothing to do
// until much later becomes dormant: cycles do not visit it. The lock is held.
func (o *Owner) awaitsDue(j *job, unixMS int64) bool {
	due, ok := j.nextDue()
	if !ok {
		return false
	}
	if due <= unixMS+dueLookahead.Milliseconds() {
		return true
	}
	if len(j.open) == 0 && j.settled() {
		j.dormant, j.dormantUntil = true, due
		heap.Push(&o.dormant, j)
		delete(o.active, j.ID)
	}
	return false
}

// dormantJobs is a heap of jobs by their next due time.
type dormantJobs []*job

// Len implements heap.Interface.
func (d dormantJobs) Len() int { return len(d) }

// Less implements heap.Interface.
func (d dormantJobs) Less(a, b int) bool { return d[a].dormantUntil < d[b].dormantUntil }

// Swap implements heap.Interface.
func (d dormantJobs) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].dormantIndex, d[b].dormantIndex = a, b
}

// Push implements heap.Interface.
func (d *dormantJobs) Push(x any) {
	j, _ := x.(*job)
	j.dormantIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *dormantJobs) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}
