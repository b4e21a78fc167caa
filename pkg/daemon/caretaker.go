package daemon

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/target"
)

const (
	// caretakerInterval bounds how late a dead owner is noticed. Its death shows
	// after 2 s, its last renewal is at most a third of the task lease older.
	caretakerInterval = time.Second
	// caretakerCalls bounds the renewals at a time.
	caretakerCalls = 32
)

// caretaker renews the task leases of failure domains whose owner is gone while
// the store is out of reach, because no owner can be elected then and the
// workers would stop what runs. It places nothing and uses no epoch, so that a
// second caretaker or a former owner that still runs does no harm.
type caretaker struct {
	d *parts
	// incarnations are those of the last answers; with them a worker need not
	// send its tasks.
	incarnations map[string]int64
	renewed      map[string]time.Time // per failure domain
}

func newCaretaker(d *parts) *caretaker {
	return &caretaker{d: d, incarnations: map[string]int64{}, renewed: map[string]time.Time{}}
}

// Run works until ctx ends.
func (c *caretaker) Run(ctx context.Context) {
	tick := time.NewTicker(caretakerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.d.budget.Down() {
			c.round(ctx)
		}
	}
}

// round renews the domains that fall to this VM and are due.
func (c *caretaker) round(ctx context.Context) {
	alive := c.alive()
	for i, name := range c.d.vms.domains() {
		due := time.Since(c.renewed[name]) >= c.d.settings.Targets.LeaseTTL/3
		if !due || len(alive) == 0 || owned(alive, name) || alive[i%len(alive)].ID != c.d.self.ID {
			continue
		}
		c.d.log.Info("renewing the task leases of a failure domain without an owner", "failureDomain", name)
		c.renew(ctx, name)
		c.renewed[name] = time.Now()
	}
}

// alive returns the members that are not suspect, ordered by ID on every VM.
func (c *caretaker) alive() []membership.Member {
	var out []membership.Member
	for _, m := range c.d.members.Members() {
		if m.State == membership.Alive {
			out = append(out, m)
		}
	}
	return out
}

// owned reports whether one of the members serves the failure domain.
func owned(members []membership.Member, name string) bool {
	for _, m := range members {
		if _, ok := m.Shards[string(ownership.DomainShard(name))]; ok {
			return true
		}
	}
	return false
}

func (c *caretaker) renew(ctx context.Context, name string) {
	var workers []platform.VM
	for _, vm := range c.d.vms.last() {
		if vm.Role == platform.RoleTarget && vm.FailureDomain == name {
			workers = append(workers, vm)
		}
	}
	answers := make([]int64, len(workers))
	var g errgroup.Group
	g.SetLimit(caretakerCalls)
	for i, vm := range workers {
		known := c.incarnations[vm.ID]
		g.Go(func() error {
			answers[i] = c.renewOne(ctx, vm, known)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	for i, vm := range workers {
		c.incarnations[vm.ID] = answers[i]
	}
}

// renewOne renews all leases at one worker and returns its incarnation.
func (c *caretaker) renewOne(ctx context.Context, vm platform.VM, incarnation int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, c.d.settings.Targets.StartTimeout)
	defer cancel()
	resp, err := c.d.dialer.Dial(vm.Address).Sync(ctx, target.SyncRequest{
		TTL: c.d.settings.Targets.LeaseTTL, RenewOnly: true, Since: math.MaxInt64, Incarnation: incarnation,
	})
	if err != nil {
		c.d.log.Info("task leases of a worker were not renewed", "worker", vm.ID, "error", err.Error())
		return incarnation
	}
	return resp.Incarnation
}
