package plan

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Render writes the record in a human-readable form, one item per line.
func Render(w io.Writer, rec Record) error {
	var b strings.Builder
	p := &rec.Plan
	fmt.Fprintf(&b, "Plan %s: %s, made by %s on revision %d\n", p.ID, p.Intent.Kind, p.MadeBy, p.Base)
	renderState(&b, rec)
	renderList(&b, "Configuration", p.Changes, func(c policy.Change) string { return c.String() })
	renderList(&b, "Jobs", p.Effects, renderEffect)
	if len(p.Effects) == 0 {
		b.WriteString("Jobs: none is affected\n")
	}
	renderList(&b, "Guarantees that could not be met", p.Unmeetable, identity)
	if p.LostWork > 0 {
		fmt.Fprintf(&b, "Lost work: %s accelerator time (estimate)\n", p.LostWork.Round(time.Second))
	}
	renderList(&b, "Warnings", p.Warnings, identity)
	renderList(&b, "Failures (confirm again to repeat)", rec.Failures, identity)
	renderList(&b, "Notes", rec.Notes, identity)
	if rec.State == StateOpen {
		fmt.Fprintf(&b, "Nothing has changed yet. To carry it out: carawayctl confirm %s\n", p.ID)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func renderState(b *strings.Builder, rec Record) {
	switch rec.State {
	case StateOpen:
		fmt.Fprintf(b, "State: open until %s\n", rec.Plan.ExpiresAt.Format(time.RFC3339))
	case StateExpired:
		fmt.Fprintf(b, "State: expired at %s\n", rec.Plan.ExpiresAt.Format(time.RFC3339))
	case StateOutdated:
		fmt.Fprintf(b, "State: outdated, another change came first\n")
	default:
		fmt.Fprintf(b, "State: %s, confirmed by %s at %s", rec.State, rec.ConfirmedBy, rec.ConfirmedAt.Format(time.RFC3339))
		if rec.Revision > 0 {
			fmt.Fprintf(b, ", revision %d", rec.Revision)
		}
		b.WriteByte('\n')
	}
}

func renderEffect(e Effect) string {
	parts := []string{string(e.Kind)}
	for _, s := range []string{string(e.Job), e.Workspace, e.Domain} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	line := strings.Join(parts, " ")
	if e.Reason != "" {
		line += ": " + e.Reason
	}
	if e.LostWork > 0 {
		line += fmt.Sprintf(" (loses %s)", e.LostWork.Round(time.Second))
	}
	return line
}

func renderList[T any](b *strings.Builder, title string, items []T, text func(T) string) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(b, "%s (%d):\n", title, len(items))
	for _, item := range items {
		fmt.Fprintf(b, "  %s\n", text(item))
	}
}

func identity(s string) string { return s }
