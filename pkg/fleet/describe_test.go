package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Describe returns what the owner knows of a job and why its workers accept no tasks, for
// the output of tests.
func (o *Owner) Describe(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	var text strings.Builder
	fmt.Fprintf(&text, "owner %d since %v, loaded %v, valid for %v, %s;", o.ownership.token, now-o.tookOverAt, o.loaded, o.validUntil()-now, o.describeWorkers(now))
	j := o.jobs[id]
	if j == nil {
		return text.String() + " job unknown"
	}
	_, dirty := o.dirty[j]
	fmt.Fprintf(&text, " job live %v, cancel %v, final %q, dirty %v, write in flight %v, %d callbacks, seq %d/%d;", o.live[id] != nil, j.cancelRequested, j.pendingFinalState,
		dirty, j.writeInFlight, len(j.afterCommit), j.committedSeq, j.changeSeq)
	for g := range j.groups() {
		if g.complete() || !g.dependenciesDone() {
			continue
		}
		phases := map[workload.Phase]int{}
		for _, t := range g.tasks() {
			phases[t.Phase]++
		}
		fmt.Fprintf(&text, " group %d.%d of %d, ready %v since %v, stops wait %v, phases %v, excluded %d;", g.occurrence, g.step, g.spec().Tasks, g.ready, now-g.readySince,
			g.stopsWait, phases, len(g.excludedWorkers))
		runs := map[string]int{}
		for _, r := range g.runs {
			w := r.worker
			runs[fmt.Sprintf("%s adopted=%v silent=%v contacted=%v listed=%v address=%v queue=%d", runPhaseNames[r.phase], r.adopted, w.unansweredCalls > 0, w.contacted, w.listed,
				w.Address != "", len(w.orders))]++
		}
		for _, key := range slices.Sorted(maps.Keys(runs)) {
			fmt.Fprintf(&text, " %d runs %s,", runs[key], key)
		}
		n := 0
		for _, r := range g.runs {
			w := r.worker
			if n++; n <= 3 {
				fmt.Fprintf(&text, " [%s run %d on %s: sent %v ago, listed %v ago, answered %v ago, lease ends in %v, stop ordered %v]", runPhaseNames[r.phase], r.number, w.ID,
					now-r.startSentAt, now-r.lastListedAt, now-w.lastAnswerAt, w.leaseExpiredBy()-now, r.stopOrdered)
			}
		}
	}
	return text.String()
}

var runPhaseNames = map[runPhase]string{phasePlanned: "planned", phaseStarting: "starting", phaseRunning: "running", phaseStopping: "stopping", phaseUncertain: "uncertain"}

// describeWorkers counts the workers by why they accept no tasks; the lock is held.
func (o *Owner) describeWorkers(now time.Duration) string {
	n := map[string]int{}
	for _, w := range o.workers {
		switch {
		case !w.listed:
			n["unlisted"]++
		case w.Draining:
			n["draining"]++
		case o.cordoned[w.Machine]:
			n["cordoned"]++
		case w.unansweredCalls > 0:
			n["silent"]++
		case w.ejected:
			n["ejected"]++
		case now < w.backoffUntil:
			n["backoff"]++
		case len(w.runs) == 0:
			n["empty"]++
		default:
			n["busy"]++
		}
	}
	return fmt.Sprint("workers ", n)
}

// EjectedWorkers returns the IDs of the workers that are ejected.
func (o *Owner) EjectedWorkers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejectWorst(o.opts.Clock())
	var ids []string
	for _, w := range o.sortedWorkers() {
		if w.ejected {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// CountOffloaded returns the number of offloaded jobs.
func (o *Owner) CountOffloaded() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.offloaded)
}

// CountRuns returns the number of runs, and how many there may be.
func (o *Owner) CountRuns() (runs, most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.countRuns(), o.maxRuns()
}
