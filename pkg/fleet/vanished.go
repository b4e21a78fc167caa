package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// Polling of the machine list for machines that are down.
const (
	// minMachinePollPause is the minimum pause between two polls of the machine list
	// while workers do not answer.
	minMachinePollPause = 300 * time.Millisecond
	// machinePollPauseFactor is the pause after a poll in multiples of the time that it
	// took, so that a list of many pages stays within the platform's rate limit. It is
	// at most maxMachinePollPause, or the time for the listed machines at
	// maxMachinesPolledPerSecond: a busy owner takes long for a list of few pages.
	machinePollPauseFactor     = 10
	maxMachinePollPause        = time.Second
	maxMachinesPolledPerSecond = 3000
	// maxMachineListAge is the maximum age of a machine list when it arrives.
	maxMachineListAge = time.Second
	// minMissedMachineLists is the number of consecutive lists without a machine after
	// which it counts as gone: a page may omit one while another is being removed.
	minMissedMachineLists = 2
)

// pollMachines polls the machine list while workers with runs do not answer. A worker
// whose machine is down has certainly ended, so its runs can be abandoned before its
// lease expires.
func (o *Owner) pollMachines() {
	if o.opts.Machines == nil {
		return
	}
	// A list requested earlier may be older than the takeover.
	if !wait.Sleep(o.ctx, maxMachineListAge) {
		return
	}
	for {
		select {
		case <-o.machineListTrigger:
		case <-o.ctx.Done():
			return
		}
		missedLists := map[string]int{} // consecutive lists without a worker's machine, by worker
		for o.anyBusyWorkerUnreachable() {
			requestedAt := o.opts.Clock()
			ctx, cancel := context.WithTimeout(o.ctx, machineListTimeout)
			list, err := o.opts.Machines.Machines(ctx)
			cancel()
			pause := minMachinePollPause
			if err == nil {
				took := o.opts.Clock() - requestedAt
				if !o.applyMachineList(list, requestedAt, missedLists) {
					pause = machinePollPause(took, len(list))
				}
			} else if o.ctx.Err() == nil {
				o.opts.Log.Info("failed to read the machine list", "reason", err.Error(), "tookMS", (o.opts.Clock() - requestedAt).Milliseconds())
			}
			if !wait.Sleep(o.ctx, pause) {
				return
			}
		}
	}
}

// machinePollPause returns the pause after a poll that took a time and listed machines.
func machinePollPause(took time.Duration, machines int) time.Duration {
	longest := max(maxMachinePollPause, time.Duration(machines)*time.Second/maxMachinesPolledPerSecond)
	return max(minMachinePollPause, min(longest, machinePollPauseFactor*took))
}

// anyBusyWorkerUnreachable reports whether any worker with runs does not answer or has
// no known address.
func (o *Owner) anyBusyWorkerUnreachable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.sortedWorkers() {
		if w.unreachable() && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// unreachable reports whether a worker does not answer or has no known address; the lock
// is held.
func (w *worker) unreachable() bool { return w.unansweredCalls > 0 || w.Address == "" }

// countUnansweredCall counts a call that a worker did not answer; the lock is held.
func (o *Owner) countUnansweredCall(w *worker) {
	if w.unansweredCalls++; w.unansweredCalls == 1 {
		w.unansweredSince = o.opts.Clock()
	}
	o.wakeLeaseLoop(w) // the loop polls it until it answers
	if len(w.runs) > 0 {
		o.requestMachineList()
	}
}

// requestMachineList makes pollMachines read the machine list.
func (o *Owner) requestMachineList() {
	select {
	case o.machineListTrigger <- struct{}{}:
	default:
	}
}

// applyMachineList abandons the runs of workers whose machines are down or missing in a
// list requested at requestedAt. The list may be outdated, so workers that have answered
// since the request or began a new incarnation shortly before it are skipped, and so are
// runs ordered shortly before it. It reports whether a machine is missing that the next
// list has to confirm.
func (o *Owner) applyMachineList(list []Machine, requestedAt time.Duration, missedLists map[string]int) (unconfirmed bool) {
	machines := make(map[string]Machine, len(list))
	for _, m := range list {
		machines[m.ID] = m
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.sortedWorkers() {
		m, exists := machines[w.Machine]
		outdated := w.lastAnswerAt >= requestedAt || w.incarnationSince+maxMachineListAge > requestedAt
		// Lists may omit a machine that is up, so the machine of a worker that answers is
		// not missing.
		if w.Machine == "" || w.machineUnsure || len(w.runs) == 0 || outdated || (!exists && !w.unreachable()) {
			delete(missedLists, w.ID)
			continue
		}
		if exists {
			delete(missedLists, w.ID)
		} else if missedLists[w.ID]++; missedLists[w.ID] < minMissedMachineLists {
			unconfirmed = true
			continue
		}
		if exists && m.State == MachineUp && (m.Worker == w.ID || m.Worker == "") {
			continue
		}
		mayRestart := exists && (m.Worker == w.ID || m.Worker == "")
		o.abandonRunsOfDownMachine(w, m.State, mayRestart, requestedAt)
	}
	return unconfirmed
}

// abandonRunsOfDownMachine abandons the runs of a worker whose machine is down; the
// state is empty if the machine no longer exists. If the worker may start again under
// the same ID, an unanswered start could reach its next incarnation, so the run is kept
// for maxOrderDelay. The lock is held.
func (o *Owner) abandonRunsOfDownMachine(w *worker, state MachineState, mayRestart bool, requestedAt time.Duration) {
	abandoned := 0
	for r := range w.runs {
		if r.phase == phasePlanned || r.phase == phaseStarting || r.startSentAt+maxMachineListAge > requestedAt {
			continue
		}
		if mayRestart && r.startUnanswered && o.opts.Clock()-r.startSentAt < maxOrderDelay {
			continue
		}
		abandoned++
		o.abandonRun(r)
	}
	if w.unansweredCalls == 0 {
		o.countUnansweredCall(w)
	}
	if abandoned > 0 {
		o.opts.Metrics.Event("worker_ended")
		o.opts.Log.Info("worker has ended because its machine is down or gone", "worker", w.ID, "machine", w.Machine, "state", state, "runs", abandoned,
			"silentMS", (o.opts.Clock() - max(w.lastAnswerAt, o.tookOverAt)).Milliseconds())
	}
}
