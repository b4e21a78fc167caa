package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Bytes that the owner holds for a job and its parts. TestJobsTakeNoMoreMemoryThanIsReserved
// measures them.
const (
	jobMemory       = 1600 // with its record and its places in the owner's maps
	offloadedMemory = 600  // of a job whose records are only in the store
	releasedMemory  = 300  // of a job that has ended
	stepMemory      = 240  // of the record, without its strings
	groupMemory     = 480
	taskMemory      = 144
	runMemory       = 600 // of a run, with its stored form
	doneRangeMemory = 48  // of done tasks with the same history
)

// Shares of a VM's memory for jobs and their runs. The soft limit of the runtime is 0.7 of the
// memory; beside what is live, the garbage collector needs room below it.
const (
	liveMemoryShare      = 0.55     // for all that is live
	mostJobMemoryShare   = 0.3      // for jobs and runs, on a VM with few workers
	leastJobMemoryShare  = 0.06     // for jobs and runs, on a VM with more workers than it holds
	jobsOfJobMemoryShare = 2. / 3   // of the memory for jobs and runs, for jobs
	baseMemory           = 20 << 20 // of the process without workers and jobs
	workerMemory         = 60 << 10 // of a worker with its connections, see docs/CAPACITY.md
	defaultVMMemory      = 256 << 20
	// minRunsPerWorker is twice the accelerators of the largest known worker. The limit of runs is
	// for tasks that ask for little or nothing of a worker.
	minRunsPerWorker = 16
)

// releaseInterval is the time between two looks for ended jobs that can be released.
const releaseInterval = time.Second

// jobAndRunMemoryLimit returns how many bytes jobs and runs may take on a VM with this memory, or
// with defaultVMMemory if that is not known, that owns a fleet of this many workers.
func jobAndRunMemoryLimit(vmMemory int64, workers int) float64 {
	if vmMemory <= 0 {
		vmMemory = defaultVMMemory
	}
	memory := float64(vmMemory)
	left := liveMemoryShare*memory - baseMemory - float64(workers)*workerMemory
	return max(leastJobMemoryShare*memory, min(mostJobMemoryShare*memory, left))
}

// JobMemoryLimit returns how many bytes the jobs may take on a VM with this memory that owns a
// fleet of this many workers.
func JobMemoryLimit(vmMemory int64, workers int) int64 {
	return int64(jobsOfJobMemoryShare * jobAndRunMemoryLimit(vmMemory, workers))
}

// jobMemoryLimit is JobMemoryLimit of this VM; the lock is held.
func (o *Owner) jobMemoryLimit() int64 { return JobMemoryLimit(o.opts.Memory, len(o.workers)) }

// maxRuns returns how many runs there may be at a time beside the jobs; the lock is held.
func (o *Owner) maxRuns() int {
	jobs := min(o.usedMemory(), o.jobMemoryLimit())
	fit := int((jobAndRunMemoryLimit(o.opts.Memory, len(o.workers)) - float64(jobs)) / runMemory)
	return max(fit, minRunsPerWorker*len(o.workers))
}

// reportRunLimit reports that tasks wait since there are as many runs as the memory holds; the
// lock is held.
func (o *Owner) reportRunLimit(now time.Duration) {
	if o.runLimitLines.allow(now) {
		o.opts.Metrics.Event("run_limit")
		o.opts.Log.Info("tasks wait, as more runs do not fit into the memory of this VM", "maxRuns", o.maxRuns(), "reservedBytes", o.reserved)
	}
}

// countRuns returns the number of runs; the lock is held.
func (o *Owner) countRuns() (n int) {
	for _, w := range o.workers {
		n += len(w.runs)
	}
	return n
}

// JobMemory returns how many bytes the owner reserves for a job until it ends: for its record and
// one occurrence. More occurrences are opened as far as memory is left.
func JobMemory(j *workload.Job) int64 {
	bytes := int64(jobMemory) + stringMemory(j.Payload, j.QueueAddress) + occurrenceMemory(j)
	for i := range j.Steps {
		s := &j.Steps[i]
		bytes += int64(stepMemory+8*len(s.After)) + stringMemory(s.RequiredLabel, s.AffinityRack, s.Image)
	}
	return bytes
}

// occurrenceMemory returns the bytes of an open occurrence of a job without its runs.
func occurrenceMemory(j *workload.Job) (bytes int64) {
	for i := range j.Steps {
		bytes += int64(groupMemory + j.Steps[i].Tasks*taskMemory)
	}
	return bytes
}

// fitsFurther reports whether there is memory for a further occurrence of a job; the lock is held.
func (o *Owner) fitsFurther(bytes int64) bool {
	return o.usedMemory()+o.offloadedBytes+bytes <= o.jobMemoryLimit()/100*furtherPercent
}

