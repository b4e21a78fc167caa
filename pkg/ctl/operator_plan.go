package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

func newApplyCommand(conn *connection) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Plan the intent in a YAML or JSON file (- for standard input)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readInput(cmd.InOrStdin(), file)
			if err != nil {
				return err
			}
			intent, err := plan.ParseIntent(data)
			if err != nil {
				return err
			}
			return conn.makePlan(cmd, intent)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file with the intent")
	_ = cmd.MarkFlagRequired("file") // fails only for a flag that does not exist
	return cmd
}

// makePlan sends the intent and shows the plan.
func (c *connection) makePlan(cmd *cobra.Command, intent plan.Intent) error {
	var made plan.Plan
	if err := c.post(cmd.Context(), "/plans", intent, &made); err != nil {
		return err
	}
	return c.printRecord(cmd.OutOrStdout(), plan.Record{Plan: made, State: plan.StateOpen})
}

func (c *connection) printRecord(w io.Writer, rec plan.Record) error {
	if c.output == outputJSON {
		return printJSON(w, rec)
	}
	return plan.Render(w, rec)
}

func newPlanCommand(conn *connection) *cobra.Command {
	cmd := &cobra.Command{Use: "plan", Short: "Show plans"}
	cmd.AddCommand(
		&cobra.Command{
			Use: "show PLAN", Short: "Show a plan and what became of it", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				var rec plan.Record
				if err := conn.get(cmd.Context(), "/plans/"+url.PathEscape(args[0]), nil, &rec); err != nil {
					return err
				}
				return conn.printRecord(cmd.OutOrStdout(), rec)
			},
		},
		&cobra.Command{
			Use: "list", Short: "List the plans, the oldest first", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return conn.listPlans(cmd) },
		},
	)
	return cmd
}

func (c *connection) listPlans(cmd *cobra.Command) error {
	records, err := getAll[plan.Record](cmd.Context(), c, "/plans", nil)
	if err != nil {
		return err
	}
	t := table{header: []string{"PLAN", "KIND", "STATE", "BASE", "MADE BY", "CONFIRMED BY", "EXPIRES"}}
	for _, r := range records {
		t.rows = append(t.rows, []string{
			r.Plan.ID, string(r.Plan.Intent.Kind), string(r.State), fmt.Sprint(r.Plan.Base), r.Plan.MadeBy,
			orHyphen(r.ConfirmedBy), formatTime(r.Plan.ExpiresAt),
		})
	}
	return c.print(cmd.OutOrStdout(), records, t)
}

func newConfirmCommand(conn *connection) *cobra.Command {
	var hash string
	cmd := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Carry a plan out; repeating it is harmless",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var rec plan.Record
			err := conn.post(cmd.Context(), "/plans/"+url.PathEscape(args[0])+"/confirm", admin.ConfirmRequest{Hash: hash}, &rec)
			if err != nil {
				printOutdated(cmd.ErrOrStderr(), err)
				return err
			}
			return conn.printRecord(cmd.OutOrStdout(), rec)
		},
	}
	cmd.Flags().StringVar(&hash, "hash", "", "hash of the plan that was reviewed; another content is refused")
	return cmd
}

// printOutdated shows what overtook a plan and the fresh plan, if err is
// plan_outdated. Errors of the writer are left to the caller's own output.
func printOutdated(w io.Writer, err error) {
	var answered *client.Error
	var body admin.OutdatedProblem
	if !errors.As(err, &answered) || answered.Kind != errkind.PlanOutdated || json.Unmarshal(answered.Body, &body) != nil {
		return
	}
	for _, r := range body.Changed {
		fmt.Fprintf(w, "Revision %d by %s (plan %s):\n", r.Revision, orHyphen(r.ChangedBy), orHyphen(r.Plan))
		for _, c := range r.Changes {
			fmt.Fprintf(w, "  %s\n", c)
		}
	}
	if body.FreshError != "" {
		fmt.Fprintf(w, "No fresh plan: %s\n", body.FreshError)
	}
	if body.Fresh != nil {
		fmt.Fprintln(w, "Fresh plan:")
		_ = plan.Render(w, plan.Record{Plan: *body.Fresh, State: plan.StateOpen})
	}
}

func newProposalsCommand(conn *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use: "proposals", Short: "List the automatic actions that a hold kept back", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return conn.listProposals(cmd) },
	}
	var all bool
	take := &cobra.Command{
		Use: "take [PROPOSAL...]", Short: "Plan to carry proposals out",
		RunE: func(cmd *cobra.Command, ids []string) error {
			if all {
				list, err := getAll[gate.Proposal](cmd.Context(), conn, "/proposals", nil)
				if err != nil {
					return err
				}
				for _, p := range list {
					ids = append(ids, p.ID)
				}
			}
			return conn.makePlan(cmd, plan.NewIntent(&plan.Proposals{IDs: ids}))
		},
	}
	take.Flags().BoolVar(&all, "all", false, "all proposals that are listed now")
	cmd.AddCommand(take)
	return cmd
}

func (c *connection) listProposals(cmd *cobra.Command) error {
	list, err := getAll[gate.Proposal](cmd.Context(), c, "/proposals", nil)
	if err != nil {
		return err
	}
	t := table{header: []string{"PROPOSAL", "KIND", "WORKSPACE", "JOB", "WORKER", "LOSES", "SINCE", "REASON"}}
	for _, p := range list {
		t.rows = append(t.rows, []string{
			p.ID, string(p.Kind), orHyphen(p.Workspace), orHyphen(string(p.Job)), orHyphen(p.Worker),
			p.LostWork.Round(time.Second).String(), formatTime(p.ProposedAt), strings.ReplaceAll(p.Reason, "\n", " "),
		})
	}
	return c.print(cmd.OutOrStdout(), list, t)
}
