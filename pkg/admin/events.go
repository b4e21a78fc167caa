package admin

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

var eventParameters = []string{"job", "workspace", "worker", "failureDomain", "type", "since", "cursor", "limit", "wait"}

// Intervals of a long poll: other VMs are asked again every pollOthers, and a
// burst of local events leads to at most one answer in pollAtLeast.
const (
	pollOthers  = 500 * time.Millisecond
	pollAtLeast = 100 * time.Millisecond
)

// Events is the body of GET /events.
type Events struct {
	Events []timeline.Event `json:"events"`
	Gaps   []timeline.Gap   `json:"gaps,omitempty"`
	// Cursor continues after this answer.
	Cursor string `json:"cursor"`
	More   bool   `json:"more,omitempty"`
	// Unanswered names the VMs that did not answer.
	Unanswered []string `json:"unanswered,omitempty"`
}

func (a *API) events(r *request) (any, error) {
	req, err := eventRequest(r)
	if err != nil {
		return nil, err
	}
	wait, err := a.wait(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), wait)
	defer cancel()
	for {
		merged, unanswered := a.opts.Events.Collect(r.Request.Context(), req)
		if len(merged.Events) > 0 || !a.waitForEvents(ctx) {
			return eventsBody(merged, unanswered), nil
		}
		req.Cursor = merged.Cursor
	}
}

// waitForEvents returns false when the long poll is over.
func (a *API) waitForEvents(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	changed := a.opts.Events.Changed()
	for _, d := range []time.Duration{pollAtLeast, pollOthers - pollAtLeast} {
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
		select {
		case <-changed:
			return true
		default:
		}
	}
	return true
}

func eventsBody(m timeline.Merged, unanswered []string) Events {
	body := Events{Events: m.Events, Gaps: m.Gaps, Cursor: m.Cursor.String(), More: m.More, Unanswered: unanswered}
	if body.Events == nil {
		body.Events = []timeline.Event{}
	}
	return body
}

func (a *API) wait(r *request) (time.Duration, error) {
	text := r.Query("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "the wait %q is no duration such as 20s", text)
	}
	return min(d, a.opts.MaxWait), nil
}

func eventRequest(r *request) (timeline.SinceRequest, error) {
	req := timeline.SinceRequest{Filter: timeline.Filter{
		Job: api.JobID(r.Query("job")), Workspace: r.Query("workspace"), Worker: r.Query("worker"), Domain: r.Query("failureDomain"),
	}}
	for _, t := range r.QueryArray("type") {
		req.Filter.Types = append(req.Filter.Types, timeline.Type(t))
	}
	var err error
	if req.Filter.Since, err = r.since(); err != nil {
		return req, err
	}
	if req.Cursor, err = timeline.ParseCursor(r.Query("cursor")); err != nil {
		return req, err
	}
	req.Limit, err = r.limit()
	return req, err
}
