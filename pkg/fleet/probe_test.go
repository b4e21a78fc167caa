package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
)

// Guards against workers that answer again after a long time not being polled for minutes,
// because polls of others that have been silent for a shorter time go first.
func TestLongSilentWorkersAreContactedBesideNewlySilentOnes(t *testing.T) {
	const (
		workers     = 200
		longSilent  = 10
		newlySilent = 80
		maxDelay    = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, workers)
		c := newRecordingClient(b.workers)
		b.adjustOptions = func(o *fleet.Options) { o.Workers = c }
		b.startVM()
		b.sleep(2 * time.Second)
		b.submit(smallStep(8 * workers))
		b.sleep(5 * time.Second)
		setUnreachable := func(from, to int, unreachable bool) {
			for i := from; i < to; i++ {
				b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = unreachable })
			}
		}
		setUnreachable(0, longSilent, true)
		b.submit(smallStep(8 * workers))
		b.sleep(2 * time.Minute)
		b.submit(smallStep(8 * workers))
		b.sleep(100 * time.Millisecond)
		setUnreachable(longSilent, longSilent+newlySilent, true)
		b.sleep(5 * time.Second)
		setUnreachable(0, longSilent, false)
		healedAt := time.Now()
		b.sleep(maxDelay)
		c.mu.Lock()
		defer c.mu.Unlock()
		for i := range longSilent {
			if id := fmt.Sprintf("w%02d", i); c.polledAt[id].Before(healedAt) {
				t.Errorf("%s is not polled within %v", id, maxDelay)
			}
		}
	})
}
