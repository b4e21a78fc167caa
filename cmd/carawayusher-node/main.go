// Command carawayusher-node runs the scheduler on the users' platform and offers
// operator commands for its settings, logs and automation hold. The environment
// variable CARAWAYUSHER_CONFIG names the settings file.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/explain"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/logging"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/platform"
)

// operatorTimeout limits a command that accesses the platform's store.
const operatorTimeout = 10 * time.Second

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
	root.AddCommand(newFrontCommand(), newCheckConfigCommand(), newCheckOperatorConfigCommand(), newExplainCommand(), newAccountCommand(),
		newAutomationHoldCommand("hold", "Hold all automatic actions: preemption, moves, upkeep, evacuation", true),
		newAutomationHoldCommand("release", "Give all automatic actions back", false))
	return root
}

func loadSettings() (*platform.Settings, error) {
	return platform.LoadSettings(os.Getenv(platform.SettingsEnv))
}

func newFrontCommand() *cobra.Command {
	var options platform.ServeOptions
	var disabled, enabled []string
	cmd := &cobra.Command{
		Use: "front", Short: "Serve callers and take part in scheduling", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := loadSettings()
			if err != nil {
				return err
			}
			if options.DisabledRules, err = fleet.ParseRules(disabled); err != nil {
				return err
			}
			if options.EnabledRules, err = fleet.ParseRules(enabled); err != nil {
				return err
			}
			out := logging.NewAsyncWriter(os.Stdout)
			defer out.Close()
			log, _, err := logging.New(logging.Options{Writer: out})
			if err != nil {
				return err
			}
			return platform.Serve(settings, log, metrics.New(out.Dropped), options)
		},
	}
	cmd.Flags().IntVar(&options.MetricsPort, "metrics-port", 0, "port of the metrics at this VM's address; 0 serves none")
	cmd.Flags().StringSliceVar(&enabled, "enable-rules", nil, "optional decision rules that are applied: preemption-wait, victim-cost, shortage-order, admission, worker-speed")
	cmd.Flags().StringSliceVar(&disabled, "disable-rules", nil, "decision rules that are not applied, by name")
	return cmd
}

func newCheckConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check-config", Short: "Check the settings file and print the first fault", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := loadSettings(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "no faults")
			return nil
		},
	}
}

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID [FILE]", Short: "Show what log lines (of a file or standard input) say about a job", Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, closeInput, err := openInput(cmd, args[1:])
			if err != nil {
				return err
			}
			defer closeInput()
			return explain.Job(in, cmd.OutOrStdout(), args[0])
		},
	}
}

func newAccountCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "account [FILE]", Short: "Split the time of completed jobs by cause, from log lines of a file or standard input", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, closeInput, err := openInput(cmd, args)
			if err != nil {
				return err
			}
			defer closeInput()
			accounts, err := explain.Accounts(in)
			if err != nil {
				return err
			}
			if asJSON {
				return explain.WriteAccountsJSON(cmd.OutOrStdout(), accounts)
			}
			return explain.WriteAccounts(cmd.OutOrStdout(), accounts)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "write one JSON object a line for each job")
	return cmd
}

// openInput opens the file that the arguments name, or standard input without one.
func openInput(cmd *cobra.Command, args []string) (in io.Reader, closeInput func(), err error) {
	if len(args) == 0 {
		return cmd.InOrStdin(), func() {}, nil
	}
	f, err := os.Open(args[0])
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.NotFound, "log file")
	}
	return f, func() { f.Close() }, nil
}

// newAutomationHoldCommand returns the command that sets or releases the
// automation hold. Without --confirm it only shows what it would change.
func newAutomationHoldCommand(name, short string, hold bool) *cobra.Command {
	var reason string
	var confirm bool
	cmd := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loadSettings()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), operatorTimeout)
			defer cancel()
			return platform.SetAutomationHold(ctx, settings, hold, reason, confirm, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why, for the log")
	cmd.Flags().BoolVar(&confirm, "confirm", false, "carry the plan out")
	return cmd
}
