package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
)

func newCancelCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job",
		Args:  oneJob,
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := conn.client()
			if err != nil {
				return err
			}
			status, err := cl.Cancel(cmd.Context(), api.JobID(args[0]))
			if err == nil && !status.Durable {
				fmt.Fprintln(cmd.ErrOrStderr(), "the cancellation is applied but not yet kept in the store")
			}
			return conn.printOutcome(cmd.OutOrStdout(), status, err)
		},
	}
}
