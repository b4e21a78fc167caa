package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
)

// Guards against a VM that the store turns away sending its callers' calls to the former owner
// for as long as that lasts: 24 state queries were answered 504 and 8 jobs refused in one
// outage of 9 s, in which the former owner was turned away too.
func TestCutOffVMLearnsOfTheNewOwnerFromAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stores := newPerVMStoreTestbed(t, 0, 4)
		adjust := b.adjustOptions
		// Each VM is connected to the owner only, so the others are known to the former owner alone.
		asks := []int{2, 0, 0}
		b.adjustOptions = func(o *fleet.Options) {
			adjust(o)
			to := asks[len(b.vms)]
			o.AskOwner = func(context.Context) []fleet.OwnerHint {
				return []fleet.OwnerHint{b.allVMs()[to].elector.OwnerHint()}
			}
		}
		for range asks {
			b.startVM()
			b.sleep(time.Second) // the first VM becomes the owner
		}
		(*stores)[0].unreachable.Store(true)
		(*stores)[1].unreachable.Store(true)
		b.sleep(10 * time.Second)
		for i, v := range b.allVMs() {
			if got := v.elector.LastOwner(); got != "vm2" {
				t.Errorf("vm%d takes %s for the owner, want vm2", i, got)
			}
		}
	})
}
