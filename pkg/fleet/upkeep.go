package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// Timings of machine maintenance and moves.
const (
	// machineOpsInterval is the time between two steps of machineOpsLoop while a
	// wave is unfinished or there is a standby pool.
	machineOpsInterval = 300 * time.Millisecond
	// wavePollInterval is the time between two polls for waves while there is nothing
	// to do; a wave lasts for seconds.
	wavePollInterval = 2 * time.Second
	// machineOpTimeout bounds a call that changes a machine, and machineListTimeout a
	// list of the machines, for which a busy owner reads a page after the other.
	machineOpTimeout   = time.Second
	machineListTimeout = 3 * time.Second
	// machineListInterval is the age at which machineOpsLoop refreshes its list.
	machineListInterval = time.Second
	// machineGoneAfter is how long lists must lack a machine of a wave until it counts as
	// gone: a list may omit one that is up.
	machineGoneAfter = 2 * machineListInterval
	// drainTimeShare is the part of a machine's share of the wave's time limit for which
	// its runs may continue before they are stopped.
	drainTimeShare = 0.4
)

// waveState is the progress of a maintenance wave.
type waveState struct {
	Wave
	startedAt            time.Duration
	markedRunning        bool                     // the state "running" was written
	cordonedAt           map[string]time.Duration // by machine; when it was cordoned
	maintenanceStartedAt map[string]time.Duration // by machine; when its maintenance began
	skipped              map[string]bool          // machines that no longer exist or were refused
	missingSince         map[string]time.Duration // by machine; the first of the latest lists without it
}

// machineOpsLoop carries out maintenance waves and moves machines between pools while
// this VM is the owner.
func (o *Owner) machineOpsLoop() {
	if o.opts.Machines == nil {
		return
	}
	for {
		pause := wavePollInterval
		if o.awaitOwnership() && o.runMachineOps() {
			pause = machineOpsInterval
		}
		if !wait.Sleep(o.ctx, pause) {
			return
		}
	}
}

// runMachineOps makes one step of all waves and pools, and reports whether the next step
// is due soon.
func (o *Owner) runMachineOps() bool {
	if o.automationHeld() {
		return false
	}
	active := o.readWaves()
	pools := o.standbyPools()
	o.keepMachinesOfFormerPools(pools)
	if !active && len(pools) == 0 {
		return false
	}
	if !o.readMachines() {
		return true
	}
	for _, w := range o.activeWaves() {
		o.advanceWave(w)
	}
	o.balancePools(pools)
	return true
}

// readWaves adds new waves from the store and reports whether any wave is unfinished.
func (o *Owner) readWaves() bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	waves, completed, err := o.opts.Waves.Waves(ctx)
	if err != nil {
		o.opts.Log.V(1).Info("failed to read the maintenance waves", "reason", err.Error())
		return len(o.waves) > 0
	}
	for _, w := range waves {
		if completed[w.Number] {
			continue
		}
		if known := o.waves[w.Number]; known != nil {
			known.Wave = w // the operator may have changed it
			continue
		}
		o.opts.Log.Info("maintenance wave added", "wave", w.Number, "machines", len(w.Machines), "withinMS", w.TimeLimit.Milliseconds(), "maxDown", w.MaxDown)
		o.waves[w.Number] = &waveState{
			Wave: w, startedAt: o.opts.Clock(), cordonedAt: map[string]time.Duration{}, maintenanceStartedAt: map[string]time.Duration{},
			skipped: map[string]bool{}, missingSince: map[string]time.Duration{},
		}
	}
	return len(o.activeWaves()) > 0
}

func (o *Owner) activeWaves() []*waveState {
	var active []*waveState
	for _, w := range o.waves {
		active = append(active, w)
	}
	slices.SortFunc(active, func(a, b *waveState) int { return cmp.Compare(a.Number, b.Number) })
	return active
}

// readMachines refreshes the list of machines, at most once per machineListInterval, and
// reports whether one is available.
func (o *Owner) readMachines() bool {
	now := o.opts.Clock()
	if o.machines != nil && now-o.machinesReadAt < machineListInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineListTimeout)
	defer cancel()
	list, err := o.opts.Machines.Machines(ctx)
	if err != nil {
		o.opts.Log.Info("failed to list the machines", "reason", err.Error())
		return o.machines != nil
	}
	o.machines, o.machinesReadAt = map[string]Machine{}, now
	for _, m := range list {
		o.machines[m.ID] = m
	}
	return true
}

// advanceWave cordons the next machines of a wave, drains them, and starts the
// maintenance of those without runs.
func (o *Owner) advanceWave(w *waveState) {
	if !w.markedRunning {
		w.markedRunning = o.markWave(w.Number, false)
	}
	o.noteMissingMachines(w)
	now := o.opts.Clock()
	unavailable := o.countUnavailable(w)
	o.updateCordons()
	for _, id := range w.Machines {
		if w.skipped[id] || w.maintenanceStartedAt[id] != 0 {
			continue
		}
		if _, missing := w.missingSince[id]; missing {
			if w.skipped[id] = o.machineGone(w, id); w.skipped[id] {
				o.updateCordons()
			}
			continue
		}
		if w.cordonedAt[id] == 0 {
			if unavailable >= max(1, w.MaxDown) {
				continue
			}
			unavailable++
			w.cordonedAt[id] = now
			o.updateCordons()
		}
		if o.drainMachine(id, now-w.cordonedAt[id] > o.drainTimeLimit(w)) {
			o.startMaintenance(w, id)
		}
	}
	if o.waveDone(w) && o.markWave(w.Number, true) {
		o.opts.Log.Info("maintenance wave completed", "wave", w.Number)
		delete(o.waves, w.Number)
		o.updateCordons()
	}
}

