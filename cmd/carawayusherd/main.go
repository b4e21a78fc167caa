// Command carawayusherd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/daemon"
	"github.com/carawayusher/carawayusher/pkg/demo"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleetdemo"
	"github.com/carawayusher/carawayusher/pkg/logging"
	"github.com/carawayusher/carawayusher/pkg/settings"
)

// version is set by the linker.
var version = "devel"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := newRootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "carawayusherd:", err)
		os.Exit(errkind.Lookup(errkind.Of(err)).Exit)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "carawayusherd", Short: "Scheduler of multi-accelerator jobs under workspace guarantees",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newCheckCommand(), newDemoCommand(), newVersionCommand())
	return root
}

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run the daemon", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), path) },
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("config") // the flag exists
	return cmd
}

func serve(ctx context.Context, path string) error {
	s, err := load(path)
	if err != nil {
		return err
	}
	log, flush, err := logging.New(logging.Options{Level: s.Log.Level, Format: s.Log.Format})
	if err != nil {
		return err
	}
	defer func() { _ = flush() }() // standard error may be a terminal, which cannot be synced
	d, err := daemon.New(s, log, daemon.Backends{})
	if err != nil {
		return err
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Drain.Timeout+daemon.StopMargin)
	defer cancel()
	return d.Stop(stopCtx)
}

// load reads the settings and prints every fault.
func load(path string) (*settings.Settings, error) {
	s, faults := settings.Load(path)
	if len(faults) == 0 {
		return s, nil
	}
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, f)
	}
	return nil, errkind.New(errkind.InvalidConfig, "%d faults in %s", len(faults), path)
}

func newCheckCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check-config", Short: "Check a settings file and print every fault", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults\n", path)
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("config") // the flag exists
	return cmd
}

func newDemoCommand() *cobra.Command {
	var platform bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a mixed load on an embedded system and check the outcome", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, _, err := logging.New(logging.Options{Level: "error", Format: "console"})
			if err != nil {
				return err
			}
			if platform {
				return fleetdemo.Run(cmd.Context(), cmd.OutOrStdout(), log)
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), log)
		},
	}
	cmd.Flags().BoolVar(&platform, "platform", false, "the mode of the users' platform, with a killed owner and a store outage")
	return cmd
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version) },
	}
}
