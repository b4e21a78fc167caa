package workerspeed

import "math"

// Parameters of the run times of a queue.
const (
	// initialWithin and initialTotal are the variances of the logarithm of the run time within
	// a group and in all, before samples show them.
	initialWithin = 0.09
	initialTotal  = 0.5
	// initialRuns is the number of runs for which the initial variances count.
	initialRuns = 5
	// newRunWeight is the weight of a new run in the moving averages.
	newRunWeight = 0.02
	// maxResidual bounds what a single run adds to the averages.
	maxResidual = 1.5
	// medianVariance is the variance of a median of samples, in multiples of that of a mean.
	medianVariance = 1.57
	// minVariance keeps the variances positive.
	minVariance = 0.01
)

// queue describes the run times of the tasks of a queue, on workers of normal speed and in
// logarithms.
type queue struct {
	runs   float64
	offset float64 // mean difference of the run time from the expected one
	total  float64 // variance of that difference
	groups float64
	within float64 // variance within a group
}

func (s *service) queue(name string) *queue {
	q := s.queues[name]
	if q == nil {
		q = &queue{total: initialTotal, within: initialWithin}
		s.queues[name] = q
	}
	return q
}

// reference returns the run time that a task would have on a worker of normal speed, and
// the variance of a sample that is compared with it. It combines the usual run time of the
// queue with the median of other tasks of the group, each by its precision.
func (q *queue) reference(logExpected, median float64, others int) (logTime, variance float64) {
	between := max(minVariance, q.total-q.within)
	usual := 1 / between
	grouped := float64(others) / (medianVariance * q.within)
	logTime = (usual*(logExpected+q.offset) + grouped*median) / (usual + grouped)
	return logTime, q.within + 1/(usual+grouped)
}

// learn adds a run whose time is given as it would have been on a worker of normal speed.
func (q *queue) learn(s Sample, normalTime, median float64, others int) {
	if s.Share == 0 {
		return // its weight among no runs is not defined
	}
	bound := func(x float64) float64 { return min(maxResidual, max(-maxResidual, x)) }
	q.runs += s.Share
	residual := normalTime - math.Log(s.Expected.Seconds()) - q.offset
	if q.runs > initialRuns {
		residual = bound(residual)
	}
	q.offset += min(1, s.Share*max(newRunWeight, 1/q.runs)) * residual
	q.total += s.Share * max(newRunWeight, 1/(q.runs+initialRuns)) * (residual*residual - q.total)
	q.total = max(q.total, minVariance)
	if others < 2 {
		return
	}
	q.groups += s.Share
	deviation := bound(normalTime - median)
	variance := deviation * deviation / (1 + medianVariance/float64(others))
	q.within += s.Share * max(newRunWeight, 1/(q.groups+initialRuns)) * (variance - q.within)
	q.within = max(q.within, minVariance)
}
