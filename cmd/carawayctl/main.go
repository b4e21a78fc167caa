// Command carawayctl is the command line of callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawayusher/carawayusher/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
