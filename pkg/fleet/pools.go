package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Tuning of moves between a standby pool and a service.
const (
	// backlogWait is how long work has to wait before a machine is fetched; a
	// move costs as much as some seconds of a machine.
	backlogWait = 1500 * time.Millisecond
	// idleBack is how long a fetched machine has to be idle before it goes back.
	idleBack = 8 * time.Second
	// movesAtOnce bounds the machines that are fetched in one step.
	movesAtOnce = 2
)

// standbyPools returns the services whose machines are off.
func (o *Owner) standbyPools() []string {
	var pools []string
	if cat := o.opts.Catalog(); cat != nil {
		for _, s := range cat.Services {
			if s.Standby {
				pools = append(pools, s.Name)
			}
		}
	}
	return pools
}

// balancePools fetches machines from standby for work that waits, and gives
// them back when they have been idle.
func (o *Owner) balancePools(standby []string) {
	if len(standby) == 0 {
		return
	}
	wanted := o.waitingServices()
	moves := 0
	for _, id := range slices.Sorted(maps.Keys(o.machines)) {
		m := o.machines[id]
		if !slices.Contains(standby, m.Pool) || m.State != MachineUp || moves == movesAtOnce {
			continue
		}
		for service, need := range wanted {
			if need.Fits(m.Capacity) && o.move(m, service) {
				o.homePools[m.ID] = m.Pool
				moves++
				break
			}
		}
	}
	if len(wanted) == 0 {
		o.returnIdle()
	}
}

// waitingServices returns the services with work that has waited for room, and
// the largest request of it.
func (o *Owner) waitingServices() map[string]workload.Resources {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	wanted := map[string]workload.Resources{}
	for _, j := range o.live {
		for _, g := range j.groups {
			if !g.ready || g.complete() || len(g.runs) > 0 || now-g.readySince < backlogWait {
				continue
			}
			service, demand := o.serviceOf(j), g.spec().Demand()
			have := wanted[service]
			wanted[service] = workload.Resources{
				MilliCPU: max(have.MilliCPU, demand.MilliCPU), MemoryMiB: max(have.MemoryMiB, demand.MemoryMiB),
				Accelerators: max(have.Accelerators, demand.Accelerators),
			}
		}
	}
	return wanted
}

// returnIdle moves fetched machines back that have had no work for a while.
func (o *Owner) returnIdle() {
	now := o.opts.Clock()
	for id, home := range o.homePools {
		m, exists := o.machines[id]
		if !exists {
			delete(o.homePools, id)
			continue
		}
		if m.State != MachineUp || m.Pool == home {
			continue
		}
		if since, idle := o.idleSince(id, now); idle && now-since >= idleBack {
			o.cordon(id, true)
			if o.evacuated(id, false) && o.move(m, home) {
				delete(o.homePools, id)
			}
		}
	}
}

// idleSince returns since when a machine's worker has had no run.
func (o *Owner) idleSince(machine string, now time.Duration) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		if w.Machine != machine {
			continue
		}
		if len(w.runs) > 0 || w.idleAt == 0 {
			w.idleAt = now
		}
		return w.idleAt, len(w.runs) == 0
	}
	return now, false
}

// move calls for a move of a machine; everything that runs on it ends.
func (o *Owner) move(m Machine, pool string) bool {
	if !o.awaitOwnership() {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, dutyTimeout)
	defer cancel()
	verdict, err := o.opts.Machines.Move(ctx, m.ID, pool, o.ownership.token)
	o.opts.Log.Info("machine moves", "machine", m.ID, "from", m.Pool, "to", pool, "verdict", verdict, "error", errorText(err))
	switch verdict {
	case MachineOpDone, MachineOpUnknown: // an unanswered call may still be carried out
		m.State = MachineMoving
		o.machines[m.ID] = m
		return true
	case MachineOpFenced:
		o.endOwnership("the platform has seen a higher token for machine " + m.ID)
	case MachineOpBusy, MachineOpNotInWave, MachineOpRefused, MachineOpNotDone:
	}
	return false
}
