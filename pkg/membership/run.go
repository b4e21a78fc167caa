package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Run sends heartbeats and reads the VM list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.running, m.lastLook = true, m.opts.now()
	m.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	if m.opts.VMs != nil {
		wg.Go(func() { m.pollList(ctx) })
	}
	ticker := time.NewTicker(m.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.beat(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.urgent:
		}
	}
}

// beat advances the own counter and sends one round of heartbeats. The calls
// run beside the loop: a slow peer must not delay the heartbeats to others.
func (m *Membership) beat(ctx context.Context, wg *sync.WaitGroup) {
	m.refreshSelf()
	targets := m.targets()
	m.noteStates()
	for _, address := range targets {
		if !m.begin(address) {
			continue // the last heartbeat to this peer is still on its way
		}
		wg.Go(func() {
			defer m.end(address)
			m.sendHeartbeat(ctx, address)
		})
	}
}

func (m *Membership) begin(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.calling[address] {
		return false
	}
	m.calling[address] = true
	return true
}

func (m *Membership) end(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.calling, address)
}

func (m *Membership) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, SuspectAfter)
	defer cancel()
	req := m.digestFor(address)
	var resp heartbeat
	if err := m.opts.Caller.Call(ctx, address, Method, req, &resp); err != nil {
		m.opts.Log.V(2).Info("heartbeat failed", "peer", address, "error", err.Error())
		return
	}
	m.receive(resp)
}

// targets chooses the peers of this round: the fanout highest by rendezvous
// hashing of the round, and one address that no live member has, so that VMs
// that start and members that return are found.
func (m *Membership) targets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkPause()
	m.round++
	var known []string
	unknown := map[string]bool{}
	for _, a := range m.opts.Seeds {
		unknown[a] = true
	}
	for a := range m.listed {
		unknown[a] = true
	}
	for _, r := range m.members {
		if r.stateAt(now) == Dead {
			unknown[r.member.Address] = true
			continue
		}
		known = append(known, r.member.Address)
		delete(unknown, r.member.Address)
	}
	for _, a := range known {
		delete(unknown, a)
	}
	delete(unknown, m.self.Address)
	delete(unknown, "")
	probes := 1
	if len(known) == 0 {
		probes = m.opts.Fanout
	}
	return append(m.highest(known, m.opts.Fanout), m.highest(sortedKeys(unknown), probes)...)
}

// highest returns the n addresses that rank first in this round.
func (m *Membership) highest(addresses []string, n int) []string {
	score := func(a string) uint64 {
		d := xxhash.New()
		_, _ = d.WriteString(m.self.ID)
		_, _ = d.WriteString(a)
		_, _ = d.Write([]byte{byte(m.round), byte(m.round >> 8), byte(m.round >> 16), byte(m.round >> 24)})
		return d.Sum64()
	}
	slices.SortFunc(addresses, func(a, b string) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return addresses[:min(n, len(addresses))]
}

// pollList reads the platform's list at once and then at each interval.
func (m *Membership) pollList(ctx context.Context) {
	ticker := time.NewTicker(m.opts.ListInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, m.opts.ListInterval)
		vms, err := m.opts.VMs.ListVMs(call)
		cancel()
		if err != nil {
			m.opts.Log.V(1).Info("VM list cannot be read", "error", err.Error())
		} else {
			m.mergeList(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// mergeList takes addresses and leaving marks from the list. It makes nobody a
// member: only a heartbeat shows that a VM's daemon is alive, and the list may
// be older than its death.
func (m *Membership) mergeList(vms []platform.VM) {
	m.mu.Lock()
	now := m.checkPause()
	m.listed = map[string]bool{}
	var leaving []string
	for _, vm := range vms {
		switch {
		case vm.Role == platform.RoleTarget:
			if vm.State == platform.VMLeaving {
				leaving = append(leaving, vm.ID)
			}
		case vm.ID == m.self.ID:
			m.selfLeaving = vm.State == platform.VMLeaving
		default:
			m.mergeListed(vm)
		}
	}
	changed := m.reportLeaving(leaving, now)
	m.mu.Unlock()
	m.afterLeaving(changed)
}

func (m *Membership) mergeListed(vm platform.VM) {
	m.listed[vm.Address] = true
	if r := m.members[vm.ID]; r != nil && r.member.Address == vm.Address {
		r.listedLeaving = vm.State == platform.VMLeaving
	}
}
