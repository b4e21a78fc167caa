package daemon

import (
	"context"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// host serves the shards that this VM owns. It implements ownership.Host and
// router.Local.
type host struct {
	d                *parts
	partitionMetrics *partition.Metrics
	domainMetrics    *domain.Metrics

	mu         sync.RWMutex
	partitions map[int]*partition.Partition
	domains    map[string]*domain.Domain
}

func newHost(d *parts) *host {
	return &host{
		d: d, partitionMetrics: partition.NewMetrics(d.registry), domainMetrics: domain.NewMetrics(d.registry),
		partitions: map[int]*partition.Partition{}, domains: map[string]*domain.Domain{},
	}
}

// Partition returns the partition if this VM owns it.
func (h *host) Partition(n int) (*partition.Partition, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	p, ok := h.partitions[n]
	return p, ok
}

// Domain returns the failure domain if this VM owns it.
func (h *host) Domain(name string) (*domain.Domain, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d, ok := h.domains[name]
	return d, ok
}

func (h *host) allDomains() []*domain.Domain {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]*domain.Domain, 0, len(h.domains))
	for _, d := range h.domains {
		out = append(out, d)
	}
	return out
}

// summaries returns those of the failure domains that this VM owns.
func (h *host) summaries() []sched.Summary {
	var out []sched.Summary
	for _, d := range h.allDomains() {
		out = append(out, d.Summary())
	}
	return out
}

// StartShard begins to serve a shard under the epoch.
func (h *host) StartShard(_ context.Context, shard ownership.Shard, epoch int64) {
	if n, ok := shard.Partition(); ok {
		h.startPartition(n, epoch)
		return
	}
	if name, ok := shard.Domain(); ok {
		h.startDomain(name, epoch)
	}
}

func (h *host) startPartition(n int, epoch int64) {
	p := partition.New(partition.Options{
		Partition: n, Epoch: epoch, OpenJournal: h.opener(n, epoch),
		StoreReachable: func() bool { return !h.d.budget.Down() },
		Domains:        h.d.router, Summaries: h.d.view.Summaries, DomainNames: h.d.vms.domains,
		DomainEpoch: h.domainEpoch, Config: h.d.config, Gate: h.d.gate, Retries: h.d.retries,
		Recorder: h.d.events, Log: h.d.log.WithName("partition"), Retention: h.d.settings.Jobs.ResultRetention,
		MaxResultBytes: h.d.settings.Jobs.ResultMax, Metrics: h.partitionMetrics,
	})
	h.mu.Lock()
	h.partitions[n] = p
	h.mu.Unlock()
	p.Start()
}

// opener returns the function that opens a partition's journal.
func (h *host) opener(n int, epoch int64) partition.OpenJournal {
	return func(ctx context.Context, snapshot func() [][]byte) (journal.Log, journal.Recovered, error) {
		return journal.Open(ctx, journal.Options{
			Store: h.d.budget, Partition: n, Epoch: epoch, VM: h.d.settings.VM.ID, Snapshot: snapshot,
			OnFenced: func(newer int64) { h.d.owners.ObserveEpoch(ownership.PartitionShard(n), newer) },
			Log:      h.d.log.WithName("journal"),
		})
	}
}

func (h *host) domainEpoch(name string) (int64, bool) {
	o, ok := h.d.owners.Owner(ownership.DomainShard(name))
	return o.Epoch, ok
}

func (h *host) startDomain(name string, epoch int64) {
	d := domain.New(domain.Options{
		Name: name, Epoch: epoch, Scheduler: sched.NewDomain(name, sched.Options{}),
		Dialer: h.d.dialer, Reporter: h.d.router, Gate: h.d.gate, Recorder: h.d.events,
		Log: h.d.log.WithName("domain"), VMs: func() []platform.VM { return h.d.vms.targets(name) },
		LeavingTargets: h.d.members.LeavingTargets, ReportLeaving: h.d.members.ReportLeaving,
		LeaseTTL: h.d.settings.Targets.LeaseTTL, CallTimeout: h.d.settings.Targets.StartTimeout,
		MaxResultBytes: h.d.settings.Jobs.ResultMax, Metrics: h.domainMetrics,
		// The answer does not name the newer epoch; any above the own one will do.
		OnFenced: func() { h.d.owners.ObserveEpoch(ownership.DomainShard(name), epoch+1) },
	})
	if doc := h.d.config.Current(); doc != nil {
		d.SetPolicy(h.share(doc, name))
	}
	h.mu.Lock()
	h.domains[name] = d
	h.mu.Unlock()
	d.Start()
}

// StopShard hands a shard over.
func (h *host) StopShard(ctx context.Context, shard ownership.Shard, lost bool) {
	if n, ok := shard.Partition(); ok {
		if p, served := h.Partition(n); served {
			p.Stop(ctx, !lost)
			h.mu.Lock()
			delete(h.partitions, n)
			h.mu.Unlock()
		}
		return
	}
	name, _ := shard.Domain()
	if d, served := h.Domain(name); served {
		d.Stop(ctx, !lost)
		h.mu.Lock()
		delete(h.domains, name)
		h.mu.Unlock()
	}
}

// setPolicy puts a document in force in all failure domains of this VM.
func (h *host) setPolicy(doc *policy.Document) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for name, d := range h.domains {
		d.SetPolicy(h.share(doc, name))
	}
}

// share returns the document with the quotas divided by the accelerators of the
// failure domain. The owners of the domains decide without asking each other,
// so only a fixed division keeps a workspace within its quota at any moment.
func (h *host) share(doc *policy.Document, name string) *policy.Document {
	own, all := h.d.vms.accelerators(name)
	if all == 0 || own == all {
		return doc
	}
	c := *doc
	c.Workspaces = make(map[string]policy.Workspace, len(doc.Workspaces))
	part := func(n int) int {
		if n == 0 {
			return 0 // no limit
		}
		return max(n*own/all, 1)
	}
	for id, ws := range doc.Workspaces {
		ws.Quota.Accelerators = part(ws.Quota.Accelerators)
		ws.Quota.Slots = part(ws.Quota.Slots)
		ws.Quota.Queued = part(ws.Quota.Queued)
		c.Workspaces[id] = ws
	}
	return &c
}
