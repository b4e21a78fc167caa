package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Headroom answers the load of urgent jobs that arrive at random on a fleet which work of
// lower priority would fill: free capacity starts an urgent job at once, whereas a
// preemption first waits for the stops and throws work away. Lower priorities get that
// capacity when their own target is at risk.
const (
	// headroomHorizon is the time of arrivals that the headroom has to hold. Runs that end
	// meanwhile restore it, since lower priorities get nothing before.
	headroomHorizon = time.Second
	// headroomDeviations is how many standard deviations of the urgent demand within the
	// horizon are kept beside its mean.
	headroomDeviations = 2.0
	// maxHeadroomShare bounds the headroom, as a share of the capacity of the service.
	maxHeadroomShare = 0.3
	// urgentDemandWindow is the time over which arrivals are averaged; bursts last 3 to 6 s.
	urgentDemandWindow = 15 * time.Second
	// initialHeadroomShare is the headroom while no arrivals are known, as a share of the
	// capacity of the service; it fades as arrivals become known.
	initialHeadroomShare = 0.25
	// idleShare is the share of a service in use below which a job without any run gets
	// free capacity before any preference after maxIdleWait: the platform requires that
	// it starts within 3 s then.
	idleShare   = 0.5
	maxIdleWait = 2 * time.Second
)

// urgentDemand is the recent demand of the urgent jobs of a service, as exponentially
// decaying sums over their arrivals.
type urgentDemand struct {
	since        time.Duration // of the oldest arrival
	at           time.Duration // time to which the sums have decayed
	cpu, memory  demandSums
	accelerators demandSums
}

// demandSums are the sums of the demands of one resource and of their squares.
type demandSums struct{ first, second float64 }

// record adds an arrival, which may be older than those recorded before.
func (u *urgentDemand) record(at time.Duration, demand workload.Resources) {
	u.since = min(u.since, at)
	u.decayTo(at)
	weight := urgentDemandWeight(u.at - at)
	u.cpu.add(float64(demand.MilliCPU), weight)
	u.memory.add(float64(demand.MemoryMiB), weight)
	u.accelerators.add(float64(demand.Accelerators), weight)
}

// urgentDemandWeight returns the weight of an arrival of an age.
func urgentDemandWeight(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / urgentDemandWindow.Seconds())
}

func (s *demandSums) add(demand, weight float64) {
	s.first += weight * demand
	s.second += weight * demand * demand
}

func (u *urgentDemand) decayTo(now time.Duration) {
	if now <= u.at {
		return
	}
	weight := urgentDemandWeight(now - u.at)
	for _, s := range []*demandSums{&u.cpu, &u.memory, &u.accelerators} {
		s.first, s.second = weight*s.first, weight*s.second
	}
	u.at = now
}

// headroom returns the capacity to keep for urgent work on a service of a capacity: a high
// quantile of the demand that arrives within the horizon, for independent arrivals.
func (u *urgentDemand) headroom(now time.Duration, capacity workload.Resources) workload.Resources {
	u.decayTo(now)
	horizon := headroomHorizon.Seconds() / urgentDemandWindow.Seconds()
	ignorance := urgentDemandWeight(now - u.since)
	of := func(s *demandSums, capacity int64) int64 {
		unknown := initialHeadroomShare * float64(capacity) / headroomDeviations
		variance := horizon*s.second + ignorance*unknown*unknown
		wanted := horizon*s.first + headroomDeviations*math.Sqrt(variance)
		return int64(min(wanted, maxHeadroomShare*float64(capacity)))
	}
	return workload.Resources{
		MilliCPU: of(&u.cpu, capacity.MilliCPU), MemoryMiB: of(&u.memory, capacity.MemoryMiB),
		Accelerators: of(&u.accelerators, capacity.Accelerators),
	}
}

// recordUrgentArrival records the demand of an urgent job, or of one occurrence of it, at
// the time from which it may run; the lock is held.
func (o *Owner) recordUrgentArrival(j *workload.Job, at time.Duration) {
	if j.Class.Priority == 0 {
		o.urgentDemandOf(o.serviceOf(j)).record(at, largestStepDemand(j))
	}
}

