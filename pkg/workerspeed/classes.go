package workerspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Speeds that matter to placement, relative to the median of the service.
const (
	// SlowBelow is the speed below which a worker is slow, and FastAbove that above which it
	// is fast.
	SlowBelow = 0.75
	FastAbove = 1.35
	// DoubtfulBelow is the speed below which a worker that is not known to be slow is used after
	// those of normal speed.
	DoubtfulBelow = 0.8
	doubtfulSpeed = 0.85
)

// Parameters of the classes.
const (
	// minClassInfo is the information from which a worker gets a class other than normal; a
	// run in a group has about that much, one that is compared with its queue a third of it.
	minClassInfo = 8.0
	// minNormalInfo is the information from which a worker is known to be of normal speed.
	minNormalInfo = 4.0
	// confidence is how many standard deviations the estimate must be beyond a limit for a
	// worker to enter a class, and confidenceUneven the same once workers of other speeds are
	// known.
	confidence       = 1.0
	confidenceUneven = 0.6
	// hysteresis is the difference, in logarithms, by which an estimate must be back within
	// the limit for the worker to leave its class.
	hysteresis = 0.08
	// unevenShare is the share of the estimated workers that must be slow or fast for the
	// speeds to matter. It is above the share that noise classes so.
	unevenShare = 0.02
	// minEstimated is the number of workers with samples from which a median is meaningful.
	minEstimated = 4
	// A kind has a speed of its own if minKindWorkers of it have been estimated and
	// kindAgreement of them are on the same side of the limits.
	minKindWorkers = 4
	kindAgreement  = 0.8
)

// classes are the speeds that are told apart, with the upper limit of each. Few classes keep
// the order of workers of about the same speed as it is without estimates.
var classes = []struct{ speed, below float64 }{
	{0.3, 0.36}, {0.45, 0.55}, {0.65, SlowBelow}, {1, FastAbove}, {1.6, math.Inf(1)},
}

// normalClass is the index of the class of speed 1.
const normalClass = 3

// classOf returns the class of an estimate.
func classOf(logSpeed float64) int {
	speed := math.Exp(logSpeed)
	for i, c := range classes {
		if speed < c.below {
			return i
		}
	}
	return len(classes) - 1
}

// kind is what workers of a kind have in common.
type kind struct {
	logSpeeds []float64 // relative to the service, of the workers with samples
	logSpeed  float64
	known     bool // the kind has a speed of its own
}

// Change is a worker whose class has changed.
type Change struct {
	Worker   string
	Before   float64 // class, 1 if normal
	Now      float64
	Estimate float64 // relative speed
}

