package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Run sends heartbeats and polls the VM list until ctx is canceled.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.running, m.lastClockCheck = true, m.opts.now()
	m.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	if m.opts.VMs != nil {
		wg.Go(func() { m.pollVMList(ctx) })
	}
	ticker := time.NewTicker(m.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		m.sendRound(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.roundRequests:
		}
	}
}

// sendRound increments this VM's counter and sends one round of heartbeats. Each
// call runs in its own goroutine, so that a slow peer does not delay the others.
func (m *Membership) sendRound(ctx context.Context, wg *sync.WaitGroup) {
	m.refreshSelf()
	peers := m.roundPeers()
	m.updateStates()
	for _, address := range peers {
		if !m.markInFlight(address) {
			continue // the previous heartbeat to this peer is still in flight
		}
		wg.Go(func() {
			defer m.clearInFlight(address)
			m.sendHeartbeat(ctx, address)
		})
	}
}

// markInFlight marks a call to the address as in flight and reports false if there
// is one already.
func (m *Membership) markInFlight(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[address] {
		return false
	}
	m.inFlight[address] = true
	return true
}

func (m *Membership) clearInFlight(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, address)
}

// sendHeartbeat sends a heartbeat to the peer at the address and merges the response.
func (m *Membership) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, SuspectAfter)
	defer cancel()
	req := m.digestFor(address)
	var resp heartbeat
	if err := m.opts.Caller.Call(ctx, address, Method, req, &resp); err != nil {
		m.opts.Log.V(2).Info("heartbeat failed", "peer", address, "error", err.Error())
		return
	}
	m.mergeHeartbeat(resp)
}

// roundPeers selects the addresses for the next round: Fanout live members, ranked by
// rendezvous hashing with the round number, and one address without a live member, so
// that new and returning VMs are discovered. Without any live member it selects
// Fanout such addresses.
func (m *Membership) roundPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.checkClock()
	m.round++
	var live []string
	others := map[string]bool{}
	for _, a := range m.opts.Seeds {
		others[a] = true
	}
	for a := range m.listedAddresses {
		others[a] = true
	}
	for _, r := range m.members {
		if r.stateAt(now) == Dead {
			others[r.member.Address] = true
			continue
		}
		live = append(live, r.member.Address)
		delete(others, r.member.Address)
	}
	for _, a := range live {
		delete(others, a)
	}
	delete(others, m.self.Address)
	delete(others, "")
	probes := 1
	if len(live) == 0 {
		probes = m.opts.Fanout
	}
	return append(m.highestRanked(live, m.opts.Fanout), m.highestRanked(sortedKeys(others), probes)...)
}

// highestRanked returns the n addresses with the highest hash for this round. It
// sorts addresses in place.
func (m *Membership) highestRanked(addresses []string, n int) []string {
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

// pollVMList reads the platform's VM list immediately and then at each interval.
func (m *Membership) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(m.opts.ListInterval)
	defer ticker.Stop()
	for {
		listCtx, cancel := context.WithTimeout(ctx, m.opts.ListInterval)
		vms, err := m.opts.VMs.ListVMs(listCtx)
		cancel()
		if err != nil {
			m.opts.Log.V(1).Info("failed to read the VM list of the platform", "error", err.Error())
		} else {
			m.mergeVMList(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// mergeVMList takes addresses and leaving states from the VM list. It never adds a
// member: only a heartbeat shows that the daemon of a VM is alive, and the list may
// still contain a VM that has died.
func (m *Membership) mergeVMList(vms []platform.VM) {
	m.mu.Lock()
	now := m.checkClock()
	m.listedAddresses = map[string]bool{}
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
			m.mergeListedVM(vm)
		}
	}
	changed := m.recordLeaving(leaving, now)
	m.mu.Unlock()
	m.announceLeaving(changed)
}

// mergeListedVM adds the address of an entry VM to the discovery addresses and
// updates the leaving state of its member. m.mu must be held.
func (m *Membership) mergeListedVM(vm platform.VM) {
	m.listedAddresses[vm.Address] = true
	if r := m.members[vm.ID]; r != nil && r.member.Address == vm.Address {
		r.listedLeaving = vm.State == platform.VMLeaving
	}
}
