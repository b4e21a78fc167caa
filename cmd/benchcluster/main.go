// Command benchcluster measures the system as real processes on loopback: 9 VMs
// in 3 failure domains and 50 workers under the work of both deployments. It
// prints key=value lines, each with its goal where the design page has one, and
// ends by itself.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
)

func main() {
	short := flag.Bool("short", false, "measure for less than a minute")
	seed := flag.Uint64("seed", 1, "seed of the load")
	logs := flag.String("logs", "", "directory that keeps the logs of the processes")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	p := fullProfile(*seed)
	if *short {
		p = shortProfile(*seed)
	}
	ctx, cancel := context.WithTimeout(ctx, p.limit)
	err := run(ctx, p, *logs)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "benchcluster:", err)
		os.Exit(1)
	}
}

// profile says how long and how much is measured.
type profile struct {
	seed  uint64
	limit time.Duration
	// idle is the time over which an idle system is measured.
	idle time.Duration
	// latency is the time of each of the loads that measure rate and latency.
	latency time.Duration
	callers int // of the load that finds the highest rate
	// waiting jobs run while the idle calls are measured a second time.
	waiting int
	changes int // of the configuration
	kills   int
	// requests are sent at rate a second while VMs are killed.
	requests int
	rate     float64
}

func fullProfile(seed uint64) profile {
	return profile{
		seed: seed, limit: 5 * time.Minute, idle: 15 * time.Second, latency: 10 * time.Second, callers: 64,
		waiting: 300, changes: 10, kills: 4, requests: 1000, rate: 30,
	}
}

func shortProfile(seed uint64) profile {
	return profile{
		seed: seed, limit: 2 * time.Minute, idle: 4 * time.Second, latency: 3 * time.Second, callers: 64,
		waiting: 100, changes: 3, kills: 1, requests: 300, rate: 40,
	}
}

// Shape of today's deployments (design page, section 1.5).
const (
	vms      = 9
	workers  = 50
	rackSize = 8
)

// zones are the failure domains.
var zones = []string{"local/zone-1", "local/zone-2", "local/zone-3"}

func run(ctx context.Context, p profile, logs string) error {
	dir, err := os.MkdirTemp("", "benchcluster-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover in the temporary directory does no harm
	binaries, err := cluster.Build(ctx, dir)
	if err != nil {
		return err
	}
	if logs == "" {
		logs = dir
	}
	began := time.Now()
	c, err := cluster.Start(ctx, cluster.Options{
		Binaries: binaries, Dir: logs, Domains: zones,
		VMs: vms, Workers: workers, RackSize: rackSize,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	b := &bench{Cluster: c, profile: p}
	b.print("shape", "vms=%d workers=%d accelerators=%d seed=%d", vms, workers, workers*8, p.seed)
	b.print("start_seconds", "%.1f", time.Since(began).Seconds())
	if err := b.measure(ctx); err != nil {
		return err
	}
	b.print("total_seconds", "%.0f", time.Since(began).Seconds())
	return nil
}

// bench measures one running cluster.
type bench struct {
	*cluster.Cluster
	profile
}

func (b *bench) measure(ctx context.Context) error {
	for _, part := range []func(context.Context) error{
		b.idleCost, b.rateAndLatency, b.configChanges, b.takeovers, b.lossDuringKills,
	} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// print writes one line; the value may hold further fields and the goal.
func (b *bench) print(key, format string, args ...any) {
	fmt.Printf(key+"="+format+"\n", args...)
}
