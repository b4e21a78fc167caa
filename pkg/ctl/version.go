package ctl

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is what a build knows of its origin.
type version struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
}

func newVersionCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of carawayctl",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := buildVersion()
			t := table{header: []string{"VERSION", "GO", "REVISION"}, rows: [][]string{{v.Version, v.Go, orHyphen(v.Revision)}}}
			return conn.print(cmd.OutOrStdout(), v, t)
		},
	}
}

func buildVersion() version {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version{Version: "unknown"}
	}
	v := version{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}
