// Package cluster runs the real shape of the system on loopback for tests and
// measurements: the platform stand-in, stand-in workers and VMs of the daemon,
// each a process of its own on ports that the kernel chooses. Faults are
// signals to those processes and the switches of the stand-ins.
package cluster

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform"
	platformapi "github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
)

// readyTimeout bounds the start of one process and of the whole system.
const readyTimeout = 30 * time.Second

// Options describe a cluster.
type Options struct {
	Binaries Binaries
	// Dir receives settings and logs. It must exist.
	Dir     string
	Domains []string
	VMs     int
	// Workers is the number of workers, spread over the domains in equal parts.
	Workers  int
	RackSize int
	// Policy is the first configuration document; nil means Policy().
	Policy *policy.Document
	// LogLevel of the VMs; empty means info.
	LogLevel string
}

// Cluster is a running system.
type Cluster struct {
	opts     Options
	platform *Process
	// Platform reaches the store, the VM list and the stand-in's admin route.
	Platform *platformapi.Client
	dialer   *httpapi.Dialer

	mu        sync.Mutex
	processes []*Process
	vms       map[string]*VM
	workers   []platform.VM
}

// Start runs all processes and waits until every VM serves and every worker
// takes work. After an error no process is left.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	if opts.Policy == nil {
		opts.Policy = Policy(opts.Domains)
	}
	c := &Cluster{opts: opts, vms: map[string]*VM{}, dialer: httpapi.NewDialer(httpapi.DialerOptions{})}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.writeShared(); err != nil {
		return err
	}
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.startWorkers(ctx); err != nil {
		return err
	}
	for n := range c.opts.VMs {
		if _, err := c.StartVM(ctx, vmName(n)); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx)
}

// Close kills every process and waits until they are gone.
func (c *Cluster) Close() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
	c.dialer.Close()
}

// launch starts one process whose output goes to a log file of its name.
func (c *Cluster) launch(name, binary string, args ...string) (*Process, error) {
	p, err := launch(name, filepath.Join(c.opts.Dir, name+".log"), binary, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	p, err := c.launch("platform", c.opts.Binaries.Standin, "platform")
	if err != nil {
		return err
	}
	lines, err := p.awaitLines(ctx, listening, 1)
	if err != nil {
		return err
	}
	c.platform = p
	c.Platform = platformapi.NewClient("http://"+lines[0]["address"], platformapi.ClientOptions{})
	return nil
}

// writeShared writes the files that all VMs read.
func (c *Cluster) writeShared() error {
	if err := os.WriteFile(c.path("peer.token"), []byte("cluster-peer-token-0000"), 0o600); err != nil {
		return err
	}
	return writePolicy(c.path("policy.yaml"), c.opts.Policy)
}

func (c *Cluster) path(name string) string { return filepath.Join(c.opts.Dir, name) }
