package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// Guards against tasks that are lost because their owner died while no other
// could be elected, and against a caretaker that gets in the way of an owner.
func TestCaretaker(t *testing.T) {
	alive := func(id string) membership.Member {
		return membership.Member{ID: id, Incarnation: 1, State: membership.Alive, Ready: true}
	}
	first := ownership.PreferenceOrder("dr1/a", []membership.Member{alive("a"), alive("b")})[0]
	second := map[string]string{"a": "b", "b": "a"}[first]
	members := []membership.Member{alive(first), alive(second)}
	for name, c := range map[string]struct {
		self    string
		down    bool
		owner   ownership.Owner
		members []membership.Member
		renews  bool
	}{
		"owner died in an outage":           {first, true, ownership.Owner{VM: "dead"}, members, true},
		"not the next in order":             {second, true, ownership.Owner{VM: "dead"}, members, false},
		"next in order is suspect":          {second, true, ownership.Owner{VM: "dead"}, []membership.Member{{ID: first, State: membership.Suspect, Ready: true}, alive(second)}, true},
		"store answers":                     {first, false, ownership.Owner{VM: "dead"}, members, false},
		"owner lives":                       {first, true, ownership.Owner{VM: second, Incarnation: 1}, members, false},
		"owner is suspect":                  {first, true, ownership.Owner{VM: "x"}, append(members, membership.Member{ID: "x", State: membership.Suspect}), false},
		"owner's VM has started again":      {first, true, ownership.Owner{VM: second, Incarnation: 0}, members, true},
		"this VM is the owner":              {first, true, ownership.Owner{VM: first, Self: true}, members, false},
		"owner died before this VM started": {first, true, ownership.Owner{}, members, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := memory.NewWorker(memory.Config{ID: "w"})
				defer w.Close()
				var dialer memory.Dialer
				dialer.Add("w", w)
				reserve(t, w, 7)
				var down atomic.Bool
				down.Store(c.down)
				ct := &caretaker{
					self: c.self, domains: func() []string { return []string{"r1/a"} },
					owner:     func(ownership.Shard) (ownership.Owner, bool) { return c.owner, c.owner.VM != "" },
					members:   func() []membership.Member { return c.members },
					storeDown: down.Load,
					vms: func() []platform.VM {
						return []platform.VM{{ID: "w", Address: "w", Role: platform.RoleTarget, FailureDomain: "r1/a"}}
					},
					dialer: &dialer, leaseTTL: 15 * time.Second, timeout: time.Second, log: logr.Discard(),
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); ct.run(ctx) }()
				time.Sleep(time.Minute)
				if kept := w.LiveTasks() == 1; kept != c.renews {
					t.Errorf("task kept: %v, want %v", kept, c.renews)
				}
				if _, err := w.Reserve(ctx, target.ReserveRequest{Task: "x/1/0", Epoch: 6, TTL: time.Second}); !errkind.Is(err, errkind.StaleEpoch) {
					t.Errorf("reserve with an older epoch: %v; the caretaker must not change the epoch", err)
				}
				down.Store(false)
				time.Sleep(time.Minute)
				if kept := w.LiveTasks() == 1; kept != c.renews {
					t.Error("care ended before there was an owner")
				}
				cancel()
				<-done
			})
		})
	}
}

func reserve(t *testing.T, w *memory.Worker, epoch int64) {
	t.Helper()
	if _, err := w.Reserve(t.Context(), target.ReserveRequest{Task: "j0-1/1/0", Epoch: epoch, TTL: 15 * time.Second}); err != nil {
		t.Fatal(err)
	}
}
