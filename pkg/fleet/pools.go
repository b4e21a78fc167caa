package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Parameters of machine moves between a standby pool and a service.
const (
	// minBacklogAge is how long a group must have waited before a machine is fetched
	// for it; a move costs as much as some seconds of a machine.
	minBacklogAge = 1500 * time.Millisecond
	// idleReturnDelay is how long a fetched machine must be idle before it is returned.
	idleReturnDelay = 8 * time.Second
	// maxMovesPerStep bounds the machines fetched in one step of machineOpsLoop.
	maxMovesPerStep = 2
)

// standbyPools returns the services whose machines are on standby.
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

// balancePools moves standby machines to services with a backlog, and returns them
// after they have been idle.
func (o *Owner) balancePools(standby []string) {
	if len(standby) == 0 {
		return
	}
	wanted := o.backloggedServices()
	moves := 0
	for _, id := range slices.Sorted(maps.Keys(o.machines)) {
		m := o.machines[id]
		if !slices.Contains(standby, m.Pool) || m.State != MachineUp || moves == maxMovesPerStep {
			continue
		}
		for service, need := range wanted {
			if need.Fits(m.Capacity) && o.moveMachine(m, service) {
				o.homePools[m.ID] = m.Pool
				moves++
				break
			}
		}
	}
	if len(wanted) > 0 {
		o.keepFetchedMachines()
		return
	}
	o.returnIdleMachines()
}

// keepFetchedMachines ends the returns of machines that the platform has not moved yet.
func (o *Owner) keepFetchedMachines() {
	for id := range o.returning {
		if m, exists := o.machines[id]; !exists || m.State == MachineUp {
			o.endReturn(id)
		}
	}
}

// keepMachinesOfFormerPools ends the returns of fetched machines to pools that are no longer
// on standby.
func (o *Owner) keepMachinesOfFormerPools(standby []string) {
	for id, home := range o.homePools {
		if !slices.Contains(standby, home) {
			o.opts.Log.Info("fetched machine is kept, as its pool is no longer on standby", "machine", id, "pool", home)
			o.endReturn(id)
			delete(o.homePools, id)
		}
	}
}

// endReturn lets the worker of a machine that was to be returned get tasks again, unless
// the machine is due for maintenance.
func (o *Owner) endReturn(id string) {
	delete(o.returning, id)
	o.updateCordons()
}

// backloggedServices returns the services with groups that have waited longer than
// minBacklogAge, and per resource the largest demand of a task of these groups.
func (o *Owner) backloggedServices() map[string]workload.Resources {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	wanted := map[string]workload.Resources{}
	for _, j := range o.active {
		for g := range j.groups() {
			if !g.ready || g.complete() || len(g.runs) > 0 || now-g.readySince < minBacklogAge {
				continue
			}
			service, demand := o.serviceOf(j.Job), g.spec().Demand()
			have := wanted[service]
			wanted[service] = workload.Resources{
				MilliCPU: max(have.MilliCPU, demand.MilliCPU), MemoryMiB: max(have.MemoryMiB, demand.MemoryMiB),
				Accelerators: max(have.Accelerators, demand.Accelerators),
			}
		}
	}
	return wanted
}

// returnIdleMachines moves fetched machines back to their home pool after
// idleReturnDelay without runs.
func (o *Owner) returnIdleMachines() {
	now := o.opts.Clock()
	for id, home := range o.homePools {
		m, exists := o.machines[id]
		if exists && m.State != MachineUp {
			continue
		}
		if !exists || m.Pool == home {
			o.endReturn(id)
			delete(o.homePools, id)
			continue
		}
		if since, idle := o.workerIdleSince(id, now); idle && now-since >= idleReturnDelay {
			o.returning[id] = true
			o.updateCordons()
			if !o.drainMachine(id, false) || !o.moveMachine(m, home) {
				o.endReturn(id)
			}
		}
	}
}

// workerIdleSince returns since when the worker of a machine has been idle; false means
// that it has runs or that the machine has no worker.
func (o *Owner) workerIdleSince(machine string, now time.Duration) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		if w.Machine != machine {
			continue
		}
		if len(w.runs) > 0 || w.idleSince == 0 {
			w.idleSince = now
		}
		return w.idleSince, len(w.runs) == 0
	}
	return now, false
}

// moveMachine requests the move of a machine to another pool, which ends everything that
// runs on it. It reports whether the move was or may have been accepted.
func (o *Owner) moveMachine(m Machine, pool string) bool {
	if !o.awaitOwnership() {
		return false
	}
	if _, fetched := o.homePools[m.ID]; !fetched && !o.mayBringIntoService(m) {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineOpTimeout)
	defer cancel()
	verdict, err := o.opts.Machines.Move(ctx, m.ID, pool, o.ownership.token)
	o.opts.Log.Info("requested the move of a machine", "machine", m.ID, "from", m.Pool, "to", pool, "verdict", verdict, "error", errorText(err))
	switch verdict {
	case MachineOpDone, MachineOpUnknown: // an unanswered request may still be carried out
		m.State = MachineMoving
		o.machines[m.ID] = m
		return true
	case MachineOpFenced:
		o.endOwnership("the platform has seen a higher token for machine " + m.ID)
	case MachineOpBusy, MachineOpNotInWave, MachineOpRefused, MachineOpNotDone:
	}
	return false
}
