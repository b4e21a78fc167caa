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

// maxVMListLag bounds the lag of the VM list that can be shown, and with it
// the changes that are kept.
const maxVMListLag = 10 * time.Minute

// vmList keeps the present rows and the changes that a lagging list needs. It
// keeps changes rather than copies, since a fleet of 13,000 workers registers
// one by one.
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

func (c vmChange) apply(rows map[string]platform.VM) {
	if c.removed {
		delete(rows, c.vm.ID)
		return
	}
	rows[c.vm.ID] = c.vm
}

func (l *vmList) change(c vmChange) {
	c.at = time.Now()
	c.apply(l.current)
	l.changes = append(l.changes, c)
	for len(l.changes) > 0 && c.at.Sub(l.changes[0].at) > maxVMListLag {
		l.changes[0].apply(l.base)
		l.changes = l.changes[1:]
	}
}

// rows returns the list as it was lag ago, ordered by ID.
func (l *vmList) rows(lag time.Duration) []platform.VM {
	state := l.current
	if lag > 0 {
		state = maps.Clone(l.base)
		cutoff := time.Now().Add(-lag)
		for _, c := range l.changes {
			if c.at.After(cutoff) {
				break
			}
			c.apply(state)
		}
	}
	rows := slices.AppendSeq(make([]platform.VM, 0, len(state)), maps.Values(state))
	slices.SortFunc(rows, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// ListVMs returns the list of VMs, ordered by ID, as old as the lag says. It
// is a service of its own: the rates and the outage of the store do not apply.
func (s *Store) ListVMs(ctx context.Context) ([]platform.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[OpListVMs]++
	if err := ctx.Err(); err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "no VM list in time")
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
		s.vms.change(vmChange{vm: vm})
	}
	for id, vm := range maps.Clone(s.vms.current) {
		if !keep[id] {
			s.vms.change(vmChange{vm: vm, removed: true})
		}
	}
}

// PutVM adds a VM or replaces the row with its ID.
func (s *Store) PutVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.change(vmChange{vm: vm})
}

// RemoveVM takes a VM from the list; an unknown ID is ignored.
func (s *Store) RemoveVM(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm, ok := s.vms.current[id]; ok {
		s.vms.change(vmChange{vm: vm, removed: true})
	}
}
