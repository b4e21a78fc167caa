package workerspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetOf is a fleet of 40 workers with the given speeds; the rest are of speed 1. Job sizes
// differ by 50%, tasks of a job by 15%.
type fleetOf struct {
	e      *Estimator
	speeds map[int]float64
	kinds  map[int]string
	random *rand.Rand
	now    time.Duration
}

func newFleet(speeds map[int]float64) *fleetOf {
	return &fleetOf{e: New(), speeds: speeds, kinds: map[int]string{}, random: rand.New(rand.NewPCG(1, 0))}
}

func id(worker int) string { return fmt.Sprintf("w%02d", worker) }

// job runs a job of a size with one task on each of the workers, or with single tasks that are
// not compared with each other.
func (f *fleetOf) job(size time.Duration, single bool, workers ...int) {
	g := &Group{}
	actual := size.Seconds() * math.Exp(0.5*f.random.NormFloat64())
	for n, w := range workers {
		if single {
			g, actual = nil, size.Seconds()*math.Exp(0.5*f.random.NormFloat64())
		}
		speed := f.speeds[w]
		if speed == 0 {
			speed = 1
		}
		took := actual * math.Exp(0.15*f.random.NormFloat64()) / speed
		f.e.Observe(f.now, Sample{
			Service: "s", Queue: "q", Worker: id(w), Incarnation: 1, Kind: f.kinds[w], Group: g, Task: n,
			RunTime: time.Duration(took * float64(time.Second)), Expected: 2 * time.Second, Share: 1,
		})
	}
}

// jobs runs jobs of five tasks on workers at random, two a second.
func (f *fleetOf) jobs(n int, single bool) {
	for range n {
		f.job(2*time.Second, single, f.random.Perm(40)[:5]...)
		f.now += 500 * time.Millisecond
		f.e.Update(f.now)
	}
}

func (f *fleetOf) speed(worker int) float64 { return f.e.Speed("s", id(worker), 1, f.kinds[worker]) }

// slowAtQuarter returns the speeds of a fleet with a quarter of the workers at 0.45.
func slowAtQuarter() map[int]float64 {
	speeds := map[int]float64{}
	for i := range 10 {
		speeds[4*i] = 0.45
	}
	return speeds
}

// Guards against urgent work on slow workers that are not found, and against sound workers that
// are avoided.
func TestSlowWorkersAreFound(t *testing.T) {
	tests := map[string]struct {
		jobs   int
		single bool
		found  int // slow workers found at least
	}{
		"jobs of several tasks": {60, false, 10},
		"few samples":           {20, false, 6},
		"single tasks":          {200, true, 7},
	}
	for name, tc := range tests {
		f := newFleet(slowAtQuarter())
		f.jobs(tc.jobs, tc.single)
		found, wrong := 0, 0
		for w := range 40 {
			slow := f.speed(w) > 0 && f.speed(w) < SlowBelow
			switch {
			case slow && f.speeds[w] > 0:
				found++
			case slow:
				wrong++
			}
		}
		if found < tc.found || wrong > 1 {
			t.Errorf("%s: %d of 10 slow workers found, want at least %d; %d sound ones taken for slow", name, found, tc.found, wrong)
		}
	}
}

// Guards against placement that changes on a fleet of even workers, because jobs or their tasks
// differ in size.
func TestEvenWorkersHaveNoSpeeds(t *testing.T) {
	for _, single := range []bool{false, true} {
		f := newFleet(nil)
		for range 400 {
			f.jobs(1, single)
			if f.e.Uneven("s") {
				t.Fatalf("single tasks %v: the workers count as uneven after %v", single, f.now)
			}
		}
	}
}

// Guards against large jobs that make their workers look slow: the size of a job is in all of
// its tasks.
func TestLargeJobIsNotASlowWorker(t *testing.T) {
	f := newFleet(slowAtQuarter())
	f.jobs(60, false)
	for range 4 {
		f.job(12*time.Second, false, 1, 2, 3, 5, 6)
		f.e.Update(f.now)
	}
	for _, w := range []int{1, 2, 3, 5, 6} {
		if s := f.speed(w); s < 1 {
			t.Errorf("worker %d has speed %v", w, s)
		}
	}
}

// Guards against a worker that stays slow for good, as after a restart, when its trouble is over,
// or when it gets no runs.
func TestSlowWorkersAreForgotten(t *testing.T) {
	tests := map[string]func(f *fleetOf) float64{
		"restarted": func(f *fleetOf) float64 { return f.e.Speed("s", id(4), 2, "") },
		"recovered": func(f *fleetOf) float64 {
			delete(f.speeds, 4)
			f.jobs(120, false)
			return f.speed(4)
		},
		"without runs": func(f *fleetOf) float64 {
			f.e.Update(f.now + 10*halfLife)
			return f.speed(4)
		},
	}
	for name, after := range tests {
		f := newFleet(slowAtQuarter())
		f.jobs(60, false)
		if s := f.speed(4); s == 0 || s >= SlowBelow {
			t.Fatalf("the slow worker has speed %v", s)
		}
		if s := after(f); s != 0 && s < SlowBelow {
			t.Errorf("%s: speed %v", name, s)
		}
	}
}

// Guards against a kind of workers that is blamed for single slow workers, and against a slow
// kind of which each worker is found only by runs of its own.
func TestKindsOfWorkers(t *testing.T) {
	f := newFleet(slowAtQuarter())
	for w := range 40 {
		f.kinds[w] = map[bool]string{true: "old", false: "new"}[f.speeds[w] > 0]
	}
	f.jobs(60, false)
	if s := f.e.Speed("s", "unseen", 1, "old"); s == 0 || s >= SlowBelow {
		t.Errorf("an unseen worker of the slow kind has speed %v", s)
	}
	if s := f.e.Speed("s", "unseen", 1, "new"); s != 0 {
		t.Errorf("an unseen worker of the other kind has speed %v", s)
	}
	f = newFleet(slowAtQuarter())
	for w := range 40 {
		f.kinds[w] = "same"
	}
	f.jobs(60, false)
	if s := f.e.Speed("s", "unseen", 1, "same"); s != 0 {
		t.Errorf("an unseen worker of a mixed kind has speed %v", s)
	}
}

// Guards against estimates that are not numbers, after a first sample that only adds its run time
// to its group, or with odd values.
func TestOddSamples(t *testing.T) {
	for _, share := range []float64{0, -1, math.NaN()} {
		f := newFleet(slowAtQuarter())
		for _, took := range []time.Duration{0, -time.Second, 1, time.Second, math.MaxInt64} {
			f.e.Observe(0, Sample{Service: "s", Queue: "q", Worker: id(1), Incarnation: 1, Group: &Group{}, RunTime: took, Expected: time.Second, Share: share})
		}
		f.jobs(60, false)
		if s := f.speed(4); s == 0 || s >= SlowBelow {
			t.Errorf("share %v: the slow worker has speed %v", share, s)
		}
	}
}

// BenchmarkUpdate measures what the owner of the largest fleet spends twice a second.
func BenchmarkUpdate(b *testing.B) {
	e := New()
	for i := range 350 {
		e.Observe(0, Sample{Service: "s", Queue: "q", Worker: fmt.Sprint(i), RunTime: time.Second, Expected: time.Second, Share: 1})
	}
	for b.Loop() {
		e.Update(time.Millisecond)
	}
}
