package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// vmCache passes on the platform's VM list and keeps the newest answer, so that
// one poll serves membership and all failure domains. During an outage of the
// list the last answer stays valid.
type vmCache struct {
	source platform.VMLister

	mu   sync.RWMutex
	list []platform.VM
}

// ListVMs asks the platform and keeps the answer.
func (c *vmCache) ListVMs(ctx context.Context) ([]platform.VM, error) {
	list, err := c.source.ListVMs(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = list
	return list, nil
}

// last returns the newest answer; it must not be modified.
func (c *vmCache) last() []platform.VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list
}

// domains returns the failure domains that have targets, in order.
func (c *vmCache) domains() []string {
	var names []string
	for _, vm := range c.last() {
		if vm.Role == platform.RoleTarget && !slices.Contains(names, vm.FailureDomain) {
			names = append(names, vm.FailureDomain)
		}
	}
	slices.Sort(names)
	return names
}

// accelerators returns those of one failure domain and of all.
func (c *vmCache) accelerators(domain string) (own, all int) {
	for _, vm := range c.last() {
		if vm.Role != platform.RoleTarget {
			continue
		}
		all += vm.Accelerators
		if vm.FailureDomain == domain {
			own += vm.Accelerators
		}
	}
	return own, all
}

// domainView is the membership with a summary for every listed failure domain.
// The summary of a domain goes with its dead owner; without a placeholder, a
// job that only this domain can hold would be refused as impossible for good.
type domainView struct {
	membership.View
	list *vmCache
}

// Summaries returns the members' summaries, and one without workers for each
// listed failure domain of which no member has told one.
func (v domainView) Summaries() []sched.Summary {
	known := v.View.Summaries()
	for _, name := range v.list.domains() {
		if !slices.ContainsFunc(known, func(s sched.Summary) bool { return s.Domain == name }) {
			known = append(known, sched.Summary{Domain: name})
		}
	}
	return known
}
