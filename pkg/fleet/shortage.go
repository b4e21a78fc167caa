package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// serviceShortage is what the owner knows of a shortage of a service.
type serviceShortage struct {
	detector shortage.Detector
	active   bool
}

// kindOf returns the statistics of the kind of a job, its queue; the lock is held.
func (o *Owner) kindOf(j *job) *shortage.Kind {
	k := o.kinds[j.Queue]
	if k == nil {
		k = &shortage.Kind{}
		o.kinds[j.Queue] = k
	}
	return k
}

// work returns the expected work of a job in core-seconds, by its own estimates.
func (o *Owner) work(j *workload.Job) (work float64) {
	for i := range j.Steps {
		s := &j.Steps[i]
		work += s.Demand().CoreEquivalents() * max(s.Estimate, minExpectedRunTime).Seconds() * float64(s.Tasks)
	}
	return work * float64(j.Occurrences())
}

// recordOutcome records once for each job whether it completed while it was of value; the lock
// is held.
func (o *Owner) recordOutcome(j *job, served bool) {
	if j.outcomeRecorded || j.HasDueTimes() {
		return
	}
	j.outcomeRecorded = true
	o.kindOf(j).AddOutcome(o.work(j.Job), served)
}

// orderUnderShortage changes the order of the waiting groups of services whose demand exceeds
// their capacity. The groups of a service keep the places that they have among those of others;
// the lock is held.
func (o *Owner) orderUnderShortage(waiting []pendingGroup, now time.Duration) {
	places := map[string][]int{}
	for i := range waiting {
		service := o.serviceOf(waiting[i].group.job)
		places[service] = append(places[service], i)
	}
	for service, of := range places {
		p := o.planners[service]
		if p == nil || p.cycle != o.cycles {
			p = o.newServicePlanner(service, now)
		}
		demand := p.used
		for _, i := range of {
			demand = demand.Add(pendingDemand(&waiting[i]))
		}
		s := o.shortages[service]
		if s == nil {
			s = &serviceShortage{}
			o.shortages[service] = s
		}
		active := s.detector.Update(now, !demand.Fits(p.capacity))
		if active != s.active {
			s.active = active
			o.opts.Metrics.Event(map[bool]string{true: "shortage", false: "shortage_over"}[active])
			o.opts.Log.Info("shortage of capacity", "service", service, "begins", active, "groups", len(of),
				"demandAccelerators", demand.Accelerators, "capacityAccelerators", p.capacity.Accelerators,
				"demandMilliCPU", demand.MilliCPU, "capacityMilliCPU", p.capacity.MilliCPU)
		}
		if active {
			o.reorder(p, waiting, of)
		}
	}
}

// pendingDemand returns the demand of the pending tasks of a group.
func pendingDemand(c *pendingGroup) workload.Resources {
	n, d := int64(len(c.pending)), c.group.spec().Demand()
	return workload.Resources{MilliCPU: n * d.MilliCPU, MemoryMiB: n * d.MemoryMiB, Accelerators: n * d.Accelerators}
}

// reorder orders the groups of a service at some places, those of each priority by themselves.
func (o *Owner) reorder(p *servicePlanner, waiting []pendingGroup, places []int) {
	shares := o.shares(p)
	for first := 0; first < len(places); {
		after := first
		for after < len(places) && samePriority(&waiting[places[first]], &waiting[places[after]]) {
			after++
		}
		o.reorderPriority(waiting, places[first:after], shares, p.capacity.CoreEquivalents())
		first = after
	}
}

func samePriority(a, b *pendingGroup) bool {
	return a.priority == b.priority && a.reclaims == b.reclaims
}

func (o *Owner) reorderPriority(waiting []pendingGroup, places []int, shares map[string]*shortage.Share, capacity float64) {
	groups := make([]shortage.Group, len(places))
	before := make([]pendingGroup, len(places))
	for n, i := range places {
		c := &waiting[i]
		k, j := o.kindOf(c.group.job), c.group.job
		before[n] = *c
		groups[n] = shortage.Group{
			Workspace: j.Workspace, Lateness: c.lateness, Slack: c.slack,
			Demand: pendingDemand(c).CoreEquivalents(), Starved: k.Starved() && k.Large(o.work(j.Job)),
		}
	}
	for n, from := range shortage.Order(groups, capacity, shares) {
		waiting[places[n]] = before[from]
	}
}

// shares returns what the workspaces use of a service, in core equivalents. Beyond the
// guarantees, workspaces share in proportion to their guarantee; one without a guarantee counts
// as one with a quarter of an equal part of the service.
func (o *Owner) shares(p *servicePlanner) map[string]*shortage.Share {
	shares, cat := map[string]*shortage.Share{}, o.opts.Catalog()
	for _, w := range p.workers {
		for r := range w.runs {
			name := r.group.job.Workspace
			if shares[name] == nil {
				shares[name] = &shortage.Share{}
			}
			shares[name].Used += r.demand.CoreEquivalents()
		}
	}
	workspaces := 1
	if cat != nil {
		workspaces = max(1, len(cat.Workspaces))
		for _, ws := range cat.Workspaces {
			if shares[ws.Name] == nil {
				shares[ws.Name] = &shortage.Share{}
			}
			shares[ws.Name].Guaranteed = ws.Guaranteed.CoreEquivalents()
		}
	}
	least := max(1, p.capacity.CoreEquivalents()/float64(workspaces)/4)
	for _, s := range shares {
		s.Weight = max(s.Guaranteed, least)
	}
	return shares
}