// reserveOpen reserves what the open occurrences of a job take, and those that are done; the lock
// is held.
func (o *Owner) reserveOpen(j *job) {
	further := int64(max(0, len(j.open)-1))
	o.reserve(j, j.memory+further*j.occurrenceMemory+int64(j.progress.DoneRanges())*doneRangeMemory)
}

// stringMemory returns the bytes of strings with what the allocator rounds up.
func stringMemory(strings ...string) (bytes int64) {
	for _, s := range strings {
		bytes += int64(len(s) + len(s)/4)
	}
	return bytes
}

// reserve replaces what is reserved for a job; the lock is held.
func (o *Owner) reserve(j *job, bytes int64) {
	o.reserved += bytes - j.reserved
	j.reserved = bytes
}

// releasedJob is what is kept of an ended job until its records are deleted.
type releasedJob struct {
	queue          workload.QueueRef
	state          workload.State
	finishedUnixMS int64
}

// releaseEnded releases the ended jobs whose end is stored and that have no runs left; the lock is
// held.
func (o *Owner) releaseEnded(now time.Duration) {
	if now < o.nextReleaseAt {
		return
	}
	o.nextReleaseAt = now + releaseInterval
	for j := range o.ending {
		if !j.storedState.Final() || j.changeSeq != j.committedSeq || j.writeInFlight || j.hasRuns() || j.progress.HasAssigned() {
			continue
		}
		delete(o.ending, j)
		delete(o.jobs, j.ID)
		o.reserve(j, 0)
		o.addReleased(j.Job, j.progress)
	}
}

// addReleased adds a job that has ended; the lock is held.
func (o *Owner) addReleased(j *workload.Job, p *workload.Progress) {
	o.released[j.ID] = &releasedJob{queue: j.QueueRef(), state: p.State, finishedUnixMS: p.FinishedUnixMS}
}

// usedMemory returns what the loaded and the ended jobs take; the lock is held.
func (o *Owner) usedMemory() int64 { return o.reserved + int64(len(o.released))*releasedMemory }

// MemoryUse is how much of its memory the owner uses for jobs.
type MemoryUse struct {
	UsedBytes  int64 `cbor:"1,keyasint,omitempty"`
	LimitBytes int64 `cbor:"2,keyasint,omitempty"` // of the smallest VM that may take over; 0: not told by an owner of an earlier version
	Workers    int   `cbor:"3,keyasint,omitempty"` // of the owner's fleet, on which the limit depends
	VMs        int   `cbor:"4,keyasint,omitempty"` // that have announced themselves
	Loading    bool  `cbor:"5,keyasint,omitempty"` // the owner does not know its jobs yet
}

// Parts of the limit up to which further occurrences of a job are opened, and jobs are accepted.
// The rest is for what several VMs accept before they learn of each other's jobs. Schedules that
// are behind leave room for new jobs, and a backlog of other work for urgent ones.
const (
	furtherPercent        = 60
	admittedPercent       = 75
	admittedUrgentPercent = 90
)

// minVMs is the number of VMs that are assumed to accept jobs when fewer have announced themselves.
const minVMs = 4

// room returns how many bytes are left for a job and others that are accepted.
func (u MemoryUse) room(j *workload.Job) int64 {
	percent := int64(admittedPercent)
	if j.Class.Priority == 0 {
		percent = admittedUrgentPercent
	}
	return u.LimitBytes/100*percent - u.UsedBytes
}

// Fits reports whether a job may be accepted beside others of which the figure does not know yet.
func (u MemoryUse) Fits(j *workload.Job, unknownBytes int64) bool {
	return u.LimitBytes == 0 || unknownBytes+JobMemory(j) <= u.room(j)
}

// FitsPart is Fits for a VM that does not learn what other VMs accept in the meantime: each of
// them may use an equal part of what is left, or that part divided by divisor.
func (u MemoryUse) FitsPart(j *workload.Job, unknownBytes int64, divisor int) bool {
	return u.LimitBytes == 0 || unknownBytes+JobMemory(j) <= u.room(j)/int64(max(minVMs, u.VMs)*divisor)
}

// MemoryUse returns what all jobs take, also those that are offloaded.
func (o *Owner) MemoryUse() MemoryUse {
	o.mu.Lock()
	defer o.mu.Unlock()
	workers := len(o.workers)
	return MemoryUse{
		UsedBytes: o.usedMemory() + o.offloadedBytes, LimitBytes: JobMemoryLimit(min(o.opts.Memory, o.leastMemory), workers),
		Workers: workers, VMs: o.vms, Loading: !o.loaded,
	}
}
