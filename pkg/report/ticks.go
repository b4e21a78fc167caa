package report

import (
	"slices"
	"time"

	"gonum.org/v1/plot"
)

// maxTicks bounds the labels of a time axis.
const maxTicks = 8

// tickSteps are the distances between labels that read well.
var tickSteps = []time.Duration{
	time.Second, 5 * time.Second, 15 * time.Second, 30 * time.Second,
	time.Minute, 5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 4 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour, 7 * 24 * time.Hour,
}

// timeTick is one label of a time axis.
type timeTick struct {
	at    time.Time
	label string
	day   string // set where the date changes
}

// timeTicks returns labels at round times of the range.
func timeTicks(from, to time.Time) []timeTick {
	span := to.Sub(from)
	i := slices.IndexFunc(tickSteps, func(d time.Duration) bool { return span/d < maxTicks })
	if i < 0 {
		i = len(tickSteps) - 1
	}
	step, format := tickSteps[i], "15:04"
	if step < time.Minute {
		format = time.TimeOnly
	}
	var ticks []timeTick
	day := ""
	for at := from.Truncate(step); !at.After(to) && len(ticks) < 10*maxTicks; at = at.Add(step) {
		if at.Before(from) {
			continue
		}
		t := timeTick{at: at, label: at.UTC().Format(format)}
		if d := at.UTC().Format("Jan 2"); d != day {
			day, t.day = d, d
		}
		ticks = append(ticks, t)
	}
	return ticks
}

// plotTicks is timeTicks for gonum/plot, whose axis counts Unix seconds.
func plotTicks(lowest, highest float64) []plot.Tick {
	var out []plot.Tick
	for _, t := range timeTicks(time.Unix(int64(lowest), 0), time.Unix(int64(highest), 0)) {
		out = append(out, plot.Tick{Value: float64(t.at.Unix()), Label: t.label + "\n" + t.day})
	}
	return out
}
