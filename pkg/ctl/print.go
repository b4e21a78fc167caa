package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// table is the form of an answer for people.
type table struct {
	header []string
	rows   [][]string
}

// print writes v as JSON, or t as a table, as --output asks.
func (c *connection) print(w io.Writer, v any, t table) error {
	if c.output == outputJSON {
		return printJSON(w, v)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the output cannot be written")
	}
	return nil
}

// formatTime shows a time in UTC, or a hyphen for none.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// orHyphen shows an empty cell as a hyphen, so that columns can be split.
func orHyphen(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
