package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// serviceShortage is what the owner knows of a shortage of a service.
type serviceShortage struct {
	detector shortage.Detector
	active   bool
}

// admissionTable is the table for the entry VMs and when it was made; nil if no service has a
// lasting shortage.
type admissionTable struct {
	services map[string]*shortage.Load
	at       time.Duration
}

// Admission returns the load of the services with a lasting shortage.
func (o *Owner) Admission() shortage.Table {
	t := o.admission.Load()
	if t == nil || !o.Current() {
		return shortage.Table{}
	}
	return shortage.Table{Services: t.services, AgeMS: (o.opts.Clock() - t.at).Milliseconds()}
}

// arrivingWork returns the rate of the work of a priority that arrives for a service; the lock is
// held.
func (o *Owner) arrivingWork(service string, priority int) *shortage.Rate {
	key := servicePriority{service, priority}
	r := o.arriving[key]
	if r == nil {
		r = &shortage.Rate{}
		o.arriving[key] = r
	}
	return r
}

type servicePriority struct {
	service  string
	priority int
}

// kindOf returns the statistics of the kind of a job, its queue; the lock is held.
func (o *Owner) kindOf(j *workload.Job) *shortage.Kind {
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

// occurrenceWork returns the expected work of one occurrence of a job by resource.
func occurrenceWork(j *workload.Job) (work shortage.Work) {
	for i := range j.Steps {
		s := &j.Steps[i]
		work.Add(s.Demand(), max(s.Estimate, minExpectedRunTime).Seconds(), s.Tasks)
	}
	return work
}

// noteArrival counts the work of an occurrence that may run from a time on; the lock is held.
func (o *Owner) noteArrival(j *workload.Job, at time.Duration) {
	o.arrivingWork(o.serviceOf(j), j.Class.Priority).Add(at, occurrenceWork(j))
}

// recordOutcome records once for each job whether it completed while it was of value; the lock
// is held.
func (o *Owner) recordOutcome(j *job, served bool) {
	if j.outcomeRecorded || j.HasDueTimes() {
		return
	}
	j.outcomeRecorded = true
	o.kindOf(j.Job).AddOutcome(o.work(j.Job), served)
}

// orderUnderShortage changes the order of the waiting groups of services whose demand exceeds
// their capacity. The groups of a service keep the places that they have among those of others;
// the lock is held.
func (o *Owner) orderUnderShortage(waiting []pendingGroup, now time.Duration) {
	places := map[string][]int{}
	for i := range waiting {
		service := o.serviceOf(waiting[i].group.job.Job)
		places[service] = append(places[service], i)
	}
	table := &admissionTable{services: map[string]*shortage.Load{}, at: now}
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
		scarce := shortage.Scarcest(demand, p.capacity)
		active := s.detector.Update(now, !demand.Fits(p.capacity))
		if active != s.active {
			s.active = active
			o.opts.Metrics.Event(map[bool]string{true: "shortage", false: "shortage_over"}[active])
			o.opts.Log.Info("shortage of capacity", "service", service, "begins", active, "groups", len(of),
				"demandAccelerators", demand.Accelerators, "capacityAccelerators", p.capacity.Accelerators,
				"demandMilliCPU", demand.MilliCPU, "capacityMilliCPU", p.capacity.MilliCPU)
		}
		if active && o.ruleEnabled(RuleShortageOrder) {
			o.reorder(p, scarce, waiting, of)
		}
		if s.detector.Lasting(now) && o.ruleEnabled(RuleAdmission) && !o.automationHeld() {
			table.services[service] = o.serviceLoad(p, service, scarce, waiting, of, now)
		}
	}
	o.admission.Store(table)
}

