package main

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/platform"
	platformapi "github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// program is a run of the command in the test's process. The end of its
// context stands for SIGTERM.
type program struct {
	lines *bufio.Scanner
	stop  context.CancelFunc
	ended chan error
}

func start(t *testing.T, args ...string) *program {
	ctx, stop := context.WithCancel(t.Context())
	out, in := io.Pipe()
	p := &program{lines: bufio.NewScanner(out), stop: stop, ended: make(chan error, 1)}
	cmd := newCommand()
	cmd.SetArgs(args)
	cmd.SetOut(in)
	go func() {
		err := cmd.ExecuteContext(ctx)
		_ = in.Close()
		p.ended <- err
	}()
	return p
}

// address returns the address of the next line, which the program prints once
// it is ready.
func (p *program) address(t *testing.T) string {
	if !p.lines.Scan() {
		t.Fatalf("the program ended: %v", <-p.ended)
	}
	address, ok := strings.CutPrefix(strings.Fields(p.lines.Text())[1], "address=")
	if !ok {
		t.Fatalf("line %q", p.lines.Text())
	}
	return address
}

func (p *program) end(t *testing.T) {
	p.stop()
	if err := <-p.ended; err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Guards against workers that are not listed in the right places, cannot be
// reached, or end without reporting leaving and letting their tasks end.
func TestWorkersRegisterServeAndLeave(t *testing.T) {
	p := start(t, "platform", "--seed-vm", `{"id":"entry-0","role":"entry"}`)
	c := platformapi.NewClient("http://"+p.address(t), platformapi.ClientOptions{})
	defer c.Close()
	w := start(t, "workers", "--count", "5", "--rack-size", "1", "--failure-domain", "r/a,r/b", "--platform", c.BaseURL())
	for range 5 {
		w.address(t)
	}
	vms, err := c.ListVMs(t.Context())
	if err != nil || len(vms) != 6 {
		t.Fatalf("%d VMs, error %v", len(vms), err)
	}
	last := vms[5]
	if last.ID != "worker-4" || last.FailureDomain != "r/b" || last.Rack != "r/b/rack-1" || last.State != platform.VMLive {
		t.Errorf("last worker is listed as %+v", last)
	}
	d := httpapi.NewDialer(httpapi.DialerOptions{})
	defer d.Close()
	worker := d.Dial(last.Address)
	if _, err := worker.Reserve(t.Context(), target.ReserveRequest{Task: "j1-a/1/0", Epoch: 1, TTL: 1e12}); err != nil {
		t.Fatal(err)
	}
	w.stop()
	for leaving := false; !leaving; { // until the worker saw the signal
		resp, err := worker.Sync(t.Context(), target.SyncRequest{Epoch: 1})
		if err != nil {
			t.Fatalf("the worker ended before its task: %v", err)
		}
		leaving = resp.Leaving
	}
	if err := worker.Release(t.Context(), "j1-a/1/0", 1); err != nil {
		t.Fatalf("the worker ended before its task: %v", err)
	}
	w.end(t)
	if vms, err = c.ListVMs(t.Context()); err != nil || len(vms) != 1 {
		t.Errorf("VMs after the workers ended: %v, error %v", vms, err)
	}
	p.end(t)
}
