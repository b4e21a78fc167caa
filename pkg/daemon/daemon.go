// Package daemon joins the components of one VM with fx: it starts them in
// order and, on shutdown, hands the shards over and answers the open calls
// before it ends.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/settings"
)

const (
	// readinessDelay gives the balancer time to see that this VM is not ready
	// before it refuses new calls.
	readinessDelay = 500 * time.Millisecond
	// StopMargin is added to the drain time for closing connections.
	StopMargin = 5 * time.Second
)

// Daemon is one VM of the system.
type Daemon struct {
	parts   *parts
	app     *fx.App
	callers *http.Server
	peers   *http.Server

	draining atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New builds a daemon from checked settings. Backends with zero fields are
// replaced by the HTTP adapters. Errors have the kind invalid_config.
func New(s *settings.Settings, log logr.Logger, b Backends) (*Daemon, error) {
	var d *Daemon
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, b),
		fx.Provide(func() logr.Logger { return log }, newParts, newDaemon),
		fx.Invoke(func(lc fx.Lifecycle, built *Daemon) {
			lc.Append(fx.Hook{OnStart: built.start, OnStop: built.stop})
			d = built
		}),
		fx.StopTimeout(s.Drain.Timeout+StopMargin),
	)
	if err := app.Err(); err != nil {
		var e *errkind.Error
		if errors.As(err, &e) {
			return nil, e
		}
		return nil, err
	}
	d.app = app
	return d, nil
}

func newDaemon(p *parts) (*Daemon, error) {
	t, err := serverTLS(p.settings.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{parts: p}
	d.callers = newServer(p.callersHandler(d.ready), t)
	d.peers = newServer(p.node.Handler(), t)
	p.callersListener.Attach(d.callers)
	p.peersListener.Attach(d.peers)
	return d, nil
}

// Start begins to serve; it returns once the listeners accept.
func (d *Daemon) Start(ctx context.Context) error { return d.app.Start(ctx) }

// Stop drains and ends the daemon. It returns when all is handed over and
// answered, or when the drain time is over.
func (d *Daemon) Stop(ctx context.Context) error { return d.app.Stop(ctx) }

// Address returns the callers' address, host:port.
func (d *Daemon) Address() string { return d.parts.callersListener.Addr().String() }

// PeerAddress returns the address that other VMs dial.
func (d *Daemon) PeerAddress() string { return d.parts.self.Address }

// ready reports whether callers should be sent here: a configuration is in
// force and the owners of the shards are known.
func (d *Daemon) ready() bool {
	if d.draining.Load() || d.parts.config.Current() == nil {
		return false
	}
	for n := range d.parts.settings.Cluster.Partitions {
		if _, ok := d.parts.owners.Owner(ownership.PartitionShard(n)); ok {
			return true
		}
	}
	return false
}

func (d *Daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	p := d.parts
	d.serve(d.peers, p.peersListener)
	d.serve(d.callers, p.callersListener)
	d.run(func() { logEnd(p.log, "membership", p.members.Run(ctx)) })
	d.run(func() { logEnd(p.log, "control watch", p.watch.Run(ctx)) })
	d.run(func() { logEnd(p.log, "configuration", p.config.Run(ctx)) })
	d.run(func() { logEnd(p.log, "ownership", p.owners.Run(ctx)) })
	d.run(func() { newCaretaker(p).run(ctx) })
	d.run(func() { p.collect.Run(ctx) })
	d.run(func() { p.samples.Run(ctx) })
	p.members.SetReady(true)
	p.log.Info("started", "vm", p.self.ID, "failureDomain", p.self.FailureDomain,
		"address", d.Address(), "peerAddress", p.self.Address)
	return nil
}

func (d *Daemon) run(fn func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn()
	}()
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	d.run(func() {
		if s.TLSConfig != nil {
			l = tls.NewListener(l, s.TLSConfig)
		}
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.parts.log.Error(err, "server ended", "address", l.Addr().String())
		}
	})
}

func logEnd(log logr.Logger, name string, err error) {
	if err != nil {
		log.Error(err, "component ended", "component", name)
	}
}

// stop drains: readiness off, shards handed over, open calls answered, then the
// connections closed.
func (d *Daemon) stop(ctx context.Context) error {
	p := d.parts
	d.draining.Store(true)
	p.members.SetReady(false)
	p.members.SetDraining()
	p.log.Info("draining", "timeout", p.settings.Drain.Timeout.String())
	drainCtx, cancel := context.WithTimeout(ctx, p.settings.Drain.Timeout)
	defer cancel()
	time.Sleep(readinessDelay)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := p.ingress.Drain(drainCtx); err != nil {
			p.log.Info("calls were still open at the end of the drain time", "error", err.Error())
		}
	})
	wg.Go(func() { d.handOver(drainCtx) })
	wg.Wait()
	if err := d.callers.Shutdown(drainCtx); err != nil {
		p.log.Info("callers' connections closed by force", "error", err.Error())
		_ = d.callers.Close() // all connections are given up
	}
	d.cancel()
	_ = d.peers.Close() // calls over peer links fail as unavailable
	if err := p.node.Close(); err != nil {
		p.log.V(1).Info("peer links closed", "error", err.Error())
	}
	d.wg.Wait()
	p.log.Info("ended")
	return nil
}

func (d *Daemon) handOver(ctx context.Context) {
	report := func(waiting []ownership.Shard) {
		d.parts.log.Info("waiting for shards to be handed over", "shards", waiting)
	}
	if err := d.parts.owners.Drain(ctx, report); err != nil {
		d.parts.log.Info("shards were not handed over in time; their lease lapses", "error", err.Error())
	}
}

// Ready reports whether the daemon serves and its failure domains have at least
// so many workers that answer.
func (d *Daemon) Ready(workers int) bool {
	if !d.ready() {
		return false
	}
	n := 0
	for _, s := range d.parts.host.summaries() {
		n += s.Workers
	}
	return n >= workers && len(d.parts.members.Summaries()) > 0
}