// serviceLoad returns the load of a service for the admission of jobs.
func (o *Owner) serviceLoad(p *servicePlanner, service string, scarce shortage.Resource, waiting []pendingGroup, places []int, now time.Duration) *shortage.Load {
	shares, groups := o.shares(p, scarce), make([]shortage.Group, 0, len(places))
	left := 0.0
	for _, r := range p.runs {
		left += scarce.Of(r.Demand) * r.EndsIn.Seconds()
	}
	for _, i := range places {
		groups = append(groups, shortage.Group{Workspace: waiting[i].group.job.Workspace, Demand: scarce.Of(pendingDemand(&waiting[i]))})
	}
	l := &shortage.Load{
		Scarce: scarce, Capacity: scarce.Of(p.capacity), Free: p.capacity.Sub(p.used),
		Beyond: shortage.Beyond(groups, scarce.Of(p.capacity), shares), Guaranteed: map[string]int64{},
	}
	if cat := o.opts.Catalog(); cat != nil {
		for _, ws := range cat.Workspaces {
			if ws.Guaranteed.Accelerators > 0 {
				l.Guaranteed[ws.Name] = ws.Guaranteed.Accelerators
			}
		}
	}
	work, within := map[int]float64{}, map[int]float64{} // of groups that are of value, by priority
	for _, i := range places {
		if c := &waiting[i]; c.lateness < 2 {
			w := scarce.Of(pendingDemand(c)) * c.expectedRunTime.Seconds()
			work[c.priority] += w
			if !l.Beyond[c.group.job.Workspace] {
				within[c.priority] += w
			}
		}
	}
	arriving := 0.0
	for _, priority := range slices.Sorted(maps.Keys(work)) {
		l.Priorities = append(l.Priorities, shortage.PriorityLoad{
			Priority: priority, Ahead: left + within[priority], AheadBeyond: left + work[priority], Arriving: arriving,
		})
		left += work[priority]
		arriving += o.arrivingWork(service, priority).PerSecond(now, scarce)
	}
	return l
}

// pendingDemand returns the demand of the pending tasks of a group.
func pendingDemand(c *pendingGroup) workload.Resources {
	n, d := int64(len(c.pending)), c.group.spec().Demand()
	return workload.Resources{MilliCPU: n * d.MilliCPU, MemoryMiB: n * d.MemoryMiB, Accelerators: n * d.Accelerators}
}

// reorder orders the groups of a service at some places, those of each priority by themselves.
func (o *Owner) reorder(p *servicePlanner, scarce shortage.Resource, waiting []pendingGroup, places []int) {
	shares := o.shares(p, scarce)
	for first := 0; first < len(places); {
		after := first
		for after < len(places) && samePriority(&waiting[places[first]], &waiting[places[after]]) {
			after++
		}
		o.reorderPriority(waiting, places[first:after], shares, scarce, scarce.Of(p.capacity))
		first = after
	}
}

func samePriority(a, b *pendingGroup) bool {
	return a.priority == b.priority && a.reclaims == b.reclaims
}

func (o *Owner) reorderPriority(waiting []pendingGroup, places []int, shares map[string]*shortage.Share, scarce shortage.Resource, capacity float64) {
	groups := make([]shortage.Group, len(places))
	before := make([]pendingGroup, len(places))
	for n, i := range places {
		c := &waiting[i]
		k, j := o.kindOf(c.group.job.Job), c.group.job
		before[n] = *c
		groups[n] = shortage.Group{
			Workspace: j.Workspace, Lateness: c.lateness, Slack: c.slack,
			Demand: scarce.Of(pendingDemand(c)), Starved: k.Starved() && k.Large(o.work(j.Job)),
		}
	}
	for n, from := range shortage.Order(groups, capacity, shares) {
		waiting[places[n]] = before[from]
	}
}

// shares returns what the workspaces use of a service, in the scarcest resource. Beyond the
// guarantees, workspaces share in proportion to their guarantee; one without a guarantee counts
// as one with a quarter of an equal part of the service.
func (o *Owner) shares(p *servicePlanner, scarce shortage.Resource) map[string]*shortage.Share {
	shares, cat := map[string]*shortage.Share{}, o.opts.Catalog()
	for _, w := range p.workers {
		for r := range w.runs {
			name := r.group.job.Workspace
			if shares[name] == nil {
				shares[name] = &shortage.Share{}
			}
			shares[name].Used += scarce.Of(r.demand)
		}
	}
	workspaces := 1
	if cat != nil {
		workspaces = max(1, len(cat.Workspaces))
		for _, ws := range cat.Workspaces {
			if shares[ws.Name] == nil {
				shares[ws.Name] = &shortage.Share{}
			}
			shares[ws.Name].Guaranteed = scarce.Of(ws.Guaranteed)
		}
	}
	least := max(1, scarce.Of(p.capacity)/float64(workspaces)/4)
	for _, s := range shares {
		s.Weight = max(s.Guaranteed, least)
	}
	return shares
}
