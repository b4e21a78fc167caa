package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
)

func newListCommand(conn *connection) *cobra.Command {
	var o client.ListOptions
	var state, after string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the workspace's jobs, one page at a time",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.State, o.After = api.State(state), api.JobID(after)
			cl, err := conn.client()
			if err != nil {
				return err
			}
			list, err := cl.List(cmd.Context(), o)
			if err != nil {
				return err
			}
			if list.Next != "" && conn.output == outputTable {
				defer fmt.Fprintf(cmd.ErrOrStderr(), "more jobs: --after %s\n", list.Next)
			}
			return conn.print(cmd.OutOrStdout(), list, jobTable(list.Jobs...))
		},
	}
	cmd.Flags().StringVar(&o.Class, "class", "", "only jobs of this class")
	cmd.Flags().StringVar(&state, "state", "", "only jobs in this state")
	cmd.Flags().StringVar(&after, "after", "", "job ID after which the page begins")
	cmd.Flags().IntVar(&o.Limit, "limit", 0, "jobs per page")
	return cmd
}
