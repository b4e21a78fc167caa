// Package explain finds out from log lines what happened to one job.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// maxLine bounds a log line.
const maxLine = 1 << 20

// line is one decision that touched the job.
type line struct {
	at     time.Time
	vm     string // what stood before the line, such as the name of a VM
	text   string
	fields map[string]any
}

// headFields are printed first, in this order.
var headFields = []string{"task", "run", "worker", "verdict", "reason", "outcome", "state", "waitedMS", "slackMS"}

// hiddenFields carry nothing about the decision itself.
var hiddenFields = []string{"level", "time", "caller", "msg", "job"}

// Job reads log lines of any number of VMs and writes those about a job in the
// order of time, with what they say of the cause. Lines that are not JSON are
// left out; text before the JSON is kept as the name of the VM.
func Job(in io.Reader, out io.Writer, id string) error {
	var lines []line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text(), id); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "log lines")
	}
	if len(lines) == 0 {
		return errkind.New(errkind.NotFound, "no line speaks of %s", id)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Fprintf(out, "%s  %-22s %s%s\n", l.at.Format("15:04:05.000"), l.vm, l.text, l.details())
	}
	fmt.Fprintln(out, "cause:", cause(lines))
	return nil
}

func parse(text, id string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || !concerns(fields, id) {
		return line{}, false
	}
	l := line{fields: fields, vm: lastWord(text[:start])}
	l.text, _ = fields["msg"].(string)
	if at, ok := fields["time"].(string); ok {
		if parsed, err := time.Parse(time.RFC3339Nano, at); err == nil {
			l.at = parsed
		}
	}
	return l, true
}

func concerns(fields map[string]any, id string) bool {
	for _, key := range []string{"job", "task", "step", "for"} {
		if s, ok := fields[key].(string); ok && (s == id || strings.HasPrefix(s, id+".")) {
			return true
		}
	}
	return false
}

func lastWord(s string) string {
	words := strings.Fields(s)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func (l line) details() string {
	var b strings.Builder
	write := func(key string) {
		if v, ok := l.fields[key]; ok && v != "" {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	for _, key := range headFields {
		write(key)
	}
	var rest []string
	for key := range l.fields {
		if !slices.Contains(headFields, key) && !slices.Contains(hiddenFields, key) {
			rest = append(rest, key)
		}
	}
	slices.Sort(rest)
	for _, key := range rest {
		write(key)
	}
	return b.String()
}

// causes are looked for in this order: the first message that is found explains
// the outcome best.
var causes = []struct{ message, text string }{
	{"job has failed", "its runs failed as often as its queue allows"},
	{"run has lapsed on a silent worker", "a worker fell silent; the run was given up when its lease had run out"},
	{"run stands still", "a run made no progress and was moved"},
	{"run is missing on its worker", "a worker lost a run"},
	{"preempted for urgent work", "it was stopped for urgent work and started anew"},
	{"start not accepted", "a worker did not take a start"},
	{"cancel seen", "its caller cancelled it"},
}

func cause(lines []line) string {
	for _, l := range lines {
		if outcome, _ := l.fields["outcome"].(string); l.text == "submit" && outcome != "ok" && !accepted(lines) {
			return "it was not accepted: " + outcome
		}
	}
	for _, c := range causes {
		for _, l := range lines {
			if l.text == c.message && l.fields["for"] == nil {
				return c.text
			}
		}
	}
	last := lines[len(lines)-1]
	if last.text == "job ends" {
		return "nothing out of the ordinary; it ended as " + fmt.Sprint(last.fields["state"])
	}
	if !placed(lines) {
		return "it was accepted but never placed; look at the owner's lines about room and ownership"
	}
	return "it is still under way"
}

func accepted(lines []line) bool {
	return slices.ContainsFunc(lines, func(l line) bool { return l.text == "submit" && l.fields["outcome"] == "ok" })
}

func placed(lines []line) bool {
	return slices.ContainsFunc(lines, func(l line) bool { return l.text == "placed" })
}
