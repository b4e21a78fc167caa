package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// maxVMListLag bounds the lag that can be injected, and so the changes that are kept.
const maxVMListLag = 10 * time.Minute

// vmList holds the current rows and the changes from which a lagging list is built. It
// keeps changes instead of copies of the list, since a fleet of 13,000 workers
// registers one by one.
type vmList struct {
	current map[string]platform.VM
	base    map[string]platform.VM // state before changes
	changes []vmChange
}

type vmChange struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

func newVMList(vms []platform.VM) vmList {
	l := vmList{current: map[string]platform.VM{}, base: map[string]platform.VM{}}
	for _, vm := range vms {
		l.current[vm.ID] = vm
		l.base[vm.ID] = vm
	}
	return l
}

func (c vmChange) applyTo(rows map[string]platform.VM) {
	if c.removed {
		delete(rows, c.vm.ID)
		return
	}
	rows[c.vm.ID] = c.vm
}

func (l *vmList) applyChange(c vmChange) {
	c.at = time.Now()
	c.applyTo(l.current)
	l.changes = append(l.changes, c)
	for len(l.changes) > 0 && c.at.Sub(l.changes[0].at) > maxVMListLag {
		l.changes[0].applyTo(l.base)
		l.changes = l.changes[1:]
	}
}

// rows returns the list as of lag ago, ordered by ID.
func (l *vmList) rows(lag time.Duration) []platform.VM {
	state := l.current
	if lag > 0 {
		state = maps.Clone(l.base)
		cutoff := time.Now().Add(-lag)
		for _, c := range l.changes {
			if c.at.After(cutoff) {
				break
			}
			c.applyTo(state)
		}
	}
	rows := slices.AppendSeq(make([]platform.VM, 0, len(state)), maps.Values(state))
	slices.SortFunc(rows, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// ListVMs returns the list of VMs as of VMListLag ago, ordered by ID. It is a separate
// service: the rate limits and outages of the store do not apply.
func (s *Store) ListVMs(ctx context.Context) ([]platform.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[OpListVMs]++
	if err := ctx.Err(); err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "no answer from the VM list in time")
	}
	if s.faults.VMListOutage {
		return nil, errkind.New(errkind.Unavailable, "the VM list is out of service")
	}
	return s.vms.rows(s.faults.VMListLag), nil
}

// SetVMs replaces the whole list.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := map[string]bool{}
	for _, vm := range vms {
		keep[vm.ID] = true
		s.vms.applyChange(vmChange{vm: vm})
	}
	for id, vm := range maps.Clone(s.vms.current) {
		if !keep[id] {
			s.vms.applyChange(vmChange{vm: vm, removed: true})
		}
	}
}

// PutVM adds a VM or replaces the row with its ID.
func (s *Store) PutVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyChange(vmChange{vm: vm})
}

// RemoveVM removes a VM from the list; an unknown ID is ignored.
func (s *Store) RemoveVM(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm, ok := s.vms.current[id]; ok {
		s.vms.applyChange(vmChange{vm: vm, removed: true})
	}
}
