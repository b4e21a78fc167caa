package ctl

import (
	"bufio"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// intentCommand returns a command whose only effect is a plan for the intent
// that spec builds from its flags and arguments.
func intentCommand(conn *connection, use, short string, args cobra.PositionalArgs, spec func(cmd *cobra.Command, args []string) (plan.Spec, error)) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: args,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := spec(cmd, args)
			if err != nil {
				return err
			}
			return conn.makePlan(cmd, plan.NewIntent(s))
		},
	}
}

func firstOf(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}

func newDrainCommand(conn *connection) *cobra.Command {
	var s plan.Drain
	cmd := intentCommand(conn, "drain [WORKER]", "Plan to stop new work on a worker or a rack", cobra.MaximumNArgs(1),
		func(_ *cobra.Command, args []string) (plan.Spec, error) {
			s.Worker = firstOf(args)
			return &s, nil
		})
	cmd.Flags().StringVar(&s.Rack, "rack", "", "drain a whole rack")
	cmd.Flags().StringVar(&s.Reason, "reason", "", "why, for other operators")
	return cmd
}

func newUndrainCommand(conn *connection) *cobra.Command {
	var s plan.Undrain
	cmd := intentCommand(conn, "undrain [WORKER]", "Plan to return a worker or a rack to service", cobra.MaximumNArgs(1),
		func(_ *cobra.Command, args []string) (plan.Spec, error) {
			s.Worker = firstOf(args)
			return &s, nil
		})
	cmd.Flags().StringVar(&s.Rack, "rack", "", "return a whole rack")
	return cmd
}

func newHoldCommand(conn *connection) *cobra.Command {
	var s plan.Hold
	var until string
	cmd := intentCommand(conn, "hold", "Plan to stop automatic actions", cobra.NoArgs,
		func(*cobra.Command, []string) (plan.Spec, error) {
			var err error
			s.Until, err = parseUntil(until)
			return &s, err
		})
	cmd.Flags().StringVar(&s.Workspace, "workspace", "", "hold one workspace only (default: the whole system)")
	cmd.Flags().StringVar(&until, "until", "", "end of the hold: a time such as 2026-01-05T08:00:00Z or a duration such as 62h (default: until resumed)")
	cmd.Flags().StringVar(&s.Reason, "reason", "", "why, for other operators")
	_ = cmd.MarkFlagRequired("reason") // fails only for a flag that does not exist
	return cmd
}

func parseUntil(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(d).UTC().Truncate(time.Second), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, errkind.New(errkind.InvalidRequest, "--until: %q is neither a time such as 2026-01-05T08:00:00Z nor a duration such as 62h", text)
	}
	return t, nil
}

func newResumeCommand(conn *connection) *cobra.Command {
	var s plan.Resume
	cmd := intentCommand(conn, "resume", "Plan to enable automatic actions again", cobra.NoArgs,
		func(*cobra.Command, []string) (plan.Spec, error) { return &s, nil })
	cmd.Flags().StringVar(&s.Workspace, "workspace", "", "resume one workspace only (default: the whole system)")
	return cmd
}

func newReclaimCommand(conn *connection) *cobra.Command {
	var s plan.Reclaim
	cmd := intentCommand(conn, "reclaim WORKSPACE", "Plan to take borrowed cells back for a workspace's guarantees", cobra.ExactArgs(1),
		func(_ *cobra.Command, args []string) (plan.Spec, error) {
			s.Workspace = args[0]
			return &s, nil
		})
	cmd.Flags().StringVar(&s.FailureDomain, "domain", "", "one failure domain only")
	return cmd
}

func newDefragmentCommand(conn *connection) *cobra.Command {
	var s plan.Defragment
	cmd := intentCommand(conn, "defragment", "Plan to move jobs so that larger gangs can be placed", cobra.NoArgs,
		func(*cobra.Command, []string) (plan.Spec, error) { return &s, nil })
	cmd.Flags().StringVar(&s.FailureDomain, "domain", "", "one failure domain only")
	return cmd
}

func newCancelWhereCommand(conn *connection) *cobra.Command {
	var s plan.Cancel
	cmd := intentCommand(conn, "cancel-where", "Plan to cancel the jobs that match all given flags", cobra.NoArgs,
		func(*cobra.Command, []string) (plan.Spec, error) { return &s, nil })
	cmd.Flags().StringVar(&s.Workspace, "workspace", "", "jobs of this workspace")
	cmd.Flags().StringVar(&s.Class, "class", "", "jobs of this class")
	cmd.Flags().StringVar((*string)(&s.State), "state", "", "jobs in this state, such as "+string(api.StateQueued))
	cmd.Flags().DurationVar((*time.Duration)(&s.OlderThan), "older-than", 0, "jobs submitted at least this long ago")
	return cmd
}

func newQuotaCommand(conn *connection) *cobra.Command {
	var accelerators, slots, queued int
	var rate float64
	cmd := intentCommand(conn, "quota WORKSPACE", "Plan to change the quota of a workspace (0: no limit)", cobra.ExactArgs(1),
		func(cmd *cobra.Command, args []string) (plan.Spec, error) {
			return &plan.Quota{
				Workspace:    args[0],
				Accelerators: given(cmd, "accelerators", accelerators), Slots: given(cmd, "slots", slots),
				Queued: given(cmd, "queued", queued), RequestsPerSecond: given(cmd, "requests-per-second", rate),
			}, nil
		})
	cmd.Flags().IntVar(&accelerators, "accelerators", 0, "accelerators in use at one time")
	cmd.Flags().IntVar(&slots, "slots", 0, "slots in use at one time")
	cmd.Flags().IntVar(&queued, "queued", 0, "jobs that wait")
	cmd.Flags().Float64Var(&rate, "requests-per-second", 0, "submissions per second over all VMs")
	return cmd
}

func newPriorityCommand(conn *connection) *cobra.Command {
	var s plan.Priority
	var rank int
	var weight float64
	cmd := intentCommand(conn, "priority", "Plan to change the rank of a class or the weight of a workspace", cobra.NoArgs,
		func(cmd *cobra.Command, _ []string) (plan.Spec, error) {
			s.Rank, s.Weight = given(cmd, "rank", rank), given(cmd, "weight", weight)
			return &s, nil
		})
	cmd.Flags().StringVar(&s.Class, "class", "", "class whose rank changes")
	cmd.Flags().IntVar(&rank, "rank", 0, "new rank; the lowest goes first")
	cmd.Flags().StringVar(&s.Workspace, "workspace", "", "workspace whose weight changes")
	cmd.Flags().Float64Var(&weight, "weight", 1, "new share of the spare capacity")
	return cmd
}

// given returns the value of a flag, or nil if it was not set.
func given[T any](cmd *cobra.Command, flag string, value T) *T {
	if !cmd.Flags().Changed(flag) {
		return nil
	}
	return &value
}

func newTokenHashCommand() *cobra.Command {
	return &cobra.Command{
		Use: "token-hash", Short: "Read a token from standard input and print the hash for an intent", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			scanner := bufio.NewScanner(cmd.InOrStdin())
			if !scanner.Scan() || scanner.Text() == "" {
				return errkind.New(errkind.InvalidRequest, "no token on standard input")
			}
			fmt.Fprintln(cmd.OutOrStdout(), policy.HashToken(scanner.Text()))
			return nil
		},
	}
}
