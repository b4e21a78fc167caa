package report

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// bins is the number of intervals into which job measures are divided.
const bins = 48

// Point is one value of a series.
type Point struct {
	At    time.Time
	Value float64
}

// Series is one line of a chart.
type Series struct {
	Name   string
	Points []Point
	Dashed bool
}

// newHistogram counts durations from 1 ms to 30 days with 3 digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (30 * 24 * time.Hour).Milliseconds(), 3)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	limit := h.HighestTrackableValue()
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), limit)) // the value is in range
}

// quantile returns the quantile in seconds; q is in percent.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// observation is a duration at a time.
type observation struct {
	at    time.Time
	value time.Duration
}

// quantiles returns one series per quantile in seconds over time bins; bins
// without an observation have no point.
func quantiles(obs []observation, from, to time.Time, names map[string]float64) []Series {
	hist := make([]*hdrhistogram.Histogram, bins)
	for _, o := range obs {
		if i, ok := binOf(o.at, from, to); ok {
			if hist[i] == nil {
				hist[i] = newHistogram()
			}
			observe(hist[i], o.value)
		}
	}
	var out []Series
	for _, name := range sortedKeys(names) {
		s := Series{Name: name}
		for i, h := range hist {
			if h != nil {
				s.Points = append(s.Points, Point{binTime(i, from, to), quantile(h, names[name])})
			}
		}
		out = append(out, s)
	}
	return out
}

func binOf(at, from, to time.Time) (int, bool) {
	if at.Before(from) || at.After(to) || !to.After(from) {
		return 0, false
	}
	return min(bins-1, int(float64(at.Sub(from))/float64(to.Sub(from))*bins)), true
}

// binTime returns the middle of the bin.
func binTime(i int, from, to time.Time) time.Time {
	return from.Add(time.Duration((float64(i) + 0.5) / bins * float64(to.Sub(from))))
}

func completions(jobs []job) []observation {
	var out []observation
	for _, j := range jobs {
		if d, ok := j.completion(); ok {
			out = append(out, observation{j.ended, d})
		}
	}
	return out
}

// waits returns the waits of the jobs of classes that pick selects.
func waits(jobs []job, classes map[string]policy.Class, pick func(policy.Class) bool) []observation {
	var out []observation
	for _, j := range jobs {
		if d, ok := j.wait(); ok && pick(classes[j.class]) {
			out = append(out, observation{j.started, d})
		}
	}
	return out
}

// service is the share of started jobs whose class has a bound on the wait and
// that started within it, over time bins and in total.
func service(jobs []job, classes map[string]policy.Class, from, to time.Time) (points []Point, within, total int) {
	var good, all [bins]int
	for _, j := range jobs {
		bound := classes[j.class].StartWithin
		d, ok := j.wait()
		i, inside := binOf(j.started, from, to)
		if !ok || !inside || bound == 0 {
			continue
		}
		all[i]++
		total++
		if d <= bound {
			good[i]++
			within++
		}
	}
	for i, n := range all {
		if n > 0 {
			points = append(points, Point{binTime(i, from, to), float64(good[i]) / float64(n)})
		}
	}
	return points, within, total
}

// fragmentation returns 1 - largest placeable gang / free accelerators of each
// failure domain over time. A domain without free accelerators has no value.
func fragmentation(samples []Sample) []Series {
	byDomain := map[string][]Point{}
	for _, s := range samples {
		for _, d := range s.Domains {
			if d.Free.Domain > 0 {
				value := 1 - float64(min(d.Free.Rack, d.Free.Domain))/float64(d.Free.Domain)
				byDomain[d.Domain] = append(byDomain[d.Domain], Point{s.At, value})
			}
		}
	}
	return seriesOf(byDomain)
}

// utilization returns the accelerators in use over time by each workspace that
// used any or holds a guarantee.
func utilization(samples []Sample, share map[string]int) []Series {
	used := map[string][]Point{}
	if len(samples) > 0 {
		for ws := range share {
			used[ws] = nil
		}
	}
	for _, s := range samples {
		for _, d := range s.Domains {
			for ws := range d.UsedByWorkspace {
				used[ws] = nil
			}
		}
	}
	for _, s := range samples {
		sum := map[string]int{}
		for _, d := range s.Domains {
			for ws, n := range d.UsedByWorkspace {
				sum[ws] += n
			}
		}
		for ws := range used {
			used[ws] = append(used[ws], Point{s.At, float64(sum[ws])})
		}
	}
	return seriesOf(used)
}

func seriesOf(m map[string][]Point) []Series {
	var out []Series
	for _, name := range sortedKeys(m) {
		out = append(out, Series{Name: name, Points: m[name]})
	}
	return out
}

// guaranteed returns the guaranteed accelerators of each workspace.
func guaranteed(doc *policy.Document) map[string]int {
	out := map[string]int{}
	if doc == nil {
		return out
	}
	for name, ws := range doc.Workspaces {
		for _, g := range ws.Guarantees {
			out[name] += g.Cells * g.Accelerators
		}
	}
	return out
}

func mean(points []Point) float64 {
	if len(points) == 0 {
		return 0
	}
	sum := 0.0
	for _, p := range points {
		sum += p.Value
	}
	return sum / float64(len(points))
}

// span returns the time that the data covers.
func span(d *Data, jobs []job) (from, to time.Time) {
	var times []time.Time
	for _, e := range d.Events {
		times = append(times, e.At.Time())
	}
	for _, s := range d.Samples {
		times = append(times, s.At)
	}
	for _, j := range jobs {
		times = append(times, j.submitted, j.started, j.ended)
	}
	times = slices.DeleteFunc(times, time.Time.IsZero)
	if len(times) == 0 {
		return from, to
	}
	return slices.MinFunc(times, time.Time.Compare), slices.MaxFunc(times, time.Time.Compare)
}

// classesOf returns the classes of the document, or the built-in ones. Jobs
// without a known class count as of class "".
func classesOf(doc *policy.Document) map[string]policy.Class {
	if doc == nil || len(doc.Classes) == 0 {
		return policy.Default().Classes
	}
	return doc.Classes
}

func countStates(jobs []api.JobStatus) map[string]int {
	out := map[string]int{}
	for _, j := range jobs {
		out[string(j.State)]++
	}
	return out
}
