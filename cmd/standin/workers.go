package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// workersSettings describes many workers in one process.
type workersSettings struct {
	workerSettings
	count    int
	prefix   string
	domains  []string
	rackSize int
}

func newWorkersCommand() *cobra.Command {
	var s workersSettings
	cmd := &cobra.Command{
		Use:   "workers",
		Short: "Run many workers in one process, for measurements",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger()
			if err != nil {
				return err
			}
			return runWorkers(cmd.Context(), log, s, cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	addWorkerFlags(f, &s.workerSettings)
	f.IntVar(&s.count, "count", 50, "number of workers; they listen on consecutive ports unless the port is 0")
	f.StringVar(&s.prefix, "id", "worker", "prefix of the workers' IDs")
	f.StringSliceVar(&s.domains, "failure-domain", []string{"region/zone-0", "region/zone-1", "region/zone-2"},
		"failure domains that the workers are spread over in equal parts")
	f.IntVar(&s.rackSize, "rack-size", 8, "workers in a rack")
	return cmd
}

func runWorkers(ctx context.Context, log logr.Logger, s workersSettings, out io.Writer) error {
	if s.count < 1 || s.rackSize < 1 || len(s.domains) == 0 {
		return fmt.Errorf("--count, --rack-size and --failure-domain must not be empty")
	}
	all := make([]workerSettings, s.count)
	for i := range all {
		var err error
		if all[i], err = s.worker(i); err != nil {
			return err
		}
	}
	out = &lockedWriter{out: out}
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range all {
		group.Go(func() error { return runWorker(ctx, log, one, out) })
	}
	return group.Wait()
}

// worker returns the settings of worker i. Workers of one failure domain are
// consecutive, and so are those of one rack.
func (s workersSettings) worker(i int) (workerSettings, error) {
	one := s.workerSettings
	host, port, err := net.SplitHostPort(one.vm.Address)
	if err != nil {
		return one, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return one, fmt.Errorf("port of --listen: %w", err)
	}
	if number != 0 {
		one.vm.Address = net.JoinHostPort(host, strconv.Itoa(number+i))
	}
	domain := i * len(s.domains) / s.count
	first := (domain*s.count + len(s.domains) - 1) / len(s.domains) // first worker of the domain
	one.vm.FailureDomain = s.domains[domain]
	one.vm.Rack = fmt.Sprintf("%s/rack-%d", one.vm.FailureDomain, (i-first)/s.rackSize)
	one.vm.ID = fmt.Sprintf("%s-%d", s.prefix, i)
	return one, nil
}

// lockedWriter keeps lines of concurrent workers whole.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes p under the lock.
func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
