// Command carawayusher-node runs the product on the users' platform. It reads
// the settings file that CARAWAYUSHER_CONFIG names.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/logging"
	"github.com/carawayusher/carawayusher/platform"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "carawayusher-node:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "carawayusher-node", Short: "carawayusher on the users' platform",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(&cobra.Command{
		Use: "front", Short: "Serve callers and take part in scheduling", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve() },
	}, &cobra.Command{
		Use: "check-config", Short: "Check the settings file and print the first fault", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv)); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "no faults")
			return nil
		},
	})
	return root
}

func serve() error {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, _, err := logging.New(logging.Options{Writer: out})
	if err != nil {
		return err
	}
	return platform.Serve(settings, log)
}
