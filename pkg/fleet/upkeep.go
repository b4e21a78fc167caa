package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// Timings of duties.
const (
	// dutyTick is the pause between two looks at waves and pools that are active.
	dutyTick = 300 * time.Millisecond
	// waveLook is the pause between two looks for waves while none is known; a
	// wave lasts for seconds.
	waveLook = 2 * time.Second
	// dutyTimeout bounds a call that changes a machine, and machinesTimeout a
	// reading of their list.
	dutyTimeout     = time.Second
	machinesTimeout = time.Second
	// listEvery is the pause between two readings of the list.
	listEvery = time.Second
	// evacuateShare is the part of a machine's share of the wave's time that its
	// runs may use up before they are stopped.
	evacuateShare = 0.4
)

// waveState is the owner's progress with a wave.
type waveState struct {
	Wave
	since    time.Duration
	marked   bool                     // the state "running" is written
	cordoned map[string]time.Duration // machines whose turn has come, and when
	begun    map[string]time.Duration // machines whose upkeep has begun, and when
	gone     map[string]bool          // machines that no longer exist
}

// duties takes machines through upkeep and between pools while this VM is the
// owner.
func (o *Owner) duties() {
	if o.opts.Machines == nil {
		return
	}
	for {
		pause := waveLook
		if o.awaitOwnership() && o.dutyStep() {
			pause = dutyTick
		}
		if !wait.Sleep(o.ctx, pause) {
			return
		}
	}
}

