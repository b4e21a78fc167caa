package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// heapBytes returns what is allocated after a collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newYearlyJob returns a job that runs every hour of a year, the first time in an hour.
func newYearlyJob(n int) *workload.Job {
	return &workload.Job{
		ID: fmt.Sprintf("%016x", n), Queue: "q", Steps: []workload.Step{{Tasks: 1}}, Class: workload.Class{MaxAttempts: 3},
		Schedule: workload.Schedule{Count: 8760, FirstUnixMS: time.Hour.Milliseconds(), Interval: time.Hour},
	}
}

// Guards against owners that run out of memory, one after the other, and jobs that never start,
// because jobs that repeat often take memory for every occurrence before any of them is due.
func TestOccurrencesThatAreNotDueTakeNoMemory(t *testing.T) {
	const jobs, maxBytesPerJob = 110, 8 << 10
	o, _, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	before := heapBytes()
	for n := range jobs {
		j := newYearlyJob(n)
		o.addJob(j, workload.NewProgress(j), 0, sourceTakeover)
	}
	o.runCycle()
	if perJob := (heapBytes() - before) / jobs; perJob > maxBytesPerJob {
		t.Errorf("%d bytes a job, at most %d are allowed", perJob, maxBytesPerJob)
	}
	runtime.KeepAlive(o)
}

// Guards against scheduling cycles, ten a second, that visit all jobs whose next occurrence is
// due much later, and against one that is not visited when it is due.
func TestCyclesVisitOnlyJobsThatAreDueSoon(t *testing.T) {
	o, now, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	for n := range 10 {
		j := newYearlyJob(n)
		o.addJob(j, workload.NewProgress(j), 0, sourceTakeover)
	}
	check := func(at time.Duration, active, open int) {
		t.Helper()
		*now = at
		pending := o.runCycle()
		opened := 0
		for _, j := range o.live {
			opened += len(j.open)
		}
		if len(o.active) != active || opened != open || pending != (active > 0) {
			t.Errorf("at %s %d jobs are active, %d occurrences open, pending %v; want %d and %d", at, len(o.active), opened, pending, active, open)
		}
	}
	check(0, 0, 0)
	check(time.Hour-2*dueLookahead, 0, 0)
	check(time.Hour-dueLookahead/2, 10, 0)
	check(time.Hour, 10, 10)
	o.applyCancelRequest(newYearlyJob(3).ID)
	check(time.Hour+time.Second, 9, 9)
}

// Guards against a dormant job that is not cancelled before its next due time.
func TestDormantJobIsCancelled(t *testing.T) {
	o, _, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	j := newYearlyJob(0)
	o.addJob(j, workload.NewProgress(j), 0, sourceTakeover)
	o.runCycle()
	o.applyCancelRequest(j.ID)
	o.runCycle()
	if s := o.jobs[j.ID].progress.State; s != workload.Cancelled || len(o.live) != 0 || len(o.dormant) != 0 {
		t.Errorf("state %s, %d live jobs, %d dormant", s, len(o.live), len(o.dormant))
	}
}

// Guards against a schedule that is far behind and takes memory for all that it has missed.
func TestScheduleThatIsFarBehindOpensAFewOccurrences(t *testing.T) {
	o, now, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	record := newYearlyJob(0)
	record.Steps = []workload.Step{{Tasks: 3}, {Tasks: 2, After: []int{0}}}
	record.Schedule.Count = 2000
	o.addJob(record, workload.NewProgress(record), 0, sourceTakeover)
	*now = 20_000 * time.Hour
	o.runCycle()
	j := o.jobs[record.ID]
	if n := 3 * len(j.open); n < maxReadyTasks || n > maxReadyTasks+3 {
		t.Errorf("%d tasks of a schedule of %d wait, want %d", n, record.Schedule.Count, maxReadyTasks)
	}
}

// Guards against jobs of lower priority that are refused for the work of occurrences which are due
// much later, as if all of it arrived with the job.
func TestLaterOccurrencesDoNotCountAsArrivingWork(t *testing.T) {
	o, now, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	record := newYearlyJob(0)
	record.Class.Service = "service"
	record.Steps = []workload.Step{{Tasks: 1, Request: workload.Resources{MilliCPU: 1000}, Estimate: time.Second}}
	o.addJob(record, workload.NewProgress(record), 0, sourceNotified)
	// One occurrence is 1,000 thousandths of a core for a second; arrivals are averaged over longer.
	check := func(at time.Duration, least, most float64) {
		t.Helper()
		*now = at
		o.runCycle()
		if got := o.arrivingWork("service", 0).PerSecond(at, shortage.MilliCPU); got < least || got > most {
			t.Errorf("at %s %g thousandths of a core arrive, want %g to %g", at, got, least, most)
		}
	}
	check(0, 0, 0)
	check(time.Hour, 10, 1000)
}

// Guards against occurrences that never begin although there is capacity, since another step of
// earlier ones finds no place: its tasks wait, but those of this step do not.
func TestStepWithoutAPlaceKeepsNoLaterOccurrenceFromBeginning(t *testing.T) {
	o, now, _ := newIdleOwner()
	o.opts.Catalog = func() *catalog.Catalog { return nil }
	record := newYearlyJob(0)
	record.Steps = []workload.Step{{Tasks: 1}, {Tasks: 1, RequiredLabel: "none"}}
	record.Schedule.Count = 2000
	o.addJob(record, workload.NewProgress(record), 0, sourceTakeover)
	*now = 20_000 * time.Hour
	j := o.jobs[record.ID]
	for range 3 {
		o.runCycle()
		for _, c := range j.open { // the first step ends wherever it has begun
			g := c.groups[0]
			g.tasks()[0].Phase, g.doneTasks = workload.Done, 1
		}
	}
	o.runCycle()
	if n := len(j.open); n < 4*maxReadyTasks {
		t.Errorf("%d occurrences have been opened after four cycles, want %d", n, 4*maxReadyTasks)
	}
}
