// Package ctl holds the commands of carawayctl, one file per command.
package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// NewRootCommand returns carawayctl with all its commands. Output goes to the
// writers of the command.
func NewRootCommand() *cobra.Command {
	conn := &connection{}
	root := &cobra.Command{
		Use:           "carawayctl",
		Short:         "Submit and follow jobs, and operate carawayusher",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return conn.complete()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errkind.New(errkind.InvalidRequest, "%s", err)
	})
	conn.addFlags(root)
	root.AddCommand(
		newSubmitCommand(conn), newStatusCommand(conn), newResultCommand(conn), newCancelCommand(conn),
		newListCommand(conn), newWorkersCommand(conn), newVersionCommand(conn),
	)
	addOperatorCommands(root, conn)
	return root
}

// exitUsage is the exit code of a command line that cobra refuses.
const exitUsage = 2

// Execute runs one command line and returns the exit code of its error kind,
// or 0.
func Execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := NewRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	printError(errOut, err)
	var kinded *errkind.Error
	if !errors.As(err, &kinded) {
		return exitUsage
	}
	return errkind.Lookup(kinded.Kind).Exit
}

func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "carawayctl: %s\n", err)
	var answered *client.Error
	if errors.As(err, &answered) {
		fmt.Fprintf(w, "ran: %s\n", answered.Ran)
	}
	var kinded *errkind.Error
	if errors.As(err, &kinded) {
		fmt.Fprintf(w, "%s\n", errkind.Lookup(kinded.Kind).Help)
	}
}
