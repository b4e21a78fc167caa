package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// maxLines bounds the lines of one chart; more cannot be told apart.
const maxLines = 6

// Chart is one diagram over time.
type Chart struct {
	ID     string // used in file names
	Title  string
	Help   string
	Unit   string
	Share  bool // the axis runs from 0 to 1
	Series []Series
	// Missing says why there is nothing to show.
	Missing string
}

// Row is one figure of the summary.
type Row struct {
	Name  string
	Value string
	Note  string
}

// Use compares a workspace's use with its guarantee, in accelerators.
type Use struct {
	Workspace  string
	Mean       float64
	Peak       float64
	Guaranteed int
}

// Report is the content of the page.
type Report struct {
	MadeAt   time.Time
	From, To time.Time
	Summary  []Row
	Charts   []Chart
	Uses     []Use
	Racks    []RackUse
	Lanes    []Lane
	Notes    []string
}

// Build computes the report; madeAt is shown on the page.
func Build(d *Data, madeAt time.Time) *Report {
	jobs := collectJobs(d)
	r := &Report{MadeAt: madeAt}
	r.From, r.To = span(d, jobs)
	classes := classesOf(d.Config)
	r.completion(jobs)
	r.shortWait(jobs, classes)
	r.peakService(jobs, classes)
	r.fragmentation(d.Samples)
	r.utilization(d)
	r.Racks = racks(d.Workers)
	r.Lanes, r.Notes = buildLanes(d, r.From, r.To)
	for _, g := range d.Gaps {
		r.Notes = append(r.Notes, fmt.Sprintf("%s of %s missing (%d to %d)", plural(int(g.To-g.From+1), "event"), g.VM, g.From, g.To))
	}
	if states := countStates(d.Jobs); len(states) > 0 {
		var parts []string
		for _, s := range sortedKeys(states) {
			parts = append(parts, fmt.Sprintf("%d %s", states[s], s))
		}
		r.Summary = append(r.Summary, Row{"Jobs", fmt.Sprint(len(d.Jobs)), strings.Join(parts, ", ")})
	}
	return r
}

func (r *Report) add(c Chart, missing string) {
	empty := true
	for _, s := range c.Series {
		empty = empty && len(s.Points) == 0
	}
	if empty {
		c.Series, c.Missing = nil, missing
	}
	r.Charts = append(r.Charts, c)
}

// addDurations shows quantiles in the unit that fits the largest value.
func (r *Report) addDurations(c Chart, obs []observation, missing string) {
	c.Series = quantiles(obs, r.From, r.To, map[string]float64{"p50": 50, "p99": 99})
	largest := 0.0
	for _, s := range c.Series {
		for _, p := range s.Points {
			largest = max(largest, p.Value)
		}
	}
	scale := 1.0
	c.Unit = "s"
	switch {
	case largest > 2*3600:
		scale, c.Unit = 3600, "h"
	case largest > 5*60:
		scale, c.Unit = 60, "min"
	}
	for _, s := range c.Series {
		for i := range s.Points {
			s.Points[i].Value /= scale
		}
	}
	r.add(c, missing)
}

func (r *Report) summarize(name string, obs []observation, note string) {
	if len(obs) == 0 {
		r.Summary = append(r.Summary, Row{name, "no data", note})
		return
	}
	h := newHistogram()
	for _, o := range obs {
		observe(h, o.value)
	}
	r.Summary = append(r.Summary, Row{
		name, fmt.Sprintf("p50 %s, p99 %s", seconds(quantile(h, 50)), seconds(quantile(h, 99))),
		fmt.Sprintf("%s, %s", plural(len(obs), "job"), note),
	})
}

func (r *Report) completion(jobs []job) {
	obs := completions(jobs)
	r.summarize("Completion time", obs, "from submission to successful end")
	r.addDurations(Chart{
		ID: "completion", Title: "Completion time",
		Help: "From submission to successful end, by the time of the end.",
	}, obs, "No job ended successfully in this time.")
}

