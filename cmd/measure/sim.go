package main

import (
	"container/heap"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// scheduler is the part of sched.Domain that a load drives; the baselines
// implement it too.
type scheduler interface {
	SetPolicy(now time.Time, doc *policy.Document)
	UpsertWorker(now time.Time, w sched.Worker)
	SetWorkerState(now time.Time, id string, s sched.WorkerState)
	Enqueue(now time.Time, j sched.Job) error
	Started(now time.Time, job api.JobID, attempt int)
	Checkpointed(now time.Time, job api.JobID)
	Ended(now time.Time, job api.JobID, attempt int, why sched.EndReason, blame string)
	Cancel(now time.Time, job api.JobID) bool
	Decide(now time.Time) []sched.Action
	NextDecideTime(now time.Time) time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Timings of the fake workers.
const (
	startDelay      = 100 * time.Millisecond
	stopDelay       = 100 * time.Millisecond
	checkpointEvery = 5 * time.Minute
	lostDelay       = 15 * time.Second // lease time at the target
	failDelay       = 300 * time.Millisecond
	giveUp          = 6 * time.Hour // after the last arrival
	maxAttempts     = 30
)

// event is a call at a point of the virtual clock.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// run is the state of one task in the simulation.
type run struct {
	*task
	places   []sched.Placement // of the first copy and, after it, of a hedge
	copies   int
	epoch    int // counts up when planned events of the attempt become void
	left     time.Duration
	began    time.Duration // of the present attempt
	saved    time.Duration // work saved at the last checkpoint of the attempt
	slow     time.Duration // factor of the present attempt
	first    time.Duration // first begin
	ended    time.Duration
	started  bool
	done     bool
	canceled bool
}

// sim drives one scheduler per failure domain through one load.
type sim struct {
	load       *load
	seed       uint64
	domains    []scheduler
	free       []map[string]uint64 // by domain: free accelerators of each worker
	slots      []map[string]int
	racks      []map[string]string
	failing    map[string]bool
	down       map[string]bool
	runs       map[api.JobID]*run
	order      []*run
	queue      events
	seq        int
	now        time.Duration
	wakes      []time.Duration
	gangs      []int // waiting gangs by domain
	frag       average
	unmeetable bool // an urgent workspace's guarantee had no place for a time
}

func (s *sim) at(at time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, f})
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func newSim(dep *deployment, l *load, seed uint64, tasks []*task, make func(name string) scheduler) *sim {
	s := &sim{
		load: l, seed: seed, failing: map[string]bool{}, down: map[string]bool{}, runs: map[api.JobID]*run{},
		gangs: []int{0, 0, 0}, wakes: []time.Duration{-1, -1, -1},
	}
	doc := dep.document()
	for i := range domains {
		d := make(domainName(i))
		free, slots, racks := map[string]uint64{}, map[string]int{}, map[string]string{}
		for _, w := range workersOf(i) {
			d.UpsertWorker(epoch, w)
			free[w.ID], slots[w.ID], racks[w.ID] = 1<<w.Accelerators-1, w.Slots, w.Rack
		}
		d.SetPolicy(epoch, doc)
		s.domains, s.free, s.slots, s.racks = append(s.domains, d), append(s.free, free), append(s.slots, slots), append(s.racks, racks)
	}
	for _, t := range tasks {
		r := &run{task: t, left: t.work}
		s.runs[t.ID] = r
		s.order = append(s.order, r)
		s.at(t.at, func() { s.enqueue(r) })
	}
	s.disturb()
	return s
}

// disturb plans the load's failures.
func (s *sim) disturb() {
	if t := s.load.cancel; t > 0 {
		s.at(t, s.cancelWave)
	}
	if t := s.load.rackLost; t > 0 {
		for _, w := range workersOf(0)[:8] {
			s.at(t, func() { s.lose(0, w.ID) })
			s.at(t+outage, func() {
				s.down[w.ID] = false
				s.domains[0].SetWorkerState(s.clock(), w.ID, sched.WorkerReady)
				s.decide(0)
			})
		}
	}
	if t := s.load.failing; t > 0 {
		for i := range domains {
			id := workersOf(i)[3].ID
			s.at(t, func() { s.failing[id] = true })
			s.at(t+2*outage, func() { s.failing[id] = false })
		}
	}
}

func (s *sim) loop() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > arrivals+giveUp {
			return
		}
		s.fragmentation(e.at - s.now)
		s.now = e.at
		e.run()
	}
}