// Update computes the classes of all workers and returns the changes, by worker.
func (e *Estimator) Update(now time.Duration) []Change {
	for id, w := range e.workers {
		if w.decayTo(now); w.info < forgetInfo && w.class == normalClass {
			delete(e.workers, id)
		}
	}
	for _, s := range e.services {
		e.updateCenter(s)
	}
	e.updateKinds()
	var changes []Change
	extreme, estimated := map[*service]int{}, map[*service]int{}
	for id, w := range e.workers {
		info, mean := w.posterior()
		w.logSpeed = mean
		before := w.class
		w.class = w.nextClass(info)
		if before != w.class {
			changes = append(changes, Change{Worker: id, Before: classes[before].speed, Now: classes[w.class].speed, Estimate: math.Exp(mean)})
		}
		estimated[w.service]++
		if w.class != normalClass {
			extreme[w.service]++
		}
	}
	for _, s := range e.services {
		s.updateUneven(extreme[s], estimated[s])
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes
}

// updateCenter computes the median of the estimates of a service.
func (e *Estimator) updateCenter(s *service) {
	e.scratch = e.scratch[:0]
	for _, w := range e.workers {
		if w.service == s && w.info >= minClassInfo {
			e.scratch = append(e.scratch, w.sum/w.info)
		}
	}
	if s.center = 0; len(e.scratch) >= minEstimated {
		s.center = medianOf(e.scratch)
	}
}

// updateKinds computes which kinds have a speed of their own.
func (e *Estimator) updateKinds() {
	for _, s := range e.services {
		for _, k := range s.kinds {
			k.logSpeeds, k.known = k.logSpeeds[:0], false
		}
	}
	for _, w := range e.workers {
		if w.kind == "" || w.info < minClassInfo {
			continue
		}
		k := w.service.kinds[w.kind]
		if k == nil {
			k = &kind{}
			w.service.kinds[w.kind] = k
		}
		k.logSpeeds = append(k.logSpeeds, w.sum/w.info-w.service.center)
	}
	for _, s := range e.services {
		for _, k := range s.kinds {
			k.update()
		}
	}
}

func (k *kind) update() {
	slow, fast := 0, 0
	for _, x := range k.logSpeeds {
		switch {
		case x < math.Log(SlowBelow):
			slow++
		case x > math.Log(FastAbove):
			fast++
		}
	}
	n := len(k.logSpeeds)
	k.known = n >= minKindWorkers && float64(max(slow, fast)) >= kindAgreement*float64(n)
	k.logSpeed = medianOf(k.logSpeeds)
}

// posterior returns the logarithm of the speed of a worker and its information.
func (w *worker) posterior() (info, mean float64) {
	prior, priorMean := w.service.priorInfo(), 0.0
	if k := w.service.kinds[w.kind]; k != nil && k.known {
		prior, priorMean = kindInfo, k.logSpeed
	}
	info = w.info + prior
	return info, (w.sum - w.info*w.service.center + prior*priorMean) / info
}

func (s *service) priorInfo() float64 {
	if s.uneven {
		return priorInfoUneven
	}
	return priorInfo
}

// nextClass returns the class of a worker: the one of its estimate, if that is certain
// enough, or the one before while the estimate is close to its limit.
func (w *worker) nextClass(info float64) int {
	deviation := confidence / math.Sqrt(info)
	if w.service.uneven {
		deviation = confidenceUneven / math.Sqrt(info)
	}
	wanted := classOf(w.logSpeed)
	if wanted == w.class {
		return w.class
	}
	if wanted > w.class {
		if stays := classOf(w.logSpeed-hysteresis) <= w.class; stays {
			return w.class
		}
	} else if stays := classOf(w.logSpeed+hysteresis) >= w.class; stays {
		return w.class
	}
	certain := info >= minClassInfo+w.service.priorInfo()
	switch {
	case wanted < normalClass && w.class >= normalClass && (!certain || classOf(w.logSpeed+deviation) >= normalClass):
		return normalClass
	case wanted > normalClass && w.class <= normalClass && (!certain || classOf(w.logSpeed-deviation) <= normalClass):
		return normalClass
	}
	return wanted
}

// updateUneven decides whether the speeds of a service matter. They continue to until less
// than half of the share is left, so that the decision does not alternate.
func (s *service) updateUneven(extreme, estimated int) {
	limit := unevenShare * float64(estimated)
	if s.uneven {
		limit /= 2
	}
	s.uneven = estimated >= minEstimated && extreme > 0 && float64(extreme) >= limit
}

// Speed returns the class of speed of a worker, 1 for a normal one and slightly less for one that
// may be slow; 0 if it has no estimate or the speeds of the service do not differ materially.
func (e *Estimator) Speed(service, id string, incarnation int64, kindName string) float64 {
	s := e.services[service]
	if s == nil || !s.uneven {
		return 0
	}
	if w := e.workers[id]; w != nil && w.incarnation == incarnation && w.service == s {
		switch {
		case w.class != normalClass:
			return classes[w.class].speed
		case w.logSpeed < math.Log(DoubtfulBelow):
			return doubtfulSpeed
		case w.info >= minNormalInfo:
			return 1
		}
	}
	if k := s.kinds[kindName]; k != nil && k.known {
		return classes[classOf(k.logSpeed)].speed
	}
	return 0
}

// Uneven reports whether the speeds of the workers of a service differ materially.
func (e *Estimator) Uneven(service string) bool {
	s := e.services[service]
	return s != nil && s.uneven
}
