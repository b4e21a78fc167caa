package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// kind is one kind of work of a deployment.
type kind struct {
	name, workspace, class string
	perSecond              float64
	sizes                  []int // accelerators, chosen evenly
	adjacency              api.Adjacency
	atMostOnce, checkpoint bool
	median                 time.Duration
	sigma                  float64 // of the logarithm of the run time
	deadline               time.Duration
	crest                  bool // multiplied in a crest
	gang                   bool
}

// deployment is a fleet's workload: kinds of work and guarantees per failure domain.
type deployment struct {
	name       string
	kinds      []kind
	guarantees map[string]policy.Guarantee
}

var deployments = []deployment{
	{"postbud", []kind{
		{name: "flag", workspace: "court", class: "urgent", perSecond: 6, sizes: []int{0}, median: 1500 * time.Millisecond, sigma: 0.5, crest: true},
		{name: "read", workspace: "reading", class: "long", perSecond: 1.5, sizes: []int{1}, checkpoint: true, median: 50 * time.Second, sigma: 0.6, crest: true},
		{name: "index", workspace: "archive", class: "archive", perSecond: 0.2, sizes: []int{1}, atMostOnce: true, median: 200 * time.Second, sigma: 0.8},
		{name: "train", workspace: "lab", class: "long", perSecond: 1. / 110, sizes: []int{8, 16, 32}, adjacency: api.AdjacencyRack, checkpoint: true, median: 700 * time.Second, sigma: 0.5, gang: true},
	}, map[string]policy.Guarantee{
		"court": {Cells: 6, Accelerators: 8, Adjacency: api.AdjacencyWorker},
		"lab":   {Cells: 1, Accelerators: 16, Adjacency: api.AdjacencyRack},
	}},
	{"lautoka", []kind{
		{name: "quote", workspace: "shop", class: "urgent", perSecond: 8, sizes: []int{0}, median: 800 * time.Millisecond, sigma: 0.5, crest: true},
		{name: "price", workspace: "shop", class: "short", perSecond: 1.5, sizes: []int{0, 1}, median: 3 * time.Second, sigma: 0.5, crest: true},
		{name: "order", workspace: "sales", class: "short", perSecond: 1, sizes: []int{0}, atMostOnce: true, median: 2 * time.Second, sigma: 0.4},
		{name: "cut", workspace: "floor", class: "long", perSecond: 0.9, sizes: []int{1, 2, 4}, checkpoint: true, median: 40 * time.Second, sigma: 0.7, crest: true},
		{name: "fit", workspace: "design", class: "long", perSecond: 1. / 115, sizes: []int{8, 16, 24, 48}, adjacency: api.AdjacencyRack, checkpoint: true, median: 600 * time.Second, sigma: 0.5, deadline: 75 * time.Minute, gang: true},
	}, map[string]policy.Guarantee{
		"shop":   {Cells: 4, Accelerators: 8, Adjacency: api.AdjacencyWorker},
		"design": {Cells: 1, Accelerators: 32, Adjacency: api.AdjacencyRack},
	}},
}

// load is a disturbance of the deployment's workload.
type load struct {
	name       string
	crest      float64 // factor on crest kinds in a crest
	gangs      float64 // factor on gangs
	stragglers float64 // share of attempts that run stragglerFactor times longer
	declared   float64 // declared times are off by this factor, either way
	cancel     time.Duration
	rackLost   time.Duration
	failing    time.Duration
}

const (
	arrivals        = 40 * time.Minute
	crestEvery      = 10 * time.Minute
	crestFirst      = 4 * time.Minute
	crestLength     = time.Minute
	stragglerFactor = 30
	outage          = 10 * time.Minute
	cancelShare     = 0.8
	cancelBurst     = 3000
)

