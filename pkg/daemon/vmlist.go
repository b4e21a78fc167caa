package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// vmCache passes on the platform's VM list and keeps the newest answer, so that
// one poll serves membership and all failure domains. During an outage of the
// list the last answer stays valid. The list is divided by failure domain once
// per poll, because its readers ask many times a second and it may have 13,000
// rows.
type vmCache struct {
	source platform.VMLister

	mu  sync.RWMutex
	all vmIndex
}

// vmIndex is one answer, divided; it is never modified.
type vmIndex struct {
	list         []platform.VM
	names        []string // failure domains that have targets, in order
	targets      map[string][]platform.VM
	accelerators map[string]int
	total        int // accelerators of all targets
}

func newVMIndex(list []platform.VM) vmIndex {
	x := vmIndex{list: list, targets: map[string][]platform.VM{}, accelerators: map[string]int{}}
	for _, vm := range list {
		if vm.Role != platform.RoleTarget {
			continue
		}
		x.targets[vm.FailureDomain] = append(x.targets[vm.FailureDomain], vm)
		x.accelerators[vm.FailureDomain] += vm.Accelerators
		x.total += vm.Accelerators
	}
	x.names = slices.Sorted(maps.Keys(x.targets))
	return x
}

// ListVMs asks the platform and keeps the answer.
func (c *vmCache) ListVMs(ctx context.Context) ([]platform.VM, error) {
	list, err := c.source.ListVMs(ctx)
	if err != nil {
		return nil, err
	}
	x := newVMIndex(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = x
	return list, nil
}

func (c *vmCache) index() vmIndex {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.all
}

// last returns the newest answer; it must not be modified.
func (c *vmCache) last() []platform.VM { return c.index().list }

// targets returns the targets of one failure domain; they must not be modified.
func (c *vmCache) targets(domain string) []platform.VM { return c.index().targets[domain] }

// domains returns the failure domains that have targets, in order.
func (c *vmCache) domains() []string { return c.index().names }

// accelerators returns those of one failure domain and of all.
func (c *vmCache) accelerators(domain string) (own, all int) {
	x := c.index()
	return x.accelerators[domain], x.total
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
