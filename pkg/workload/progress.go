package workload

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// State is the state of a job as callers see it.
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

// Phases of a task. Assigned means that a start may have been sent: the task
// must be settled at its worker before it starts elsewhere.
const (
	Pending Phase = iota
	Assigned
	Done
)

// Assignment names the worker and its incarnation that a run was sent to.
type Assignment struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"` // start time of the worker process, Unix milliseconds
}

// Task is the stored progress of a task. Run and Failures never decrease.
type Task struct {
	Phase      Phase
	Run        int64 // number of the newest start
	Failures   int   // runs that ended as failed
	Assigned   Assignment
	Checkpoint string // newest checkpoint; empty if there is none
}

// Progress is what is stored of a job's progress. Only the owner writes it.
type Progress struct {
	State          State
	FinishedUnixMS int64
	occurrences    int
	steps          []int // tasks of each step
	offsets        []int // index of the first task of each step within an occurrence
	width          int   // tasks of an occurrence
	tasks          []Task
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress {
	p := &Progress{State: Queued, occurrences: j.Occurrences()}
	for i := range j.Steps {
		p.offsets = append(p.offsets, p.width)
		p.steps = append(p.steps, j.Steps[i].Tasks)
		p.width += j.Steps[i].Tasks
	}
	p.tasks = make([]Task, p.width*p.occurrences)
	return p
}

// Task returns a task, or nil if the job has no such task.
func (p *Progress) Task(occurrence, step, index int) *Task {
	if occurrence < 0 || occurrence >= p.occurrences || step < 0 || step >= len(p.steps) || index < 0 || index >= p.steps[step] {
		return nil
	}
	return &p.tasks[occurrence*p.width+p.offsets[step]+index]
}

// StepTasks returns all tasks of a step in one occurrence.
func (p *Progress) StepTasks(occurrence, step int) []Task {
	from := occurrence*p.width + p.offsets[step]
	return p.tasks[from : from+p.steps[step]]
}

// StepDone reports whether all tasks of a step have ended successfully.
func (p *Progress) StepDone(occurrence, step int) bool {
	for _, t := range p.StepTasks(occurrence, step) {
		if t.Phase != Done {
			return false
		}
	}
	return true
}

// AllDone reports whether every task has ended successfully.
func (p *Progress) AllDone() bool {
	for i := range p.tasks {
		if p.tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// Started reports whether any task has been assigned to a worker.
func (p *Progress) Started() bool {
	for i := range p.tasks {
		if p.tasks[i].Run > 0 {
			return true
		}
	}
	return false
}

// record is the stored form: only tasks that differ from the initial state.
type record struct {
	State          State        `cbor:"1,keyasint"`
	FinishedUnixMS int64        `cbor:"2,keyasint,omitempty"`
	Workers        []Assignment `cbor:"3,keyasint,omitempty"`
	Tasks          []taskRow    `cbor:"4,keyasint,omitempty"`
}

// taskRow is one task; Worker is an index into record.Workers.
type taskRow struct {
	_          struct{} `cbor:",toarray"`
	Position   int
	Phase      Phase
	Run        int64
	Failures   int
	Worker     int
	Checkpoint string
}

// Encode returns the stored form.
func (p *Progress) Encode() ([]byte, error) {
	r := record{State: p.State, FinishedUnixMS: p.FinishedUnixMS}
	index := map[Assignment]int{}
	for i := range p.tasks {
		t := &p.tasks[i]
		if *t == (Task{}) {
			continue
		}
		row := taskRow{Position: i, Phase: t.Phase, Run: t.Run, Failures: t.Failures, Worker: -1}
		if t.Phase != Done {
			row.Checkpoint = t.Checkpoint
		}
		if t.Phase == Assigned {
			n, ok := index[t.Assigned]
			if !ok {
				n = len(r.Workers)
				index[t.Assigned] = n
				r.Workers = append(r.Workers, t.Assigned)
			}
			row.Worker = n
		}
		r.Tasks = append(r.Tasks, row)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "progress record")
	}
	return data, nil
}

// DecodeProgress reads the stored form of a job's progress.
func DecodeProgress(j *Job, data []byte) (*Progress, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "progress record of job %s", j.ID)
	}
	p := NewProgress(j)
	p.State, p.FinishedUnixMS = r.State, r.FinishedUnixMS
	for _, row := range r.Tasks {
		if row.Position < 0 || row.Position >= len(p.tasks) || row.Worker >= len(r.Workers) {
			return nil, errkind.New(errkind.Internal, "progress record of job %s: task %d of worker %d is out of range", j.ID, row.Position, row.Worker)
		}
		t := Task{Phase: row.Phase, Run: row.Run, Failures: row.Failures, Checkpoint: row.Checkpoint}
		if row.Worker >= 0 {
			t.Assigned = r.Workers[row.Worker]
		}
		p.tasks[row.Position] = t
	}
	return p, nil
}

// DecodeState reads only the state of a stored progress.
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

// DecodeJob reads the stored form of a job.
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
