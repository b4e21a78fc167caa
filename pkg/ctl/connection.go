package ctl

import (
	"context"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Environment variables that stand in for flags.
const (
	envServer = "CARAWAYUSHER_SERVER" // base URLs, separated by commas
	envToken  = "CARAWAYUSHER_TOKEN"
)

const defaultServer = "http://127.0.0.1:8080"

const (
	outputJSON  = "json"
	outputTable = "table"
)

// connection holds the flags that all commands share.
type connection struct {
	servers []string
	token   string
	output  string
}

func (c *connection) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringArrayVar(&c.servers, "server", nil, "base URL of a VM, repeatable (default $"+envServer+", else "+defaultServer+")")
	f.StringVar(&c.token, "token", "", "bearer token (default $"+envToken+", which keeps it out of the process list)")
	f.StringVarP(&c.output, "output", "o", outputTable, "json or table")
	// The error is for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputJSON, outputTable}, cobra.ShellCompDirectiveNoFileComp))
}

// complete fills in the environment and checks the flags. The environment is
// read here and not as a default, because help prints defaults.
func (c *connection) complete() error {
	if len(c.servers) == 0 {
		c.servers = strings.FieldsFunc(os.Getenv(envServer), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(c.servers) == 0 {
		c.servers = []string{defaultServer}
	}
	if c.token == "" {
		c.token = os.Getenv(envToken)
	}
	if !slices.Contains([]string{outputJSON, outputTable}, c.output) {
		return errkind.New(errkind.InvalidRequest, "--output: %q is not json or table", c.output)
	}
	return nil
}

func (c *connection) client() (*client.Client, error) {
	return client.New(client.Options{Servers: c.servers, Token: c.token})
}

// call sends any request with the token and decodes the JSON answer into out,
// which may be nil. Every GET may fail over between the servers; other requests
// do so only when they are marked as idempotent or were not run.
func (c *connection) call(ctx context.Context, r client.Request, out any) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	r.Idempotent = r.Idempotent || r.Method == http.MethodGet
	return cl.Do(ctx, r, out)
}
