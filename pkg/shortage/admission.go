package shortage

import (
	"math"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Parameters of the admission.
const (
	// refuseAfter is the duration of a shortage from which on jobs are refused: bursts last 3 to
	// 6 s, and a late end is better for callers than a refusal.
	refuseAfter = 5 * time.Second
	// lateFactor is the multiple of its objective that a job may take and still be of value.
	lateFactor = 3
	// waitMargin is the factor by which the predicted wait must exceed what a job can wait. With
	// 1.25, in an overload of 1.4 times the capacity, every second job that was refused would
	// have been of value.
	waitMargin = 2.5
	// maxRetryAfter bounds the Retry-After; no prediction reaches further.
	maxRetryAfter = time.Minute
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = 15 * time.Second
	// MaxTableAge is the age from which on a Table is not used.
	MaxTableAge = time.Second
)

// Table is what the owner tells the other VMs of the services with a lasting shortage.
type Table struct {
	Services map[string]*Load `cbor:"1,keyasint,omitempty"`
	AgeMS    int64            `cbor:"2,keyasint,omitempty"` // when it was sent
}

// Load is the load of a service with a lasting shortage.
type Load struct {
	Scarce     Resource           `cbor:"6,keyasint"`
	Capacity   float64            `cbor:"1,keyasint"` // of the scarcest resource, as all work
	Free       workload.Resources `cbor:"2,keyasint"`
	Priorities []PriorityLoad     `cbor:"3,keyasint"`
	// Beyond are the workspaces that use and want more than their fair part.
	Beyond map[string]bool `cbor:"4,keyasint,omitempty"`
	// Guaranteed are the accelerators that workspaces are guaranteed.
	Guaranteed map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// PriorityLoad is what goes before a new job of a priority.
type PriorityLoad struct {
	Priority int `cbor:"1,keyasint"`
	// Ahead is the work that is left of runs, and that waits and is of value, for
	// a workspace within its fair part; AheadBeyond the same for others.
	Ahead       float64 `cbor:"2,keyasint"`
	AheadBeyond float64 `cbor:"3,keyasint"`
	// Arriving is the work a second that arrives with a higher priority.
	Arriving float64 `cbor:"4,keyasint"`
}

// Applicant is a job that asks for admission.
type Applicant struct {
	Workspace    string
	Priority     int
	FirstDemand  workload.Resources // without which none of its tasks can start
	Accelerators int64              // the most that it uses at once
	Work         Work
	CriticalPath time.Duration
	Objective    time.Duration // time within which it should complete
}

// NewApplicant describes a job; false means that it has to be admitted, as when it ends is not
// determined by how long it waits.
func NewApplicant(j *workload.Job) (a Applicant, ok bool) {
	if j.HasDueTimes() {
		return Applicant{}, false
	}
	a = Applicant{Workspace: j.Workspace, Priority: j.Class.Priority}
	ends := make([]time.Duration, len(j.Steps))
	first := true
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.LongRunning || s.Estimate <= 0 {
			return Applicant{}, false
		}
		for _, earlier := range s.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += s.Estimate
		a.CriticalPath = max(a.CriticalPath, ends[i])
		a.Work.Add(s.Demand(), s.Estimate.Seconds(), s.Tasks)
		a.Accelerators = max(a.Accelerators, int64(s.Tasks)*s.Request.Accelerators)
		if len(s.After) == 0 {
			d := s.Demand()
			if s.Gang {
				n := int64(s.Tasks)
				d = workload.Resources{MilliCPU: n * d.MilliCPU, MemoryMiB: n * d.MemoryMiB, Accelerators: n * d.Accelerators}
			}
			if first || d.CoreEquivalents() < a.FirstDemand.CoreEquivalents() {
				a.FirstDemand, first = d, false
			}
		}
	}
	a.Objective = time.Duration(j.Class.SlackFactor*float64(a.CriticalPath)) + j.Class.TargetRuntime
	return a, a.Objective > 0
}

// Refuse reports whether a job is refused, and after which time, in whole seconds, it may be
// admitted. It is refused if it cannot complete while it is of value, unless capacity is free for
// it or it is urgent and fits into the guarantee of its workspace. A nil Load refuses nothing.
func (l *Load) Refuse(a Applicant) (retryAfter time.Duration, refused bool) {
	if l == nil || l.Scarce < 0 || l.Scarce >= resources || a.FirstDemand.Fits(l.Free) || (a.Priority == 0 && l.Guaranteed[a.Workspace] > 0 && a.Accelerators <= l.Guaranteed[a.Workspace]) {
		return 0, false
	}
	allowed := lateFactor*a.Objective - a.CriticalPath
	wait := l.Wait(a)
	if wait <= time.Duration(waitMargin*float64(allowed)) {
		return 0, false
	}
	seconds := math.Ceil((wait - allowed).Seconds())
	return min(maxRetryAfter, max(1, time.Duration(seconds))*time.Second), true
}

// Wait predicts how long a job waits until its last task can start: what goes before it and its
// own work take the capacity that is left beside arrivals of higher priority.
func (l *Load) Wait(a Applicant) time.Duration {
	for i := range l.Priorities {
		p := &l.Priorities[i]
		if p.Priority != a.Priority {
			continue
		}
		ahead := p.Ahead
		if l.Beyond[a.Workspace] {
			ahead = p.AheadBeyond
		}
		// At least a twentieth is left: arrivals of higher priority do not last for ever.
		seconds := (ahead + a.Work[l.Scarce]) / max(l.Capacity-p.Arriving, l.Capacity/20, 1)
		return time.Duration(min(seconds, maxRetryAfter.Seconds()*10) * float64(time.Second))
	}
	return 0 // nothing of its priority is known
}

// Rate averages the work that arrives.
type Rate struct {
	sum Work
	at  time.Duration
}

// Add records work that arrives at a time.
func (r *Rate) Add(at time.Duration, work Work) {
	r.decay(at)
	weight := math.Exp(min(0, (at-r.at).Seconds()/rateWindow.Seconds()))
	for i := range work {
		r.sum[i] += weight * work[i]
	}
}

// PerSecond returns the work a second. It is too low until arrivals were recorded for longer than
// they are averaged.
func (r *Rate) PerSecond(now time.Duration, of Resource) float64 {
	r.decay(now)
	return r.sum[of] / rateWindow.Seconds()
}

func (r *Rate) decay(now time.Duration) {
	if now > r.at {
		weight := math.Exp(-(now - r.at).Seconds() / rateWindow.Seconds())
		for i := range r.sum {
			r.sum[i] *= weight
		}
		r.at = now
	}
}
