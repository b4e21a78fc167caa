// Package workload defines jobs of several steps and the progress of their tasks: the
// data types, their validation and their stored form. It is used by the gateway that
// accepts jobs and the owner that schedules them. It does no I/O.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Limits of a job; a job that exceeds one is rejected as invalid.
const (
	MaxPayloadBytes    = 4000                       // limit of the platform
	MaxSteps           = 64                         // the longest known job has 4 steps
	MaxTasks           = 10_000                     // of all steps and occurrences; keeps a progress record within the store's value size limit
	MaxUnixMS          = 253_402_300_799_999        // of the first occurrence: the end of the year 9999
	maxScheduleTime    = 100 * 365 * 24 * time.Hour // from the first occurrence to the last
	maxResourceRequest = 1 << 30                    // per task and resource, far above the capacity of any worker
)

// Resources is an amount of each resource, for example the request of a task or the
// capacity of a worker.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"`
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r is at most the available amount in each resource.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMiB <= available.MemoryMiB && r.Accelerators <= available.Accelerators
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// acceleratorCores is the number of cores that one accelerator is equivalent to in the
// users' prices.
const acceleratorCores = 8

// CoreEquivalents returns the processing capacity in cores; an accelerator counts
// as acceleratorCores.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks          int           `cbor:"1,keyasint"`
	Request        Resources     `cbor:"2,keyasint"`
	Estimate       time.Duration `cbor:"3,keyasint,omitempty"` // estimated duration of a task
	After          []int         `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must be done first
	Checkpointing  bool          `cbor:"5,keyasint,omitempty"` // the tasks can resume from a checkpoint
	Gang           bool          `cbor:"6,keyasint,omitempty"` // the tasks run all together or not at all
	SameRack       bool          `cbor:"7,keyasint,omitempty"` // the tasks run slower on more than one rack
	RequiredLabel  string        `cbor:"8,keyasint,omitempty"` // label that the worker must have
	AffinityRack   string        `cbor:"9,keyasint,omitempty"` // rack that holds the data; tasks run slower on others
	MaxPerWorker   int           `cbor:"10,keyasint,omitempty"`
	Speculative    bool          `cbor:"11,keyasint,omitempty"` // copies may run in parallel
	LongRunning    bool          `cbor:"12,keyasint,omitempty"` // the tasks run until the job is cancelled
	Image          string        `cbor:"13,keyasint,omitempty"` // image that the tasks run
	TargetLatency  time.Duration `cbor:"14,keyasint,omitempty"` // bound of the tail latency of a service task
	Filler         bool          `cbor:"15,keyasint,omitempty"` // uses only processor time that other tasks leave idle
	MaxUnavailable int           `cbor:"16,keyasint,omitempty"` // tasks that an evacuation may stop at a time; 0: no limit
}

// Schedule repeats the steps of a job at fixed times.
type Schedule struct {
	Count       int           `cbor:"1,keyasint"`
	FirstUnixMS int64         `cbor:"2,keyasint"`
	Interval    time.Duration `cbor:"3,keyasint"`
}

// Class is the scheduling class of jobs, from the configuration of their queue.
type Class struct {
	Priority      int           `cbor:"1,keyasint"` // 0 is the highest and may preempt others
	MaxAttempts   int           `cbor:"2,keyasint"`
	SlackFactor   float64       `cbor:"3,keyasint"` // completion objective: SlackFactor times the longest chain of work ...
	TargetRuntime time.Duration `cbor:"4,keyasint"` // ... plus TargetRuntime
	Service       string        `cbor:"5,keyasint"` // pool of targets that run the tasks
}

// Job is an accepted job. It does not change after acceptance.
type Job struct {
	ID             string   `cbor:"1,keyasint"`
	Queue          string   `cbor:"2,keyasint"`
	Workspace      string   `cbor:"3,keyasint,omitempty"`
	Payload        string   `cbor:"4,keyasint"`
	Steps          []Step   `cbor:"5,keyasint"`
	Schedule       Schedule `cbor:"6,keyasint"`
	AcceptedUnixMS int64    `cbor:"7,keyasint"` // clock of the VM that accepted it
	Class          Class    `cbor:"8,keyasint"` // as configured at acceptance
	// QueueAddress is the address at which the job was handed in; empty in records of
	// earlier versions.
	QueueAddress string `cbor:"9,keyasint,omitempty"`
	// Advice is the policy of its queue at acceptance; nil if its starts need no tickets.
	Advice *AdvicePolicy `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration by which it was accepted; 0 in
	// records of earlier versions.
	ConfigVersion int64 `cbor:"11,keyasint,omitempty"`
}