// dutyStep does what is due and reports whether there is more to do soon.
func (o *Owner) dutyStep() bool {
	if o.automationHeld() {
		return false
	}
	active := o.readWaves()
	pools := o.standbyPools()
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

// readWaves takes over new waves and reports whether any is unfinished.
func (o *Owner) readWaves() bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	waves, completed, err := o.opts.Waves.Waves(ctx)
	if err != nil {
		o.opts.Log.V(1).Info("waves not read", "reason", err.Error())
		return len(o.waves) > 0
	}
	for _, w := range waves {
		if completed[w.Number] || o.waves[w.Number] != nil {
			continue
		}
		o.opts.Log.Info("upkeep wave", "wave", w.Number, "machines", len(w.Machines), "withinMS", w.TimeLimit.Milliseconds(), "maxDown", w.MaxDown)
		o.waves[w.Number] = &waveState{
			Wave: w, since: o.opts.Clock(), cordoned: map[string]time.Duration{}, begun: map[string]time.Duration{},
			gone: map[string]bool{},
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

// readMachines reads the platform's list, at most once in listEvery.
func (o *Owner) readMachines() bool {
	now := o.opts.Clock()
	if o.machines != nil && now-o.machinesReadAt < listEvery {
		return true
	}
	ctx, cancel := context.WithTimeout(o.ctx, machinesTimeout)
	defer cancel()
	list, err := o.opts.Machines.Machines(ctx)
	if err != nil {
		o.opts.Log.Info("list of machines not read", "reason", err.Error())
		return o.machines != nil
	}
	o.machines, o.machinesReadAt = map[string]Machine{}, now
	for _, m := range list {
		o.machines[m.ID] = m
	}
	return true
}

// advanceWave cordons the next machines of a wave, and begins the upkeep of
// those that are empty or whose time has come.
func (o *Owner) advanceWave(w *waveState) {
	if !w.marked {
		w.marked = o.markWave(w.Number, false)
	}
	now := o.opts.Clock()
	taken := o.turnsTaken(w)
	for _, id := range w.Machines {
		if w.gone[id] || w.begun[id] != 0 {
			continue
		}
		if _, exists := o.machines[id]; !exists {
			w.gone[id] = true
			continue
		}
		if w.cordoned[id] == 0 {
			if taken >= max(1, w.MaxDown) {
				continue
			}
			taken++
			w.cordoned[id] = now
			o.cordon(id, true)
		}
		if o.evacuated(id, now-w.cordoned[id] > o.evacuateAfter(w)) {
			o.beginUpkeep(w, id)
		}
	}
	if o.waveDone(w) && o.markWave(w.Number, true) {
		o.opts.Log.Info("upkeep wave completed", "wave", w.Number)
		delete(o.waves, w.Number)
	}
}

// evacuateAfter is how long a machine's runs may go on before they are stopped.
func (o *Owner) evacuateAfter(w *waveState) time.Duration {
	turns := (len(w.Machines) + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	return time.Duration(evacuateShare * float64(w.TimeLimit) / float64(max(1, turns)))
}

// turnsTaken counts the machines of a wave that are down for their upkeep, may
// be, or are next. A machine counts until the list, read after its upkeep,
// shows it up. One that a former owner took down is called for again, which
// changes nothing.
func (o *Owner) turnsTaken(w *waveState) int {
	taken := 0
	for _, id := range w.Machines {
		m, exists := o.machines[id]
		since := w.begun[id]
		if exists && since == 0 && m.State == MachineMaintenance && w.cordoned[id] == 0 {
			w.cordoned[id] = o.opts.Clock()
		}
		back := since != 0 && m.State == MachineUp && o.machinesReadAt > since+o.opts.MaintenanceDuration
		if exists && !back && (since != 0 || w.cordoned[id] != 0) {
			taken++
		}
	}
	return taken
}

func (o *Owner) waveDone(w *waveState) bool {
	for _, id := range w.Machines {
		if !w.gone[id] && w.begun[id] == 0 {
			return false
		}
	}
	return true
}

func (o *Owner) markWave(number int64, completed bool) bool {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	if err := o.opts.Waves.SetCompleted(ctx, number, completed); err != nil {
		o.opts.Log.Info("state of the wave not written", "wave", number, "reason", err.Error())
		return false
	}
	return true
}

// beginUpkeep calls for the upkeep of an empty machine. The call is idempotent,
// so an unanswered one is repeated.
func (o *Owner) beginUpkeep(w *waveState, id string) {
	if !o.awaitOwnership() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, dutyTimeout)
	defer cancel()
	verdict, err := o.opts.Machines.StartMaintenance(ctx, id, w.Number, o.ownership.token)
	o.opts.Log.Info("upkeep of a machine", "machine", id, "wave", w.Number, "verdict", verdict, "error", errorText(err))
	switch verdict {
	case MachineOpDone:
		w.begun[id] = o.opts.Clock()
		o.cordon(id, false)
	case MachineOpFenced:
		o.endOwnership("the platform has seen a higher token for machine " + id)
	case MachineOpNotInWave, MachineOpRefused:
		w.gone[id] = true
		o.cordon(id, false)
	case MachineOpBusy, MachineOpNotDone, MachineOpUnknown: // called for again
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// cordon keeps new tasks off the worker of a machine.
func (o *Owner) cordon(machine string, on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		if w.Machine == machine {
			w.cordoned = on
		}
	}
	o.triggerCycle()
}

// evacuated reports whether nothing runs on a machine. With force its runs are
// stopped, service tasks no faster than their step allows.
func (o *Owner) evacuated(machine string, force bool) bool {
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
				o.evacuateRun(r, "its machine is due for upkeep")
			}
		}
	}
	return empty
}

// evacuateRun stops a run so that it starts elsewhere, unless too many others
// of its step are away; the lock is held.
func (o *Owner) evacuateRun(r *run, reason string) {
	if r.phase == running && o.mayTakeDown(r.group) {
		o.stopRun(r, reason)
	}
}

// mayTakeDown reports whether one more task of a group may be taken down. Other
// tasks count as away until they are at work; the lock is held.
func (o *Owner) mayTakeDown(g *group) bool {
	if g.spec().MaxUnavailable == 0 {
		return true
	}
	atWork := 0
	for _, r := range g.runs {
		if r.phase == running && r.percent >= fullyAtWork {
			atWork++
		}
	}
	return g.spec().Tasks-atWork < g.spec().MaxUnavailable
}

// fullyAtWork is the percent at which a service task is at work.
const fullyAtWork = 100