func (s *sim) enqueue(r *run) {
	if r.done || r.canceled {
		return
	}
	r.AttainedService = r.work - r.left
	err := s.domains[r.domain].Enqueue(s.clock(), r.Job)
	if err != nil {
		s.at(s.now+2*time.Second, func() { s.enqueue(r) })
		return
	}
	if r.kind.gang {
		s.gangs[r.domain]++
	}
	s.decide(r.domain)
}

func (s *sim) decide(domain int) {
	d := s.domains[domain]
	if r, ok := d.(*sched.Domain); ok && s.load.rackLost > 0 && domain == 0 && s.now >= s.load.rackLost && s.now < s.load.rackLost+outage+crestLength {
		s.unmeetable = s.unmeetable || slices.Contains(r.Summary(s.clock()).Unmeetable, "court")
	}
	for _, a := range d.Decide(s.clock()) {
		s.act(domain, a)
	}
	if t := d.NextDecideTime(s.clock()); !t.IsZero() {
		at := max(t.Sub(epoch), s.now+time.Millisecond)
		if w := s.wakes[domain]; w < s.now || at < w {
			s.wakes[domain] = at
			s.at(at, func() {
				if s.wakes[domain] == at {
					s.wakes[domain] = -1
					s.decide(domain)
				}
			})
		}
	}
}

func (s *sim) act(domain int, a sched.Action) {
	r := s.runs[a.Job]
	switch a.Type {
	case sched.ActionPlace:
		s.place(r, a.Placements)
	case sched.ActionHedge:
		s.hold(domain, a.Placements, -1)
		r.places = append(r.places, a.Placements...)
		r.copies++
		s.plan(r, s.now+startDelay, r.copies)
	case sched.ActionPreempt, sched.ActionMove:
		s.stop(r, a.StopBy.Sub(epoch))
	case sched.ActionRefuse:
		if r.kind.gang {
			s.gangs[domain]--
		}
		r.done, r.ended = true, arrivals+giveUp
	}
}

// hold takes the places (sign -1) or gives them back (sign 1).
func (s *sim) hold(domain int, places []sched.Placement, sign int) {
	for _, p := range places {
		var m uint64
		for _, a := range p.Accelerators {
			m |= 1 << a
		}
		if sign < 0 && (s.free[domain][p.Worker]&m != m || s.slots[domain][p.Worker] == 0 || s.down[p.Worker]) {
			panic("the scheduler placed work on a place that is not free: " + p.Worker)
		}
		s.free[domain][p.Worker] ^= m
		s.slots[domain][p.Worker] += sign
	}
}

func (s *sim) place(r *run, places []sched.Placement) {
	s.hold(r.domain, places, -1)
	if r.kind.gang {
		s.gangs[r.domain]--
	}
	r.places, r.copies, r.saved = places, 1, 0
	r.began = s.now + startDelay
	r.slow = s.factor(r, 1)
	if !r.started {
		r.started, r.first = true, r.began
	}
	e := r.epoch
	s.at(r.began, func() {
		if r.epoch == e {
			s.domains[r.domain].Started(s.clock(), r.ID, r.Attempt)
			s.decide(r.domain)
		}
	})
	s.plan(r, r.began, 1)
	if r.Checkpointable {
		s.at(r.began+checkpointEvery, func() { s.checkpoint(r, e) })
	}
}

// plan sets the end of one copy of the present attempt.
func (s *sim) plan(r *run, began time.Duration, which int) {
	e, worker := r.epoch, r.places[len(r.places)-1].Worker
	for _, p := range r.places {
		if s.failing[p.Worker] {
			s.at(began+failDelay, func() { s.end(r, e, sched.EndFailed, p.Worker) })
			return
		}
	}
	s.at(began+r.left*s.factor(r, which), func() { s.end(r, e, sched.EndSucceeded, worker) })
}

