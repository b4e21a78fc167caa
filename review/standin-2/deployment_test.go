//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

const (
	serviceName = "kit"
	queueHost   = "queue.example"
	queuePrefix = "/fit/"
	apiKey      = "key-of-tenant-1"

	maxNodes    = 4
	workerCount = 6

	startTimeout = 30 * time.Second
	// trafficDelay is the time from the start of the machines to the first call of a client.
	trafficDelay = 10 * time.Second

	maxShown = 160 // bytes of a body in the record

	// storeSide plus its number is the last number of the address from which the calls of a
	// machine reach the store.
	storeSide = 100
)

// deployment is a store, workers, a machine API and the processes of the system.
type deployment struct {
	record  *record
	trouble bool
	dir     string
	store   *memory.Store
	pool    *pool
	nodes   []*node
	servers []*http.Server
	network string
	binary  string
	args    []string

	storeAddress, cloudAddress string
	slow                       *slowHandler
	cloud                      *switchHandler
	stop                       context.CancelFunc
	ctx                        context.Context
}

// loopbackNetwork returns the first three numbers of loopback addresses that are free, and a
// listener that keeps other runs of this program off them.
func loopbackNetwork() (string, net.Listener, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", network, internalPort))
		if err != nil {
			continue
		}
		free := true
		for i := 1; i <= maxNodes && free; i++ {
			for _, port := range []int{frontPort, readyPort, internalPort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return network, reservation, nil
		}
		_ = reservation.Close()
	}
	return "", nil, errors.New("no network of loopback addresses is free")
}

// deployCommand returns the command of the only role in the deploy file.
func deployCommand() (binary string, args []string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if command, ok := strings.CutPrefix(line, "run = "); ok {
			words := strings.Fields(strings.Trim(strings.TrimSpace(command), `"`))
			binary, err := filepath.Abs(words[0])
			return binary, words[1:], err
		}
	}
	return "", nil, errors.New("the deploy file has no run command")
}

func newDeployment(r *record, trouble bool, machines []machine) (*deployment, error) {
	d := &deployment{record: r, trouble: trouble}
	d.ctx, d.stop = context.WithCancel(context.Background())
	ok := false
	defer func() {
		if !ok {
			d.close()
		}
	}()
	var err error
	if d.binary, d.args, err = deployCommand(); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "standin-2-"); err != nil {
		return nil, err
	}
	network, reservation, err := loopbackNetwork()
	if err != nil {
		return nil, err
	}
	context.AfterFunc(d.ctx, func() { _ = reservation.Close() })
	d.network = network
	r.linef("disruption: %v; loopback network %s.0", trouble, network)
	d.store = memory.NewStore(memory.Options{WritesPerSecond: 400, ReadsPerSecond: 2000})
	d.slow = &slowHandler{next: newStorePage(d.store)}
	if d.storeAddress, err = d.serve(network+".250:0", d.slow); err != nil {
		return nil, err
	}
	d.pool = &pool{record: r, gangSize: map[string]int{}, tail: map[string]int{}, outcome: func(string, string, int64) outcome { return outcome{time.Second, "done"} }}
	for i := range workerCount {
		if _, err := newWorker(d.pool, fmt.Sprintf("i-%02d", i+1), network+".251", fmt.Sprintf("r1-%d", i/3)); err != nil {
			return nil, err
		}
	}
	d.cloud = &switchHandler{}
	d.cloud.set(http.HandlerFunc(d.machines))
	if d.cloudAddress, err = d.serve(network+".252:0", d.cloud); err != nil {
		return nil, err
	}
	if err := d.writeConfig(); err != nil {
		return nil, err
	}
	go d.beat()
	for _, m := range machines {
		if _, err := d.addNode(m, true); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	ok = true
	return d, nil
}

// addNode adds a machine at a new address and starts its process.
func (d *deployment) addNode(m machine, bootstrap bool) (*node, error) {
	number := len(d.nodes) + 1
	gate := newGate()
	store, err := serveGate(d.ctx, fmt.Sprintf("%s.%d:0", d.network, storeSide+number), d.storeAddress, gate)
	if err != nil {
		return nil, err
	}
	if m.linkMbps < smallDeployment.linkMbps {
		if store, err = serveLink(d.ctx, d.network+".253:0", d.storeAddress, m.linkMbps); err != nil {
			return nil, err
		}
	}
	n, err := newNode(d.record, d.dir, fmt.Sprintf("front-%d", number), fmt.Sprintf("%s.%d", d.network, number), d.binary, d.args, m, store, d.cloudAddress)
	if err != nil {
		return nil, err
	}
	n.gate, n.number = gate, number
	d.nodes = append(d.nodes, n)
	return n, n.start(bootstrap)
}

func (d *deployment) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	d.stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" && d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// writeConfig writes the operator's first configuration.
func (d *deployment) writeConfig() error {
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "q1", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000, "target_runtime_ms": 1000, "priority": 1,
			"service": serviceName, "max_attempts": 2, "slack_factor": 3.0, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforce_capacity": true, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
	if err != nil {
		return err
	}
	_, err = d.store.Put(d.ctx, "op/config", value, 0, 0)
	return err
}