// AdvicePolicy bounds the calls to the advice service for a queue and the lifetime of the
// tickets that it issues.
type AdvicePolicy struct {
	BaseTimeout      time.Duration `cbor:"1,keyasint,omitempty"` // fixed part of the timeout of a call
	TimeoutPerWorker time.Duration `cbor:"2,keyasint,omitempty"` // added for each worker in the call
	TicketTTL        time.Duration `cbor:"3,keyasint,omitempty"` // how long a ticket is valid
}

// QueueRef identifies a queue: by its name, which a new version of the configuration may
// change, and by the address that callers use, which it may give to another queue.
type QueueRef struct {
	Name    string
	Address string // host and path prefix; empty if unknown
}

// QueueRef returns the queue to which the job was handed in.
func (j *Job) QueueRef() QueueRef { return QueueRef{Name: j.Queue, Address: j.QueueAddress} }

// In reports whether a job is one of a queue: it was handed in to a queue of that name or
// at that address.
func (j *Job) In(q QueueRef) bool { return j.QueueRef().Matches(q) }

// Matches reports whether two references are to one queue: they have the same name or address.
func (q QueueRef) Matches(other QueueRef) bool {
	return q.Name == other.Name || (q.Address != "" && q.Address == other.Address)
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Count) }

// HasDueTimes reports whether the occurrences have due times.
func (j *Job) HasDueTimes() bool { return j.Schedule.Count > 0 }

// DueUnixMS returns the time from which an occurrence may start; 0 if it has no due
// time.
func (j *Job) DueUnixMS(occurrence int) int64 {
	if !j.HasDueTimes() {
		return 0
	}
	return j.Schedule.FirstUnixMS + (time.Duration(occurrence) * j.Schedule.Interval).Milliseconds()
}

// Validate returns the first error found in a submitted job, as invalid_request.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return errkind.New(errkind.InvalidRequest, "spec has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errkind.New(errkind.InvalidRequest, "a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	if s := j.Schedule; s.Count < 0 || s.Count > MaxTasks || s.Interval < 0 || s.Interval > maxScheduleTime/time.Duration(max(1, s.Count)) ||
		s.FirstUnixMS < 0 || s.FirstUnixMS > MaxUnixMS {
		return errkind.New(errkind.InvalidRequest, "the schedule has a value out of range")
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		total += j.Steps[i].Tasks
	}
	if total*j.Occurrences() > MaxTasks {
		return errkind.New(errkind.InvalidRequest, "the job has more than %d tasks", MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	invalid := func(format string, args ...any) error {
		return errkind.New(errkind.InvalidRequest, "step %d: %s", number, fmt.Sprintf(format, args...))
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return invalid("count %d is not within 1..%d", s.Tasks, MaxTasks)
	}
	for _, amount := range []int64{s.Request.MilliCPU, s.Request.MemoryMiB, s.Request.Accelerators} {
		if amount < 0 || amount > maxResourceRequest {
			return invalid("a resource request of %d is out of range", amount)
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return invalid("after names step %d, which is not an earlier one", earlier)
		}
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TargetLatency < 0 {
		return invalid("a value is negative")
	}
	return nil
}

// Demand returns the capacity of a worker that a task of the step occupies.
func (s *Step) Demand() Resources {
	r := s.Request
	if s.Filler {
		r.MilliCPU = 0
	}
	return r
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task ID that workers use: job.occurrence.step.index.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step: job.occurrence.step.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errkind.New(errkind.InvalidRequest, "%q is not a task ID", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, errkind.New(errkind.InvalidRequest, "%q is not a task ID", s)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
