package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
)

// Guards against a large owner that accepts more jobs than a smaller VM can take over, against one
// that does so for ever after that VM is gone, and against announcements that fill the store.
func TestLimitIsThatOfTheSmallestVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 1)
		b.cores = []float64{1, 0.2}
		for _, memory := range []int64{512 << 20, 184 << 20} {
			b.adjustOptions = func(o *fleet.Options) { o.Memory = memory }
			b.startVM()
			b.sleep(time.Second)
		}
		check := func(memory int64) {
			t.Helper()
			_, owner := b.vms[0].elector.Owner()
			if got, want := owner.MemoryUse().LimitBytes, fleet.JobMemoryLimit(memory, 1); got != want {
				t.Errorf("at %s the limit is %d bytes, want %d", time.Since(b.started), got, want)
			}
		}
		b.sleep(70 * time.Second)
		check(184 << 20)
		b.sleep(30 * time.Minute)
		check(184 << 20)
		page, err := b.store.List(t.Context(), fleet.VMPrefix, "", 0)
		if err != nil || len(page.Entries) != 2 {
			t.Errorf("%d announcements, error %v", len(page.Entries), err)
		}
		b.killVM(1)
		b.sleep(12 * time.Minute)
		check(512 << 20)
	})
}