// entryLifetime is how long an entry of a silent worker stays: three heartbeat intervals.
const entryLifetime = 4500 * time.Millisecond

// beat writes the workers' entries as the workers do, and removes those of silent ones.
func (d *deployment) beat() {
	written := map[*worker]time.Time{}
	for sequence := 1; d.ctx.Err() == nil; sequence++ {
		for _, w := range d.pool.all() {
			d.pool.mu.Lock()
			silent, gone, value := w.silent, w.gone, w.entry(sequence)
			d.pool.mu.Unlock()
			key := "servers/" + w.id
			switch {
			case gone:
				if !written[w].IsZero() {
					written[w] = time.Time{}
					d.record.linef("platform: entry of %s removed, as the worker has left", w.id)
					_ = d.store.Delete(d.ctx, key, platform.AnyVersion) // it is there
				}
			case !silent && time.Since(written[w]) >= 1500*time.Millisecond:
				written[w] = time.Now()
				if _, err := d.store.Put(d.ctx, key, value, platform.AnyVersion, 0); err != nil && d.ctx.Err() == nil {
					d.record.linef("worker %s could not write its entry: %v", w.id, err)
				}
			case silent && !written[w].IsZero() && time.Since(written[w]) >= entryLifetime:
				written[w] = time.Time{}
				d.record.linef("platform: entry of %s removed, after three heartbeat intervals of silence", w.id)
				_ = d.store.Delete(d.ctx, key, platform.AnyVersion) // it is there
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-d.ctx.Done():
		}
	}
}

// machines serves the machine list; every machine is up.
func (d *deployment) machines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	list := []any{}
	for _, k := range d.pool.all() {
		if k.gone {
			continue
		}
		list = append(list, map[string]any{
			"machine": k.machine, "pool": serviceName, "state": "up", "zone": "z", "labels": []string{k.kind, k.rack},
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "id": k.id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": nil}) // the caller may have left
}

// nodeOf returns the name of the machine that calls the store.
func (d *deployment) nodeOf(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr) // it is an address
	for _, n := range d.nodes {
		if strings.TrimPrefix(host, d.network+".") == fmt.Sprint(storeSide+n.number) {
			return n.name
		}
	}
	return ""
}

// idle reports whether no worker runs anything.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			return false
		}
	}
	return true
}

// awaitReady waits until all processes are ready and one of them owns the fleet.
func (d *deployment) awaitReady() error {
	started := time.Now()
	for time.Since(started) < startTimeout {
		ready := 0
		for _, n := range d.nodes {
			if n.hasEnded() {
				return fmt.Errorf("the process of %s has ended", n.name)
			}
			resp, err := http.Get("http://" + n.ready() + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.nodes) && d.owner() != nil {
			time.Sleep(time.Until(started.Add(trafficDelay)))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the processes were not ready in time")
}

// owner returns the process that last wrote to the store under a condition as the holder of
// the orders: the one that the key "owner" names; nil if there is none.
func (d *deployment) owner() *node {
	e, err := d.store.Get(d.ctx, "owner")
	if err != nil {
		return nil
	}
	var r struct {
		Name string `cbor:"1,keyasint"`
	}
	if cbor.Unmarshal(e.Value, &r) != nil {
		return nil
	}
	for _, n := range d.nodes {
		if n.name == r.Name {
			return n
		}
	}
	return nil
}

// others returns the processes other than some.
func (d *deployment) others(not ...*node) []*node {
	var rest []*node
	for _, n := range d.nodes {
		excluded := false
		for _, x := range not {
			excluded = excluded || x == n
		}
		if !excluded {
			rest = append(rest, n)
		}
	}
	return rest
}

// call makes a client's call over a connection of its own. It returns status 0 if there was no
// answer within the patience of the client.
func (d *deployment) call(n *node, method, id, body string, patience time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(d.ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+queuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("X-Carawayusher-Key", apiKey)
	req.Header.Set("X-Carawayusher-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	shown := body
	if len(shown) > maxShown {
		shown = shown[:maxShown] + "..."
	}
	d.record.linef("client -> %s: %s %s%s %s", n.name, method, queuePrefix, id, shown)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		d.record.linef("client: no answer from %s to %s %s: %v", n.name, method, id, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body) // a broken answer is recorded as it is
	d.record.linef("client <- %s: %s %s: %d %s", n.name, method, id, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// state asks for the state of a job; empty without a 200.
func (d *deployment) state(n *node, id string) string {
	status, answer := d.call(n, http.MethodGet, id, "", 3*time.Second)
	var b struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &b) != nil {
		return ""
	}
	return b.State
}

// awaitState polls a job until it has one of some states; it returns the last state seen.
func (d *deployment) awaitState(n *node, id string, timeout time.Duration, states ...string) string {
	deadline, last := time.Now().Add(timeout), ""
	for time.Now().Before(deadline) {
		last = d.state(n, id)
		for _, s := range states {
			if s == last {
				return last
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}
