package ctl

import "github.com/spf13/cobra"

// addOperatorCommands adds the operators' commands. They send their requests
// with connection.call and print with connection.print.
func addOperatorCommands(_ *cobra.Command, _ *connection) {}
