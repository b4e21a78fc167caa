package fleet

import (
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
		j := newJob(&workload.Job{ID: "aa", Steps: []workload.Step{{Tasks: 1}}}, workload.NewProgress(&workload.Job{ID: "aa", Steps: []workload.Step{{Tasks: 1}}}))
		w := &worker{WorkerEntry: WorkerEntry{ID: "w", Zone: "zone"}, runs: map[*run]struct{}{}}
		r := &run{group: j.groups[0], worker: w, phase: phaseStarting, startSentAt: *now}
		w.runs[r] = struct{}{}
		verdict := make(chan Verdict, 1)
		go func() { verdict <- o.sendStartWithRetries(r, "address", "w", StartOrder{}, func() {}) }()
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
