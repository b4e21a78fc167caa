package shortage

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// load is a load of gangs on one service, as of the users' middle priority: 13 tasks of 9 s.
type load struct {
	seconds  int
	rate     func(at float64) float64 // jobs a second
	capacity func(at float64) float64 // tasks at once
	// flood is the share of the jobs that one of five workspaces sends; 0: an equal part.
	flood  float64
	spread float64 // of the sizes of jobs
}

// fakeJob is a job of the load.
type fakeJob struct {
	workspace       string
	tasks, run      float64
	arrival, target float64 // seconds
	ended           float64 // 0: not placed
	lost            bool
}

func (j *fakeJob) work() float64 { return j.tasks * j.run }

// value returns the users' value of the job, by when it ended.
func (j *fakeJob) value(mean float64) float64 {
	v := min(4, 0.3+0.7*j.work()/mean)
	switch took := j.ended - j.arrival; {
	case j.ended > 0 && took <= j.target:
		return v
	case j.ended > 0 && took <= 3*j.target:
		return 0.3 * v
	}
	return 0
}

// forget records once that the job is of no value any more.
func (j *fakeJob) forget(k *Kind) {
	if !j.lost {
		j.lost = true
		k.AddOutcome(j.work(), false)
	}
}

func (j *fakeJob) served() bool { return j.ended > 0 && j.ended-j.arrival <= 3*j.target }

// outcome is what callers of a load got.
type outcome struct {
	value, served, largeServed float64 // shares: of the value, of the jobs, of the largest tenth
	refused                    float64 // share of the jobs
	byWorkspace                map[string]float64
}

// play plays a load in cycles of 0.1 s, with the order by slack or that under shortage, and with
// refusals or without.
func play(l load, shortageOrder, refusals bool) outcome {
	random := rand.New(rand.NewPCG(3, 5))
	var jobs, waiting, running []*fakeJob
	kind, detector := &Kind{}, &Detector{}
	due, refused := 0.0, 0
	table, tableAt := (*Load)(nil), 0.0
	for at := 0.0; at < float64(l.seconds); at += 0.1 {
		for due += 0.1 * 1.3 * l.rate(at); due >= 1; due-- {
			j := &fakeJob{workspace: string(rune('a' + random.IntN(5))), tasks: math.Ceil(min(300, 7*math.Exp(l.spread*random.NormFloat64()))), run: 9 * math.Exp(0.4*random.NormFloat64()), arrival: at}
			if random.Float64() < l.flood {
				j.workspace = "a"
			}
			j.target = 1.5*j.run + 1
			kind.AddSize(j.work())
			jobs = append(jobs, j)
			if refusals && at-tableAt <= MaxTableAge.Seconds() {
				if _, hopeless := table.Refuse(j.applicant()); hopeless {
					refused++
					continue
				}
			}
			waiting = append(waiting, j)
		}
		free, shares, need := l.capacity(at), map[string]*Share{}, 0.0
		for _, w := range []string{"a", "b", "c", "d", "e"} {
			shares[w] = &Share{Weight: 1}
		}
		running = slices.DeleteFunc(running, func(j *fakeJob) bool { return j.ended <= at })
		for _, j := range running {
			free -= j.tasks
			shares[j.workspace].Used += j.tasks
		}
		groups := make([]Group, len(waiting))
		for i, j := range waiting {
			g := Group{Workspace: j.workspace, Demand: j.tasks, Starved: kind.Starved() && kind.Large(j.work())}
			g.Slack = time.Duration((j.target - j.run - (at - j.arrival)) * float64(time.Second))
			switch {
			case at+j.run > j.arrival+3*j.target:
				g.Lateness = 2
				j.forget(kind)
			case g.Slack < 0:
				g.Lateness = 1
			}
			groups[i] = g
			need += j.tasks
		}
		order := make([]int, len(groups))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(groups[a].Lateness, groups[b].Lateness), cmp.Compare(groups[a].Slack, groups[b].Slack))
		})
		if detector.Update(time.Duration(at*float64(time.Second)), need > free) && shortageOrder {
			order = Order(groups, l.capacity(at), shares)
		}
		if table = nil; detector.Lasting(time.Duration(at * float64(time.Second))) {
			table, tableAt = fakeLoad(groups, waiting, running, at, l.capacity(at), shares), at
		}
		placed := map[*fakeJob]bool{}
		for _, i := range order {
			j := waiting[i]
			if j.tasks > free {
				if groups[i].Starved && shortageOrder {
					break // a blocked gang at the front gets a reservation
				}
				continue
			}
			free -= j.tasks
			j.ended, placed[j] = at+j.run, true
			running = append(running, j)
			if j.served() {
				kind.AddOutcome(j.work(), true)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *fakeJob) bool { return placed[j] })
	}
	o := measure(jobs, kind.Mean())
	o.refused = float64(refused) / float64(len(jobs))
	return o
}

