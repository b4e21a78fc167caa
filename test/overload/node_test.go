package overload_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/platform/platformtest"
)

// Ports of a node, below the range of ephemeral ports.
const (
	nodeFrontPort = 8621
	nodeReadyPort = 8623
	nodePeerPort  = 7100
)

const nodeKey = "overload-key"

const nodeConfig = `{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"service","priority":0,"max_attempts":3,"slack_factor":3,"target_runtime_ms":3000}],
"tenants":[{"name":"t0","api_keys":["` + nodeKey + `"]}],"limits":{"max_body_bytes":262144},"services":[{"name":"service"}]}`

// freeIP returns a loopback address on which the ports of a node are free.
func freeIP(t *testing.T) string {
	t.Helper()
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, nodePeerPort)); err == nil {
			_ = l.Close()
			return ip
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

// startNode starts carawayusher-node with a store and no worker. Jobs are accepted and wait.
func startNode(t *testing.T) *program {
	t.Helper()
	store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1, History: 10_000})
	if _, err := store.Put(t.Context(), "op/config", []byte(nodeConfig), 0, 0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(server.Close)
	ip, dir := freeIP(t), t.TempDir()
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	p := &program{
		callers: address(nodeFrontPort), ready: address(nodeReadyPort), peers: address(nodePeerPort), log: filepath.Join(dir, "log"),
		submitHead: "POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nX-Carawayusher-Key: " + nodeKey + "\r\n",
		listHead:   "GET /q/ HTTP/1.1\r\nHost: h.example\r\nX-Carawayusher-Key: " + nodeKey + "\r\n",
		submit:     nodeSubmit(address(nodeFrontPort)),
	}
	settings := fmt.Sprintf(`node = "n"
ip = %q
zone = "z"
internal_port_range = [%d, %d]
[listen]
front = %q
ready = %q
[limits]
cpu_share = 1
memory_mb = %d
max_fds = %d
[bounds]
grace_s = 6
revoke_ms = 5000
revoke_fail_closed = true
status_s = 600
checkpoint_s = 1
remote_factor = 3
[platform]
address = %q
`, ip, nodePeerPort, nodePeerPort, p.callers, p.ready, memoryMB, maxFiles, strings.TrimPrefix(server.URL, "http://"))
	path := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binaries.node, "front")
	cmd.Env = append(os.Environ(), "CARAWAYUSHER_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the tests check whether it runs
		close(ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
		<-ended
		_ = log.Close() // the process has written it
	})
	p.pid, p.running = cmd.Process.Pid, func() bool {
		select {
		case <-ended:
			return false
		default:
			return true
		}
	}
	p.awaitServing(t)
	return p
}

// awaitServing waits until an ordinary request is answered.
func (p *program) awaitServing(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
	defer cancel()
	for {
		err := p.submit(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil || !p.running() {
			p.printLog(t)
			t.Fatalf("the process does not serve: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// nodeSubmit returns a function that submits a job over a connection of its own.
func nodeSubmit(address string) func(context.Context) error {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context) error {
		body, err := json.Marshal(map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 1000}}})
		if err != nil {
			return err
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/q/%016x", address, rand.Uint64()), strings.NewReader(string(body)))
		if err != nil {
			return err
		}
		r.Host = "h.example"
		r.Header.Set("X-Carawayusher-Key", nodeKey)
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
		}
		return nil
	}
}

// nodeFlood sends a set of connections to a listener of a fresh node.
func nodeFlood(t *testing.T, listener func(*program) string, count int, send func(*program) func(net.Conn, int)) {
	t.Helper()
	p := startNode(t)
	p.check(t, &flood{address: listener(p), count: count, send: send(p)})
}

func callers(p *program) string { return p.callers }
func peers(p *program) string   { return p.peers }
func ready(p *program) string   { return p.ready }

// Guards against a process that holds all large bodies which stop just short of their end.
func TestNodeWholeBodies(t *testing.T) {
	nodeFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return wholeBodies(p.submitHead) })
}

// Guards against the same with bodies that arrive in pieces.
func TestNodeBodiesInPieces(t *testing.T) {
	nodeFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return bodiesInPieces(p.submitHead) })
}

// Guards against the same with bodies whose length is not declared.
func TestNodeLargeChunks(t *testing.T) {
	nodeFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return largeChunks(p.submitHead) })
}

// Guards against a cost of each chunk that is far above its size.
func TestNodeOneByteChunks(t *testing.T) {
	nodeFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return smallChunks(p.submitHead) })
}

// Guards against headers that never end and together exceed the memory.
func TestNodeOpenHeaders(t *testing.T) {
	nodeFlood(t, callers, idleConnections, func(p *program) func(net.Conn, int) { return openHeaders(p.listHead) })
}

// Guards against idle connections that take the descriptors which calls to workers and to the
// store need.
func TestNodeIdleConnections(t *testing.T) {
	nodeFlood(t, callers, idleConnections, func(p *program) func(net.Conn, int) { return idle(p.listHead) })
}

// Guards against responses that nobody reads and that stay in memory.
func TestNodePipelinedRequests(t *testing.T) {
	nodeFlood(t, callers, manyConnections, func(p *program) func(net.Conn, int) { return pipelined(p.listHead) })
}

// Guards against large bodies from clients without the token of the VMs.
func TestNodePeerBodies(t *testing.T) {
	nodeFlood(t, peers, manyConnections, func(*program) func(net.Conn, int) {
		return wholeBodies("POST /peer HTTP/1.1\r\nHost: h.example\r\n")
	})
}

// Guards against idle connections to the port of the other VMs that take all descriptors.
func TestNodePeerIdleConnections(t *testing.T) {
	nodeFlood(t, peers, idleConnections, func(*program) func(net.Conn, int) {
		return idle("GET /peer HTTP/1.1\r\nHost: h.example\r\n")
	})
}

// Guards against large bodies to the readiness listener, which reads none.
func TestNodeReadyBodies(t *testing.T) {
	nodeFlood(t, ready, manyConnections, func(*program) func(net.Conn, int) {
		return wholeBodies("POST / HTTP/1.1\r\nHost: h.example\r\n")
	})
}

// Guards against idle connections to the readiness listener that take all descriptors.
func TestNodeReadyIdleConnections(t *testing.T) {
	nodeFlood(t, ready, idleConnections, func(*program) func(net.Conn, int) {
		return idle("GET / HTTP/1.1\r\nHost: h.example\r\n")
	})
}
