package placement

import (
	"cmp"
	"time"
)

// slowBelow is the speed below which a worker is slow.
const slowBelow = 0.75

// speed returns the speed of a worker, 1 if it is unknown.
func (w *Worker) speed() float64 {
	if w.Speed <= 0 {
		return 1
	}
	return w.Speed
}

// durationOn returns the expected run time of a task on a worker.
func (r *Request) durationOn(w *Worker) time.Duration {
	if w.Speed <= 0 || w.Speed == 1 {
		return r.ExpectedDuration
	}
	return time.Duration(float64(r.ExpectedDuration) / w.Speed)
}

// SpeedPreference is the order in which a request takes workers of different speeds, after the
// rack of its data and the penalty.
type SpeedPreference uint8

// Orders of workers.
const (
	// AnySpeed takes workers regardless of their speed; a gang takes slow ones last.
	AnySpeed SpeedPreference = iota
	// FastFirst takes fast workers first and slow ones last.
	FastFirst
)

// Ranks of workers by speed, the lowest first.
const (
	rankFast = iota
	rankNormal
	rankUnknown
	rankDoubtful
	rankSlow
)

// speedRank orders workers for a request. Of the slow ones the fastest comes first for work that
// takes fast workers.
func (p *Planner) speedRank(r Request, w *Worker) float64 {
	s := w.speed()
	switch {
	case r.Speed == AnySpeed && r.Gang && s < slowBelow:
		return rankSlow // a gang is as fast as its slowest member
	case r.Speed == AnySpeed:
		return rankNormal
	case s < slowBelow:
		return rankSlow + 1 - s
	case w.Speed <= 0:
		return rankUnknown
	case s < 1:
		return rankDoubtful
	case s == 1:
		return rankNormal
	}
	return rankFast
}

// unevenness is what a Planner knows of the speeds of its workers.
type unevenness struct {
	uneven bool // some worker is known not to be of normal speed
}

func (u *unevenness) note(w *Worker) { u.uneven = u.uneven || w.speed() != 1 }

// compareSlow orders slow workers after others.
func compareSlow(a, b *Worker) int {
	slow := func(w *Worker) int {
		if w.speed() < slowBelow {
			return 1
		}
		return 0
	}
	return cmp.Compare(slow(a), slow(b))
}
