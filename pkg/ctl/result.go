package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func newResultCommand(conn *connection) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "result JOB",
		Short: "Print the result of a job; the exit code says how the job ended",
		Args:  oneJob,
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := conn.client()
			if err != nil {
				return err
			}
			status, err := cl.Await(cmd.Context(), api.JobID(args[0]), wait)
			return conn.printResult(cmd.OutOrStdout(), status, err)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for the end of the job")
	return cmd
}

// printResult prints the task's own result, or the whole status as JSON. A job
// that goes on is an error of kind timeout, so that scripts can tell.
func (c *connection) printResult(w io.Writer, status api.JobStatus, err error) error {
	if err != nil || !status.State.Terminal() {
		if err := c.printOutcome(w, status, err); err != nil {
			return err
		}
		return errkind.New(errkind.Timeout, "the job is %s", status.State)
	}
	if c.output == outputJSON {
		return printJSON(w, status)
	}
	fmt.Fprintf(w, "%s\n", status.Result)
	return nil
}