// noteMissingMachines records which machines of a wave the latest list lacks.
func (o *Owner) noteMissingMachines(w *waveState) {
	for _, id := range w.Machines {
		if _, exists := o.machines[id]; exists {
			delete(w.missingSince, id)
		} else if _, missing := w.missingSince[id]; !missing {
			w.missingSince[id] = o.machinesReadAt
		}
	}
}

// machineGone reports whether a missing machine of a wave counts as gone.
func (o *Owner) machineGone(w *waveState, id string) bool {
	return o.machinesReadAt-w.missingSince[id] >= machineGoneAfter
}

// drainTimeLimit returns how long the runs on a cordoned machine of a wave may continue
// before they are stopped.
func (o *Owner) drainTimeLimit(w *waveState) time.Duration {
	turns := (len(w.Machines) + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	return time.Duration(drainTimeShare * float64(w.TimeLimit) / float64(max(1, turns)))
}

// countUnavailable counts the machines of a wave that are cordoned or in maintenance. A
// machine counts until a list that was read after its maintenance shows it as up; one that
// is missing may be in maintenance and counts until it is gone. A machine that a former
// owner took down is added as cordoned; its maintenance is requested again, which changes
// nothing.
func (o *Owner) countUnavailable(w *waveState) int {
	unavailable := 0
	for _, id := range w.Machines {
		if _, missing := w.missingSince[id]; missing {
			if !o.machineGone(w, id) {
				unavailable++
			}
			continue
		}
		m, since := o.machines[id], w.maintenanceStartedAt[id]
		if since == 0 && m.State == MachineMaintenance && w.cordonedAt[id] == 0 {
			w.cordonedAt[id] = o.opts.Clock()
		}
		back := since != 0 && m.State == MachineUp && o.machinesReadAt > since+o.opts.MaintenanceDuration
		if !back && (since != 0 || w.cordonedAt[id] != 0) {
			unavailable++
		}
	}
	return unavailable
}

func (o *Owner) waveDone(w *waveState) bool {
	for _, id := range w.Machines {
		if !w.skipped[id] && w.maintenanceStartedAt[id] == 0 {
			return false
		}
	}
	return true
}

func (o *Owner) markWave(number int64, completed bool) bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	if err := o.opts.Waves.SetCompleted(ctx, number, completed); err != nil {
		o.opts.Log.Info("failed to store the state of the maintenance wave", "wave", number, "reason", err.Error())
		return false
	}
	return true
}

// startMaintenance requests the maintenance of a drained machine. The request is
// idempotent, so an unanswered one is repeated.
func (o *Owner) startMaintenance(w *waveState, id string) {
	if !o.awaitOwnership() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineOpTimeout)
	defer cancel()
	verdict, err := o.opts.Machines.StartMaintenance(ctx, id, w.Number, o.ownership.token)
	o.opts.Log.Info("requested machine maintenance", "machine", id, "wave", w.Number, "verdict", verdict, "error", errorText(err))
	switch verdict {
	case MachineOpDone:
		w.maintenanceStartedAt[id] = o.opts.Clock()
		o.updateCordons()
	case MachineOpFenced:
		o.endOwnership("the platform has seen a higher token for machine " + id)
	case MachineOpNotInWave, MachineOpRefused:
		w.skipped[id] = true
		o.updateCordons()
	case MachineOpBusy, MachineOpNotDone, MachineOpUnknown: // requested again in the next step
	}
}

// errorText returns the text of an error for a log line; empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// updateCordons determines the machines whose workers, present and future, get no new tasks:
// those that are due for the maintenance of any wave or for their return to a pool.
func (o *Owner) updateCordons() {
	cordoned := maps.Clone(o.returning)
	for _, w := range o.waves {
		for _, id := range w.Machines {
			if w.cordonedAt[id] != 0 && w.maintenanceStartedAt[id] == 0 && !w.skipped[id] {
				cordoned[id] = true
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !maps.Equal(cordoned, o.cordoned) {
		o.cordoned = cordoned
		o.triggerCycle()
	}
}

// drainMachine reports whether a machine has no runs. It stops its service tasks, and
// with force all its runs, within the limits of disruptionAllowed.
func (o *Owner) drainMachine(machine string, force bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	empty := true
	for _, w := range o.workers {
		if w.Machine != machine {
			continue
		}
		for r := range w.runs {
			empty = false
			if force || r.group.spec().LongRunning {
				o.evictRun(r, "its machine is being drained")
			}
		}
	}
	return empty
}

// evictRun stops a run so that it restarts elsewhere, if disruptionAllowed permits it;
// the lock is held.
func (o *Owner) evictRun(r *run, reason string) {
	if r.phase == phaseRunning && o.disruptionAllowed(r.group) {
		o.stopRun(r, reason)
	}
}

// disruptionAllowed reports whether one more task of a group may be stopped within the
// step's MaxUnavailable. Tasks that are not fully ready count as unavailable; the lock
// is held.
func (o *Owner) disruptionAllowed(g *taskGroup) bool {
	if g.spec().MaxUnavailable == 0 {
		return true
	}
	available := 0
	for _, r := range g.runs {
		if r.phase == phaseRunning && r.progressPercent >= fullyReadyPercent {
			available++
		}
	}
	return g.spec().Tasks-available < g.spec().MaxUnavailable
}

// fullyReadyPercent is the progress at which a service task is fully ready.
const fullyReadyPercent = 100
