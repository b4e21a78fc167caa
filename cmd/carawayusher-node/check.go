package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/platform"
)

func newCheckOperatorConfigCommand() *cobra.Command {
	var against, output string
	var accelerators int64
	var strict bool
	cmd := &cobra.Command{
		Use:   "check-operator-config FILE",
		Short: "Check the operator's configuration (- for standard input) before it is stored; nothing is changed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "json" && output != "table" {
				return errkind.New(errkind.InvalidRequest, "--output: %q is not json or table", output)
			}
			next, err := readFile(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			var inForce []byte
			if against != "" {
				if inForce, err = readFile(cmd.InOrStdin(), against); err != nil {
					return err
				}
			}
			r := platform.CheckConfig(next, inForce, accelerators)
			write := r.WriteText
			if output == "json" {
				write = r.WriteJSON
			}
			if err := write(cmd.OutOrStdout()); err != nil {
				return err
			}
			return r.Err(strict)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force")
	cmd.Flags().StringVarP(&output, "output", "o", "table", "json or table")
	cmd.Flags().Int64Var(&accelerators, "accelerators", 0, "accelerators of all workers, for the sum of the guarantees; 0 if unknown")
	cmd.Flags().BoolVar(&strict, "strict", false, "treat warnings as errors")
	return cmd
}

// readFile returns the content of a file, or of standard input for "-".
func readFile(stdin io.Reader, name string) (data []byte, err error) {
	if name == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "%s", err)
	}
	return data, nil
}
