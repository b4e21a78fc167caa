package partition

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityEndedJob reports the memory and the journal size of one ended job
// with a payload and a result of 1 KiB each.
func BenchmarkCapacityEndedJob(b *testing.B) {
	const jobs = 10_000
	text := fmt.Appendf(nil, `"%01000d"`, 1)
	for b.Loop() {
		p := New(Options{})
		before := heapBytes()
		journal := 0
		for i := range jobs {
			j := newJob(api.JobID(fmt.Sprintf("j3-9b2d6f0e-0000-4000-8000-%012d", i)), api.JobSpec{
				Name: "letter", Workspace: "postbud", Class: api.ClassLong, Accelerators: 2,
				Adjacency: api.AdjacencyWorker, Payload: append([]byte(nil), text...),
			}, time.Now())
			j.durable = true
			j.idempotencyKey = fmt.Sprint("key-", i)
			j.status.State = api.StateSucceeded
			j.status.Allocations = []api.Allocation{{Worker: "worker-0001", Incarnation: 1, Accelerators: []int{0, 1}, Task: "j3-x/1/1.1.0"}}
			j.status.Result = append([]byte(nil), text...)
			end := j.status
			j.finalStatus = &end
			p.insert(j)
			for _, r := range j.snapshotRecords() {
				value, err := encodeRecord(r)
				if err != nil {
					b.Fatal(err)
				}
				journal += len(value)
			}
		}
		b.ReportMetric((heapBytes()-before)/jobs, "B/job-memory")
		b.ReportMetric(float64(journal)/jobs, "B/job-journal")
		runtime.KeepAlive(p)
	}
}
