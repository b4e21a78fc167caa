package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run times are learned per class, workspace and size, because declared values
// are off by up to ten times.
const (
	learnMin        = 20   // runs before a histogram is trusted
	learnHalveAt    = 2048 // runs after which old ones count half
	learnRefresh    = 16   // runs between two computations of the quantiles
	learnMaxKeys    = 512  // bounds the memory; further keys share their class's histogram
	learnMaxRun     = 30 * 24 * time.Hour
	learnUnit       = time.Millisecond
	declaredTrust   = 10 // an undeclared or unlearned job may run this much longer than declared
	unknownRun      = time.Hour
	learnedFigures  = 1 // significant decimal digits
	learnSizeLevels = 10
)

type learnKey struct {
	class, workspace string
	size             int // level of the number of accelerators
}

// learned is what is known of the run times of one key.
type learned struct {
	h             *hdrhistogram.Histogram
	runs          int64
	q50, q90, q99 time.Duration
}

func (l *learned) record(run time.Duration) {
	if l.h == nil {
		l.h = hdrhistogram.New(1, int64(learnMaxRun/learnUnit), learnedFigures)
	}
	_ = l.h.RecordValue(min(max(int64(run/learnUnit), 1), int64(learnMaxRun/learnUnit)))
	if l.runs++; l.runs%learnRefresh == 0 || l.runs <= 2*learnMin {
		l.refresh()
	}
	if l.h.TotalCount() >= learnHalveAt {
		s := l.h.Export()
		for i := range s.Counts {
			s.Counts[i] /= 2
		}
		l.h = hdrhistogram.Import(s)
	}
}

func (l *learned) refresh() {
	q := func(p float64) time.Duration { return time.Duration(l.h.ValueAtQuantile(p)) * learnUnit }
	l.q50, l.q90, l.q99 = q(50), q(90), q(99)
}

// learner holds the learned run times of a domain.
type learner struct {
	byKey   map[learnKey]*learned
	byClass map[string]*learned
}

func newLearner() learner {
	return learner{map[learnKey]*learned{}, map[string]*learned{}}
}

func keyOf(j *job) learnKey {
	return learnKey{j.Class, j.Workspace, min(levelFor(j.Accelerators), learnSizeLevels)}
}

func (l *learner) record(j *job, run time.Duration) {
	k := keyOf(j)
	own := l.byKey[k]
	if own == nil && len(l.byKey) < learnMaxKeys {
		own = &learned{}
		l.byKey[k] = own
	}
	if own != nil {
		own.record(run)
	}
	c := l.byClass[j.Class]
	if c == nil {
		c = &learned{}
		l.byClass[j.Class] = c
	}
	c.record(run)
}

// of returns what is learned of jobs like j, or nil.
func (l *learner) of(j *job) *learned {
	if own := l.byKey[keyOf(j)]; own != nil && own.runs >= learnMin {
		return own
	}
	if c := l.byClass[j.Class]; c != nil && c.runs >= learnMin {
		return c
	}
	return nil
}

// remaining estimates how long the job still runs, at the 90th percentile.
func (d *Domain) remaining(now time.Time, j *job) time.Duration {
	total := unknownRun
	if l := d.learned.of(j); l != nil && d.rules.LearnRunTimes {
		total = l.q90
	} else if j.DeclaredRunTime > 0 {
		total = j.DeclaredRunTime
		if d.rules.LearnRunTimes {
			total *= declaredTrust
		}
	}
	done := j.AttainedService
	if !j.startedAt.IsZero() {
		done += now.Sub(j.startedAt)
	}
	if left := total - done; left > 0 {
		return left
	}
	// A run beyond the estimate is expected to take as long again as it took.
	return max(done, time.Second)
}
