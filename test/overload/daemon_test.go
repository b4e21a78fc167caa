package overload_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
)

// startDaemon starts carawayusherd as the only VM, with the stand-ins of the platform and of
// two workers.
func startDaemon(t *testing.T) *program {
	t.Helper()
	domains := []string{"local/zone-1", "local/zone-2"}
	c, err := cluster.Start(t.Context(), cluster.Options{Binaries: binaries.Binaries, Dir: t.TempDir(), Domains: domains, VMs: 1, Workers: 2, RackSize: 8})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	vm := c.VMs()[0]
	address := strings.TrimPrefix(vm.URL, "http://")
	members, err := c.Platform.ListVMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	p := &program{
		pid: vm.PID(), running: vm.Running, callers: address, log: vm.Log(),
		submitHead: "POST /v1/jobs HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + cluster.Token(cluster.Postbud) + "\r\n",
		listHead:   "GET /v1/jobs HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + cluster.Token(cluster.Postbud) + "\r\n",
		submit: func(ctx context.Context) error {
			caller, err := c.Client(cluster.Postbud, vm)
			if err != nil {
				return err
			}
			_, err = caller.Submit(ctx, api.JobSpec{Class: cluster.ClassOrder, Name: "ordinary"}, client.SubmitOptions{})
			return err
		},
	}
	for _, m := range members {
		if m.ID == vm.ID {
			p.peers = m.Address
		}
	}
	p.awaitServing(t)
	return p
}

func daemonFlood(t *testing.T, listener func(*program) string, count int, send func(*program) func(net.Conn, int)) {
	t.Helper()
	p := startDaemon(t)
	p.check(t, &flood{address: listener(p), count: count, send: send(p)})
}

// Guards against a process that holds all large bodies which stop just short of their end.
func TestDaemonWholeBodies(t *testing.T) {
	daemonFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return wholeBodies(p.submitHead) })
}

// Guards against the same with bodies that arrive in pieces.
func TestDaemonBodiesInPieces(t *testing.T) {
	daemonFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return bodiesInPieces(p.submitHead) })
}

// Guards against the same with bodies whose length is not declared.
func TestDaemonLargeChunks(t *testing.T) {
	daemonFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return largeChunks(p.submitHead) })
}

// Guards against a cost of each chunk that is far above its size.
func TestDaemonOneByteChunks(t *testing.T) {
	daemonFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return smallChunks(p.submitHead) })
}

// Guards against headers that never end and together exceed the memory.
func TestDaemonOpenHeaders(t *testing.T) {
	daemonFlood(t, callers, idleConnections, func(p *program) func(net.Conn, int) { return openHeaders(p.listHead) })
}

// Guards against idle connections that take the descriptors which calls to workers and to the
// store need.
func TestDaemonIdleConnections(t *testing.T) {
	daemonFlood(t, callers, idleConnections, func(p *program) func(net.Conn, int) { return idle(p.listHead) })
}

// Guards against responses that nobody reads and that stay in memory.
func TestDaemonPipelinedRequests(t *testing.T) {
	daemonFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return pipelined(p.listHead) })
}

// Guards against large bodies from clients without the token of the VMs.
func TestDaemonPeerBodies(t *testing.T) {
	daemonFlood(t, peers, manyConnections, func(*program) func(net.Conn, int) {
		return wholeBodies("POST /peer HTTP/1.1\r\nHost: h.example\r\n")
	})
}

// Guards against idle connections to the port of the other VMs that take all descriptors.
func TestDaemonPeerIdleConnections(t *testing.T) {
	daemonFlood(t, peers, idleConnections, func(*program) func(net.Conn, int) {
		return idle("GET /peer HTTP/1.1\r\nHost: h.example\r\n")
	})
}
