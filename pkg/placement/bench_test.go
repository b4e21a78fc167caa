package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Sizes of workers and tasks at the users' large site.
var (
	largeWorker = workload.Resources{MilliCPU: 128_000, MemoryMiB: 524_288, Accelerators: 8}
	urgentTask  = workload.Resources{MilliCPU: 15_000, MemoryMiB: 44_000, Accelerators: 8}
	indexTask   = workload.Resources{MilliCPU: 11_000, MemoryMiB: 46_000, Accelerators: 1}
	readTask    = workload.Resources{MilliCPU: 52_000, MemoryMiB: 270_000, Accelerators: 4}
)

// fullSnapshot returns a snapshot with racks of 20 workers that are fully used by
// preemptible single tasks and gangs of lower priority.
func fullSnapshot(workers int) Snapshot {
	r := rand.New(rand.NewPCG(1, 1))
	s := Snapshot{}
	gang := -1
	for i := range workers {
		w := Worker{ID: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%d", i/20), Labels: []string{"a"}, Capacity: largeWorker, Free: largeWorker, Schedulable: true}
		add := func(group int, d workload.Resources) {
			w.Runs = append(w.Runs, Run{Group: group, Demand: d, EndsIn: time.Duration(r.IntN(10_000)) * time.Millisecond})
			w.Free = w.Free.Sub(d)
		}
		if i%10 == 0 { // a new gang of ten
			gang = len(s.Groups)
			s.Groups = append(s.Groups, Group{Priority: 1})
		}
		if i%3 == 0 {
			add(gang, readTask)
			s.Groups[gang].StopCost += 500 * r.Float64()
		}
		for indexTask.Fits(w.Free) {
			add(len(s.Groups), indexTask)
			s.Groups = append(s.Groups, Group{Priority: 2, StopCost: 100 * r.Float64()})
		}
		w.FreeAfterStops = w.Free
		s.Workers = append(s.Workers, w)
	}
	return s
}

// clone copies the parts of a snapshot that a Planner changes.
func (s Snapshot) clone() Snapshot {
	c := Snapshot{Groups: s.Groups, Workers: make([]Worker, len(s.Workers))}
	copy(c.Workers, s.Workers)
	for i := range c.Workers {
		c.Workers[i].Runs = append([]Run(nil), s.Workers[i].Runs...)
	}
	return c
}

// BenchmarkBlocked measures a cycle with twelve urgent gangs that do not fit and whose
// MaxStopCost is too low for preemption, the most expensive case for the planner.
func BenchmarkBlocked(b *testing.B) {
	for _, n := range []int{48, 350, 1100, 13_000} {
		s := fullSnapshot(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := s.clone()
				b.StartTimer()
				p := New(c)
				for i := range 12 {
					p.Place(Request{
						Demand: urgentTask, Count: 4 + i, Gang: true, SameRack: i%5 > 0, MultiRackSlowdown: 3, ExpectedDuration: 2 * time.Second,
						MayPreempt: true, MaxStopCost: 1, Reserve: i < 3,
					})
				}
			}
		})
	}
}

// BenchmarkPreempt measures a cycle with one urgent gang that preempts other work.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{48, 350, 1100, 13_000} {
		s := fullSnapshot(n)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := s.clone()
				b.StartTimer()
				New(c).Place(Request{Demand: urgentTask, Count: 8, Gang: true, SameRack: true, MultiRackSlowdown: 3, ExpectedDuration: 2 * time.Second, MayPreempt: true, MaxStopCost: math.Inf(1)})
			}
		})
	}
}

// BenchmarkKeepHeadroom measures the choice of the workers kept for urgent work, once a
// cycle and service, on idle fleets, which are the dearest.
func BenchmarkKeepHeadroom(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 13_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := Snapshot{}
			for i := range workers {
				s.Workers = append(s.Workers, Worker{
					ID: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%d", i/20), Capacity: largeWorker, Free: largeWorker, FreeAfterStops: largeWorker, Schedulable: true,
				})
			}
			p := New(s)
			for b.Loop() {
				p.KeepHeadroom(workload.Resources{Accelerators: int64(2 * workers)})
			}
		})
	}
}
