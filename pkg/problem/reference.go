package problem

import (
	"fmt"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Reference returns the table of error kinds in Markdown, as docs/api.md contains
// it.
func Reference() string {
	var b strings.Builder
	b.WriteString("| kind | status | exit code | retryable | ran | what to do |\n|---|---|---|---|---|---|\n")
	for _, a := range errkind.Table() {
		retryable := "no"
		if a.Retryable {
			retryable = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | %d | %s | %s | %s |\n", a.Kind, a.Status, a.Exit, retryable, a.Ran, a.Help)
	}
	return b.String()
}
