package ctl

import (
	"bytes"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/configcheck"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

func newCheckConfigCommand(conn *connection) *cobra.Command {
	var against string
	var strict bool
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a configuration document (- for standard input) before it is sent; nothing is changed",
		Long: "Check a configuration document: errors, entries that can never match, limits that contradict each other, and what differs\n" +
			"from the version in force. The version in force and the workers come from the server, if --server or $" + envServer + "\n" +
			"names one; with --against, the version in force is a file and no server is asked. The exit code is 0 without errors.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := conn.checkConfig(cmd, args[0], against)
			if err != nil {
				return err
			}
			write := r.WriteText
			if conn.output == outputJSON {
				write = r.WriteJSON
			}
			if err := write(cmd.OutOrStdout()); err != nil {
				return err
			}
			return r.Err(strict)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force")
	cmd.Flags().BoolVar(&strict, "strict", false, "treat warnings as errors")
	return cmd
}

func (c *connection) checkConfig(cmd *cobra.Command, file, against string) (*configcheck.Report, error) {
	data, err := readInput(cmd.InOrStdin(), file)
	if err != nil {
		return nil, err
	}
	next, err := policy.DecodeYAML(bytes.NewReader(data))
	if err != nil {
		return configcheck.Undecodable(err), nil
	}
	if against != "" {
		inForce, err := readDocument(against)
		if err != nil {
			return nil, err
		}
		return configcheck.Document(next, inForce, configcheck.Fleet{}, time.Now()), nil
	}
	if !cmd.Flags().Changed("server") && os.Getenv(envServer) == "" {
		return configcheck.Document(next, nil, configcheck.Fleet{}, time.Now()), nil
	}
	inForce, fleet, err := c.inForce(cmd)
	if err != nil {
		return nil, err
	}
	return configcheck.Document(next, inForce, fleet, time.Now()), nil
}

func readDocument(file string) (*policy.Document, error) {
	data, err := readInput(nil, file)
	if err != nil {
		return nil, err
	}
	doc, err := policy.DecodeYAML(bytes.NewReader(data))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "--against %s", file)
	}
	return doc, nil
}

// inForce asks the server for the document in force and for the workers.
func (c *connection) inForce(cmd *cobra.Command) (*policy.Document, configcheck.Fleet, error) {
	ctx := cmd.Context()
	var doc policy.Document
	if err := c.get(ctx, "/config", nil, &doc); err != nil {
		return nil, configcheck.Fleet{}, err
	}
	domains, err := getAll[sched.Summary](ctx, c, "/domains", nil)
	if err != nil {
		return nil, configcheck.Fleet{}, err
	}
	workers, err := getAll[api.WorkerStatus](ctx, c, "/workers", nil)
	if err != nil {
		return nil, configcheck.Fleet{}, err
	}
	return &doc, fleetOf(domains, workers), nil
}

// fleetOf returns what is known of the workers. While no VM has a worker, nothing is
// known, as the planner has it.
func fleetOf(domains []sched.Summary, workers []api.WorkerStatus) configcheck.Fleet {
	var fleet configcheck.Fleet
	if len(domains) > 0 {
		fleet.Domains = map[string]configcheck.Domain{}
	}
	for _, d := range domains {
		fleet.Domains[d.Domain] = configcheck.Domain{Accelerators: d.Accelerators, LargestRack: d.LargestRack, LargestWorker: d.LargestWorker}
	}
	if len(workers) > 0 {
		fleet.Workers, fleet.Racks = map[string]bool{}, map[string]bool{}
	}
	for _, w := range workers {
		fleet.Workers[w.ID], fleet.Racks[w.Rack] = true, true
	}
	return fleet
}
