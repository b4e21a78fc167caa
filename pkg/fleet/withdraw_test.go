package fleet

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a start that is sent to an evacuated failure domain, as it had been checked
// before the owner waited for the renewal of its lease.
func TestStartIsCheckedAgainAfterTheWaitForOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, now, _ := newIdleOwner() // its client is nil: a start that is sent panics
		defer o.cancel()
		*now = 2 * time.Hour // the lease has run out
		r := newStartingRun(o, "zone", 1)
		r.startSentAt = *now
		verdict := make(chan Verdict, 1)
		go func() { verdict <- o.sendStartWithRetries(r, "address", "w0", StartOrder{}, func() {}) }()
		synctest.Wait()
		o.mu.Lock()
		o.evacuations.domains = map[string]bool{"zone": true}
		o.mu.Unlock()
		o.validity.extend(3 * time.Hour)
		if v := <-verdict; v != Withdrawn {
			t.Errorf("verdict %q", v)
		}
	})
}

// newStartingRun returns the first run of a gang that starts, with each member on a worker of
// its own. The first worker is in a failure domain.
func newStartingRun(o *Owner, domain string, tasks int) *run {
	record := &workload.Job{ID: "aa", Steps: []workload.Step{{Tasks: tasks, Gang: true}}}
	g := newJob(record, workload.NewProgress(record)).group(0, 0)
	for i := range tasks {
		w := &worker{WorkerEntry: WorkerEntry{ID: "w" + strconv.Itoa(i)}, listed: true, runs: map[*run]struct{}{}}
		o.workers[w.ID] = w
		r := &run{group: g, index: i, number: 1, worker: w, phase: phaseStarting}
		g.tasks()[i].Phase, g.tasks()[i].Run = workload.Assigned, 1
		g.addRun(r)
	}
	g.runs[0].worker.Zone = domain
	return g.runs[0]
}

// Guards against a gang that waits for the order loop of a worker whose failure domain is
// evacuated, although no start of it was sent.
func TestStartsThatWereNotSentAreWithdrawnWithTheirGang(t *testing.T) {
	o, now, _ := newIdleOwner()
	defer o.cancel()
	*now = time.Minute
	g := newStartingRun(o, "zone", 3).group
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyEvacuations(map[string]bool{"zone": true}, *now)
	for i, task := range g.tasks() {
		if task.Phase != workload.Pending || g.runs[i] != nil {
			t.Errorf("task %d is %v, its run is %v", i, task.Phase, g.runs[i])
		}
	}
}
