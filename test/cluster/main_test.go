// Package cluster_test runs the system as real processes on loopback and
// injects faults by signals and through the stand-ins. Each test names the
// guarantee of docs/design.md section 1.2 and the failure that it covers.
package cluster_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/ownership"
)

// testTime bounds one test, so that a hang ends with the logs of this test.
const testTime = 60 * time.Second

var (
	binaries cluster.Binaries
	// running bounds the clusters that run at a time, 5 processes each.
	running = make(chan struct{}, 3)
	domains = []string{"local/zone-1", "local/zone-2", "local/zone-3"}
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	flag.Parse()
	if testing.Short() {
		fmt.Println("skipped with -short: tests with real processes")
		return 0
	}
	dir, err := os.MkdirTemp("", "cluster-test-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover in the temporary directory does no harm
	if binaries, err = cluster.Build(context.Background(), dir); err != nil {
		fmt.Println(err)
		return 1
	}
	return m.Run()
}

// system is a cluster of 3 VMs in 3 failure domains with 2 workers of 8
// accelerators each, under test.
type system struct {
	*cluster.Cluster
	t   *testing.T
	ctx context.Context
}

func start(t *testing.T) *system {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	ctx, cancel := context.WithTimeout(t.Context(), testTime)
	t.Cleanup(cancel)
	dir := t.TempDir()
	if keep := os.Getenv("CLUSTER_LOGS"); keep != "" {
		dir = keep + "/" + t.Name()
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Binaries: binaries, Dir: dir, Domains: domains, VMs: 3, Workers: 6, RackSize: 8,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return &system{Cluster: c, t: t, ctx: ctx}
}

func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// ownerOf returns the VM that owns the shard.
func (s *system) ownerOf(shard ownership.Shard) *cluster.VM {
	s.t.Helper()
	vm, err := s.OwnerOf(s.ctx, shard)
	s.must(err)
	if vm == nil {
		s.t.Fatalf("shard %s has no owner", shard)
	}
	return vm
}

// others returns the running VMs except one.
func (s *system) others(vm *cluster.VM) []*cluster.VM {
	var out []*cluster.VM
	for _, v := range s.VMs() {
		if v.ID != vm.ID {
			out = append(out, v)
		}
	}
	return out
}

// audit checks that every call got its whole answer and that nothing that may
// run once ran twice.
func (s *system) audit(calls []cluster.Call) {
	s.t.Helper()
	starts, err := s.Starts(s.ctx)
	s.must(err)
	a := cluster.Check(calls, starts)
	if a.Calls[cluster.Complete] != len(calls) || a.Twice+a.FalseRefusals+a.PartialGangs > 0 || starts.Dropped > 0 {
		s.t.Errorf("%d calls: %+v", len(calls), a)
	}
}
