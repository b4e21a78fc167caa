package daemon

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/controlwatch"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/httplimit"
	"github.com/carawayusher/carawayusher/pkg/ingress"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/peer"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/platform"
	platformhttp "github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/router"
	"github.com/carawayusher/carawayusher/pkg/settings"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
	"github.com/carawayusher/carawayusher/pkg/target"
	targethttp "github.com/carawayusher/carawayusher/pkg/target/httpapi"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Backends are what the daemon reaches outside itself. Zero fields are replaced
// by the HTTP adapters that the settings describe.
type Backends struct {
	Store  platform.Store
	VMs    platform.VMLister
	Dialer target.Dialer
}

// parts holds the components of one VM.
type parts struct {
	settings *settings.Settings
	log      logr.Logger
	registry *prometheus.Registry

	callersListener *httplimit.Listener
	peersListener   *httplimit.Listener
	self            membership.Member

	vms     *vmCache
	budget  *storebudget.Budget
	dialer  target.Dialer
	events  *timeline.Buffer
	collect *timeline.Collector
	node    *peer.Node
	members *membership.Membership
	view    domainView
	watch   *controlwatch.Watch
	config  *configsync.Sync
	gate    *gate.Gate
	owners  *ownership.Manager
	host    *host
	router  *router.Router
	retries partition.RetryPolicy
	planner *plan.Planner
	cluster *plan.Cluster
	ingress *ingress.Ingress
	admin   *admin.API
	samples *admin.Sampler
}

// newParts builds the components from the bottom up: outside systems, events,
// peers and members, configuration, ownership, the shards' owners, interfaces.
func newParts(s *settings.Settings, log logr.Logger, b Backends) (*parts, error) {
	d := &parts{settings: s, log: log, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.listen(); err != nil {
		return nil, err
	}
	bootstrap, err := loadBootstrap(s.Policy.Bootstrap)
	if err != nil {
		return nil, err
	}
	d.buildBackends(b)
	d.buildEvents()
	if err := d.buildMembers(); err != nil {
		return nil, err
	}
	d.buildConfig(bootstrap)
	d.buildOwnership()
	d.buildInterfaces()
	return d, nil
}

// listen opens the listeners first, so that a port in use ends the start before
// anything else has happened.
func (d *parts) listen() error {
	limits := httplimit.New(httplimit.Options{
		Memory: d.settings.Limits.Memory, Files: d.settings.Limits.MaxOpen,
		Key: func(r *http.Request) string { return r.Header.Get("Authorization") },
		Log: d.log.WithName("clients"), Registerer: d.registry,
	})
	limits.SetMaxBody(d.settings.Jobs.MaxBody)
	var err error
	if d.callersListener, err = limits.Listen(d.settings.VM.Listen, httplimit.Callers); err != nil {
		return errkind.Wrap(err, errkind.InvalidConfig, "vm.listen %s", d.settings.VM.Listen)
	}
	if d.peersListener, err = limits.Listen(d.settings.VM.PeerListen, httplimit.Peers); err != nil {
		_ = d.callersListener.Close() // the start has failed
		return errkind.Wrap(err, errkind.InvalidConfig, "vm.peer_listen %s", d.settings.VM.PeerListen)
	}
	d.self = membership.Member{
		ID: d.settings.VM.ID, FailureDomain: d.settings.VM.FailureDomain,
		Address:     advertised(d.settings.VM.Advertise, d.peersListener.Addr()),
		Incarnation: time.Now().UnixNano(), State: membership.Alive,
	}
	return nil
}

// advertised replaces an empty address or port 0 by what the kernel chose.
func advertised(address string, bound net.Addr) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return bound.String()
	}
	if _, boundPort, err := net.SplitHostPort(bound.String()); err == nil && port == "0" {
		port = boundPort
	}
	return net.JoinHostPort(host, port)
}

func loadBootstrap(path string) (*policy.Document, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "policy.bootstrap")
	}
	defer f.Close()
	return policy.LoadYAML(f)
}

func (d *parts) buildBackends(b Backends) {
	if b.Store == nil || b.VMs == nil {
		c := platformhttp.NewClient(d.settings.Platform.URL, platformhttp.ClientOptions{CallTimeout: d.settings.Platform.Timeout})
		b.Store, b.VMs = c, c
	}
	if b.Dialer == nil {
		b.Dialer = targethttp.NewDialer(targethttp.DialerOptions{
			MaxConnsPerHost: d.settings.Targets.ConnectionsPerVM, CallTimeout: d.settings.Targets.StartTimeout,
		})
	}
	d.vms, d.dialer = &vmCache{source: b.VMs}, b.Dialer
	d.budget = storebudget.New(storebudget.Options{
		Store:           b.Store,
		WritesPerSecond: float64(d.settings.Platform.StoreWritesPerSecond),
		ReadsPerSecond:  float64(d.settings.Platform.StoreReadsPerSecond),
		LiveVMs:         d.liveMembers, OnOutage: d.outage, Registerer: d.registry, Log: d.log.WithName("store"),
	})
}

func (d *parts) liveMembers() int {
	if d.members == nil {
		return 1
	}
	return max(len(d.members.Members()), 1)
}

func (d *parts) outage(down bool) {
	reason := "the store answers again"
	if down {
		reason = "the store does not answer"
	}
	d.log.Info(reason)
	d.events.Record(timeline.Event{Type: timeline.StoreOutage, Reason: reason})
}

