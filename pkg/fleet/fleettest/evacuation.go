package fleettest

import (
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// evacuations are the evacuated failure domains, as their operator knows them.
type evacuations struct {
	bound   time.Duration
	ackedAt map[string]time.Time // by failure domain: when the store answered the operator
}

// BeginEvacuation makes the emulator record a violation when a start order is sent to a worker
// of a failure domain, or carried out there, later than a bound from now, when the store has
// acknowledged the evacuation.
func (f *Fleet) BeginEvacuation(domain string, bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations.ackedAt == nil {
		f.evacuations.ackedAt = map[string]time.Time{}
	}
	f.evacuations.bound, f.evacuations.ackedAt[domain] = bound, time.Now()
}

// EndEvacuation ends the check of a failure domain, before its key is deleted.
func (f *Fleet) EndEvacuation(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuations.ackedAt, domain)
}

func (f *Fleet) checkEvacuation(w *Worker, task workload.TaskID) {
	if at, evacuated := f.evacuations.ackedAt[w.entry.Zone]; evacuated && time.Since(at) > f.evacuations.bound {
		f.recordViolationLocked("start of %s on %s %v after the evacuation of %s was acknowledged", task, w.entry.ID, time.Since(at), w.entry.Zone)
	}
}

// ReportCold makes a worker report that it is slow for a time.
func (f *Fleet) ReportCold(i int, left time.Duration) {
	f.mu.Lock()
	w := f.workers[fmt.Sprintf("w%02d:1", i)]
	w.coldUntil = time.Now().Add(left)
	f.mu.Unlock()
	f.publish(w)
}

// RunsOn returns the number of runs on a worker.
func (f *Fleet) RunsOn(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers[fmt.Sprintf("w%02d:1", i)].runs)
}