// urgentDemandOf returns the urgent demand of a service; the lock is held.
func (o *Owner) urgentDemandOf(service string) *urgentDemand {
	u := o.urgentDemand[service]
	if u == nil {
		u = &urgentDemand{since: o.tookOverAt, at: o.tookOverAt}
		o.urgentDemand[service] = u
	}
	return u
}

// largestStepDemand returns the most that a step of a job uses at once, by resource.
func largestStepDemand(j *workload.Job) workload.Resources {
	var most workload.Resources
	for i := range j.Steps {
		n, d := int64(j.Steps[i].Tasks), j.Steps[i].Demand()
		most.MilliCPU = max(most.MilliCPU, n*d.MilliCPU)
		most.MemoryMiB = max(most.MemoryMiB, n*d.MemoryMiB)
		most.Accelerators = max(most.Accelerators, n*d.Accelerators)
	}
	return most
}

// keepHeadroom makes the planner of a service keep headroom if the service has urgent
// work; the lock is held.
func (o *Owner) keepHeadroom(p *servicePlanner, service string, now time.Duration) {
	if o.ruleEnabled(RuleHeadroom) && o.hasUrgentQueue(service) {
		p.KeepHeadroom(o.urgentDemandOf(service).headroom(now, p.capacity))
	}
}

// hasUrgentQueue reports whether a queue of priority 0 sends its jobs to a service.
func (o *Owner) hasUrgentQueue(service string) bool {
	cat := o.opts.Catalog()
	return cat != nil && slices.ContainsFunc(cat.Queues, func(q catalog.Queue) bool {
		return q.Class.Service == service && q.Class.Priority == 0
	})
}

// mayUseHeadroom reports whether a group may use the capacity kept for urgent work: an
// urgent group, one whose target is at risk, and tasks that last, which serve users of
// their own.
func (p *servicePlanner) mayUseHeadroom(c pendingGroup) bool {
	return c.priority == 0 || c.slack < 0 || c.group.spec().LongRunning
}

// freeCapacityFirst reports whether free capacity goes before any preference for a group:
// it may use the headroom, reserved capacity, ejected workers and several racks. These are
// groups of jobs that have been standing without a run on a worker that answers, while the
// service has little to do, and tasks of long-running steps whatever else their job and the
// service do. The lock is held.
func (o *Owner) freeCapacityFirst(p *servicePlanner, c pendingGroup, now time.Duration) bool {
	if c.group.spec().LongRunning {
		since, ok := o.longRunningStandingSince(c.group, now)
		return ok && now-since >= maxIdleWait
	}
	return p.usedShare() < idleShare && now-max(o.standingSince(c.group, now), c.group.job.lastSeenRunning(now)) >= maxIdleWait
}

// lastSeenRunning returns when a worker that answers last had a run of the job; now if one
// has.
func (j *job) lastSeenRunning(now time.Duration) time.Duration {
	last := j.lastRanAt
	for g := range j.groups() {
		for _, r := range g.runs {
			if r.isRunning() {
				return now
			}
			if r.phase == phaseRunning {
				last = max(last, r.worker.lastAnswerAt)
			}
		}
	}
	return last
}

// usedShare returns the share of the service that is in use. Runs on workers that do not
// answer may have been lost with them, so the share is at most that of the other workers.
func (p *servicePlanner) usedShare() float64 {
	return min(p.listed.share(), p.answering.share())
}

// serviceUse is the capacity of workers of a service and what their runs use of it.
type serviceUse struct{ capacity, used workload.Resources }

func (u *serviceUse) add(w *worker, used workload.Resources) {
	u.capacity, u.used = u.capacity.Add(w.Capacity), u.used.Add(used)
}

// share returns the share that is in use, in the scarcest resource.
func (u *serviceUse) share() float64 {
	share := func(used, capacity int64) float64 { return float64(used) / float64(max(1, capacity)) }
	return max(share(u.used.MilliCPU, u.capacity.MilliCPU), share(u.used.Accelerators, u.capacity.Accelerators))
}
