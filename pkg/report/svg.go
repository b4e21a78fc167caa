package report

import (
	"fmt"
	"html"
	"html/template"
	"strings"
	"time"

	"gonum.org/v1/plot"
)

// Geometry of the charts in pixels.
const (
	chartWidth  = 900
	chartHeight = 240
	marginLeft  = 64
	marginRight = 16
	marginTop   = 12
	marginBelow = 28
	// labelHalf is half the width of a time label.
	labelHalf = 36
	// maxDots is the number of points of a series that get a dot with a tooltip.
	maxDots = 150
	// breakFactor times the usual distance of two points breaks the line.
	breakFactor = 6
)

// frame maps times and values to pixels.
type frame struct {
	from, to time.Time
	height   float64
	yMax     float64
	left     float64
}

func (f frame) x(t time.Time) float64 {
	if !f.to.After(f.from) {
		return f.left
	}
	share := float64(t.Sub(f.from)) / float64(f.to.Sub(f.from))
	return f.left + min(1, max(0, share))*(chartWidth-f.left-marginRight)
}

func (f frame) y(v float64) float64 {
	return marginTop + (1-min(1, max(0, v/f.yMax)))*(f.height-marginTop-marginBelow)
}

// svgChart draws one chart.
func svgChart(c Chart, from, to time.Time) template.HTML {
	f := frame{from: from, to: to, height: chartHeight, yMax: yMax(c), left: marginLeft}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, chartWidth, chartHeight, html.EscapeString(c.Title))
	for _, t := range (plot.DefaultTicks{}).Ticks(0, f.yMax) {
		if t.Label != "" {
			y := f.y(t.Value)
			fmt.Fprintf(&b, `<line class="grid" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/><text class="tick" x="%d" y="%.1f" text-anchor="end">%s</text>`,
				marginLeft, chartWidth-marginRight, y, y, marginLeft-6, y+4, html.EscapeString(t.Label))
		}
	}
	f.timeAxis(&b)
	for i, s := range c.Series {
		f.series(&b, c, i, s)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) //nolint:gosec // all texts are escaped above
}

func yMax(c Chart) float64 {
	if c.Share {
		return 1
	}
	largest := 0.0
	for _, s := range c.Series {
		for _, p := range s.Points {
			largest = max(largest, p.Value)
		}
	}
	return max(largest*1.1, 1e-3)
}

// timeAxis draws labels at round times; the date is shown where it changes.
func (f frame) timeAxis(b *strings.Builder) {
	for _, t := range timeTicks(f.from, f.to) {
		label := t.label
		if t.day != "" {
			label = t.day + " " + label
		}
		x, anchor := f.x(t.at), "middle"
		if x < f.left+labelHalf {
			anchor = "start"
		}
		if x > chartWidth-marginRight-labelHalf {
			anchor = "end"
		}
		fmt.Fprintf(b, `<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="%s">%s</text>`,
			x, x, f.height-marginBelow, f.height-marginBelow+5, x, f.height-8, anchor, label)
	}
}

func (f frame) series(b *strings.Builder, c Chart, i int, s Series) {
	color := hex(c, i)
	dash := ""
	if s.Dashed {
		dash = ` stroke-dasharray="6 4"`
	}
	fmt.Fprintf(b, `<path fill="none" stroke="%s" stroke-width="1.8"%s d="%s"/>`, color, dash, f.path(s))
	if s.Dashed || len(s.Points) > maxDots {
		return
	}
	for _, p := range s.Points {
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="2.5" fill="%s"><title>%s, %s: %.4g %s</title></circle>`,
			f.x(p.At), f.y(p.Value), color, html.EscapeString(s.Name), p.At.UTC().Format(time.DateTime), p.Value, html.EscapeString(c.Unit))
	}
}

// path connects the points, except over a time without any.
func (f frame) path(s Series) string {
	usual := f.to.Sub(f.from)
	for i := 1; i < len(s.Points); i++ {
		if d := s.Points[i].At.Sub(s.Points[i-1].At); d > 0 {
			usual = min(usual, d)
		}
	}
	var b strings.Builder
	for i, p := range s.Points {
		step := "L"
		if i == 0 || (!s.Dashed && p.At.Sub(s.Points[i-1].At) > breakFactor*usual) {
			step = "M"
		}
		fmt.Fprintf(&b, "%s%.1f %.1f", step, f.x(p.At), f.y(p.Value))
	}
	return b.String()
}

func hex(c Chart, i int) string {
	rgb := colorOf(c, i)
	return fmt.Sprintf("#%02x%02x%02x", rgb.R, rgb.G, rgb.B)
}

// Geometry of the lanes in pixels.
const (
	laneLabel = 120
	laneRow   = 7
	lanePad   = 4
	laneMin   = 16
)

// svgLanes draws one lane per worker; colors maps workspaces to colors.
func svgLanes(lanes []Lane, from, to time.Time, colors map[string]string) template.HTML {
	height := marginTop + marginBelow
	for _, l := range lanes {
		height += laneHeight(l)
	}
	f := frame{from: from, to: to, height: float64(height), yMax: 1, left: laneLabel}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img" aria-label="Tasks by worker">`, chartWidth, height)
	y := marginTop
	for _, l := range lanes {
		fmt.Fprintf(&b, `<line class="grid" x1="0" x2="%d" y1="%d" y2="%d"/><text class="tick" x="4" y="%d">%s</text>`,
			chartWidth-marginRight, y, y, y+12, html.EscapeString(shorten(l.Worker)))
		for _, s := range l.Segments {
			f.segment(&b, s, y, colors[s.Workspace])
		}
		y += laneHeight(l)
	}
	f.timeAxis(&b)
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) //nolint:gosec // all texts are escaped above
}

func laneHeight(l Lane) int { return max(laneMin, l.rows*laneRow+lanePad) }

func (f frame) segment(b *strings.Builder, s Segment, laneTop int, color string) {
	x1, x2 := f.x(s.Start), f.x(s.End)
	fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"><title>%s of %s, %s to %s, %s</title></rect>`,
		x1, laneTop+lanePad/2+s.row*laneRow, max(1, x2-x1), laneRow-1, color,
		html.EscapeString(string(s.Job)), html.EscapeString(s.Workspace),
		s.Start.UTC().Format(time.TimeOnly), s.End.UTC().Format(time.TimeOnly), html.EscapeString(s.Outcome))
}

// shorten keeps a label inside its column.
func shorten(s string) string {
	const limit = 17
	if len(s) <= limit {
		return s
	}
	return s[:limit-1] + "…"
}