// factor says how much longer than its work a copy runs.
func (s *sim) factor(r *run, which int) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(r.ID))
	h.Write([]byte{byte(r.Attempt), byte(which), byte(s.seed)})
	if x := h.Sum64() * 0x9e3779b97f4a7c15; float64(x>>11)/(1<<53) < s.load.stragglers {
		return stragglerFactor
	}
	return 1
}

func (s *sim) checkpoint(r *run, e int) {
	if r.epoch != e || r.done {
		return
	}
	r.saved = (s.now - r.began) / r.slow
	s.domains[r.domain].Checkpointed(s.clock(), r.ID)
	s.at(s.now+checkpointEvery, func() { s.checkpoint(r, e) })
}

func (s *sim) end(r *run, e int, why sched.EndReason, blame string) {
	if r.epoch != e || r.done {
		return
	}
	r.epoch++
	if why == sched.EndSucceeded {
		r.done, r.ended = true, s.now
	}
	s.hold(r.domain, r.places, 1)
	r.places = nil
	s.domains[r.domain].Ended(s.clock(), r.ID, r.Attempt, why, blame)
	if r.done || r.canceled {
		s.decide(r.domain)
		return
	}
	r.left = max(r.left-r.saved, 0)
	r.Attempt++
	r.Preempted = r.Preempted || why == sched.EndPreempted
	if why == sched.EndFailed {
		r.AvoidWorkers = append(r.AvoidWorkers, blame)
		if r.Attempt > maxAttempts {
			r.done, r.ended = true, arrivals+giveUp
		}
	}
	s.enqueue(r)
	s.decide(r.domain)
}

// stop preempts: a checkpoint that is done in time keeps the work.
func (s *sim) stop(r *run, by time.Duration) {
	e := r.epoch
	took := stopDelay
	if r.Checkpointable {
		took = 500*time.Millisecond + time.Duration(bits.Len(uint(r.Accelerators)))*500*time.Millisecond
	}
	inTime := r.Checkpointable && s.now+took <= by
	s.at(min(s.now+took, by), func() {
		if r.epoch == e && inTime && s.now > r.began {
			r.saved = (s.now - r.began) / r.slow
		}
		s.end(r, e, sched.EndPreempted, "")
	})
}

func (s *sim) cancelWave() {
	touched := map[int]bool{}
	for i, r := range s.order {
		if r.at > s.now || r.done || r.class() != "long" || r.kind.gang || float64(i%100) >= 100*cancelShare {
			continue
		}
		r.canceled = true
		if s.domains[r.domain].Cancel(s.clock(), r.ID) {
			r.done = true
		} else if r.places != nil {
			e := r.epoch
			s.at(s.now+stopDelay, func() { s.end(r, e, sched.EndCancelled, "") })
		}
		touched[r.domain] = true
	}
	for i := range domains {
		if touched[i] {
			s.decide(i)
		}
	}
}

func (r *run) class() string { return r.kind.class }

// lose takes a worker down; its tasks end when their leases have run out.
func (s *sim) lose(domain int, id string) {
	s.down[id] = true
	s.domains[domain].SetWorkerState(s.clock(), id, sched.WorkerDown)
	for _, r := range s.order {
		for _, p := range r.places {
			if p.Worker == id {
				e := r.epoch
				// The end that was planned for this attempt will not be reported.
				s.at(s.now, func() {
					if r.epoch == e {
						r.epoch++
						v := r.epoch
						s.at(s.now+lostDelay, func() { s.end(r, v, sched.EndWorkerLost, id) })
					}
				})
				break
			}
		}
	}
	s.decide(domain)
}

// fragmentation adds the span before the next event to the time average.
func (s *sim) fragmentation(span time.Duration) {
	if span <= 0 {
		return
	}
	for i := range domains {
		if s.gangs[i] <= 0 {
			continue
		}
		racks, total, best := map[string]int{}, 0, 0
		for id, m := range s.free[i] {
			if s.slots[i][id] > 0 && !s.down[id] {
				n := bits.OnesCount64(m)
				total += n
				racks[s.racks[i][id]] += n
				best = max(best, racks[s.racks[i][id]])
			}
		}
		if total > 0 {
			s.frag.add(1-float64(best)/float64(total), span.Seconds())
		}
	}
}
