package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

func (b *testbed) observe(d *fleettest.StandstillDetector, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		b.sleep(100 * time.Millisecond)
		d.Observe()
	}
}

func (b *testbed) accept(step workload.Step) *workload.Job {
	j := b.submit(step)
	b.workers.Accepted(j.ID)
	return j
}

func (b *testbed) busyWorker() int {
	for i := range 16 {
		if b.workers.Busy(i) {
			return i
		}
	}
	return -1
}

func (b *testbed) report(d *fleettest.StandstillDetector) {
	for _, s := range d.Standstills() {
		b.t.Log(s)
	}
}

func TestTrialGangMemberOnDeadWorker(t *testing.T) {
	for _, takeovers := range []int{0, 1, 4} {
		for _, cloud := range []bool{false, true} {
			t.Run(fmt.Sprint(takeovers, " takeovers, machines ", cloud), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, 2, 16)
					b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 5 * time.Second} })
					d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
					b.accept(gangStep(3, 8))
					b.sleep(4 * time.Second)
					i := b.busyWorker()
					b.workers.Crash(i, time.Hour)
					time.AfterFunc(4*time.Second, func() { b.workers.Leave(i) })
					for range takeovers {
						b.observe(d, 7*time.Second)
						b.replaceOwner()
					}
					b.observe(d, 30*time.Second)
					b.report(d)
				})
			})
		}
	}
}

// poison: how many workers are backed off
func TestTrialPoisonJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 16)
		b.workers.SetOutcome(func(task workload.TaskID, run int64) fleettest.Outcome {
			if task.Job <= "0000000000000006" {
				return fleettest.Outcome{Duration: 300 * time.Millisecond, Fails: true}
			}
			return fleettest.Outcome{Duration: time.Second}
		})
		d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
		for n := range 6 {
			j := b.buildJob(smallStep(64))
			j.Class.MaxAttempts = 4
			_ = n
			b.storeJob(j)
			b.observe(d, 300*time.Millisecond)
		}
		b.observe(d, 200*time.Millisecond)
		for range 3 {
			b.accept(smallStep(4))
		}
		b.accept(gangStep(3, 8))
		b.observe(d, 20*time.Second)
		b.report(d)
	})
}
