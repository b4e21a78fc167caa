package fleet

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// jobShapes are jobs by what makes them large.
func jobShapes() map[string]func(j *workload.Job) {
	return map[string]func(j *workload.Job){
		"small":   func(*workload.Job) {},
		"payload": func(j *workload.Job) { j.Payload = strings.Repeat("x", workload.MaxPayloadBytes) },
		"tasks":   func(j *workload.Job) { j.Steps[0].Tasks = workload.MaxTasks },
		"gang":    func(j *workload.Job) { j.Steps[0].Tasks, j.Steps[0].Gang = 500, true },
		"yearly": func(j *workload.Job) {
			j.Schedule = workload.Schedule{Count: 8760, FirstUnixMS: 1 << 40, Interval: time.Hour}
		},
		"overdue": func(j *workload.Job) { j.Schedule = workload.Schedule{Count: workload.MaxTasks} },
		"overdue wide": func(j *workload.Job) {
			j.Steps = []workload.Step{{Tasks: 7}, {Tasks: 20, After: []int{0}}}
			j.Schedule = workload.Schedule{Count: 300}
		},
		"labels": func(j *workload.Job) {
			j.Steps[0].RequiredLabel, j.Steps[0].AffinityRack, j.Steps[0].Image = strings.Repeat("l", 50_000), strings.Repeat("r", 5000), strings.Repeat("i", 5000)
		},
		"steps": func(j *workload.Job) {
			j.Steps = nil
			for i := range workload.MaxSteps {
				s := workload.Step{Tasks: 1, Request: workload.Resources{MilliCPU: 1000}}
				for k := range i {
					s.After = append(s.After, k)
				}
				j.Steps = append(j.Steps, s)
			}
		},
	}
}

// newShapedJob returns a job as an owner reads it from the store, so that it shares no string.
func newShapedJob(t testing.TB, n int, shape func(*workload.Job)) *workload.Job {
	t.Helper()
	j := &workload.Job{
		ID: fmt.Sprintf("%016x", n), Queue: "queue", QueueAddress: "host/prefix/", Workspace: "workspace",
		Steps: []workload.Step{{Tasks: 1, Request: workload.Resources{MilliCPU: 1000}}}, Class: workload.Class{Priority: 1, MaxAttempts: 3, Service: "service"},
	}
	shape(j)
	data, err := workload.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	if j, err = workload.DecodeJob(data); err != nil {
		t.Fatal(err)
	}
	return j
}

// newLargeOwner returns an owner on a VM with memory for all jobs of a test.
func newLargeOwner() *Owner {
	o, _, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	o.opts.Memory = 64 << 30
	o.loaded = true
	return o
}

// checkMemory compares bytes that were measured with those that are reserved.
func checkMemory(t *testing.T, measured, reserved int64) {
	t.Helper()
	if measured > reserved || reserved > 3*measured {
		t.Errorf("%d bytes were measured, %d are reserved", measured, reserved)
	}
}

// Guards against an owner that accepts or loads more jobs than its memory holds, since they take
// more than was reserved for them, and against one that refuses jobs although they fit.
func TestJobsTakeNoMoreMemoryThanIsReserved(t *testing.T) {
	for name, shape := range jobShapes() {
		t.Run(name, func(t *testing.T) {
			jobs := 60
			if name == "small" || name == "payload" || name == "yearly" {
				jobs = 3000 // what else is freed meanwhile counts little beside them
			}
			o := newLargeOwner()
			before := heapBytes()
			for n := range jobs {
				j := newShapedJob(t, n, shape)
				o.addJob(j, workload.NewProgress(j), 0, sourceTakeover)
			}
			o.runCycle()
			o.runCycle()
			measured := (heapBytes() - before) / int64(jobs)
			checkMemory(t, measured, o.reserved/int64(jobs))
			runtime.KeepAlive(o)
		})
	}
}

// Guards against runs that take more memory than the limit of runs allows for.
func TestRunsTakeNoMoreMemoryThanIsReserved(t *testing.T) {
	const jobs, occurrences = 4, 2000
	o := newLargeOwner()
	w := &worker{WorkerEntry: WorkerEntry{ID: "w", Service: "service", Address: "a"}, runs: map[*run]struct{}{}, orders: make(chan order, maxQueuedOrders)}
	o.workers[w.ID] = w
	before := heapBytes()
	for n := range jobs {
		record := newShapedJob(t, n, func(j *workload.Job) { j.Schedule = workload.Schedule{Count: occurrences} })
		o.addJob(record, workload.NewProgress(record), 0, sourceTakeover)
		j := o.jobs[record.ID]
		for k := range occurrences {
			j.openOccurrence(k)
			g := j.group(k, 0)
			g.tasks()[0] = workload.Task{Phase: workload.Assigned, Run: 1, Assigned: workload.Assignment{Worker: w.ID, Incarnation: 1, Address: w.Address}, Checkpoint: strings.Clone("0123456789abcdef")}
			g.addRun(&run{group: g, number: 1, worker: w, phase: phaseRunning})
		}
		o.markDirty(j)
	}
	for b := o.takeBatch(); b != nil; b = o.takeBatch() {
		defer runtime.KeepAlive(b)
	}
	o.runCycle()
	checkMemory(t, (heapBytes()-before)/(jobs*occurrences), o.reserved/(jobs*occurrences)+runMemory)
	runtime.KeepAlive(o)
}

