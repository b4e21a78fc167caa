package settings

import (
	"fmt"
	"strings"
)

const referenceIntro = `# Settings of carawayusherd

This page is generated from the table of keys in pkg/settings; do not edit it. Write it anew with
` + "`go test ./pkg/settings -run TestReference -update`" + `.

The settings file is YAML: one mapping per section, one key per line. Durations and sizes carry their unit. Unknown
keys are refused, and all faults are reported in one pass with their line.
`

// Reference returns the reference page of all keys in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	section := ""
	for _, k := range Table() {
		if s := k.section(); s != section {
			section = s
			fmt.Fprintf(&b, "\n## %s\n\n| key | type | default | unit | allowed | meaning |\n|---|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Type, defaultCell(k), k.Unit, k.Allowed, k.Help)
	}
	return b.String()
}

func defaultCell(k Key) string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	default:
		return "`" + k.Default + "`"
	}
}
