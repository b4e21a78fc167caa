package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/report"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Intervals of the time line command.
const (
	// followWait is the long poll of --follow; the server permits 30 s.
	followWait = 20 * time.Second
	// eventPage is the number of events asked for at once.
	eventPage = "1000"
)

func newTimelineCommand(conn *connection) *cobra.Command {
	var job, workspace, worker, domain, since string
	var types []string
	var follow bool
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show events of all VMs in order; -o json writes lines that report reads",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{"limit": {eventPage}}
			for name, value := range map[string]string{"job": job, "workspace": workspace, "worker": worker, "failureDomain": domain, "since": since} {
				if value != "" {
					query.Set(name, value)
				}
			}
			if len(types) > 0 {
				query["type"] = types
			}
			return conn.timeline(cmd, query, follow)
		},
	}
	f := cmd.Flags()
	f.StringVar(&job, "job", "", "events of one job")
	f.StringVar(&workspace, "workspace", "", "events of one workspace")
	f.StringVar(&worker, "worker", "", "events of one worker")
	f.StringVar(&domain, "domain", "", "events of one failure domain")
	f.StringSliceVar(&types, "type", nil, "event types, such as started,ended")
	f.StringVar(&since, "since", "", "a time such as 2026-01-02T15:04:05Z or a duration such as 2h")
	f.BoolVar(&follow, "follow", false, "go on with new events until interrupted")
	return cmd
}

func (c *connection) timeline(cmd *cobra.Command, query url.Values, follow bool) error {
	lastWarning := ""
	for {
		var page admin.Events
		err := c.get(cmd.Context(), "/events", query, &page)
		if follow && cmd.Context().Err() != nil {
			return nil //nolint:nilerr // the user interrupted --follow
		}
		if err != nil {
			return err
		}
		if warning := strings.Join(page.Unanswered, ", "); warning != lastWarning {
			lastWarning = warning
			if warning != "" {
				fmt.Fprintf(cmd.ErrOrStderr(), "no answer from %s; their newest events may be missing\n", warning)
			}
		}
		if err := c.printEvents(cmd.OutOrStdout(), page); err != nil {
			return err
		}
		query.Set("cursor", page.Cursor)
		if page.More {
			continue
		}
		if !follow {
			return nil
		}
		query.Set("wait", followWait.String())
	}
}

func (c *connection) printEvents(w io.Writer, page admin.Events) error {
	for _, line := range report.EventLines(page.Events, page.Gaps) {
		var err error
		if c.output == outputJSON {
			err = json.NewEncoder(w).Encode(line)
		} else {
			_, err = fmt.Fprintln(w, eventText(line))
		}
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
		}
	}
	return nil
}

func eventText(line report.Line) string {
	if g := line.Gap; g != nil {
		return fmt.Sprintf("-- %d events of %s are missing (%d to %d)", g.To-g.From+1, g.VM, g.From, g.To)
	}
	e := line.Event
	fields := []string{e.At.Time().Format("2006-01-02T15:04:05.000Z"), e.VM, string(e.Type)}
	for _, f := range []struct{ name, value string }{
		{"job", string(e.Job)}, {"workspace", e.Workspace}, {"worker", e.Worker}, {"domain", e.Domain}, {"by", e.By},
	} {
		if f.value != "" {
			fields = append(fields, f.name+"="+f.value)
		}
	}
	if e.Reason != "" {
		fields = append(fields, e.Reason)
	}
	return strings.Join(fields, " ")
}

// eventsSince returns all events from the given start.
func (c *connection) eventsSince(cmd *cobra.Command, since string) ([]timeline.Event, []timeline.Gap, error) {
	query := url.Values{"limit": {eventPage}}
	if since != "" {
		query.Set("since", since)
	}
	var events []timeline.Event
	var gaps []timeline.Gap
	for {
		var page admin.Events
		if err := c.get(cmd.Context(), "/events", query, &page); err != nil {
			return nil, nil, err
		}
		events, gaps = append(events, page.Events...), append(gaps, page.Gaps...)
		if !page.More {
			slices.SortStableFunc(events, func(a, b timeline.Event) int { return a.At.Time().Compare(b.At.Time()) })
			return events, gaps, nil
		}
		query.Set("cursor", page.Cursor)
	}
}
