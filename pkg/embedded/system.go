// Package embedded runs a whole system in one process: one VM of the daemon on
// an in-memory platform and in-memory workers. It serves the demo, examples and
// tests of programs that use the library.
package embedded

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/daemon"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	platformmemory "github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/settings"
	targetmemory "github.com/carawayusher/carawayusher/pkg/target/memory"
)

// Defaults of Options: the shape of today's deployments in small.
const (
	DefaultDomains         = 3
	DefaultRacksPerDomain  = 1
	DefaultWorkersPerRack  = 8
	defaultAccelerators    = 8
	defaultSlots           = 8
	readyPoll              = 20 * time.Millisecond
	defaultReadyTimeout    = 10 * time.Second
	embeddedRegion         = "local"
	embeddedPeerToken      = "embedded-peer-token-0000" // #nosec G101 -- loopback in one process only
	embeddedSettingsFormat = `
vm: {id: vm-1, failure_domain: local/zone-1, listen: "127.0.0.1:0", peer_listen: "127.0.0.1:0"}
platform: {url: "http://127.0.0.1:1"}
peers: {token: %q}
drain: {timeout: 5s}
`
)

// Options configure a System; zero fields take the defaults.
type Options struct {
	Domains        int
	RacksPerDomain int
	WorkersPerRack int
	// Policy is the first configuration document.
	Policy *policy.Document
	Log    logr.Logger
}

// System is a running system.
type System struct {
	Store   *platformmemory.Store
	Workers []*targetmemory.Worker
	daemon  *daemon.Daemon
}

// Start runs a system; Address answers once it returns.
func Start(ctx context.Context, o Options) (*System, error) {
	o = o.withDefaults()
	s := &System{Store: platformmemory.NewStore(platformmemory.Options{})}
	dialer := &targetmemory.Dialer{}
	s.addWorkers(o, dialer)
	if err := s.writePolicy(ctx, o.Policy); err != nil {
		return nil, err
	}
	cfg, faults := settings.Parse("embedded settings", fmt.Appendf(nil, embeddedSettingsFormat, embeddedPeerToken))
	if len(faults) > 0 {
		return nil, settings.AsError(faults)
	}
	d, err := daemon.New(cfg, o.Log, daemon.Backends{Store: s.Store, VMs: s.Store, Dialer: dialer})
	if err != nil {
		return nil, err
	}
	s.daemon = d
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	return s, s.awaitReady(ctx, len(s.Workers))
}

func (o Options) withDefaults() Options {
	if o.Domains <= 0 {
		o.Domains = DefaultDomains
	}
	if o.RacksPerDomain <= 0 {
		o.RacksPerDomain = DefaultRacksPerDomain
	}
	if o.WorkersPerRack <= 0 {
		o.WorkersPerRack = DefaultWorkersPerRack
	}
	if o.Policy == nil {
		o.Policy = policy.Default()
	}
	return o
}

func (s *System) addWorkers(o Options, dialer *targetmemory.Dialer) {
	for dom := range o.Domains {
		for rack := range o.RacksPerDomain {
			for n := range o.WorkersPerRack {
				id := fmt.Sprintf("w-%d-%d-%d", dom+1, rack+1, n+1)
				w := targetmemory.NewWorker(targetmemory.Config{ID: id, Slots: defaultSlots, Accelerators: defaultAccelerators})
				s.Workers = append(s.Workers, w)
				dialer.Add(id, w)
				s.Store.PutVM(platform.VM{
					ID: id, Role: platform.RoleTarget, Address: id, State: platform.VMLive,
					FailureDomain: fmt.Sprintf("%s/zone-%d", embeddedRegion, dom+1), Rack: fmt.Sprintf("rack-%d-%d", dom+1, rack+1),
					Accelerators: defaultAccelerators, Slots: defaultSlots,
				})
			}
		}
	}
}

// Address returns the callers' base URL.
func (s *System) Address() string { return "http://" + s.daemon.Address() }

// awaitReady waits until the daemon serves and all workers can take work.
func (s *System) awaitReady(ctx context.Context, workers int) error {
	ctx, cancel := context.WithTimeout(ctx, defaultReadyTimeout)
	defer cancel()
	for !s.daemon.Ready(workers) {
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the embedded system did not become ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// Stop drains and ends the system.
func (s *System) Stop(ctx context.Context) error {
	err := s.daemon.Stop(ctx)
	for _, w := range s.Workers {
		w.Close()
	}
	return err
}
