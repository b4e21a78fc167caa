package workload

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// State is the state of a job as clients see it.
type State string

// States of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the stored phase of a task.
type Phase uint8

// Phases of a task. Assigned means that a start may have been sent: it must be certain
// that the run has ended before the task starts on another worker.
const (
	Pending Phase = iota
	Assigned
	Done
)

// Assignment identifies the worker, and its incarnation, to which a run was assigned.
type Assignment struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`           // start time of the worker process, Unix milliseconds
	Machine     string `cbor:"3,keyasint,omitempty"` // machine that hosts this incarnation; empty if unknown
	// StartSettled means that the run has started and that no order to start it is still
	// on its way.
	StartSettled bool `cbor:"4,keyasint,omitempty"`
	// StartAgeS is the minimum time in seconds since the start of an unsettled run was
	// first sent, as measured by successive owners.
	StartAgeS int64 `cbor:"5,keyasint,omitempty"`
	// Address is the address of the worker; empty in records of earlier versions.
	Address string `cbor:"6,keyasint,omitempty"`
}

// Task is the stored progress of a task. Run, Failures and LastFailedRun never decrease.
type Task struct {
	Phase         Phase
	Run           int64 // number of the newest run; 0 if the task was never assigned
	Failures      int   // number of failed runs
	LastFailedRun int64 // number of the newest run that Failures counts; 0 if there is none
	Assigned      Assignment
	Checkpoint    string // newest checkpoint; empty if there is none
	// Stopping means that the task is done by an earlier run, and that the newest one, on the
	// worker of Assigned, may not have ended yet.
	Stopping bool
}

// CountFailure counts a failed run, and reports whether it was not counted before. Several
// members of a gang may report the failure of their common run, to successive owners.
func (t *Task) CountFailure(run int64) bool {
	if run <= t.LastFailedRun {
		return false
	}
	t.Failures++
	t.LastFailedRun = run
	return true
}

// Progress is the stored progress of a job. Only the owner of the fleet writes it. Its size
// grows with the occurrences that have begun and are not done, not with those that the job may
// ever run.
type Progress struct {
	State              State
	FinishedUnixMS     int64
	Begun              bool // a worker has started a task
	occurrences        int
	stepTaskCounts     []int // number of tasks by step
	stepOffsets        []int // index of the first task of each step within an occurrence
	tasksPerOccurrence int
	open               map[int][]Task // tasks by occurrence; an absent occurrence is compacted or in its initial state
	compacted          doneTasks
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress {
	p := &Progress{State: Queued, occurrences: j.Occurrences()}
	for i := range j.Steps {
		p.stepOffsets = append(p.stepOffsets, p.tasksPerOccurrence)
		p.stepTaskCounts = append(p.stepTaskCounts, j.Steps[i].Tasks)
		p.tasksPerOccurrence += j.Steps[i].Tasks
	}
	return p
}

// Task returns a task, or nil if the job has no such task. That of a compacted occurrence
// is a copy.
func (p *Progress) Task(occurrence, step, index int) *Task {
	if occurrence < 0 || occurrence >= p.occurrences || step < 0 || step >= len(p.stepTaskCounts) || index < 0 || index >= p.stepTaskCounts[step] {
		return nil
	}
	return &p.StepTasks(occurrence, step)[index]
}

// StepTasks returns all tasks of a step in one occurrence, and allocates those of an occurrence
// that has not begun. Those of a compacted occurrence are copies.
func (p *Progress) StepTasks(occurrence, step int) []Task {
	tasks, ok := p.open[occurrence]
	if !ok {
		tasks = make([]Task, p.tasksPerOccurrence)
		if !p.compacted.expand(occurrence*p.tasksPerOccurrence, tasks) {
			if p.open == nil {
				p.open = map[int][]Task{}
			}
			p.open[occurrence] = tasks
		}
	}
	from := p.stepOffsets[step]
	return tasks[from : from+p.stepTaskCounts[step]]
}

// OpenOccurrences returns the occurrences that have begun and are not compacted, in order.
func (p *Progress) OpenOccurrences() []int { return slices.Sorted(maps.Keys(p.open)) }

// Untouched reports whether an occurrence is in its initial state and has no tasks allocated.
func (p *Progress) Untouched(occurrence int) bool {
	_, open := p.open[occurrence]
	return !open && !p.compacted.contains(occurrence*p.tasksPerOccurrence)
}

// Compact reduces an occurrence to what its stored record needs, if all its tasks are done and
// none is being stopped; its tasks cannot change any more.
func (p *Progress) Compact(occurrence int) bool {
	tasks, ok := p.open[occurrence]
	if !ok || !finished(tasks) {
		return false
	}
	p.compacted.add(occurrence*p.tasksPerOccurrence, tasks)
	delete(p.open, occurrence)
	return true
}

// finished reports whether all tasks of an occurrence are done and none is being stopped.
func finished(tasks []Task) bool {
	return !slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase != Done || t.Stopping })
}

// HasAssigned reports whether a task is assigned to a worker or is being stopped there.
func (p *Progress) HasAssigned() bool {
	for _, tasks := range p.open {
		if slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase == Assigned || t.Stopping }) {
			return true
		}
	}
	return false
}

// DoneRanges returns the number of ranges of tasks with the same history in the compacted
// occurrences; 0 if none is compacted.
func (p *Progress) DoneRanges() int { return len(p.compacted.ranges) }

// MaxCompactedStops returns the largest number of runs of a task of a compacted occurrence that
// neither failed nor were the last.
func (p *Progress) MaxCompactedStops() int {
	most := 0
	for _, r := range p.compacted.ranges {
		most = max(most, int(r.run)-r.failures-1)
	}
	return most
}

// AllDone reports whether every task has ended successfully.
func (p *Progress) AllDone() bool {
	if len(p.open)*p.tasksPerOccurrence+p.compacted.count < p.occurrences*p.tasksPerOccurrence {
		return false
	}
	for _, tasks := range p.open {
		if slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase != Done }) {
			return false
		}
	}
	return true
}

// Started reports whether a worker has started any task. Records of earlier versions do not say
// whether the job has begun, but their tasks show it.
func (p *Progress) Started() bool {
	if p.Begun || p.DoneRanges() > 0 {
		return true
	}
	for _, tasks := range p.open {
		for i := range tasks {
			if tasks[i].started() {
				return true
			}
		}
	}
	return false
}

// started reports whether a worker has started the task, as far as its state shows it. An
// assignment does not, as the worker may refuse the start.
func (t *Task) started() bool {
	return t.Phase == Done || t.Failures > 0 || t.Checkpoint != "" || t.Assigned.StartSettled
}

// progressRecord is the stored form of Progress. It contains only the tasks that
// differ from the initial state.
type progressRecord struct {
	State          State        `cbor:"1,keyasint"`
	FinishedUnixMS int64        `cbor:"2,keyasint,omitempty"`
	Workers        []Assignment `cbor:"3,keyasint,omitempty"`
	Tasks          []taskRecord `cbor:"4,keyasint,omitempty"`
	Begun          bool         `cbor:"5,keyasint,omitempty"`
	// FailedRuns is not a part of Tasks, as earlier versions do not accept rows of another length.
	FailedRuns []failedRunRecord `cbor:"6,keyasint,omitempty"`
}

// failedRunRecord is the newest failed run of a task.
type failedRunRecord struct {
	_        struct{} `cbor:",toarray"`
	Position int
	Run      int64
}

// taskRecord is one task. Worker is an index into progressRecord.Workers, or -1. A task that is
// done has a worker only while its newest run is being stopped.
type taskRecord struct {
	_          struct{} `cbor:",toarray"`
	Position   int
	Phase      Phase
	Run        int64
	Failures   int
	Worker     int
	Checkpoint string
}

// Encode returns the stored form of the progress. It has a row for each task that is done, as
// owners of earlier versions take a task without a row for one that has not started.
func (p *Progress) Encode() ([]byte, error) {
	e := progressEncoder{record: progressRecord{State: p.State, FinishedUnixMS: p.FinishedUnixMS, Begun: p.Begun}, workers: map[Assignment]int{}}
	ranges := p.compacted.ranges
	for _, k := range p.OpenOccurrences() {
		from := k * p.tasksPerOccurrence
		for len(ranges) > 0 && ranges[0].from < from {
			e.addDone(ranges[0])
			ranges = ranges[1:]
		}
		for i := range p.open[k] {
			e.add(from+i, &p.open[k][i])
		}
	}
	for _, r := range ranges {
		e.addDone(r)
	}
	data, err := cbor.Marshal(e.record)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "progress record")
	}
	return data, nil
}

// progressEncoder builds the stored form of a progress from its tasks.
type progressEncoder struct {
	record  progressRecord
	workers map[Assignment]int // index in record.Workers
}

func (e *progressEncoder) addDone(r doneRange) {
	t := r.task()
	for position := r.from; position < r.to; position++ {
		e.add(position, &t)
	}
}

func (e *progressEncoder) add(position int, t *Task) {
	if *t == (Task{}) {
		return
	}
	row := taskRecord{Position: position, Phase: t.Phase, Run: t.Run, Failures: t.Failures, Worker: -1}
	if t.Phase != Done {
		row.Checkpoint = t.Checkpoint
	}
	if t.Phase == Assigned || t.Stopping {
		n, ok := e.workers[t.Assigned]
		if !ok {
			n = len(e.record.Workers)
			e.workers[t.Assigned] = n
			e.record.Workers = append(e.record.Workers, t.Assigned)
		}
		row.Worker = n
	}
	e.record.Tasks = append(e.record.Tasks, row)
	if t.LastFailedRun > 0 {
		e.record.FailedRuns = append(e.record.FailedRuns, failedRunRecord{Position: position, Run: t.LastFailedRun})
	}
}

// DecodeProgress decodes the stored form of a job's progress.
func DecodeProgress(j *Job, data []byte) (*Progress, error) {
	var r progressRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "progress record of job %s", j.ID)
	}
	p := NewProgress(j)
	p.State, p.FinishedUnixMS, p.Begun = r.State, r.FinishedUnixMS, r.Begun
	if err := p.decodeTasks(&r); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "progress record of job %s", j.ID)
	}
	return p, nil
}

// decodeTasks decodes the tasks of a record, one occurrence after the other.
func (p *Progress) decodeTasks(r *progressRecord) error {
	failedRuns := map[int]int64{}
	for _, row := range r.FailedRuns {
		if !p.hasPosition(row.Position) {
			return errkind.New(errkind.Internal, "failed run of task %d is out of range", row.Position)
		}
		failedRuns[row.Position] = row.Run
	}
	byPosition := func(a, b taskRecord) int { return cmp.Compare(a.Position, b.Position) }
	if !slices.IsSortedFunc(r.Tasks, byPosition) {
		slices.SortStableFunc(r.Tasks, byPosition)
	}
	var spare []Task // of an occurrence that was compacted
	for rows := r.Tasks; len(rows) > 0; {
		if !p.hasPosition(rows[0].Position) {
			return errkind.New(errkind.Internal, "task %d is out of range", rows[0].Position)
		}
		number := rows[0].Position / p.tasksPerOccurrence
		from := number * p.tasksPerOccurrence
		tasks := spare
		if spare = nil; tasks == nil {
			tasks = make([]Task, p.tasksPerOccurrence)
		}
		clear(tasks)
		for len(rows) > 0 && rows[0].Position < from+p.tasksPerOccurrence {
			t, err := rows[0].task(r.Workers, failedRuns)
			if err != nil {
				return err
			}
			tasks[rows[0].Position-from] = t
			rows = rows[1:]
		}
		if finished(tasks) {
			p.compacted.add(from, tasks)
			spare = tasks
			continue
		}
		if p.open == nil {
			p.open = map[int][]Task{}
		}
		p.open[number] = tasks
	}
	return nil
}

func (p *Progress) hasPosition(position int) bool {
	return position >= 0 && position < p.occurrences*p.tasksPerOccurrence
}

func (row *taskRecord) task(workers []Assignment, failedRuns map[int]int64) (Task, error) {
	t := Task{Phase: row.Phase, Run: row.Run, Failures: row.Failures, Checkpoint: row.Checkpoint}
	if int64(t.Failures) >= t.Run {
		t.LastFailedRun = t.Run // all its runs have failed; records of earlier versions have no FailedRuns
	}
	if run, ok := failedRuns[row.Position]; ok {
		t.LastFailedRun = run
	}
	if row.Worker >= len(workers) {
		return t, errkind.New(errkind.Internal, "task %d of worker %d is out of range", row.Position, row.Worker)
	}
	if row.Worker >= 0 {
		t.Assigned, t.Stopping = workers[row.Worker], row.Phase == Done
	}
	return t, nil
}

// DecodeClientState decodes the job state that clients see from the stored form of a progress.
// It needs neither the job nor memory for its tasks.
func DecodeClientState(data []byte) (State, error) {
	var r progressRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "progress record")
	}
	if r.State.Final() {
		return r.State, nil
	}
	if r.Begun {
		return Running, nil
	}
	for i := range r.Tasks {
		t, err := r.Tasks[i].task(r.Workers, nil)
		if err != nil {
			return "", errkind.Wrap(err, errkind.Internal, "progress record")
		}
		if t.started() {
			return Running, nil
		}
	}
	return Queued, nil
}

// DecodeState decodes only the job state in the stored form of a progress.
func DecodeState(data []byte) (State, error) {
	var r struct {
		State State `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "progress record")
	}
	return r.State, nil
}

// EncodeJob returns the stored form of a job.
func EncodeJob(j *Job) ([]byte, error) {
	data, err := cbor.Marshal(j)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "job record")
	}
	return data, nil
}

// DecodeJob decodes and validates the stored form of a job.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := cbor.Unmarshal(data, j); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "job record")
	}
	if err := j.Validate(); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "job record of %s", j.ID)
	}
	return j, nil
}
