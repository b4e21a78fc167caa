package fleet_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a job that never runs its next step, and whose starts are refused without
// end, because a new version of the configuration no longer names its queue, or names it
// without the policy that its workers still ask a ticket for.
func TestAdvisedJobRunsOnAfterItsQueueHasChanged(t *testing.T) {
	policy := &workload.AdvicePolicy{TicketTTL: 5 * time.Second}
	queue := func(name string, advice *workload.AdvicePolicy) *catalog.Catalog {
		c := &catalog.Catalog{Queues: []catalog.Queue{{Name: name, Class: workload.Class{Service: "service"}, Advice: advice}}}
		c.Index()
		return c
	}
	none := &catalog.Catalog{}
	none.Index()
	tests := map[string]struct {
		recorded *workload.AdvicePolicy // with the job
		after    *catalog.Catalog
		takeover bool
		rejected int // starts
	}{
		"queue removed":                        {recorded: policy, after: none},
		"queue renamed":                        {recorded: policy, after: queue("renamed", policy)},
		"queue removed, then a takeover":       {recorded: policy, after: none, takeover: true},
		"queue removed, record without advice": {after: none, rejected: 2},
		"policy removed":                       {recorded: policy, after: queue("q", nil), rejected: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 8)
				cloud := fleettest.NewCloud(b.workers, time.Second)
				cloud.AllowedWorkers = []string{"w06", "w07"}
				var current atomic.Pointer[catalog.Catalog]
				current.Store(queue("q", policy))
				b.adjustOptions = func(o *fleet.Options) { o.Advice, o.Catalog = cloud, current.Load }
				b.startVM()
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 3 * time.Second} })
				second := smallStep(2)
				second.After = []int{0}
				j := b.buildJob(smallStep(2))
				j.Steps = append(j.Steps, second)
				j.Advice = tc.recorded
				b.storeJob(j)
				b.sleep(time.Second)
				current.Store(tc.after)
				if tc.takeover {
					b.killVM(b.ownerIndex())
				}
				b.sleep(15 * time.Second)
				b.wantState(j, workload.Completed)
				if n := b.workers.RejectedStarts(); n > tc.rejected {
					t.Errorf("%d starts were refused, at most %d expected", n, tc.rejected)
				}
			})
		})
	}
}

// Guards against starts that are refused in quick succession for want of a ticket that no
// service issues.
func TestStartsWithoutAnAdviceServiceArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 2)
		cloud := fleettest.NewCloud(b.workers, time.Second) // the workers ask for tickets
		if _, _, err := cloud.Advise(t.Context(), "0000000000000009.0.0", []string{"w00"}); err != nil {
			t.Fatal(err)
		}
		b.submit(smallStep(1))
		b.sleep(10 * time.Second)
		if n := b.workers.RejectedStarts(); n > 2*11 {
			t.Errorf("%d starts were refused in 10 s by 2 workers, at most one a second and worker is expected", n)
		}
	})
}
