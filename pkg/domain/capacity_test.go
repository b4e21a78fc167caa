package domain

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// BenchmarkCapacityRunningTask reports the memory of a running job of one task,
// with a payload of 1 KiB, in the domain owner (without the scheduler's part).
func BenchmarkCapacityRunningTask(b *testing.B) {
	const jobs = 10_000
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	text := fmt.Appendf(nil, `"%01000d"`, 1)
	for b.Loop() {
		d := New(Options{Name: "region-1/zone-1", Epoch: 1})
		before := heap()
		w := &worker{id: "worker-0001"}
		for i := range jobs {
			o := Offer{
				Job: api.JobID(fmt.Sprintf("j3-9b2d6f0e-0000-4000-8000-%012d", i)), Attempt: 1, SubmittedAt: time.Now(),
				Spec: api.JobSpec{Name: "letter", Workspace: "postbud", Class: api.ClassLong, Accelerators: 1, Payload: append([]byte(nil), text...)},
			}
			a := &attempt{offer: o, state: api.StateRunning, startedAt: time.Now()}
			c := &placedCopy{allocations: []api.Allocation{{Worker: w.id, Incarnation: 1, Accelerators: []int{0}}}, started: true}
			t := &task{id: taskID(o, 1, i, 0), job: o.Job, worker: w}
			t.status = target.TaskStatus{Task: t.id, State: target.TaskRunning, Started: true, Accelerators: []int{0}}
			c.tasks = []*task{t}
			a.copies = []*placedCopy{c}
			a.report = a.newReport("region-1/zone-1", 1)
			d.attempts[o.Job] = a
			d.byTask[t.id] = t
		}
		b.ReportMetric((heap()-before)/jobs, "B/task-memory")
		runtime.KeepAlive(d)
	}
}
