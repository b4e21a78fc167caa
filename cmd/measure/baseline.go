package main

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// baseline is a simple scheduler to compare with. It knows no guarantees, and
// it never preempts.
type baseline struct {
	order    func(a, b *sched.Job) int // nil: first in, first out
	bestFit  bool
	backfill bool // run later jobs that do not delay the first (EASY)
	skip     bool // pass over jobs that do not fit, without a reservation

	workers []*bworker
	queue   []*sched.Job
	known   map[api.JobID]*brun
	fits    map[shapeKey]bool // shapes found not to fit in this pass
}

type bworker struct {
	sched.Worker
	free  uint64
	slots int
}

type brun struct {
	job    sched.Job
	queued bool
	places []sched.Placement
	end    time.Time // by the declared time
}

type shapeKey struct {
	n         int
	adjacency api.Adjacency
}

// backfillDepth bounds the jobs looked at behind the first.
const backfillDepth = 200

func (b *baseline) SetPolicy(time.Time, *policy.Document) {}
func (b *baseline) Started(time.Time, api.JobID, int)     {}
func (b *baseline) Checkpointed(time.Time, api.JobID)     {}
func (b *baseline) NextDecideTime(time.Time) time.Time    { return time.Time{} }
func (b *baseline) UpsertWorker(_ time.Time, w sched.Worker) {
	b.workers = append(b.workers, &bworker{Worker: w, free: 1<<w.Accelerators - 1, slots: w.Slots})
}

func (b *baseline) SetWorkerState(_ time.Time, id string, s sched.WorkerState) {
	for _, w := range b.workers {
		if w.ID == id {
			w.State = s
		}
	}
}

func (b *baseline) Enqueue(_ time.Time, j sched.Job) error {
	b.known[j.ID] = &brun{job: j, queued: true}
	at := len(b.queue)
	if b.order != nil {
		at, _ = slices.BinarySearchFunc(b.queue, &j, func(o, x *sched.Job) int { return cmp.Or(b.order(o, x), -1) })
	}
	b.queue = slices.Insert(b.queue, at, &j)
	return nil
}

func (b *baseline) Cancel(_ time.Time, id api.JobID) bool {
	r := b.known[id]
	if r == nil || !r.queued {
		return false
	}
	b.queue = slices.DeleteFunc(b.queue, func(j *sched.Job) bool { return j.ID == id })
	delete(b.known, id)
	return true
}

func (b *baseline) Ended(_ time.Time, id api.JobID, _ int, _ sched.EndReason, _ string) {
	r := b.known[id]
	if r == nil {
		return
	}
	b.give(b.workers, r.places)
	delete(b.known, id)
}

func (b *baseline) give(workers []*bworker, places []sched.Placement) {
	for _, p := range places {
		for _, w := range workers {
			if w.ID == p.Worker {
				for _, a := range p.Accelerators {
					w.free |= 1 << a
				}
				w.slots++
			}
		}
	}
}

