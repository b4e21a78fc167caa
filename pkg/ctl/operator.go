package ctl

import (
	"context"
	"net/http"
	"net/url"
	"os"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/client"
)

// addOperatorCommands adds the operators' commands.
func addOperatorCommands(root *cobra.Command, conn *connection) {
	const group = "operators"
	root.AddGroup(&cobra.Group{ID: group, Title: "Operators' commands:"})
	for _, cmd := range []*cobra.Command{
		newApplyCommand(conn), newPlanCommand(conn), newConfirmCommand(conn), newProposalsCommand(conn),
		newDrainCommand(conn), newUndrainCommand(conn), newHoldCommand(conn), newResumeCommand(conn),
		newReclaimCommand(conn), newDefragmentCommand(conn), newCancelWhereCommand(conn), newQuotaCommand(conn), newPriorityCommand(conn),
		newConfigCommand(conn), newCheckConfigCommand(conn), newTimelineCommand(conn), newWhyCommand(conn), newMembersCommand(conn), newDomainsCommand(conn),
		newReportCommand(conn), newTokenHashCommand(),
	} {
		cmd.GroupID = group
		cmd.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error { return conn.completeOperator(cmd) }
		root.AddCommand(cmd)
	}
}

// envOperatorToken stands in for --token in the operators' commands, so that
// one shell can act for a workspace and for an operator.
const envOperatorToken = "CARAWAYUSHER_OPERATOR_TOKEN"

func (c *connection) completeOperator(cmd *cobra.Command) error {
	if token := os.Getenv(envOperatorToken); token != "" && !cmd.Flags().Changed("token") {
		c.token = token
	}
	return c.complete()
}

// get asks the administration API for path, which is below admin.Prefix.
func (c *connection) get(ctx context.Context, path string, query url.Values, out any) error {
	return c.call(ctx, client.Request{Method: http.MethodGet, Path: admin.Prefix + path, Query: query, Idempotent: true}, out)
}

// post sends body to the administration API. Plans and confirmations may be
// repeated at another VM: a second plan has no effect and a second confirmation
// the same one.
func (c *connection) post(ctx context.Context, path string, body, out any) error {
	return c.call(ctx, client.Request{Method: http.MethodPost, Path: admin.Prefix + path, Body: body, Idempotent: true}, out)
}

// getAll returns the items of all pages.
func getAll[T any](ctx context.Context, c *connection, path string, query url.Values) ([]T, error) {
	params := url.Values{}
	for k, v := range query {
		params[k] = v
	}
	items := []T{}
	for {
		var page admin.Page[T]
		if err := c.get(ctx, path, params, &page); err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		params.Set("after", page.Next)
	}
}