func (d *parts) buildEvents() {
	d.events = timeline.NewBuffer(timeline.BufferOptions{VM: d.self.ID, Incarnation: d.self.Incarnation})
}

func (d *parts) buildMembers() error {
	tlsConfig, err := serverTLS(d.settings.TLS)
	if err != nil {
		return err
	}
	d.node = peer.NewNode(peer.Options{
		Address: d.self.Address, Token: d.settings.Peers.Token.Reveal(), TLS: tlsConfig,
		MaxFrame: int(d.settings.Peers.MaxFrame), RequestsPerSecond: float64(d.settings.Peers.RequestsPerSecond),
		Registerer: d.registry, Log: d.log.WithName("peer"),
	})
	d.members = membership.New(membership.Options{
		Self: d.self, Seeds: d.settings.Peers.Seeds, Caller: d.node, Registry: d.node, VMs: d.vms,
		HeartbeatInterval: d.settings.Cluster.HeartbeatInterval, ListInterval: d.settings.Platform.VMListInterval,
		Fanout: d.settings.Cluster.Fanout, Log: d.log.WithName("membership"), Recorder: d.events,
	})
	d.members.SetEventSeq(d.events.Seq)
	d.view = domainView{View: d.members, list: d.vms}
	d.collect = &timeline.Collector{Buffer: d.events, Caller: d.node, Peers: d.otherVMs}
	d.node.Handle(timeline.MethodSince, d.events.HandleSince)
	return nil
}

func (d *parts) otherVMs() []timeline.Peer {
	var out []timeline.Peer
	for _, m := range d.members.Members() {
		if m.ID != d.self.ID {
			out = append(out, timeline.Peer{
				ID: m.ID, Address: m.Address, Newest: timeline.Position{Incarnation: m.Incarnation, Seq: m.EventSeq},
			})
		}
	}
	return out
}

func (d *parts) buildConfig(bootstrap *policy.Document) {
	d.watch = controlwatch.New(controlwatch.Options{Store: d.budget, Log: d.log.WithName("watch")})
	d.config = configsync.New(configsync.Options{
		Store: d.budget, Watch: d.watch, Caller: d.node, Registry: d.node,
		Bootstrap: bootstrap, Log: d.log.WithName("config"), Recorder: d.events,
	})
	d.members.OnHigherRevision(d.config.HigherRevision)
	d.gate = gate.New(gate.Options{Config: d.config, Recorder: d.events})
	d.retries = partition.NewBudgetedRetries()
}

func (d *parts) buildOwnership() {
	d.host = newHost(d)
	d.owners = ownership.New(ownership.Options{
		Store: d.budget, Watch: d.watch, Members: d.members, Shards: d.shards, Host: d.host,
		LeaseTTL: d.settings.Platform.LeaseTTL, MayRebalance: d.mayRebalance,
		Log: d.log.WithName("ownership"), Recorder: d.events,
	})
	d.members.SetDomains(d.host.summaries)
	d.members.SetShards(d.owners.OwnedEpochs)
	d.members.OnPause(d.owners.HandlePause)
	d.members.OnChange(d.owners.TriggerReconcile)
	d.router = router.New(d.owners, d.node, d.node, d.host, d.settings.Cluster.Partitions)
	d.config.Subscribe(func(doc *policy.Document) {
		d.members.SetConfigRevision(doc.Revision)
		d.host.setPolicy(doc)
	})
}

// shards lists all partitions and all failure domains that have targets.
func (d *parts) shards() []ownership.Shard {
	var out []ownership.Shard
	for n := range d.settings.Cluster.Partitions {
		out = append(out, ownership.PartitionShard(n))
	}
	for _, name := range d.vms.domains() {
		out = append(out, ownership.DomainShard(name))
	}
	return out
}

func (d *parts) mayRebalance() bool { return d.gate.Enabled("")[gate.Rebalance] }

func (d *parts) buildInterfaces() {
	list := workers{d}
	d.ingress = ingress.New(ingress.Options{
		Service: d.router, Workers: list, Config: d.config, Members: d.view, Owners: d.owners,
		Partitions: d.settings.Cluster.Partitions, Recorder: d.events, Log: d.log.WithName("ingress"),
		Registerer: d.registry,
		Limits:     ingress.Limits{MaxBody: d.settings.Jobs.MaxBody, MaxWait: d.settings.Jobs.MaxWait},
	})
	d.cluster = &plan.Cluster{Local: localPlans{d}, Gate: d.gate, Jobs: d.router, View: d.members, Caller: d.node}
	d.node.Handle(plan.MethodCollect, d.cluster.HandleCollect)
	d.planner = plan.New(plan.Options{
		Source: d.config, Store: plan.NewStore(d.budget), Previewer: d.cluster, Jobs: d.router,
		Proposals: d.cluster, Executor: d.cluster, Recorder: d.events,
	})
	d.samples = admin.NewSampler(d.members.Summaries)
	d.registry.MustRegister(admin.Metrics{Source: d.config, View: d.members, Gate: d.gate})
	d.admin = admin.New(admin.Options{
		Source: d.config, Planner: d.planner, Proposals: d.cluster, Jobs: d.router, Explain: d.router,
		Workers: list, View: d.members, Events: d.collect, Samples: d.samples, Log: d.log.WithName("admin"),
	})
}