var loads = []load{
	{name: "swing", crest: 10, gangs: 1, declared: 1.5},
	{name: "stragglers", crest: 10, gangs: 1, declared: 1.5, stragglers: 0.01},
	{name: "declared_off", crest: 10, gangs: 1, declared: 10},
	{name: "gangs", crest: 10, gangs: 1.6, declared: 1.5},
	{name: "cancel_wave", crest: 10, gangs: 1, declared: 1.5, cancel: 16 * time.Minute},
	{name: "rack_lost", crest: 10, gangs: 1, declared: 1.5, rackLost: 14 * time.Minute},
	{name: "workers_failing", crest: 10, gangs: 1, declared: 1.5, failing: 10 * time.Minute},
}

// task is a generated job with what the scheduler does not know.
type task struct {
	sched.Job
	kind   *kind
	domain int
	at     time.Duration
	work   time.Duration // true run time
	crest  bool          // submitted in a crest
}

const domains = 3

func domainName(i int) string { return fmt.Sprintf("r1/%c", 'a'+i) }

// generate draws the tasks of a load, in order of arrival.
func generate(dep *deployment, l *load, seed uint64) []*task {
	var out []*task
	for i := range dep.kinds {
		k := &dep.kinds[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		rate := k.perSecond
		if k.gang {
			rate *= l.gangs
		}
		peak := rate
		if k.crest {
			peak *= l.crest
		}
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
			if at > arrivals {
				break
			}
			if inCrest := (at+crestEvery-crestFirst)%crestEvery < crestLength; inCrest || rng.Float64() < rate/peak {
				out = append(out, k.draw(rng, l, at, len(out), inCrest))
			}
		}
		if l.cancel > 0 && k.crest && k.class == "long" {
			for range cancelBurst {
				out = append(out, k.draw(rng, l, l.cancel-2*time.Minute, len(out), false))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *task) int { return int(a.at - b.at) })
	return out
}

func (k *kind) draw(rng *rand.Rand, l *load, at time.Duration, n int, crest bool) *task {
	work := time.Duration(float64(k.median) * math.Exp(k.sigma*rng.NormFloat64()))
	off := math.Pow(l.declared, 2*rng.Float64()-1)
	if l.declared > 2 {
		off = [2]float64{l.declared, 1 / l.declared}[rng.IntN(2)]
	}
	t := &task{kind: k, domain: rng.IntN(domains), at: at, work: work, crest: crest, Job: sched.Job{
		ID: api.JobID(fmt.Sprintf("j0-%s-%d", k.name, n)), Workspace: k.workspace, Class: k.class,
		Accelerators: k.sizes[rng.IntN(len(k.sizes))], Adjacency: k.adjacency, Checkpointable: k.checkpoint,
		AtMostOnce: k.atMostOnce, DeclaredRunTime: time.Duration(float64(work) * off), SubmittedAt: epoch.Add(at),
	}}
	if k.deadline > 0 {
		t.Deadline = epoch.Add(at + k.deadline)
	}
	return t
}

// document returns the policy of the deployment.
func (dep *deployment) document() *policy.Document {
	doc := &policy.Document{Workspaces: map[string]policy.Workspace{}}
	for _, k := range dep.kinds {
		w := doc.Workspaces[k.workspace]
		if g, ok := dep.guarantees[k.workspace]; ok && len(w.Guarantees) == 0 {
			for i := range domains {
				g.FailureDomain = domainName(i)
				w.Guarantees = append(w.Guarantees, g)
			}
		}
		doc.Workspaces[k.workspace] = w
	}
	return doc
}

// workersOf returns the workers of one failure domain: 50 in all, in racks of 8.
func workersOf(domain int) []sched.Worker {
	n := [domains]int{17, 17, 16}[domain]
	out := make([]sched.Worker, n)
	for i := range out {
		out[i] = sched.Worker{
			ID: fmt.Sprintf("w%d-%02d", domain, i), Rack: fmt.Sprintf("k%d-%d", domain, i/8), Accelerators: 8, Slots: 8,
		}
	}
	return out
}
