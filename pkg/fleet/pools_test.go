package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// standbyPool is the pool of the machine m-w00 that the tests fetch for a backlog.
const standbyPool = "spare"

// refusingCloud does not carry out moves to the standby pool.
type refusingCloud struct {
	*fleettest.Cloud
	verdict fleet.MachineOpVerdict
}

func (c refusingCloud) Move(ctx context.Context, machine, pool string, token int64) (fleet.MachineOpVerdict, error) {
	if pool == standbyPool {
		return c.verdict, nil
	}
	return c.Cloud.Move(ctx, machine, pool, token)
}

// Guards against a fetched machine that gets no tasks any more, because it is to be returned
// to its pool and the platform does not move it.
func TestMachineThatIsNotReturnedIsUsed(t *testing.T) {
	for name, verdict := range map[string]fleet.MachineOpVerdict{"busy": fleet.MachineOpBusy, "unanswered": fleet.MachineOpUnknown} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 2)
				cloud := fleettest.NewCloud(b.workers, time.Second)
				if _, err := cloud.Move(t.Context(), "m-w00", standbyPool, 0); err != nil {
					t.Fatal(err)
				}
				b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves = refusingCloud{cloud, verdict}, cloud }
				b.catalog = &catalog.Catalog{
					Services: []catalog.Service{{Name: standbyPool, Standby: true}, {Name: "service"}},
					Queues:   []catalog.Queue{{Name: "q", Class: workload.Class{Priority: 1, Service: "service"}}},
				}
				b.startVM()
				b.sleep(time.Second)
				b.cancel(b.submitAndWait(gangStep(3, 8), 5*time.Second))
				b.sleep(20 * time.Second) // the machine has been idle for longer than idleReturnDelay
				j := b.submitAndWait(gangStep(2, 8), 8*time.Second)
				b.wantState(j, workload.Completed)
			})
		})
	}
}

// Guards against a fetched machine that gets no tasks any more, because it was to be returned to
// a pool that is no longer on standby.
func TestMachineOfAFormerStandbyPoolIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		cloud := fleettest.NewCloud(b.workers, time.Second)
		if _, err := cloud.Move(t.Context(), "m-w00", standbyPool, 0); err != nil {
			t.Fatal(err)
		}
		queues := []catalog.Queue{{Name: "q", Class: workload.Class{Priority: 1, Service: "service"}}}
		var current atomic.Pointer[catalog.Catalog]
		setServices := func(services ...catalog.Service) {
			c := &catalog.Catalog{Services: services, Queues: queues}
			c.Index()
			current.Store(c)
		}
		setServices(catalog.Service{Name: standbyPool, Standby: true}, catalog.Service{Name: "service"})
		b.adjustOptions = func(o *fleet.Options) {
			o.Machines, o.Waves, o.Catalog = refusingCloud{cloud, fleet.MachineOpUnknown}, cloud, current.Load
		}
		b.startVM()
		b.sleep(time.Second)
		b.cancel(b.submitAndWait(gangStep(3, 8), 5*time.Second))
		b.sleep(20 * time.Second) // its return has been requested
		setServices(catalog.Service{Name: "service"})
		b.sleep(5 * time.Second)
		j := b.submitAndWait(gangStep(2, 8), 8*time.Second)
		b.wantState(j, workload.Completed)
	})
}

// submitAndWait stores a job of one step and waits.
func (b *testbed) submitAndWait(step workload.Step, d time.Duration) *workload.Job {
	j := b.submit(step)
	b.sleep(d)
	return j
}
