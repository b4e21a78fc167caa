package settings

import (
	"fmt"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Fault is one mistake in a settings file.
type Fault struct {
	File    string
	Line    int    // 1-based; 0 when the file cannot be read
	Key     string // section.key; empty when the fault belongs to no key
	Message string
	Allowed string // the allowed values in words; may be empty
}

// String returns "file:line: key: message (allowed: ...)".
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Key != "" {
		b.WriteString(": " + f.Key)
	}
	b.WriteString(": " + f.Message)
	if f.Allowed != "" {
		b.WriteString(" (allowed: " + f.Allowed + ")")
	}
	return b.String()
}

// AsError returns nil for no faults, or one error of kind invalid_config that
// lists all of them, one a line.
func AsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return errkind.New(errkind.InvalidConfig, "%s", strings.Join(lines, "\n"))
}
