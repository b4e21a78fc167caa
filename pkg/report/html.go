package report

import (
	_ "embed" // the page template
	"html/template"
	"io"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

//go:embed page.html
var pageText string

// otherColor is for workspaces beyond the palette.
const otherColor = "#888888"

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"chart": func(c Chart, r *Report) template.HTML { return svgChart(c, r.From, r.To) },
	"lanes": func(r *Report) template.HTML {
		return svgLanes(r.Lanes, r.From, r.To, workspaceColors(r))
	},
	"color":      func(c Chart, i int) template.CSS { return template.CSS(hex(c, i)) }, //nolint:gosec // a fixed palette
	"workspaces": workspaceLegend,
	"time":       func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"duration":   func(r *Report) string { return r.To.Sub(r.From).Round(time.Second).String() },
}).Parse(pageText))

// WriteHTML writes the page; it refers to no other file.
func WriteHTML(w io.Writer, r *Report) error {
	if err := page.Execute(w, r); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the report cannot be written")
	}
	return nil
}

// workspaceColors gives the workspaces of the lanes colors in order of name.
func workspaceColors(r *Report) map[string]string {
	names := map[string]bool{}
	for _, l := range r.Lanes {
		for _, s := range l.Segments {
			names[s.Workspace] = true
		}
	}
	colors := map[string]string{}
	for i, name := range sortedKeys(names) {
		colors[name] = otherColor
		if i < len(palette) {
			colors[name] = hex(Chart{Series: make([]Series, len(palette))}, i)
		}
	}
	return colors
}

// legendEntry is a workspace and its color.
type legendEntry struct {
	Name  string
	Color template.CSS
}

func workspaceLegend(r *Report) []legendEntry {
	colors := workspaceColors(r)
	var out []legendEntry
	for _, name := range sortedKeys(colors) {
		out = append(out, legendEntry{name, template.CSS(colors[name])}) //nolint:gosec // a fixed palette
	}
	return out
}