// Guards against ended jobs that keep what only a live job needs until their records are deleted.
func TestEndedJobsFreeTheirMemory(t *testing.T) {
	const jobs = 10_000
	o := newLargeOwner()
	before := heapBytes()
	for n := range jobs {
		record := newShapedJob(t, n, func(j *workload.Job) { j.Steps[0].Tasks = 50 })
		p := workload.NewProgress(record)
		for i := range record.Steps[0].Tasks {
			p.Task(0, 0, i).Run = 1 // it was stopped
		}
		p.State = workload.Cancelled
		o.addJob(record, p, 1, sourceTakeover)
	}
	o.releaseEnded(releaseInterval)
	checkMemory(t, (heapBytes()-before)/jobs, o.usedMemory()/jobs)
	runtime.KeepAlive(o)
}

// Guards against an owner far beyond its memory, whose entries of offloaded jobs take more than
// is counted for them.
func TestOffloadedJobsTakeNoMoreMemoryThanIsReserved(t *testing.T) {
	const jobs = 10_000
	o := newLargeOwner()
	o.opts.Memory = 1
	before := heapBytes()
	for n := range jobs + 1 { // the first one is loaded whatever it takes
		j := newShapedJob(t, n, jobShapes()["small"])
		o.addJob(j, workload.NewProgress(j), 0, sourceTakeover)
	}
	if len(o.offloaded) != jobs {
		t.Fatalf("%d jobs are offloaded, want %d", len(o.offloaded), jobs)
	}
	checkMemory(t, (heapBytes()-before)/jobs, offloadedMemory)
	runtime.KeepAlive(o)
}

// putRecords stores a job and its progress, and returns the bytes of both records.
func putRecords(t *testing.T, store *memory.Store, j *workload.Job, p *workload.Progress) int {
	t.Helper()
	record, err := workload.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	progress, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range map[string][]byte{JobKey(j.ID): record, ProgressKey(j.ID): progress} {
		if _, err := store.Put(t.Context(), key, value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	return len(record) + len(progress)
}

// pagedStore counts the bytes on the heap while it is listed.
type pagedStore struct {
	*memory.Store
	mu   sync.Mutex
	most int64
}

func (s *pagedStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	s.mu.Lock()
	s.most = max(s.most, heapBytes())
	s.mu.Unlock()
	// The collections may take longer than a call to the store.
	return s.Store.List(context.WithoutCancel(ctx), prefix, after, limit)
}

// Guards against a successor that runs out of memory while it loads, since it holds the records
// of all jobs, or the tasks of those that have ended.
func TestTakeoverHoldsAFewPagesOfRecords(t *testing.T) {
	// Up to five pages of 1 MiB are held: two of jobs, and three of progress, one in use, one
	// waiting and one being read. Two of these jobs, of 3 MB each, may be decoded.
	const jobs, maxHeld = 80, 5<<20 + 2*3_000_000
	store := &pagedStore{Store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})}
	records := 0
	for n := range jobs {
		j := newShapedJob(t, n, jobShapes()["tasks"])
		p := workload.NewProgress(j)
		for i := range j.Steps[0].Tasks {
			*p.Task(0, 0, i) = workload.Task{Run: int64(1 + i%3), Checkpoint: "0123456789abcdef"} // it was stopped
		}
		p.State = workload.Cancelled
		records += putRecords(t, store.Store, j, p)
	}
	o := newLargeOwner()
	o.opts.Store = store
	before := heapBytes()
	workersKnown := make(chan struct{})
	close(workersKnown)
	if _, err := o.loadJobs(workersKnown); err != nil || len(o.released) != jobs {
		t.Fatalf("%d ended jobs are read, error %v", len(o.released), err)
	}
	if held := store.most - before; held > maxHeld {
		t.Errorf("%d bytes are held while %d bytes of records are read", held, records)
	}
	runtime.KeepAlive(o)
}

