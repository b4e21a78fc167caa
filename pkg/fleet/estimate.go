package fleet

import (
	"math"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Parameters of the learned run times.
const (
	// newRunWeight is the weight of a new run in the moving average.
	newRunWeight = 0.1
	// minLearnedRuns is the number of runs from which on the average counts as much as
	// a declared value.
	minLearnedRuns     = 5
	minExpectedRunTime = 50 * time.Millisecond
)

// learnedRunTime is the moving average of the run times of a queue's tasks.
type learnedRunTime struct {
	runs           int
	meanLogSeconds float64 // moving average of the logarithm of the run time in seconds
	geoMeanSeconds float64 // geometric mean of the run time
}

// recordRunTime adds a successful run of a task to the average of its queue; the lock is
// held.
func (o *Owner) recordRunTime(g *taskGroup, took time.Duration) {
	if g.spec().LongRunning || took <= 0 {
		return
	}
	if g.multiRack {
		took = time.Duration(float64(took) / o.opts.RemoteSlowdown)
	}
	q := o.learnedRunTimes[g.job.Queue]
	if q == nil {
		q = &learnedRunTime{}
		o.learnedRunTimes[g.job.Queue] = q
	}
	q.runs++
	weight := max(newRunWeight, 1/float64(q.runs))
	q.meanLogSeconds += weight * (math.Log(took.Seconds()) - q.meanLogSeconds)
	q.geoMeanSeconds = math.Exp(q.meanLogSeconds)
}

// expectedRunTime estimates the run time of a task of a group: the geometric mean of the
// declared value and the learned run time of its queue.
func (o *Owner) expectedRunTime(g *taskGroup) time.Duration {
	return o.expectedStepRunTime(g.job.Job, g.spec())
}

// expectedStepRunTime does the same for a step of a job.
func (o *Owner) expectedStepRunTime(j *workload.Job, s *workload.Step) time.Duration {
	declared := max(s.Estimate, minExpectedRunTime)
	q := o.learnedRunTimes[j.Queue]
	if q == nil || q.runs < minLearnedRuns || !o.ruleEnabled(RuleLearnedRunTimes) {
		return declared
	}
	return time.Duration(math.Sqrt(declared.Seconds()*q.geoMeanSeconds) * float64(time.Second))
}

// criticalPath returns the expected run time of the longest chain of dependent steps in
// one occurrence.
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

// criticalPathFrom returns the expected run time of the longest chain of dependent steps
// that begins with a group's step.
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

// Below either value, progress is too small to extrapolate the run time from.
const (
	minExtrapolationPercent = 5
	minExtrapolationTime    = 300 * time.Millisecond
)

// completePercent is the progress of a run whose work is done.
const completePercent = 100

// remainingRunTime estimates the time until a run ends.
func (o *Owner) remainingRunTime(r *run, now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.phase != phaseRunning {
		return o.expectedRunTimeOn(r)
	}
	if seen := r.progressAt - r.startedAt; r.progressPercent >= minExtrapolationPercent && seen >= minExtrapolationTime {
		total := time.Duration(float64(seen) * completePercent / float64(r.progressPercent))
		return max(0, total-elapsed)
	}
	return max(0, o.expectedRunTimeOn(r)-elapsed)
}
