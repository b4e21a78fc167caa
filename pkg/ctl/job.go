package ctl

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func jobTable(jobs ...api.JobStatus) table {
	t := table{header: []string{"ID", "NAME", "CLASS", "STATE", "ACCELERATORS", "ATTEMPT", "SUBMITTED", "ENDED", "REASON"}}
	for _, j := range jobs {
		t.rows = append(t.rows, []string{
			string(j.ID), orHyphen(j.Spec.Name), j.Spec.Class, string(j.State), strconv.Itoa(j.Spec.Accelerators),
			strconv.Itoa(j.Attempt), formatTime(j.SubmittedAt), formatTime(j.EndedAt), orHyphen(j.Reason),
		})
	}
	return t
}

// printOutcome prints the status of a job, also of one that ended without
// success, and passes the error on.
func (c *connection) printOutcome(w io.Writer, status api.JobStatus, err error) error {
	var answered *client.Error
	if errors.As(err, &answered) && answered.Job != nil {
		status = *answered.Job
	} else if err != nil {
		return err
	}
	if printErr := c.print(w, status, jobTable(status)); printErr != nil {
		return printErr
	}
	return err
}

// oneJob accepts a job ID as the only argument.
func oneJob(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return errkind.New(errkind.InvalidRequest, "exactly one job ID is expected")
	}
	return nil
}

// noArguments accepts flags only.
func noArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errkind.New(errkind.InvalidRequest, "unexpected argument %q", args[0])
	}
	return nil
}