// Guards against an end that is acknowledged unread, so that its task runs again, since its job is
// offloaded; against ends of other jobs that are acknowledged out of order; and against a run that
// is taken for never started, since its end was listed after that one.
func TestEndOfAnOffloadedJobIsNotAcknowledgedUnread(t *testing.T) {
	o := newLargeOwner()
	w := &worker{WorkerEntry: WorkerEntry{ID: "w", Incarnation: 1}, runs: map[*run]struct{}{}, wake: make(chan struct{}, 1), ackAdvanced: make(chan struct{})}
	o.workers[w.ID] = w
	record := newShapedJob(t, 1, jobShapes()["small"])
	o.addOffloaded(newOffloadedJob(record, workload.NewProgress(record)))
	end := func(sequence int64, job string) RunEnd {
		return RunEnd{Sequence: sequence, Task: workload.TaskID{Job: job}, Run: 1, Reason: EndDone}
	}
	reply := RenewLeaseReply{Incarnation: 1, Ended: []RunEnd{end(1, "unknown"), end(2, record.ID), end(3, "unknown")}}
	o.applyLeaseReply(w, RenewLeaseRequest{}, reply, 1)
	if w.ackThrough != 1 || !w.endsCut() {
		t.Errorf("ends are acknowledged up to %d, want 1; the list counts as whole: %v", w.ackThrough, !w.endsCut())
	}
	o.opts.Memory = 1
	if chosen := o.chooseReloads(); len(chosen) != 1 {
		t.Errorf("%d jobs are to be loaded, want the one with an end", len(chosen))
	}
}

// failingStore fails one list of progress records, when the list of jobs with that number was
// answered.
type failingStore struct {
	*memory.Store
	failAt         int32 // from 1 on
	progress, jobs atomic.Int32
}

func (s *failingStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if prefix == ProgressPrefix && s.progress.Add(1) == s.failAt {
		for s.jobs.Load() < s.failAt && ctx.Err() == nil {
			runtime.Gosched()
		}
		return platform.ListResult{}, errkind.New(errkind.StoreUnavailable, "no answer")
	}
	defer s.jobs.Add(map[bool]int32{true: 1}[prefix == JobPrefix])
	return s.Store.List(ctx, prefix, after, limit)
}

// Guards against jobs that are taken for not begun, and run again, since the list of their
// progress failed while their records were read.
func TestJobsAreNotLoadedWithoutTheirProgress(t *testing.T) {
	const jobs = 1500 // more than a page
	store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	for n := range jobs {
		j := newShapedJob(t, n, jobShapes()["small"])
		p := workload.NewProgress(j)
		*p.Task(0, 0, 0) = workload.Task{Run: 1, Checkpoint: "c"}
		putRecords(t, store, j, p)
	}
	workersKnown := make(chan struct{})
	close(workersKnown)
	for _, failAt := range []int32{1, 2} {
		o := newLargeOwner()
		o.opts.Store = &failingStore{Store: store, failAt: failAt}
		for attempt := 1; attempt <= 2; attempt++ {
			_, err := o.loadJobs(workersKnown)
			if (err != nil) != (attempt == 1) {
				t.Errorf("list %d fails, attempt %d: error %v", failAt, attempt, err)
			}
			for _, j := range o.jobs {
				if j.progressVersion == 0 || !j.progress.Started() {
					t.Fatalf("list %d fails, attempt %d: job %s is loaded without its progress", failAt, attempt, j.ID)
				}
			}
		}
		if len(o.jobs) != jobs {
			t.Errorf("list %d fails: %d jobs are loaded, want %d", failAt, len(o.jobs), jobs)
		}
	}
}

// BenchmarkCapacityRecurringJob measures jobs that repeat every hour of a year, none of them due:
// their memory, a cycle, and a takeover.
func BenchmarkCapacityRecurringJob(b *testing.B) {
	const jobs = 110
	store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	for n := range jobs {
		j := newYearlyJob(n)
		j.Schedule.FirstUnixMS = 1 << 40
		record, err := workload.EncodeJob(j)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := store.Put(b.Context(), JobKey(j.ID), record, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		o, _, _ := newIdleOwner()
		o.opts.Catalog = func() *catalog.Catalog { return nil }
		o.opts.Store, o.opts.WorkerPrefix = store, "servers/"
		before, at := heapBytes(), time.Now()
		if _, _, _, err := o.loadState(); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(at).Microseconds()), "us/takeover")
		o.runCycle()
		at = time.Now()
		o.runCycle()
		b.ReportMetric(float64(time.Since(at).Nanoseconds()), "ns/cycle")
		b.ReportMetric(float64(heapBytes()-before)/jobs, "B/job")
		runtime.KeepAlive(o)
	}
}

// Guards against offloading a job behind others of its priority before a cycle has seen it: it
// counted as one that finds no place.
func TestNewJobIsNotBlocked(t *testing.T) {
	const now = time.Minute
	record := &workload.Job{ID: "a", Steps: []workload.Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}}}
	j := newJob(record, workload.NewProgress(record))
	first, second := j.group(0, 0), j.group(0, 1)
	check := func(what string, want bool) {
		t.Helper()
		if got := j.blocked(now); got != want {
			t.Errorf("%s: blocked %v, want %v", what, got, want)
		}
	}
	check("no cycle has seen it", false)
	first.ready, first.readySince = true, now-time.Second
	check("it waits for 1 s", false)
	first.readySince = now - blockedAfter
	check("it waits for blockedAfter", true)
	first.doneTasks = 1
	check("the second step is not ready yet", false)
	second.ready, second.readySince = true, now-time.Second
	check("the second step waits for 1 s", false)
}
