package fleet

import (
	"math"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Learning of run times.
const (
	// learnWeight is the weight of a new run in the moving average.
	newRunWeight = 0.1
	// learnedRuns is how many runs make the average as good as a declared value.
	minLearnedRuns     = 5
	minExpectedRunTime = 50 * time.Millisecond
)

// rate is what was learned of a queue's run times.
type learnedRunTime struct {
	runs           int
	meanLogSeconds float64 // moving average of the logarithm of seconds
	geoMeanSeconds float64 // geometric mean
}

// learn adds a successful run of a task; the lock is held.
func (o *Owner) recordRunTime(g *taskGroup, took time.Duration) {
	if g.spec().LongRunning || took <= 0 {
		return
	}
	if g.multiRack {
		took = time.Duration(float64(took) / o.opts.RemoteSlowdown)
	}
	q := o.rates[g.job.Queue]
	if q == nil {
		q = &learnedRunTime{}
		o.rates[g.job.Queue] = q
	}
	q.runs++
	weight := max(newRunWeight, 1/float64(q.runs))
	q.meanLogSeconds += weight * (math.Log(took.Seconds()) - q.meanLogSeconds)
	q.geoMeanSeconds = math.Exp(q.meanLogSeconds)
}

// expected estimates the run time of a task of a group: the geometric mean of
// the declared value and what its queue's runs took.
func (o *Owner) expectedRunTime(g *taskGroup) time.Duration {
	return o.expectedStepRunTime(g.job.Job, g.spec())
}

func (o *Owner) expectedStepRunTime(j *workload.Job, s *workload.Step) time.Duration {
	declared := max(s.Estimate, minExpectedRunTime)
	q := o.rates[j.Queue]
	if q == nil || q.runs < minLearnedRuns {
		return declared
	}
	return time.Duration(math.Sqrt(declared.Seconds()*q.geoMeanSeconds) * float64(time.Second))
}

// chainOf is the longest chain of work of one occurrence.
func (o *Owner) criticalPath(j *workload.Job) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += o.expectedStepRunTime(j, &j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// chainFrom is the longest chain of work from a group on.
func (o *Owner) criticalPathFrom(g *taskGroup) time.Duration {
	steps := g.job.Steps
	from := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= g.step; i-- {
		from[i] += o.expectedStepRunTime(g.job.Job, &steps[i])
		for _, earlier := range steps[i].After {
			from[earlier] = max(from[earlier], from[i])
		}
	}
	return from[g.step]
}

// Progress below these is too little to extrapolate from.
const (
	minExtrapolationPercent = 5
	minExtrapolationTime    = 300 * time.Millisecond
)

// remaining estimates how long a run still takes.
func (o *Owner) remainingRunTime(r *run, now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.phase != phaseRunning {
		return o.expectedRunTime(r.group)
	}
	if seen := r.progressAt - r.startedAt; r.progressPercent >= minExtrapolationPercent && seen >= minExtrapolationTime {
		total := time.Duration(float64(seen) * 100 / float64(r.progressPercent))
		return max(0, total-elapsed)
	}
	return max(0, o.expectedRunTime(r.group)-elapsed)
}
