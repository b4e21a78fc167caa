// Package explain prints the log entries of one job in order of time and names
// the likely cause of its outcome. It reads log lines only, never the store or a
// running VM.
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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// logEntry is a parsed log line that concerns the job.
type logEntry struct {
	at      time.Time
	vm      string // last word before the JSON, usually the name of the VM
	message string
	fields  map[string]any
}

// text returns a field that is a string, or "".
func (l logEntry) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// duration returns a field in milliseconds, or 0.
func (l logEntry) duration(key string) time.Duration {
	ms, _ := l.fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// leadingFields are printed first, in this order.
var leadingFields = []string{"task", "run", "worker", "workerState", "verdict", "standingMS", "reason", "outcome", "state", "waitedMS", "slackMS"}

// omittedFields are not printed among the fields: they say nothing about the
// decision itself or are printed elsewhere.
var omittedFields = []string{"level", "time", "caller", "msg", "job"}

// Job reads the log lines of any number of VMs and writes the entries of one job
// in order of time, followed by the likely cause of its outcome. Lines without a
// JSON object are skipped; the last word before the object is printed as the name
// of the VM. A job without entries is an error of kind not_found.
func Job(in io.Reader, out io.Writer, id string) error {
	var lines []logEntry
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		if l, ok := parse(scanner.Text()); ok && l.concernsJob(id) {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "log lines")
	}
	if len(lines) == 0 {
		return errkind.New(errkind.NotFound, "no line speaks of %s", id)
	}
	slices.SortStableFunc(lines, func(a, b logEntry) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Fprintf(out, "%s  %-22s %s%s\n", l.at.Format("15:04:05.000"), l.vm, l.message, l.details())
	}
	fmt.Fprintln(out, "cause:", likelyCause(lines))
	return nil
}

func parse(text string) (logEntry, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logEntry{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return logEntry{}, false
	}
	l := logEntry{fields: fields, vm: lastWord(text[:start])}
	l.message = l.text("msg")
	if parsed, err := time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
		l.at = parsed
	}
	return l, true
}

func (l logEntry) concernsJob(id string) bool {
	for _, key := range []string{"job", "task", "step", "for"} {
		if s := l.text(key); s == id || strings.HasPrefix(s, id+".") {
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

func (l logEntry) details() string {
	var b strings.Builder
	write := func(key string) {
		if v, ok := l.fields[key]; ok && v != "" {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	for _, key := range leadingFields {
		write(key)
	}
	var rest []string
	for key := range l.fields {
		if !slices.Contains(leadingFields, key) && !slices.Contains(omittedFields, key) {
			rest = append(rest, key)
		}
	}
	slices.Sort(rest)
	for _, key := range rest {
		write(key)
	}
	return b.String()
}

// causes maps log messages to explanations, the most telling first: the first of
// these messages that the log contains determines the explanation.
var causes = []struct{ message, text string }{
	{"job has failed", "its runs failed as often as its queue allows"},
	{"run has lapsed on a silent worker", "a worker fell silent; the run was given up when its lease had run out"},
	{"run stands still", "a run made no progress and was moved"},
	{"run is missing on its worker", "a worker lost a run"},
	{"preempted for urgent work", "it was stopped for urgent work and started anew"},
	{standingMessage, ""}, // see standingCause
	{"job became known late", "the owner learned of it late; look at the lines about its watches and about ownership"},
	{"start not accepted", "a worker did not take a start"},
	{"cancel seen", "its caller cancelled it"},
}

func likelyCause(lines []logEntry) string {
	for _, l := range lines {
		if outcome := l.text("outcome"); l.message == "submit" && outcome != "ok" && !wasAccepted(lines) {
			return "it was not accepted: " + outcome
		}
	}
	for _, c := range causes {
		for _, l := range lines {
			if l.message == c.message && l.fields["for"] == nil {
				if c.message == standingMessage {
					return standingCause(lines)
				}
				return c.text
			}
		}
	}
	last := lines[len(lines)-1]
	if last.message == "job ends" {
		return "nothing out of the ordinary; it ended as " + fmt.Sprint(last.fields["state"])
	}
	if !wasPlaced(lines) {
		return "it was accepted but never placed; look at the owner's lines about room and ownership"
	}
	return "it is still under way"
}

func wasAccepted(lines []logEntry) bool {
	return slices.ContainsFunc(lines, func(l logEntry) bool { return l.message == "submit" && l.text("outcome") == "ok" })
}

func wasPlaced(lines []logEntry) bool {
	return slices.ContainsFunc(lines, func(l logEntry) bool { return l.message == "placed" })
}
