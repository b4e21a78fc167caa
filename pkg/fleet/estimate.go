package fleet

import (
	"math"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Learning of run times.
const (
	// learnWeight is the weight of a new run in the moving average.
	learnWeight = 0.1
	// learnedRuns is how many runs make the average as good as a declared value.
	learnedRuns = 5
	minExpected = 50 * time.Millisecond
)

// rate is what was learned of a queue's run times.
type rate struct {
	runs    int
	logMean float64 // moving average of the logarithm of seconds
	seconds float64 // geometric mean
}

// learn adds a successful run of a task; the lock is held.
func (o *Owner) learn(g *group, took time.Duration) {
	if g.spec().LongRunning || took <= 0 {
		return
	}
	if g.spread {
		took = time.Duration(float64(took) / o.opts.RemoteSlowdown)
	}
	q := o.runTimeRates[g.job.Queue]
	if q == nil {
		q = &rate{}
		o.runTimeRates[g.job.Queue] = q
	}
	q.runs++
	weight := max(learnWeight, 1/float64(q.runs))
	q.logMean += weight * (math.Log(took.Seconds()) - q.logMean)
	q.seconds = math.Exp(q.logMean)
}

// expected estimates the run time of a task of a group: the geometric mean of
// the declared value and what its queue's runs took.
func (o *Owner) expected(g *group) time.Duration {
	return o.expectedOf(g.job.Job, g.spec())
}

func (o *Owner) expectedOf(j *workload.Job, s *workload.Step) time.Duration {
	declared := max(s.Estimate, minExpected)
	q := o.runTimeRates[j.Queue]
	if q == nil || q.runs < learnedRuns {
		return declared
	}
	return time.Duration(math.Sqrt(declared.Seconds()*q.seconds) * float64(time.Second))
}

// chainOf is the longest chain of work of one occurrence.
func (o *Owner) chainOf(j *workload.Job) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += o.expectedOf(j, &j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// chainFrom is the longest chain of work from a group on.
func (o *Owner) chainFrom(g *group) time.Duration {
	steps := g.job.Steps
	from := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= g.step; i-- {
		from[i] += o.expectedOf(g.job.Job, &steps[i])
		for _, earlier := range steps[i].After {
			from[earlier] = max(from[earlier], from[i])
		}
	}
	return from[g.step]
}

// Progress below these is too little to extrapolate from.
const (
	extrapolatePercent = 5
	extrapolateAfter   = 300 * time.Millisecond
)

// remaining estimates how long a run still takes.
func (o *Owner) remaining(r *run, now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.phase != running {
		return o.expected(r.group)
	}
	if seen := r.progressAt - r.startedAt; r.percent >= extrapolatePercent && seen >= extrapolateAfter {
		total := time.Duration(float64(seen) * 100 / float64(r.percent))
		return max(0, total-elapsed)
	}
	return max(0, o.expected(r.group)-elapsed)
}