func (j *fakeJob) applicant() Applicant {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return Applicant{
		Workspace: j.workspace, Priority: 1, FirstDemand: workload.Resources{Accelerators: int64(j.tasks)},
		Work: Work{Accelerators: j.work()}, CriticalPath: seconds(j.run), Objective: seconds(j.target),
	}
}

// fakeLoad returns the load of the service as the owner tells it.
func fakeLoad(groups []Group, waiting, running []*fakeJob, at, capacity float64, shares map[string]*Share) *Load {
	l := &Load{Scarce: Accelerators, Capacity: capacity, Free: workload.Resources{Accelerators: int64(capacity)}, Beyond: Beyond(groups, capacity, shares)}
	p := PriorityLoad{Priority: 1}
	for _, j := range running {
		p.Ahead += j.tasks * max(0, j.ended-at)
		l.Free.Accelerators -= int64(j.tasks)
	}
	p.AheadBeyond = p.Ahead
	for i, j := range waiting {
		if groups[i].Lateness < 2 {
			p.AheadBeyond += j.work()
			if !l.Beyond[j.workspace] {
				p.Ahead += j.work()
			}
		}
	}
	l.Priorities = []PriorityLoad{p}
	return l
}

func measure(jobs []*fakeJob, mean float64) outcome {
	sizes := make([]float64, 0, len(jobs))
	for _, j := range jobs {
		sizes = append(sizes, j.work())
	}
	slices.Sort(sizes)
	o := outcome{byWorkspace: map[string]float64{}}
	best, large, possible := 0.0, 0.0, map[string]float64{}
	for _, j := range jobs {
		v := min(4, 0.3+0.7*j.work()/mean)
		best, possible[j.workspace] = best+v, possible[j.workspace]+v
		o.value += j.value(mean)
		o.byWorkspace[j.workspace] += j.value(mean)
		isLarge := j.work() >= sizes[len(sizes)*9/10]
		if isLarge {
			large++
		}
		if j.served() {
			o.served++
			if isLarge {
				o.largeServed++
			}
		}
	}
	o.value, o.served, o.largeServed = o.value/best, o.served/float64(len(jobs)), o.largeServed/large
	for w := range possible {
		o.byWorkspace[w] /= possible[w]
	}
	return o
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// loads are the loads of both new deployments, for a service of 1000 tasks at once and a mean work
// of a job of about 100 task-seconds. play sends 1.3 times the rate; about 7.8 use all of the
// capacity.
var loads = map[string]load{
	"bursts": {seconds: 120, spread: 0.8, capacity: constant(1000), rate: func(at float64) float64 {
		if math.Mod(at, 20) < 6 {
			return 16
		}
		return 6
	}},
	"waves":                    {seconds: 120, spread: 0.8, capacity: constant(1000), rate: func(at float64) float64 { return 8 * (1 + 0.55*math.Sin(2*math.Pi*at/15)) }},
	"long tail":                {seconds: 120, spread: 1.3, capacity: constant(1000), rate: constant(7)},
	"three times the capacity": {seconds: 120, spread: 0.8, capacity: constant(1000), rate: constant(24)},
	"lasting overload":         {seconds: 120, spread: 0.8, capacity: constant(1000), rate: constant(11)},
	"a third of the workers gone": {seconds: 120, spread: 0.8, rate: constant(7), capacity: func(at float64) float64 {
		if at > 30 && at < 80 {
			return 667
		}
		return 1000
	}},
	"one workspace floods": {seconds: 120, spread: 0.8, capacity: constant(1000), rate: constant(12), flood: 0.5},
}

// Guards against an order under shortage that loses more than the 0.03 that the users allow for
// existing deployments, that starves large jobs, or that lets a workspace delay others.
func TestOrderUnderLoads(t *testing.T) {
	for name, l := range loads {
		off, on := play(l, false, false), play(l, true, true)
		t.Logf("%s: off %+v", name, off)
		t.Logf("%s: on  %+v", name, on)
		if on.value < off.value-0.03 {
			t.Errorf("%s: value %.3f, %.3f without the rule", name, on.value, off.value)
		}
		if on.largeServed < on.served/2 {
			t.Errorf("%s: %.3f of the largest tenth are served, %.3f of all", name, on.largeServed, on.served)
		}
		for w, v := range on.byWorkspace {
			if l.flood > 0 && w != "a" && v < 0.9 {
				t.Errorf("%s: workspace %s gets %.3f of its value, %.3f without the rule", name, w, v, off.byWorkspace[w])
			}
		}
	}
}
