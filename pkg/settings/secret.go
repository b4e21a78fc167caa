package settings

import "fmt"

// redacted stands in the place of every secret that is printed.
const redacted = "[redacted]"

// Secret is a value that logs, JSON and formatted output never show.
type Secret struct{ value string }

// NewSecret returns a secret that holds value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value itself, for the one place that needs it.
func (s Secret) Reveal() string { return s.value }

// Empty reports whether no value is set.
func (s Secret) Empty() bool { return s.value == "" }

// String returns a placeholder, or nothing when no value is set.
func (s Secret) String() string {
	if s.Empty() {
		return ""
	}
	return redacted
}

// GoString returns the placeholder for the %#v verb.
func (s Secret) GoString() string { return s.String() }

// Format writes the placeholder for every verb, because the default output of
// some verbs shows the fields of a struct.
func (s Secret) Format(f fmt.State, _ rune) { fmt.Fprint(f, s.String()) }

// MarshalText returns the placeholder, for JSON, YAML and loggers.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
