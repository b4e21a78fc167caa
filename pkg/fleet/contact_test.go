package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a successor that contacts workers late because its first calls to workers
// that do not answer go before them.
func TestSuccessorContactsWorkersBesideManySilentOnes(t *testing.T) {
	const maxDelay = 2 * time.Second
	for _, workers := range []int{200, 1100} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, workers)
				var clients []*recordingClient
				b.adjustOptions = func(o *fleet.Options) {
					c := newRecordingClient(b.workers)
					clients = append(clients, c)
					o.Workers = c
				}
				b.startVM()
				b.startVM()
				b.sleep(2 * time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
				for range 8 {
					b.submit(smallStep(workers))
				}
				b.sleep(10 * time.Second)
				for i := 0; i < workers; i += 2 {
					b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
				}
				former := b.ownerIndex()
				before := b.countTakeovers()
				b.killVM(former)
				for b.countTakeovers() == before {
					b.sleep(10 * time.Millisecond)
				}
				tookOverAt := time.Now()
				c := clients[1-former]
				b.sleep(3 * maxDelay)
				c.mu.Lock()
				defer c.mu.Unlock()
				late := 0
				var latest time.Duration
				for i := 1; i < workers; i += 2 {
					id := fmt.Sprintf("w%02d", i)
					first, contacted := c.firstPolledAt[id]
					if !contacted || first.Sub(tookOverAt) > maxDelay {
						late++
					}
					latest = max(latest, first.Sub(tookOverAt))
				}
				t.Logf("the last worker that answers was contacted after %v", latest)
				if late > 0 {
					t.Errorf("%d of %d workers that answer were not contacted within %v", late, workers/2, maxDelay)
				}
			})
		})
	}
}
