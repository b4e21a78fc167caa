package workload

import (
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// formerTasks decodes a progress record as versions do that hold every task of a job.
func formerTasks(t *testing.T, j *Job, data []byte) []Task {
	t.Helper()
	var r progressRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		t.Fatalf("a former version cannot read the record: %v", err)
	}
	perOccurrence := 0
	for _, s := range j.Steps {
		perOccurrence += s.Tasks
	}
	tasks := make([]Task, perOccurrence*j.Occurrences())
	for _, row := range r.Tasks {
		task := Task{Phase: row.Phase, Run: row.Run, Failures: row.Failures, Checkpoint: row.Checkpoint}
		if int64(task.Failures) >= task.Run {
			task.LastFailedRun = task.Run
		}
		if row.Worker >= 0 {
			task.Assigned, task.Stopping = r.Workers[row.Worker], row.Phase == Done
		}
		tasks[row.Position] = task
	}
	for _, row := range r.FailedRuns {
		tasks[row.Position].LastFailedRun = row.Run
	}
	return tasks
}

// randomTask returns a task as an owner may leave it.
func randomTask(r *rand.Rand) Task {
	t := Task{Run: 1 + r.Int64N(3)}
	t.Failures = r.IntN(int(t.Run) + 1)
	if t.Failures > 0 {
		t.LastFailedRun = t.Run
	}
	switch r.IntN(12) {
	case 0:
		return Task{}
	case 1:
		t.Phase, t.Checkpoint = Pending, "c"
	case 2:
		t.Phase, t.Assigned = Assigned, Assignment{Worker: "w", Incarnation: 7}
	case 3:
		t.Phase, t.Stopping, t.Assigned = Done, true, Assignment{Worker: "v", Incarnation: 8}
	default:
		t = Task{Phase: Done, Run: 1}
	}
	return t
}

// Guards against tasks that are run again, or lost, after the progress of occurrences that are
// done was reduced, or its record has passed an owner of a former version.
func TestCompactedProgressIsExchangedWithFormerVersions(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Tasks: 2}, {Tasks: 1}}, Schedule: Schedule{Count: 12}}
	const tasks = 3 * 12
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		p, want := NewProgress(j), make([]Task, tasks)
		for _, k := range r.Perm(12)[:r.IntN(13)] {
			quiet := r.IntN(2) == 0 // most occurrences are done by first runs
			for i := range 3 {
				task := Task{Phase: Done, Run: 1}
				if !quiet {
					task = randomTask(r)
				}
				want[3*k+i] = task
				*p.Task(k, i/2, i%2) = task
			}
			p.Compact(k)
		}
		check := func(what string, p *Progress) {
			t.Helper()
			for i := range want {
				if got := *p.Task(i/3, i%3/2, i%3%2); got != want[i] {
					t.Fatalf("seed %d, %s: task %d is %+v, want %+v", seed, what, i, got, want[i])
				}
			}
		}
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		for i, got := range formerTasks(t, j, data) {
			if got != want[i] {
				t.Fatalf("seed %d: a former version reads task %d as %+v, want %+v", seed, i, got, want[i])
			}
		}
		back, err := DecodeProgress(j, data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := back.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if string(again) != string(data) {
			t.Fatalf("seed %d: the record changes when it is read and written", seed)
		}
		check("as it was built", p)
		check("as it was read", back)
	}
}

// Guards against a job that is taken for complete while occurrences have not begun, or that does
// not complete.
func TestAllDoneCountsOccurrencesWithoutState(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Tasks: 2}}, Schedule: Schedule{Count: 3}}
	p := NewProgress(j)
	for k := range 3 {
		if p.AllDone() {
			t.Errorf("done with %d of 3 occurrences", k)
		}
		for i := range 2 {
			p.Task(k, 0, i).Phase = Done
		}
		if k != 1 && !p.Compact(k) {
			t.Errorf("occurrence %d is not compacted", k)
		}
	}
	if !p.AllDone() {
		t.Error("not done with 3 of 3 occurrences")
	}
}

// Guards against progress whose size grows with the occurrences that are done.
func TestCompactedOccurrencesShareARange(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Tasks: 2}}, Schedule: Schedule{Count: 1000}}
	p := NewProgress(j)
	for _, k := range rand.New(rand.NewPCG(1, 0)).Perm(1000) {
		for i := range 2 {
			*p.Task(k, 0, i) = Task{Phase: Done, Run: 1}
		}
		p.Compact(k)
	}
	if len(p.compacted.ranges) != 1 || len(p.open) != 0 || !p.AllDone() {
		t.Errorf("%d ranges, %d open occurrences, done %v", len(p.compacted.ranges), len(p.open), p.AllDone())
	}
}
