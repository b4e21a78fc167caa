package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// Timings of the look for machines that are down.
const (
	// machineLook is the least pause between two readings of the list of machines
	// while workers do not answer.
	machineLook = 300 * time.Millisecond
	// machineShare is the pause in multiples of the time that a reading takes, so
	// that a list of many pages stays within the platform's rate.
	machineShare = 10
	// listAge is how old a list of machines may be when it arrives.
	listAge = time.Second
	// goneReadings is how many readings in a row have to leave a machine out: a page
	// may miss one while another is taken away.
	goneReadings = 2
)

// followMachines reads the list of machines while workers with runs do not answer.
// A worker whose machine is down has ended for certain, and its work need not wait
// until its lease has run out.
func (o *Owner) followMachines() {
	if o.opts.Machines == nil {
		return
	}
	left := map[string]int{} // readings in a row that left a worker's machine out
	for {
		select {
		case <-o.machineListTrigger:
		case <-o.ctx.Done():
			return
		}
		for o.anySuspect() {
			askedAt := o.opts.Clock()
			ctx, cancel := context.WithTimeout(o.ctx, machinesTimeout)
			list, err := o.opts.Machines.Machines(ctx)
			cancel()
			if err == nil {
				o.endLives(list, askedAt, left)
			} else if o.ctx.Err() == nil {
				o.opts.Log.V(1).Info("list of machines not read", "reason", err.Error())
			}
			if !wait.Sleep(o.ctx, max(machineLook, machineShare*(o.opts.Clock()-askedAt))) {
				return
			}
		}
	}
}

// anySuspect reports whether a worker with runs does not answer.
func (o *Owner) anySuspect() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workersInOrder() {
		if w.failing > 0 && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// noteFailing counts a call that a worker did not answer; the lock is held.
func (o *Owner) noteFailing(w *worker) {
	w.failing++
	o.kick(w) // it is probed until it answers
	if len(w.runs) > 0 {
		select {
		case o.machineListTrigger <- struct{}{}:
		default:
		}
	}
}

// endLives gives up what ran on workers whose machines are down or gone by a list
// that was asked for at a time. The list speaks of the past, so workers that have
// answered since, and what was ordered shortly before, are left out.
func (o *Owner) endLives(list []Machine, askedAt time.Duration, left map[string]int) {
	machines := make(map[string]Machine, len(list))
	for _, m := range list {
		machines[m.ID] = m
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workersInOrder() {
		if w.Machine == "" || len(w.runs) == 0 || w.answeredAt >= askedAt || w.lifeSince+listAge > askedAt {
			delete(left, w.ID)
			continue
		}
		m, exists := machines[w.Machine]
		if exists {
			delete(left, w.ID)
		} else if left[w.ID]++; left[w.ID] < goneReadings {
			continue
		}
		if exists && m.State == MachineUp && (m.Worker == w.ID || m.Worker == "") {
			continue
		}
		o.endedWithMachine(w, m.State, askedAt)
	}
}

// endedWithMachine gives up the runs of a worker that has ended with its machine;
// the state is empty if the machine is gone. A start that may still be on its way
// could reach the next life under the same ID, and is waited for unless there will
// be none. The lock is held.
func (o *Owner) endedWithMachine(w *worker, state MachineState, askedAt time.Duration) {
	given := 0
	for r := range w.runs {
		if r.phase == planned || r.phase == starting || r.orderedAt+listAge > askedAt {
			continue
		}
		if state != "" && r.unanswered && o.opts.Clock()-r.orderedAt < lateOrders {
			continue
		}
		given++
		o.notStarted(r)
	}
	if w.failing == 0 {
		o.noteFailing(w)
	}
	if given > 0 {
		o.opts.Metrics.Event("worker_ended")
		o.opts.Log.Info("worker has ended with its machine", "worker", w.ID, "machine", w.Machine, "state", state, "runs", given,
			"silentMS", (o.opts.Clock() - w.answeredAt).Milliseconds())
	}
}
