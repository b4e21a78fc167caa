package ctl

import (
	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
)

func newStatusCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "status JOB",
		Short: "Show the present status of a job",
		Args:  oneJob,
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := conn.client()
			if err != nil {
				return err
			}
			status, err := cl.Status(cmd.Context(), api.JobID(args[0]))
			return conn.printOutcome(cmd.OutOrStdout(), status, err)
		},
	}
}
