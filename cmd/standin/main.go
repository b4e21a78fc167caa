// Command standin runs the outside systems of carawayusher for tests and
// measurements: the platform's store and VM list, and workers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of the platform and of workers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newWorkerCommand(), newWorkersCommand())
	return root
}

// newLogger logs to standard error; standard output carries only addresses.
func newLogger() (logr.Logger, error) {
	z, err := zap.NewProduction()
	if err != nil {
		return logr.Discard(), err
	}
	return zapr.NewLogger(z), nil
}
