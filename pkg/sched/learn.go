package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run times are learned per class, workspace and size, because declared run times
// differ from actual ones by up to a factor of ten.
const (
	minLearnedRuns        = 20   // runs recorded before a histogram is used
	histogramHalveCount   = 2048 // number of runs at which all counts are halved
	quantileRefreshRuns   = 16   // runs between updates of the quantiles
	maxRunTimeKeys        = 512  // limits memory; further keys use the histogram of their class
	maxRecordedRunTime    = 30 * 24 * time.Hour
	runTimeUnit           = time.Millisecond
	declaredRunTimeFactor = 10 // applied to declared run times until run times are learned
	defaultRunTime        = time.Hour
	histogramDigits       = 1 // significant decimal digits
	maxSizeLevel          = 10
)

type runTimeKey struct {
	class, workspace string
	size             int // block level of the number of accelerators
}

// runTimeStats holds the run times recorded under one key.
type runTimeStats struct {
	histogram     *hdrhistogram.Histogram
	runs          int64
	q50, q90, q99 time.Duration
}

func (l *runTimeStats) record(run time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, int64(maxRecordedRunTime/runTimeUnit), histogramDigits)
	}
	_ = l.histogram.RecordValue(min(max(int64(run/runTimeUnit), 1), int64(maxRecordedRunTime/runTimeUnit)))
	if l.runs++; l.runs%quantileRefreshRuns == 0 || l.runs <= 2*minLearnedRuns {
		l.refresh()
	}
	if l.histogram.TotalCount() >= histogramHalveCount {
		s := l.histogram.Export()
		for i := range s.Counts {
			s.Counts[i] /= 2
		}
		l.histogram = hdrhistogram.Import(s)
	}
}

func (l *runTimeStats) refresh() {
	q := func(p float64) time.Duration { return time.Duration(l.histogram.ValueAtQuantile(p)) * runTimeUnit }
	l.q50, l.q90, l.q99 = q(50), q(90), q(99)
}

// runTimeLearner holds the recorded run times of a domain.
type runTimeLearner struct {
	byKey   map[runTimeKey]*runTimeStats
	byClass map[string]*runTimeStats
}

func newRunTimeLearner() runTimeLearner {
	return runTimeLearner{map[runTimeKey]*runTimeStats{}, map[string]*runTimeStats{}}
}

func runTimeKeyOf(j *job) runTimeKey {
	return runTimeKey{j.Class, j.Workspace, min(levelFor(j.Accelerators), maxSizeLevel)}
}

func (l *runTimeLearner) record(j *job, run time.Duration) {
	k := runTimeKeyOf(j)
	own := l.byKey[k]
	if own == nil && len(l.byKey) < maxRunTimeKeys {
		own = &runTimeStats{}
		l.byKey[k] = own
	}
	if own != nil {
		own.record(run)
	}
	c := l.byClass[j.Class]
	if c == nil {
		c = &runTimeStats{}
		l.byClass[j.Class] = c
	}
	c.record(run)
}

// statsFor returns the statistics for jobs like j, or nil if too few runs are recorded.
func (l *runTimeLearner) statsFor(j *job) *runTimeStats {
	if own := l.byKey[runTimeKeyOf(j)]; own != nil && own.runs >= minLearnedRuns {
		return own
	}
	if c := l.byClass[j.Class]; c != nil && c.runs >= minLearnedRuns {
		return c
	}
	return nil
}

// remaining estimates the remaining run time of the job, from the 90th percentile of
// the learned run times if there are any.
func (d *Domain) remaining(now time.Time, j *job) time.Duration {
	total := defaultRunTime
	if l := d.runTimes.statsFor(j); l != nil && d.rules.LearnRunTimes {
		total = l.q90
	} else if j.DeclaredRunTime > 0 {
		total = j.DeclaredRunTime
		if d.rules.LearnRunTimes {
			total *= declaredRunTimeFactor
		}
	}
	done := j.AttainedService
	if !j.startedAt.IsZero() {
		done += now.Sub(j.startedAt)
	}
	if left := total - done; left > 0 {
		return left
	}
	// A run that exceeds the estimate is expected to double its run time.
	return max(done, time.Second)
}
