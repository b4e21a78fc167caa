package sched

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

var benchSizes = []int{50, 500, 5_000, 13_000}

const benchWorkspaces = 460

// benchDomain returns a domain with two accelerators per worker, racks of 8 workers,
// four running tasks per worker and a guarantee for every tenth workspace.
func benchDomain(name string, workers int) (*Domain, []api.JobID) {
	d := NewDomain(name, Options{MaxQueued: 1 << 20})
	doc := &policy.Document{Workspaces: map[string]policy.Workspace{}}
	for i := range benchWorkspaces {
		var w policy.Workspace
		if i%10 == 0 {
			w.Guarantees = []policy.Guarantee{{Cells: 1, Accelerators: 2, FailureDomain: name}}
		}
		doc.Workspaces[fmt.Sprint("ws", i)] = w
	}
	for i := range workers {
		d.UpsertWorker(t0, Worker{ID: fmt.Sprint("w", i), Rack: fmt.Sprint("k", i/8), Accelerators: 2, Slots: 8})
	}
	d.SetPolicy(t0, doc)
	var ids []api.JobID
	for i := range workers * 4 {
		id := api.JobID(fmt.Sprint(name, "-", i))
		j := benchJob(id, i)
		if i%4 == 0 {
			j.Accelerators = 1
		}
		_ = d.Enqueue(t0, j)
		ids = append(ids, id)
	}
	d.Decide(t0)
	for _, id := range ids {
		d.Started(t0, id, 0)
	}
	return d, ids
}

func benchJob(id api.JobID, i int) Job {
	return Job{ID: id, Workspace: fmt.Sprint("ws", i%benchWorkspaces), Class: api.ClassShort, SubmittedAt: t0}
}

func reportP99(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns/decision")
}

// BenchmarkSmall measures the decision for one small job on a busy fleet.
func BenchmarkSmall(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) { benchSmall(b, n, 0) })
	}
}

// BenchmarkBacklog is BenchmarkSmall with a backlog of 2,000 jobs of 460 workspaces
// that each need two accelerators of one worker and cannot be preempted.
func BenchmarkBacklog(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) { benchSmall(b, n, 2_000) })
	}
}

func benchSmall(b *testing.B, workers, backlog int) {
	d, ids := benchDomain("r/a", workers)
	for i := range backlog {
		_ = d.Enqueue(t0, Job{ID: api.JobID(fmt.Sprint("big", i)), Workspace: fmt.Sprint("ws", i%benchWorkspaces), Class: api.ClassArchive, Accelerators: 2, AtMostOnce: true})
	}
	d.Decide(t0)
	rng := rand.New(rand.NewPCG(1, 1))
	var out []Action
	took := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		k := rng.IntN(len(ids))
		d.Ended(t0, ids[k], 0, EndSucceeded, "")
		d.DecideInto(t0, out[:0])
		ids[k] = api.JobID(fmt.Sprint("n", i))
		_ = d.Enqueue(t0, benchJob(ids[k], i))
		b.StartTimer()
		at := time.Now()
		out = d.DecideInto(t0, out[:0])
		took = append(took, time.Since(at))
	}
	b.StopTimer()
	reportP99(b, took)
}

// BenchmarkGang measures the decision for a gang of up to 512 accelerators on a fleet
// with enough free capacity.
func BenchmarkGang(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d, ids := benchDomain("r/a", n)
			for _, id := range ids[:len(ids)*3/4] {
				d.Ended(t0, id, 0, EndSucceeded, "")
			}
			d.Decide(t0)
			took := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for i := range b.N {
				id := api.JobID(fmt.Sprint("g", i))
				_ = d.Enqueue(t0, Job{ID: id, Workspace: "ws1", Class: api.ClassLong, Accelerators: min(512, n/2), Adjacency: api.AdjacencyDomain, Checkpointable: true})
				at := time.Now()
				if acts := d.Decide(t0); len(acts) != 1 || acts[0].Type != ActionPlace {
					b.Fatalf("actions %+v", acts)
				}
				took = append(took, time.Since(at))
				d.Ended(t0, id, 0, EndSucceeded, "")
				d.Decide(t0)
			}
			b.StopTimer()
			reportP99(b, took)
		})
	}
}

// BenchmarkState measures the memory used by the schedulers of a whole fleet whose
// workers are divided among 17 failure domains.
func BenchmarkState(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				var all []*Domain
				for i := range 17 {
					d, _ := benchDomain(fmt.Sprint("r/", i), (n+16)/17)
					all = append(all, d)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "state-MiB")
				runtime.KeepAlive(all)
			}
		})
	}
}

// Guards against memory allocations when small jobs are scheduled. Placements are
// allocated in chunks, which is less than one allocation per hundred decisions.
func TestSmallWorkDoesNotAllocate(t *testing.T) {
	d, ids := benchDomain("r/a", 64)
	var out []Action
	next := make([]Job, 2_000)
	for i := range next {
		next[i] = benchJob(api.JobID(fmt.Sprint("n", i)), i%64)
	}
	i := 0
	perRun := testing.AllocsPerRun(1_000, func() {
		d.Ended(t0, ids[i%len(ids)], 0, EndSucceeded, "")
		ids[i%len(ids)] = next[i].ID
		d.queueForTest(next[i])
		i++
		out = d.DecideInto(t0, out[:0])
	})
	// The one allocation is the record of the job itself.
	if perRun > 1.05 {
		t.Errorf("%.2f allocations for each small job, want its record only", perRun)
	}
}

func (d *Domain) queueForTest(j Job) { _ = d.Enqueue(t0, j) }
