package workload

import (
	"cmp"
	"slices"
)

// doneRange is a range of tasks of compacted occurrences that have the same history. Positions
// count the tasks of all occurrences.
type doneRange struct {
	from, to      int // to is the position after the last one
	run           int64
	failures      int
	lastFailedRun int64
}

func (r doneRange) task() Task {
	return Task{Phase: Done, Run: r.run, Failures: r.failures, LastFailedRun: r.lastFailedRun}
}

// precedes reports whether a range begins where r ends and has the same history.
func (r doneRange) precedes(next doneRange) bool {
	return r.to == next.from && r.run == next.run && r.failures == next.failures && r.lastFailedRun == next.lastFailedRun
}

// doneTasks holds the tasks of compacted occurrences. Most tasks are done by their first run, so
// that few ranges hold all of them.
type doneTasks struct {
	ranges []doneRange // by position
	count  int         // number of tasks
}

// find returns the index of the first range that ends after a position.
func (d *doneTasks) find(position int) int {
	i, _ := slices.BinarySearchFunc(d.ranges, position, func(r doneRange, position int) int { return cmp.Compare(r.to, position+1) })
	return i
}

// contains reports whether the task at a position is compacted.
func (d *doneTasks) contains(position int) bool {
	i := d.find(position)
	return i < len(d.ranges) && d.ranges[i].from <= position
}

// add adds the tasks of an occurrence that is not in d.
func (d *doneTasks) add(from int, tasks []Task) {
	var added []doneRange
	for i := range tasks {
		t := &tasks[i]
		added = appendRange(added, doneRange{from: from + i, to: from + i + 1, run: t.Run, failures: t.Failures, lastFailedRun: t.LastFailedRun})
	}
	i := d.find(from)
	before := d.ranges[:i]
	after := slices.Clone(d.ranges[i:])
	for _, r := range added {
		before = appendRange(before, r)
	}
	if len(after) > 0 {
		before = appendRange(before, after[0])
		before = append(before, after[1:]...)
	}
	d.ranges, d.count = before, d.count+len(tasks)
}

// appendRange appends a range, or extends the last one by it.
func appendRange(all []doneRange, r doneRange) []doneRange {
	if n := len(all); n > 0 && all[n-1].precedes(r) {
		all[n-1].to = r.to
		return all
	}
	return append(all, r)
}

// expand fills tasks with those from a position on; false if they are not compacted.
func (d *doneTasks) expand(from int, tasks []Task) bool {
	if !d.contains(from) {
		return false
	}
	for i := d.find(from); i < len(d.ranges) && d.ranges[i].from < from+len(tasks); i++ {
		for position := max(from, d.ranges[i].from); position < min(d.ranges[i].to, from+len(tasks)); position++ {
			tasks[position-from] = d.ranges[i].task()
		}
	}
	return true
}
