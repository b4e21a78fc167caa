package partition

import (
	"math/rand/v2"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// choose returns the failure domain for the job: one where the workspace has
// guaranteed capacity, else one with free capacity, else the shorter queue of
// two random ones. It returns "" while no domain is known, and an error when
// none of the known domains can ever hold the job.
func (p *Partition) choose(j *job) (string, *errkind.Error) {
	all := p.opts.Summaries()
	fit := candidates(all, j)
	if len(fit) == 0 {
		if len(all) == 0 || !p.allKnown(all, j) {
			return "", nil
		}
		return "", impossibleReason(j, all)
	}
	best, bestScore := "", 0.0
	for _, s := range fit {
		if s.Domain == j.shunned && len(fit) > 1 {
			continue
		}
		score := p.score(s, j) + rand.Float64()*0.1 // ties are broken at random
		if best == "" || score > bestScore {
			best, bestScore = s.Domain, score
		}
	}
	return best, nil
}

// candidates returns the domains whose equipment can hold the job's shape.
func candidates(all []sched.Summary, j *job) []sched.Summary {
	var out []sched.Summary
	for _, s := range all {
		if _, refused := j.refusedBy[s.Domain]; !refused && fitsEquipment(s, j.status.Spec) {
			out = append(out, s)
		}
	}
	return out
}

// fitsEquipment compares the shape with what the domain has when it is empty.
func fitsEquipment(s sched.Summary, spec api.JobSpec) bool {
	if spec.Accelerators == 0 {
		return s.Workers > 0
	}
	level := spec.Adjacency
	if spec.RelaxAdjacency && level == api.AdjacencyWorker {
		level = api.AdjacencyRack
	} else if spec.RelaxAdjacency {
		level = api.AdjacencyDomain
	}
	switch level {
	case api.AdjacencyWorker:
		return spec.Accelerators <= s.LargestWorker
	case api.AdjacencyRack:
		return spec.Accelerators <= s.LargestRack
	default:
		return spec.Accelerators <= s.Accelerators
	}
}

// allKnown reports whether every domain has refused the job or shows its
// workers. After a start or a change of owners, a domain may not have seen its
// workers yet, or its summary may not have reached this VM.
func (p *Partition) allKnown(all []sched.Summary, j *job) bool {
	shown := map[string]bool{}
	for _, s := range all {
		shown[s.Domain] = s.Workers > 0
	}
	for _, name := range p.domainNames() {
		if !shown[name] && j.refusedBy[name] == nil {
			return false
		}
	}
	return true
}

func impossibleReason(j *job, all []sched.Summary) *errkind.Error {
	for _, err := range j.refusedBy {
		return err
	}
	return errkind.New(errkind.Impossible, "no failure domain of %d has %d accelerators with adjacency %q",
		len(all), j.status.Spec.Accelerators, j.status.Spec.Adjacency)
}

// Weights of score. A guaranteed place outweighs any free one, and a free one
// any queue.
const (
	scoreGuaranteed = 100.0
	scoreFree       = 10.0
)

// score rates a domain for the job; higher is better.
func (p *Partition) score(s sched.Summary, j *job) float64 {
	spec := j.status.Spec
	need := max(spec.Accelerators, 1)
	free := s.FreeSlots
	if spec.Accelerators > 0 {
		free = freeAt(s.Free, spec.Adjacency)
	}
	free -= p.load[s.Domain] * need // offers that the summary does not show yet
	score := 0.0
	if holdsGuarantee(s, spec) {
		score += scoreGuaranteed
	}
	if free >= need {
		score += scoreFree
	}
	queued := p.load[s.Domain]
	for _, n := range s.QueuedByClass {
		queued += n
	}
	capacity := max(s.Accelerators, s.Workers, 1)
	return score + float64(free-queued)/float64(capacity)
}

func freeAt(f sched.FreeCapacity, a api.Adjacency) int {
	switch a {
	case api.AdjacencyWorker:
		return f.Worker
	case api.AdjacencyRack:
		return f.Rack
	default:
		return f.Domain
	}
}