func (r *Report) shortWait(jobs []job, classes map[string]policy.Class) {
	obs := waits(jobs, classes, func(c policy.Class) bool { return c.Short })
	r.summarize("Wait of short work", obs, "from submission to first start")
	r.addDurations(Chart{
		ID: "short-wait", Title: "Wait of short work",
		Help: "From submission to first start, for classes marked short, by the time of the start.",
	}, obs, "No job of a short class started in this time, or the data does not name the classes.")
}

func (r *Report) peakService(jobs []job, classes map[string]policy.Class) {
	points, within, total := service(jobs, classes, r.From, r.To)
	row := Row{"Started within the bound", "no data", "classes with startWithin"}
	if total > 0 {
		row.Value = fmt.Sprintf("%.2f%%", 100*float64(within)/float64(total))
		row.Note = fmt.Sprintf("%d of %s whose class has a bound", within, plural(total, "job"))
	}
	r.Summary = append(r.Summary, row)
	r.add(Chart{
		ID: "service", Title: "Service at the peak", Unit: "share", Share: true,
		Help:   "Share of jobs that started within the bound of their class (urgent: 6.1 s). The goal is 0.999.",
		Series: []Series{{Name: "started in time", Points: points}},
	}, "No job of a class with a bound started in this time, or the data does not name the classes.")
}

func (r *Report) fragmentation(samples []Sample) {
	series := fragmentation(samples)
	row := Row{"Fragmentation", "no data", "1 - largest placeable gang / free accelerators"}
	var all []Point
	for _, s := range series {
		all = append(all, s.Points...)
	}
	if len(all) > 0 {
		row.Value = fmt.Sprintf("mean %.2f", mean(all))
	}
	r.Summary = append(r.Summary, row)
	series, dropped := r.limit(series)
	r.add(Chart{
		ID: "fragmentation", Title: "Fragmentation by failure domain", Unit: "share", Share: true,
		Help:   "1 - largest gang that one rack could take / free accelerators. Lower is better. All samples count, also those without a waiting gang." + dropped,
		Series: series,
	}, "There are no samples of the failure domains.")
}

func (r *Report) utilization(d *Data) {
	share := guaranteed(d.Config)
	series := utilization(d.Samples, share)
	for _, s := range series {
		peak := 0.0
		for _, p := range s.Points {
			peak = max(peak, p.Value)
		}
		r.Uses = append(r.Uses, Use{Workspace: s.Name, Mean: mean(s.Points), Peak: peak, Guaranteed: share[s.Name]})
	}
	shown, dropped := r.limit(series)
	for _, s := range slices.Clone(shown) {
		if n := share[s.Name]; n > 0 && len(s.Points) > 0 {
			shown = append(shown, Series{Name: s.Name + " guaranteed", Dashed: true, Points: []Point{
				{s.Points[0].At, float64(n)}, {s.Points[len(s.Points)-1].At, float64(n)},
			}})
		}
	}
	r.add(Chart{
		ID: "utilization", Title: "Accelerators in use by workspace", Unit: "accelerators",
		Help:   "Solid: in use. Dashed: guaranteed." + dropped,
		Series: shown,
	}, "There are no samples of the failure domains.")
}

// limit keeps the series with the highest means.
func (r *Report) limit(series []Series) ([]Series, string) {
	if len(series) <= maxLines {
		return series, ""
	}
	kept := slices.Clone(series)
	slices.SortStableFunc(kept, func(a, b Series) int { return cmp.Compare(mean(b.Points), mean(a.Points)) })
	kept = kept[:maxLines]
	slices.SortFunc(kept, func(a, b Series) int { return strings.Compare(a.Name, b.Name) })
	return kept, fmt.Sprintf(" The %d highest of %d are shown.", maxLines, len(series))
}

// seconds shows a number of seconds as a duration.
func seconds(s float64) string {
	d := time.Duration(s * float64(time.Second))
	switch {
	case d < 10*time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d < time.Hour:
		return d.Round(time.Second).String()
	default:
		return d.Round(time.Minute).String()
	}
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
