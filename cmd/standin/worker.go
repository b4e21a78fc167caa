package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/carawayusher/carawayusher/pkg/platform"
	platformapi "github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// Time limits of a worker.
const (
	registerTimeout = 30 * time.Second
	drainPoll       = 20 * time.Millisecond
)

// workerSettings describes one worker process of the stand-in.
type workerSettings struct {
	vm          platform.VM // Address is the address to listen on until it is bound
	platform    string      // base URL; empty: not registered anywhere
	connections int
	checkpoint  time.Duration
	usageLag    time.Duration
	drain       time.Duration
	faults      memory.Faults
}

func newWorkerCommand() *cobra.Command {
	var s workerSettings
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run one worker",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger()
			if err != nil {
				return err
			}
			return runWorker(cmd.Context(), log, s, cmd.OutOrStdout())
		},
	}
	addWorkerFlags(cmd.Flags(), &s)
	cmd.Flags().StringVar(&s.vm.ID, "id", "worker-0", "ID of the worker")
	cmd.Flags().StringVar(&s.vm.Rack, "rack", "rack-0", "rack of the worker")
	cmd.Flags().StringVar(&s.vm.FailureDomain, "failure-domain", "region/zone-0", "failure domain, as region/name")
	return cmd
}

// addWorkerFlags adds the flags that one worker and many workers share.
func addWorkerFlags(f *pflag.FlagSet, s *workerSettings) {
	s.vm.Role, s.vm.State = platform.RoleTarget, platform.VMLive
	f.StringVar(&s.vm.Address, "listen", "127.0.0.1:0", "address to serve on (host:port; port 0: chosen by the kernel)")
	f.StringVar(&s.platform, "platform", "", "base URL of the platform stand-in to register at")
	f.IntVar(&s.vm.Accelerators, "accelerators", memory.DefaultAccelerators, "accelerators of a worker")
	f.IntVar(&s.vm.Slots, "slots", target.DefaultSlots, "slots of a worker")
	f.IntVar(&s.vm.Cores, "cores", 64, "cores of a worker, as listed")
	f.IntVar(&s.vm.MemoryMiB, "memory-mib", 256<<10, "memory of a worker in MiB, as listed")
	f.IntVar(&s.connections, "connections", target.DefaultMaxConnections, "connections served at a time; further ones are closed")
	f.DurationVar(&s.checkpoint, "checkpoint-delay", memory.DefaultCheckpointDelay, "time that a checkpoint takes")
	f.DurationVar(&s.usageLag, "usage-lag", memory.DefaultUsageLag, "lag of the reported usage")
	f.DurationVar(&s.drain, "drain", 10*time.Second, "time that tasks get to end after SIGTERM")
	f.BoolVar(&s.faults.FailAll, "fail-all", false, "fail every task")
	f.Float64Var(&s.faults.StragglerShare, "straggle-share", 0, "share (0..1) of the tasks that are stragglers")
	f.Float64Var(&s.faults.StragglerFactor, "straggle-factor", 10, "how many times longer a straggler runs")
	f.Uint64Var(&s.faults.Seed, "seed", 1, "seed of the choice of stragglers")
}

// runWorker serves one worker until ctx ends. It then reports leaving, lets
// its tasks end for the drain time and takes itself from the VM list.
func runWorker(ctx context.Context, log logr.Logger, s workerSettings, out io.Writer) error {
	listener, err := net.Listen("tcp", s.vm.Address)
	if err != nil {
		return err
	}
	s.vm.Address = listener.Addr().String()
	log = log.WithValues("worker", s.vm.ID)
	w := memory.NewWorker(s.config())
	w.SetFaults(s.faults)
	registry := newRegistry(s.platform)
	defer registry.close()
	served := make(chan error, 1)
	go func() {
		limited := httpapi.LimitListener(listener, s.connections, w.SetConnections)
		served <- serve(ctx, limited, httpapi.NewHandler(w), func() { leave(log, w, registry, s) })
	}()
	if err := registry.register(ctx, s.vm); err != nil && ctx.Err() == nil {
		return errors.Join(err, listener.Close(), <-served)
	}
	fmt.Fprintf(out, "listening address=%s id=%s\n", s.vm.Address, s.vm.ID)
	log.Info("worker started", "address", s.vm.Address, "incarnation", w.Incarnation())
	err = <-served
	log.Info("worker ended", "starts", len(w.Starts().Starts))
	return err
}

func (s workerSettings) config() memory.Config {
	return memory.Config{
		ID: s.vm.ID, Slots: s.vm.Slots, Accelerators: orNone(s.vm.Accelerators),
		CheckpointDelay: orNone(s.checkpoint), UsageLag: orNone(s.usageLag),
	}
}

// orNone turns a zero given on the command line into the value for "none".
func orNone[T int | time.Duration](v T) T {
	if v == 0 {
		return -1
	}
	return v
}

// leave reports leaving and waits until the tasks ended or the drain time is over.
func leave(log logr.Logger, w *memory.Worker, r *registry, s workerSettings) {
	log.Info("worker is leaving", "tasks", w.LiveTasks())
	w.SetLeaving(true)
	ctx, cancel := context.WithTimeout(context.Background(), s.drain)
	defer cancel()
	s.vm.State = platform.VMLeaving
	if err := r.put(ctx, s.vm); err != nil {
		log.Error(err, "leaving could not be reported to the platform")
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for w.LiveTasks() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	w.Close()
	removal, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := r.remove(removal, s.vm.ID); err != nil {
		log.Error(err, "the worker stays in the VM list")
	}
}

// registry reaches the VM list of the platform stand-in; without an address
// it does nothing.
type registry struct{ client *platformapi.Client }

func newRegistry(baseURL string) *registry {
	if baseURL == "" {
		return &registry{}
	}
	return &registry{client: platformapi.NewClient(baseURL, platformapi.ClientOptions{Connections: 1})}
}

func (r *registry) close() {
	if r.client != nil {
		r.client.Close()
	}
}

// register adds the worker to the VM list; the platform may start later.
func (r *registry) register(ctx context.Context, vm platform.VM) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, r.put(ctx, vm) },
		backoff.WithMaxElapsedTime(registerTimeout))
	return err
}

func (r *registry) put(ctx context.Context, vm platform.VM) error {
	if r.client == nil {
		return nil
	}
	return r.client.PutVM(ctx, vm)
}

func (r *registry) remove(ctx context.Context, id string) error {
	if r.client == nil {
		return nil
	}
	return r.client.RemoveVM(ctx, id)
}
