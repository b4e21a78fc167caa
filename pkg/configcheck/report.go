// Package configcheck checks a configuration before it is sent: the product's
// configuration document (pkg/policy) and the operators' configuration on the
// platform (pkg/catalog). It reports errors, entries that can never match, limits
// that contradict each other, and what differs from the version in force. It does
// no I/O and changes nothing.
package configcheck

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Severity tells how serious a finding is.
type Severity string

// Severities, the gravest first.
const (
	Error   Severity = "error"   // the configuration must not be sent
	Warning Severity = "warning" // the configuration is accepted, but a part of it has no or an unexpected effect
	Change  Severity = "change"  // a field differs from the version in force
)

var severities = []Severity{Error, Warning, Change}

// Finding is one result of a check.
type Finding struct {
	Severity Severity     `json:"severity"`
	Kind     errkind.Kind `json:"kind,omitempty"` // of an error: why the configuration would be refused
	Path     string       `json:"path"`
	Text     string       `json:"text"`
}

// String returns "severity: path: text".
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.Severity, f.Text)
	}
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Text)
}

// Report holds the findings of a check, the gravest first and otherwise in the order
// of the configuration.
type Report struct {
	Findings []Finding
	Notes    []string // what could not be checked
}

func (r *Report) errorf(kind errkind.Kind, path, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Severity: Error, Kind: kind, Path: path, Text: fmt.Sprintf(format, args...)})
}

func (r *Report) invalidf(path, format string, args ...any) {
	r.errorf(errkind.InvalidConfig, path, format, args...)
}

func (r *Report) warnf(path, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Severity: Warning, Path: path, Text: fmt.Sprintf(format, args...)})
}

// Unused adds a warning of a field that has no effect.
func (r *Report) Unused(text string) {
	r.warnf("", "%s; a field that is not known has no effect", text)
	r.sort()
}

// Notef adds a note on what could not be checked.
func (r *Report) Notef(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

func (r *Report) changes(changes []policy.Change) {
	for _, c := range changes {
		r.Findings = append(r.Findings, Finding{Severity: Change, Path: c.Path, Text: c.Values()})
	}
}

// sort orders the findings by severity and keeps their order otherwise.
func (r *Report) sort() {
	slices.SortStableFunc(r.Findings, func(x, y Finding) int {
		return cmp.Compare(slices.Index(severities, x.Severity), slices.Index(severities, y.Severity))
	})
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) (n int) {
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Err returns an error of the kind that decides the exit code, or nil. A fault of the
// configuration itself precedes a guarantee above the capacity, which further workers
// would mend. With strict, a warning counts as a fault.
func (r *Report) Err(strict bool) error {
	errors, warnings := r.Count(Error), r.Count(Warning)
	if errors == 0 && (warnings == 0 || !strict) {
		return nil
	}
	kind := errkind.GuaranteeUnmeetable
	for _, f := range r.Findings {
		if f.Severity == Error && f.Kind != errkind.GuaranteeUnmeetable || errors == 0 {
			kind = errkind.InvalidConfig
		}
	}
	return errkind.New(kind, "the configuration has %d errors and %d warnings", errors, warnings)
}

// WriteText writes the report for people: one finding a line, then a summary.
func (r *Report) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
		}
	}
	for _, n := range r.Notes {
		if _, err := fmt.Fprintln(w, "note:", n); err != nil {
			return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
		}
	}
	if _, err := fmt.Fprintf(w, "%d errors, %d warnings, %d changes; nothing was changed\n", r.Count(Error), r.Count(Warning), r.Count(Change)); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err := e.Encode(struct {
		Errors   int       `json:"errors"`
		Warnings int       `json:"warnings"`
		Changes  int       `json:"changes"`
		Findings []Finding `json:"findings"`
		Notes    []string  `json:"notes,omitempty"`
	}{r.Count(Error), r.Count(Warning), r.Count(Change), append([]Finding{}, r.Findings...), r.Notes})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
	}
	return nil
}

// Undecodable returns the report on a configuration that cannot be decoded.
func Undecodable(err error) *Report {
	r := &Report{}
	r.invalidf("", "%s", err)
	return r
}
