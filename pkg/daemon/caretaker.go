package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// careConcurrency bounds the renewals in progress.
const careConcurrency = 64

// caretaker renews the leases of a failure domain's tasks when its owner died
// during a store outage and no other owner can be elected. It places nothing
// and decides nothing. Of the living members, the first in the shard's order is
// the caretaker.
type caretaker struct {
	self      string
	domains   func() []string
	owner     func(ownership.Shard) (ownership.Owner, bool)
	members   func() []membership.Member
	storeDown func() bool
	vms       func() []platform.VM
	dialer    target.Dialer
	leaseTTL  time.Duration
	timeout   time.Duration // of one renewal
	log       logr.Logger

	active map[string]bool // failure domains in care

	mu           sync.Mutex
	conns        map[string]target.Target // by address
	incarnations map[string]int64         // by address; keep the answers short
}

func newCaretaker(d *parts) *caretaker {
	return &caretaker{
		self: d.self.ID, domains: d.vms.domains, owner: d.owners.Owner, members: d.members.Members,
		storeDown: d.budget.Down, vms: d.vms.last, dialer: d.dialer,
		leaseTTL: d.settings.Targets.LeaseTTL, timeout: d.settings.Targets.StartTimeout, log: d.log.WithName("caretaker"),
	}
}

// run looks after the failure domains until ctx ends. A dead owner is noticed
// after 5 s at most and its last renewal is at most a third of the lease old, so
// that a sixth of it is soon enough.
func (c *caretaker) run(ctx context.Context) {
	tick := time.NewTicker(c.leaseTTL / 6)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.look(ctx)
		}
	}
}

func (c *caretaker) look(ctx context.Context) {
	members := c.members()
	active := map[string]bool{}
	for _, name := range c.domains() {
		if !c.needed(name, members) {
			continue
		}
		active[name] = true
		if !c.active[name] {
			c.log.Info("failure domain has no living owner during a store outage; renewing its leases", "failureDomain", name)
		}
	}
	c.active = active
	if len(active) > 0 {
		c.renew(ctx, active)
	}
}

// needed reports whether this VM has to renew the leases of the failure domain.
// Care begins only while the store is down, and lasts until there is an owner.
func (c *caretaker) needed(name string, members []membership.Member) bool {
	if !c.storeDown() && !c.active[name] {
		return false
	}
	shard := ownership.DomainShard(name)
	if o, ok := c.owner(shard); ok && (o.Self || lives(o, members)) {
		return false
	}
	var able []membership.Member
	for _, m := range members {
		if m.State == membership.Alive && m.Ready {
			able = append(able, m)
		}
	}
	order := ownership.PreferenceOrder(shard, able)
	return len(order) > 0 && order[0] == c.self
}

// lives reports whether the owner's process is among the members, which leave
// out the dead ones. A suspect owner may still renew.
func lives(o ownership.Owner, members []membership.Member) bool {
	for _, m := range members {
		if m.ID == o.VM && m.Incarnation == o.Incarnation {
			return true
		}
	}
	return false
}

// renew extends all leases at the workers of the failure domains once.
func (c *caretaker) renew(ctx context.Context, domains map[string]bool) {
	var g errgroup.Group
	g.SetLimit(careConcurrency)
	for _, vm := range c.vms() {
		if vm.Role == platform.RoleTarget && domains[vm.FailureDomain] {
			g.Go(func() error {
				c.renewAt(ctx, vm)
				return nil
			})
		}
	}
	_ = g.Wait() // the functions return no error
}

func (c *caretaker) renewAt(ctx context.Context, vm platform.VM) {
	conn, incarnation := c.dial(vm.Address)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := conn.Sync(ctx, target.SyncRequest{
		RenewOnly: true, TTL: c.leaseTTL, SinceSeq: math.MaxInt64, Incarnation: incarnation,
	})
	if err != nil {
		c.log.V(1).Info("renewal failed", "worker", vm.ID, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[vm.Address] = resp.Incarnation
}

func (c *caretaker) dial(address string) (target.Target, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns, c.incarnations = map[string]target.Target{}, map[string]int64{}
	}
	conn, ok := c.conns[address]
	if !ok {
		conn = c.dialer.Dial(address)
		c.conns[address] = conn
	}
	return conn, c.incarnations[address]
}
