// Package report turns a time line, samples of the failure domains and job
// statuses into one self-contained HTML file and PNG charts.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// maxLine bounds one line of a saved time line; the configuration document is
// the largest and at most 1 MiB in the store.
const maxLine = 4 << 20

// Sample is the state of all failure domains at one time.
type Sample struct {
	At      time.Time       `json:"at"`
	Domains []sched.Summary `json:"domains"`
}

// Data is what a report is built from. Every part may be missing; the report
// then says which measures it could not compute.
type Data struct {
	Events  []timeline.Event
	Gaps    []timeline.Gap
	Samples []Sample
	Jobs    []api.JobStatus
	Config  *policy.Document
	// Workers is the fleet at the time of the report.
	Workers []api.WorkerStatus
}

// Line is one line of a saved time line; exactly one field is set.
type Line struct {
	Event  *timeline.Event   `json:"event,omitempty"`
	Gap    *timeline.Gap     `json:"gap,omitempty"`
	Sample *Sample           `json:"sample,omitempty"`
	Job    *api.JobStatus    `json:"job,omitempty"`
	Config *policy.Document  `json:"config,omitempty"`
	Worker *api.WorkerStatus `json:"worker,omitempty"`
}

// EventLines returns the events in order, each gap before the event that
// follows it.
func EventLines(events []timeline.Event, gaps []timeline.Gap) []Line {
	lines := make([]Line, 0, len(events)+len(gaps))
	shown := make([]bool, len(gaps))
	for i := range events {
		for j := range gaps {
			if !shown[j] && !events[i].At.Less(gaps[j].Before) {
				shown[j] = true
				lines = append(lines, Line{Gap: &gaps[j]})
			}
		}
		lines = append(lines, Line{Event: &events[i]})
	}
	for j := range gaps {
		if !shown[j] {
			lines = append(lines, Line{Gap: &gaps[j]})
		}
	}
	return lines
}

// Save writes the data as JSON lines.
func Save(w io.Writer, d *Data) error {
	lines := EventLines(d.Events, d.Gaps)
	for i := range d.Samples {
		lines = append(lines, Line{Sample: &d.Samples[i]})
	}
	for i := range d.Jobs {
		lines = append(lines, Line{Job: &d.Jobs[i]})
	}
	for i := range d.Workers {
		lines = append(lines, Line{Worker: &d.Workers[i]})
	}
	if d.Config != nil {
		lines = append(lines, Line{Config: d.Config})
	}
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return errkind.Wrap(err, errkind.Internal, "the time line cannot be saved")
		}
	}
	if err := buffered.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the time line cannot be saved")
	}
	return nil
}

// Load reads JSON lines as Save writes them; bare events are read too. A
// malformed line has the kind invalid_request and is named by its number.
func Load(r io.Reader) (*Data, error) {
	d := &Data{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for n := 1; scanner.Scan(); n++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := d.add(text); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "line %d is no part of a time line: %v", n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the time line cannot be read: %v", err)
	}
	return d, nil
}

func (d *Data) add(text []byte) error {
	var bare struct {
		Type timeline.Type `json:"type"` // tagged lines have no such member
	}
	if err := json.Unmarshal(text, &bare); err != nil {
		return err
	}
	var line Line
	if bare.Type != "" {
		line.Event = &timeline.Event{}
		if err := json.Unmarshal(text, line.Event); err != nil {
			return err
		}
	} else if err := json.Unmarshal(text, &line); err != nil {
		return err
	}
	switch {
	case line.Event != nil:
		d.Events = append(d.Events, *line.Event)
	case line.Gap != nil:
		d.Gaps = append(d.Gaps, *line.Gap)
	case line.Sample != nil:
		d.Samples = append(d.Samples, *line.Sample)
	case line.Job != nil:
		d.Jobs = append(d.Jobs, *line.Job)
	case line.Worker != nil:
		d.Workers = append(d.Workers, *line.Worker)
	case line.Config != nil:
		d.Config = line.Config
	default:
		return errkind.New(errkind.InvalidRequest, "none of event, gap, sample, job and config is present")
	}
	return nil
}
