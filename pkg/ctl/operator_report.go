package ctl

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/report"
)

func newReportCommand(conn *connection) *cobra.Command {
	var out, input, save, since string
	var png bool
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Write an HTML report from a running system or a saved time line",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := conn.reportData(cmd, input, since)
			if err != nil {
				return err
			}
			if save != "" {
				if err := writeFile(save, func(f *os.File) error { return report.Save(f, data) }); err != nil {
					return err
				}
			}
			return writeReport(cmd, data, out, png)
		},
	}
	f := cmd.Flags()
	f.StringVar(&out, "out", "report.html", "HTML file to write")
	f.StringVar(&input, "input", "", "read a saved time line (JSON lines) instead of a running system; - for standard input")
	f.StringVar(&save, "save", "", "also save the data as JSON lines")
	f.StringVar(&since, "since", "4h", "start of the report: a time or a duration that counts back from now")
	f.BoolVar(&png, "png", true, "also write the charts as PNG files beside the HTML file")
	return cmd
}

func (c *connection) reportData(cmd *cobra.Command, input, since string) (*report.Data, error) {
	switch input {
	case "":
		return c.collectReport(cmd, since)
	case "-":
		return report.Load(cmd.InOrStdin())
	}
	f, err := os.Open(input)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the saved time line cannot be read: %v", err)
	}
	defer f.Close()
	return report.Load(f)
}

// collectReport asks a running system.
func (c *connection) collectReport(cmd *cobra.Command, since string) (*report.Data, error) {
	data := &report.Data{}
	var err error
	if data.Events, data.Gaps, err = c.eventsSince(cmd, since); err != nil {
		return nil, err
	}
	var summary admin.MetricsSummary
	if err := c.get(cmd.Context(), "/metrics-summary", url.Values{"since": {since}}, &summary); err != nil {
		return nil, err
	}
	for _, s := range summary.Samples {
		data.Samples = append(data.Samples, report.Sample{At: s.At, Domains: s.Domains})
	}
	if err := c.get(cmd.Context(), "/config", nil, &data.Config); err != nil {
		return nil, err
	}
	if data.Workers, err = getAll[api.WorkerStatus](cmd.Context(), c, "/workers", url.Values{"limit": {eventPage}}); err != nil {
		return nil, err
	}
	data.Jobs, err = getAll[api.JobStatus](cmd.Context(), c, "/jobs", url.Values{"limit": {eventPage}})
	return data, err
}

func writeReport(cmd *cobra.Command, data *report.Data, out string, png bool) error {
	r := report.Build(data, time.Now().UTC())
	if err := writeFile(out, func(f *os.File) error { return report.WriteHTML(f, r) }); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), out)
	if !png {
		return nil
	}
	files, err := report.WritePNGs(strings.TrimSuffix(out, filepath.Ext(out)), r)
	for _, name := range files {
		fmt.Fprintln(cmd.OutOrStdout(), name)
	}
	return err
}

func writeFile(name string, write func(*os.File) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "%s cannot be written: %v", name, err)
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "%s cannot be written", name)
	}
	return nil
}
