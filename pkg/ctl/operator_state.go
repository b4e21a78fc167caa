package ctl

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

func newConfigCommand(conn *connection) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show the configuration document"}
	cmd.AddCommand(
		&cobra.Command{
			Use: "show", Short: "Show the document in force, without token hashes", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return conn.showConfig(cmd) },
		},
		&cobra.Command{
			Use: "status", Short: "Show on how many VMs the newest revision is in force", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return conn.configStatus(cmd) },
		},
	)
	return cmd
}

func (c *connection) showConfig(cmd *cobra.Command) error {
	var doc policy.Document
	if err := c.get(cmd.Context(), "/config", nil, &doc); err != nil {
		return err
	}
	if c.output == outputJSON {
		return printJSON(cmd.OutOrStdout(), doc)
	}
	text, err := yaml.Marshal(doc)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "the document cannot be shown")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "# changed by %s at %s, plan %s\n%s", orHyphen(doc.ChangedBy), formatTime(doc.ChangedAt), orHyphen(doc.Plan), text)
	return nil
}

func (c *connection) configStatus(cmd *cobra.Command) error {
	var s admin.ConfigStatus
	if err := c.get(cmd.Context(), "/config/status", nil, &s); err != nil {
		return err
	}
	t := table{header: []string{"VM", "REVISION"}}
	for _, vm := range slices.Sorted(maps.Keys(s.VMs)) {
		t.rows = append(t.rows, []string{vm, fmt.Sprint(s.VMs[vm])})
	}
	if c.output == outputTable {
		fmt.Fprintf(cmd.OutOrStdout(), "Revision %d is in force on %d of %d VMs.\n", s.Revision, s.InForce, s.Of)
	}
	return c.print(cmd.OutOrStdout(), s, t)
}

func newWhyCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use: "why JOB", Short: "Say why a job waits or how it ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var w admin.Why
			if err := conn.get(cmd.Context(), "/jobs/"+url.PathEscape(args[0])+"/why", nil, &w); err != nil {
				return err
			}
			if conn.output == outputJSON {
				return printJSON(cmd.OutOrStdout(), w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s of %s is %s: %s\n", w.Job, w.Workspace, w.State, w.Reason)
			return nil
		},
	}
}

func newMembersCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use: "members", Short: "List the VMs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := getAll[membership.Member](cmd.Context(), conn, "/members", nil)
			if err != nil {
				return err
			}
			t := table{header: []string{"VM", "DOMAIN", "ADDRESS", "STATE", "READY", "REVISION"}}
			for _, m := range list {
				t.rows = append(t.rows, []string{m.ID, m.FailureDomain, m.Address, string(m.State), fmt.Sprint(m.Ready), fmt.Sprint(m.ConfigRevision)})
			}
			return conn.print(cmd.OutOrStdout(), list, t)
		},
	}
}

func newDomainsCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use: "domains", Short: "Show the failure domains", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := getAll[sched.Summary](cmd.Context(), conn, "/domains", nil)
			if err != nil {
				return err
			}
			t := table{header: []string{"DOMAIN", "WORKERS", "ACCELERATORS", "FREE", "LARGEST IN RACK", "FREE SLOTS", "QUEUED", "UNMEETABLE"}}
			for _, d := range list {
				t.rows = append(t.rows, []string{
					d.Domain, fmt.Sprint(d.Workers), fmt.Sprint(d.Accelerators), fmt.Sprint(d.Free.Domain), fmt.Sprint(d.Free.Rack),
					fmt.Sprint(d.FreeSlots), counts(d.QueuedByClass), orHyphen(strings.Join(d.Unmeetable, ",")),
				})
			}
			return conn.print(cmd.OutOrStdout(), list, t)
		},
	}
}

// counts shows a map as "a=1,b=2".
func counts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return orHyphen(strings.Join(parts, ","))
}
