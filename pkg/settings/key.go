package settings

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Key is one row of the table of settings.
type Key struct {
	Name    string // section.key
	Type    string // duration, size, count, address, ...
	Default string // as written in the file; empty means none
	Unit    string // unit of the value; empty when the type has none
	Allowed string // the allowed values in words
	Help    string // one sentence

	// Required keys have no default and must be set.
	Required bool
	// list keys take a YAML sequence; their set function is called per element.
	list bool
	set  func(s *Settings, text string) error
}

// section returns the part of the name before the dot.
func (k Key) section() string {
	section, _, _ := strings.Cut(k.Name, ".")
	return section
}

func (k Key) required() Key { k.Required = true; return k }

func stringKey(name, kind, def, allowed, help string, parse func(string) (string, error), field func(*Settings) *string) Key {
	return Key{
		Name: name, Type: kind, Default: def, Allowed: allowed, Help: help,
		set: func(s *Settings, text string) (err error) {
			*field(s), err = parse(text)
			return err
		},
	}
}

func durationKey(name, def string, low, high time.Duration, help string, field func(*Settings) *time.Duration) Key {
	return Key{
		Name: name, Type: "duration", Default: def, Unit: "ms, s, m or h", Help: help,
		Allowed: fmt.Sprintf("duration from %s to %s, such as 250ms or 3s", formatDuration(low), formatDuration(high)),
		set: func(s *Settings, text string) (err error) {
			*field(s), err = parseDuration(text, low, high)
			return err
		},
	}
}

func sizeKey(name, def string, low, high int64, help string, field func(*Settings) *int64) Key {
	return Key{
		Name: name, Type: "size", Default: def, Unit: "B, KiB, MiB or GiB", Help: help,
		Allowed: fmt.Sprintf("size from %s to %s, such as 256KiB", formatSize(low), formatSize(high)),
		set: func(s *Settings, text string) (err error) {
			*field(s), err = parseSize(text, low, high)
			return err
		},
	}
}

func countKey(name, def, unit string, high int, help string, field func(*Settings) *int) Key {
	return Key{
		Name: name, Type: "count", Default: def, Unit: unit, Help: help,
		Allowed: fmt.Sprintf("whole number from 1 to %d", high),
		set: func(s *Settings, text string) (err error) {
			*field(s), err = parseCount(text, high)
			return err
		},
	}
}

func addressKey(name, help string, field func(*Settings) *string) Key {
	return stringKey(name, "address", "", "host:port with an IP address as host", help, parseAddress, field)
}

func patternKey(name, kind string, pattern *regexp.Regexp, allowed, help string, field func(*Settings) *string) Key {
	parse := func(text string) (string, error) { return parsePattern(text, pattern) }
	return stringKey(name, kind, "", allowed, help, parse, field)
}

func fileKey(name, help string, field func(*Settings) *string) Key {
	parse := func(text string) (string, error) { return text, nil }
	return stringKey(name, "file", "", "path of a readable file", help, parse, field)
}

func choiceKey(name, def string, allowed []string, help string, field func(*Settings) *string) Key {
	parse := func(text string) (string, error) { return parseOneOf(text, allowed) }
	return stringKey(name, "choice", def, "one of "+strings.Join(allowed, ", "), help, parse, field)
}
