// Package workerspeed estimates how fast each worker is relative to the other workers of its
// service, from the run times and the progress of runs. It does no I/O and reads no clock.
//
// Estimates are logarithms of speeds. A run takes longer because its job is larger or because
// its worker is slower. Tasks of one group that run on different workers have the same job in
// common, so their comparison tells the two causes apart; a run without such company is
// compared with the usual run times of its queue, and counts for less the more these vary.
package workerspeed

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimate.
const (
	// halfLife is the age at which a sample counts half: long enough to keep some ten runs of
	// ten seconds, short enough to follow a worker that is slow for a minute.
	halfLife = 20 * time.Second
	// priorInfo is the information (inverse variance) of the assumption that a worker is of
	// normal speed: a standard deviation of 0.35. Once workers of other speeds are known, the
	// assumption counts for less, a standard deviation of 0.6.
	priorInfo       = 8.0
	priorInfoUneven = 3.0
	// kindInfo is the information of the speed of a kind whose workers are alike.
	kindInfo = 16.0
	// minSampleVariance bounds the weight of a sample, as the ends of runs are known late by
	// up to some 0.1 s.
	minSampleVariance = 0.03
	// minSample and maxSample bound the logarithm of the speed in one sample, so that a single
	// odd run does not decide.
	minSample, maxSample = -1.6, 1.0
	// maxGroupTimes is the number of run times of a group that are kept for comparison.
	maxGroupTimes = 32
	// forgetInfo is the information below which a worker is forgotten.
	forgetInfo = 0.05
)

// Sample is a run, or a part of it, on a worker.
type Sample struct {
	Service, Queue string
	Worker         string
	Incarnation    int64
	Kind           string        // kind of the worker; empty if unknown
	Group          *Group        // task group of the run; nil if it is compared with its queue only
	Task           int           // index of the task in its group
	RunTime        time.Duration // of the whole run, extrapolated if it has not ended
	Expected       time.Duration // of a task of the group on a worker of normal speed
	Share          float64       // weight of the sample, up to 1 for all samples of a run
}

// Group holds the run times of the tasks of a task group. The zero value is ready to use.
type Group struct{ times []taskTime }

// taskTime is the run time of a task and the worker that ran it.
type taskTime struct {
	task    int
	worker  *worker
	logTime float64 // of the run time in seconds
}

func (g *Group) record(t taskTime) {
	if i := slices.IndexFunc(g.times, func(o taskTime) bool { return o.task == t.task }); i >= 0 {
		g.times[i] = t
		return
	}
	if len(g.times) >= maxGroupTimes {
		g.times = slices.Delete(g.times, 0, 1)
	}
	g.times = append(g.times, t)
}

// Estimator estimates the speeds of workers. It is not safe for concurrent use.
type Estimator struct {
	services map[string]*service
	workers  map[string]*worker
	scratch  []float64
}

// service is a set of workers that are compared with each other.
type service struct {
	queues map[string]*queue
	kinds  map[string]*kind
	center float64 // median of the workers' logarithms of speed
	uneven bool
}

// worker is the estimate of one incarnation of a worker.
type worker struct {
	service     *service
	incarnation int64
	kind        string
	at          time.Duration // time to which the sums have decayed
	info        float64       // sum of the weights of the samples
	sum         float64       // weighted sum of the samples
	logSpeed    float64       // relative to the service
	class       int           // see classes
}

// New returns an Estimator without samples.
func New() *Estimator {
	return &Estimator{services: map[string]*service{}, workers: map[string]*worker{}}
}

// Forget drops the estimate of a worker that has gone, so that the median of its service is that
// of the others.
func (e *Estimator) Forget(id string) { delete(e.workers, id) }

// Observe adds a sample.
func (e *Estimator) Observe(now time.Duration, s Sample) {
	if s.RunTime <= 0 || s.Expected <= 0 || s.Share < 0 || math.IsNaN(s.Share) {
		return
	}
	svc := e.service(s.Service)
	w := e.worker(now, svc, s)
	q := svc.queue(s.Queue)
	logTime := math.Log(s.RunTime.Seconds())
	median, others := e.medianOfOthers(s.Group, s.Task)
	reference, variance := q.reference(math.Log(s.Expected.Seconds()), median, others)
	logSpeed := min(maxSample, max(minSample, reference-logTime))
	weight := min(1, s.Share) / max(minSampleVariance, variance)
	w.decayTo(now)
	w.info += weight
	w.sum += weight * logSpeed
	q.learn(s, logTime+w.logSpeed, median, others)
	if s.Group != nil {
		s.Group.record(taskTime{task: s.Task, worker: w, logTime: logTime})
	}
}

func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{queues: map[string]*queue{}, kinds: map[string]*kind{}}
		e.services[name] = s
	}
	return s
}

// worker returns the worker of a sample. Another incarnation begins without samples.
func (e *Estimator) worker(now time.Duration, svc *service, s Sample) *worker {
	w := e.workers[s.Worker]
	if w == nil || w.incarnation != s.Incarnation || w.service != svc {
		w = &worker{service: svc, incarnation: s.Incarnation, at: now, class: normalClass}
		e.workers[s.Worker] = w
	}
	w.kind = s.Kind
	return w
}

// medianOfOthers returns the median of the run times of the other tasks of a group, as they
// would have been on workers of normal speed, and their number.
func (e *Estimator) medianOfOthers(g *Group, task int) (median float64, n int) {
	if g == nil {
		return 0, 0
	}
	e.scratch = e.scratch[:0]
	for _, t := range g.times {
		if t.task != task {
			e.scratch = append(e.scratch, t.logTime+t.worker.logSpeed)
		}
	}
	return medianOf(e.scratch), len(e.scratch)
}

// medianOf returns the median of values, which it sorts; 0 if there are none.
func medianOf(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// decayTo reduces the weight of the samples by their age.
func (w *worker) decayTo(now time.Duration) {
	if now <= w.at {
		return
	}
	f := math.Exp2(-(now - w.at).Seconds() / halfLife.Seconds())
	w.info, w.sum, w.at = f*w.info, f*w.sum, now
}