func (b *baseline) Decide(now time.Time) []sched.Action {
	var out []sched.Action
	b.fits = map[shapeKey]bool{}
	for len(b.queue) > 0 {
		a, ok := b.start(now, b.queue[0], nil)
		if !ok {
			break
		}
		out = append(out, a)
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 || !b.backfill && !b.skip {
		return out
	}
	var shadow time.Time
	var kept map[string]bool
	if b.backfill {
		shadow, kept = b.shadow(b.queue[0])
	}
	for i := 1; i < len(b.queue) && (b.skip || i < backfillDepth); {
		j := b.queue[i]
		avoid := kept
		if b.backfill && !now.Add(j.DeclaredRunTime).After(shadow) {
			avoid = nil
		}
		a, ok := b.start(now, j, avoid)
		if !ok {
			i++
			continue
		}
		out = append(out, a)
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	return out
}

// shadow returns when, by the declared times, the job could start, and the
// workers that it would use then.
func (b *baseline) shadow(j *sched.Job) (time.Time, map[string]bool) {
	var running []*brun
	for _, r := range b.known {
		if !r.queued {
			running = append(running, r)
		}
	}
	slices.SortFunc(running, func(x, y *brun) int { return cmp.Or(x.end.Compare(y.end), cmp.Compare(x.job.ID, y.job.ID)) })
	copied := make([]*bworker, len(b.workers))
	for i, w := range b.workers {
		c := *w
		copied[i] = &c
	}
	kept := map[string]bool{}
	for _, r := range running {
		b.give(copied, r.places)
		if places := b.fit(copied, j, nil); places != nil {
			for _, p := range places {
				kept[p.Worker] = true
			}
			return r.end, kept
		}
	}
	return time.Time{}, kept
}

func (b *baseline) start(now time.Time, j *sched.Job, avoid map[string]bool) (sched.Action, bool) {
	key := shapeKey{j.Accelerators, j.Adjacency}
	if avoid == nil && b.fits[key] {
		return sched.Action{}, false
	}
	places := b.fit(b.workers, j, avoid)
	if places == nil {
		if avoid == nil {
			b.fits[key] = true
		}
		return sched.Action{}, false
	}
	for _, p := range places {
		for _, w := range b.workers {
			if w.ID == p.Worker {
				for _, a := range p.Accelerators {
					w.free &^= 1 << a
				}
				w.slots--
			}
		}
	}
	r := b.known[j.ID]
	r.queued, r.places, r.end = false, places, now.Add(j.DeclaredRunTime)
	return sched.Action{Type: sched.ActionPlace, Job: j.ID, Attempt: j.Attempt, Placements: places}, true
}

// fit looks for a place in one worker, then in one rack.
func (b *baseline) fit(workers []*bworker, j *sched.Job, avoid map[string]bool) []sched.Placement {
	var best *bworker
	for _, w := range workers {
		if w.State != sched.WorkerReady || w.slots == 0 || avoid[w.ID] || bits.OnesCount64(w.free) < j.Accelerators {
			continue
		}
		if best == nil || b.bestFit && w.room(j) < best.room(j) {
			best = w
		}
		if !b.bestFit {
			break
		}
	}
	if best != nil {
		return []sched.Placement{{Worker: best.ID, Accelerators: lowest(best.free, j.Accelerators)}}
	}
	if j.Adjacency != api.AdjacencyRack {
		return nil
	}
	return b.fitRack(workers, j, avoid)
}

func (w *bworker) room(j *sched.Job) int {
	if j.Accelerators == 0 {
		return w.slots
	}
	return bits.OnesCount64(w.free)
}

func (b *baseline) fitRack(workers []*bworker, j *sched.Job, avoid map[string]bool) []sched.Placement {
	var rack string
	room, seen := map[string]int{}, []string{}
	for _, w := range workers {
		if _, ok := room[w.Rack]; !ok {
			seen = append(seen, w.Rack)
		}
		if w.State == sched.WorkerReady && w.slots > 0 && !avoid[w.ID] {
			room[w.Rack] += bits.OnesCount64(w.free)
		}
	}
	for _, name := range seen {
		if room[name] >= j.Accelerators && (rack == "" || b.bestFit && room[name] < room[rack]) {
			rack = name
		}
	}
	if rack == "" {
		return nil
	}
	var out []sched.Placement
	need := j.Accelerators
	for _, w := range workers {
		if w.Rack != rack || w.State != sched.WorkerReady || w.slots == 0 || avoid[w.ID] || w.free == 0 || need == 0 {
			continue
		}
		n := min(need, bits.OnesCount64(w.free))
		out = append(out, sched.Placement{Worker: w.ID, Accelerators: lowest(w.free, n)})
		need -= n
	}
	return out
}

func lowest(free uint64, n int) []int {
	out := make([]int, 0, n)
	for ; len(out) < n; free &= free - 1 {
		out = append(out, bits.TrailingZeros64(free))
	}
	return out
}

var ranks = map[string]int{"urgent": 0, "short": 1, "long": 2, "archive": 3}

func byRank(a, b *sched.Job) int { return cmp.Compare(ranks[a.Class], ranks[b.Class]) }

// bySlack orders by rank and then by the time left to start before the deadline.
func bySlack(a, b *sched.Job) int {
	return cmp.Or(byRank(a, b), slack(a).Compare(slack(b)))
}

func slack(j *sched.Job) time.Time {
	if j.Deadline.IsZero() {
		return epoch.Add(1000 * time.Hour)
	}
	return j.Deadline.Add(-j.DeclaredRunTime)
}

// candidate is a scheduler that takes part in the comparison.
type candidate struct {
	name string
	make func(domain string) scheduler
}

func known() map[api.JobID]*brun { return map[api.JobID]*brun{} }

var baselines = []candidate{
	{"fifo_first_fit", func(string) scheduler { return &baseline{known: known()} }},
	{"priority_best_fit", func(string) scheduler { return &baseline{known: known(), order: byRank, bestFit: true, skip: true} }},
	{"fifo_backfill", func(string) scheduler { return &baseline{known: known(), backfill: true} }},
	{"slack_best_fit", func(string) scheduler { return &baseline{known: known(), order: bySlack, bestFit: true, skip: true} }},
	{"previous", func(name string) scheduler { return sched.NewDomain(name, sched.Options{Rules: sched.FirstRules()}) }},
}
