package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// readyPoll is the interval at which the state of the system is asked for.
const readyPoll = 50 * time.Millisecond

// VM is one process of the daemon.
type VM struct {
	*Process
	ID     string
	Domain string
	URL    string // base URL for callers and operators
	peer   string
}

const settingsFormat = `
vm: {id: %q, failure_domain: %q, listen: "127.0.0.1:0", peer_listen: "127.0.0.1:0"}
platform: {url: %q}
peers: {token_file: %q, seeds: [%s]}
policy: {bootstrap: %q}
log: {level: %q}
drain: {timeout: 20s}
`

func vmName(n int) string { return fmt.Sprintf("vm-%d", n+1) }

// domainOf spreads the VMs over the failure domains in turn.
func (c *Cluster) domainOf(id string) string {
	var n int
	if _, err := fmt.Sscanf(id, "vm-%d", &n); err != nil {
		n = 1
	}
	return c.opts.Domains[(n-1)%len(c.opts.Domains)]
}

// StartVM starts a VM, or one that has ended again, and lists it at the
// platform. It returns once the VM listens.
func (c *Cluster) StartVM(ctx context.Context, id string) (*VM, error) {
	vm := &VM{ID: id, Domain: c.domainOf(id)}
	config := c.path(id + ".yaml")
	level := c.opts.LogLevel
	if level == "" {
		level = "info"
	}
	text := fmt.Sprintf(settingsFormat, id, vm.Domain, c.Platform.BaseURL(), c.path("peer.token"),
		strings.Join(c.peers(), ", "), c.path("policy.yaml"), level)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	// A VM that starts again must not be taken as ready because of its former log.
	log := fmt.Sprintf("%s.%d", id, time.Now().UnixNano())
	p, err := c.launch(log, c.opts.Binaries.Daemon, "serve", "--config", config)
	if err != nil {
		return nil, err
	}
	lines, err := p.awaitLines(ctx, started, 1)
	if err != nil {
		return nil, err
	}
	vm.Process, vm.URL, vm.peer = p, "http://"+lines[0]["address"], lines[0]["peerAddress"]
	c.mu.Lock()
	c.vms[id] = vm
	c.mu.Unlock()
	return vm, c.Platform.PutVM(ctx, platform.VM{
		ID: id, Role: platform.RoleEntry, Address: vm.peer, State: platform.VMLive, FailureDomain: vm.Domain,
	})
}

// peers returns the peer addresses of the VMs, in YAML.
func (c *Cluster) peers() []string {
	var out []string
	for _, vm := range c.VMs() {
		out = append(out, fmt.Sprintf("%q", vm.peer))
	}
	return out
}

// VMs returns the VMs that run, ordered by ID.
func (c *Cluster) VMs() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*VM
	for _, vm := range c.vms {
		if vm.Running() {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b *VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// VM returns the VM of that ID.
func (c *Cluster) VM(id string) *VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[id]
}

// URLs returns the base URLs of the running VMs except those given.
func (c *Cluster) URLs(except ...*VM) []string {
	var out []string
	for _, vm := range c.VMs() {
		if !slices.Contains(except, vm) {
			out = append(out, vm.URL)
		}
	}
	return out
}

// AwaitReady waits until every running VM serves, all shards have an owner and
// every VM shows all workers.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, vm := range c.VMs() {
		if err := poll(ctx, func() bool { return c.ready(ctx, vm) }); err != nil {
			return errors.Wrapf(err, "%s is not ready", vm.ID)
		}
	}
	return nil
}

func (c *Cluster) ready(ctx context.Context, vm *VM) bool {
	if !isReady(ctx, vm) {
		return false
	}
	client, err := c.Client(Postbud, vm)
	if err != nil {
		return false
	}
	workers, err := client.Workers(ctx)
	n := 0
	for _, w := range workers {
		if w.State == api.WorkerReady {
			n++
		}
	}
	return err == nil && n == c.opts.Workers
}

func isReady(ctx context.Context, vm *VM) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// poll repeats the check until it holds or ctx ends.
func poll(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
	}
	return nil
}
