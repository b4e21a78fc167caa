package partition

import (
	"math/rand/v2"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// chooseDomain returns the failure domain with the highest score for the job:
// one where the workspace has idle guaranteed capacity, else one with free
// capacity, else the one with the least load. It returns "" while no domain fits
// and not all domains are known, and an error when no domain can ever fit the job.
func (p *Partition) chooseDomain(j *job) (string, *errkind.Error) {
	summaries := p.opts.Summaries()
	candidates := candidateDomains(summaries, j)
	if len(candidates) == 0 {
		if len(summaries) == 0 || !p.allDomainsKnown(summaries, j) {
			return "", nil
		}
		return "", impossibleError(j, summaries)
	}
	best, bestScore := "", 0.0
	for _, s := range candidates {
		if s.Domain == j.unresponsiveDomain && len(candidates) > 1 {
			continue
		}
		score := p.scoreDomain(s, j) + rand.Float64()*0.1 // ties are broken at random
		if best == "" || score > bestScore {
			best, bestScore = s.Domain, score
		}
	}
	return best, nil
}

// candidateDomains returns the domains whose inventory fits the job and that have
// not refused it.
func candidateDomains(summaries []sched.Summary, j *job) []sched.Summary {
	var out []sched.Summary
	for _, s := range summaries {
		if _, refused := j.refusedBy[s.Domain]; !refused && fitsInventory(s, j.status.Spec) {
			out = append(out, s)
		}
	}
	return out
}

// fitsInventory reports whether the job would fit into the domain if the domain
// were empty.
func fitsInventory(s sched.Summary, spec api.JobSpec) bool {
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

// allDomainsKnown reports whether every domain has refused the job or reported
// its workers. After a start or a change of owner, a domain may not have
// discovered its workers yet, or its summary may not have reached this VM.
func (p *Partition) allDomainsKnown(summaries []sched.Summary, j *job) bool {
	hasWorkers := map[string]bool{}
	for _, s := range summaries {
		hasWorkers[s.Domain] = s.Workers > 0
	}
	for _, name := range p.domainNames() {
		if !hasWorkers[name] && j.refusedBy[name] == nil {
			return false
		}
	}
	return true
}

func impossibleError(j *job, summaries []sched.Summary) *errkind.Error {
	for _, err := range j.refusedBy {
		return err
	}
	return errkind.New(errkind.Impossible, "no failure domain of %d has %d accelerators with adjacency %q",
		len(summaries), j.status.Spec.Accelerators, j.status.Spec.Adjacency)
}

// Weights of scoreDomain. Idle guaranteed capacity outweighs free capacity, and
// both outweigh the load of the domain.
const (
	scoreGuaranteed = 100.0
	scoreFree       = 10.0
)

// scoreDomain returns the score of a domain for the job; higher is better.
func (p *Partition) scoreDomain(s sched.Summary, j *job) float64 {
	spec := j.status.Spec
	need := max(spec.Accelerators, 1)
	free := s.FreeSlots
	if spec.Accelerators > 0 {
		free = freeForAdjacency(s.Free, spec.Adjacency)
	}
	free -= p.recentOffers[s.Domain] * need // offers that the summary may not include yet
	score := 0.0
	if hasIdleGuarantee(s, spec) {
		score += scoreGuaranteed
	}
	if free >= need {
		score += scoreFree
	}
	queued := p.recentOffers[s.Domain]
	for _, n := range s.QueuedByClass {
		queued += n
	}
	capacity := max(s.Accelerators, s.Workers, 1)
	return score + float64(free-queued)/float64(capacity)
}

func freeForAdjacency(f sched.FreeCapacity, a api.Adjacency) int {
	switch a {
	case api.AdjacencyWorker:
		return f.Worker
	case api.AdjacencyRack:
		return f.Rack
	default:
		return f.Domain
	}
}
