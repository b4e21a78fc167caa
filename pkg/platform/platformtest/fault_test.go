package platformtest

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestLeaseContract(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a lease expires although it is renewed, or never expires", run: func(t *testing.T, s service) {
			id := must[platform.LeaseID](t)(s.GrantLease(t.Context(), 3*time.Second))
			must[int64](t)(s.Put(t.Context(), "k", nil, 0, id))
			for range 5 {
				time.Sleep(2 * time.Second)
				wantKind(t, s.KeepAlive(t.Context(), id), "")
			}
			events := must[[]platform.Event](t)(s.Watch(t.Context(), "k", 1))
			wantEqual(t, "key deleted by the expiry", events[0].Deleted, true)
			wantKind(t, s.KeepAlive(t.Context(), id), errkind.NotFound)
			_, err := s.Put(t.Context(), "k", nil, 0, id)
			wantKind(t, err, errkind.NotFound)
		}},
		{name: "revoke keeps bound keys or deletes unbound ones", run: func(t *testing.T, s service) {
			id := must[platform.LeaseID](t)(s.GrantLease(t.Context(), time.Minute))
			must[int64](t)(s.Put(t.Context(), "bound", nil, 0, id))
			v := must[int64](t)(s.Put(t.Context(), "freed", nil, 0, id))
			must[int64](t)(s.Put(t.Context(), "freed", nil, v, 0))
			wantKind(t, s.Revoke(t.Context(), id), "")
			wantKind(t, s.Revoke(t.Context(), id), errkind.NotFound)
			list := must[platform.ListResult](t)(s.List(t.Context(), "", "", 0))
			wantEqual(t, "keys left", len(list.Entries), 1)
			wantEqual(t, "key", list.Entries[0].Key, "freed")
		}},
		{name: "a paused owner overwrites its successor", run: func(t *testing.T, s service) {
			id := must[platform.LeaseID](t)(s.GrantLease(t.Context(), 3*time.Second))
			mine := must[int64](t)(s.Put(t.Context(), "owner", []byte("first"), 0, id))
			time.Sleep(4 * time.Second) // the owner is paused; its lease expires
			must[int64](t)(s.Put(t.Context(), "owner", []byte("second"), 0, 0))
			_, err := s.Put(t.Context(), "owner", []byte("first"), mine, 0)
			wantKind(t, err, errkind.Conflict)
			// Without an expected version the write succeeds.
			must[int64](t)(s.Put(t.Context(), "owner", []byte("first"), platform.AnyVersion, 0))
			e := must[platform.Entry](t)(s.Get(t.Context(), "owner"))
			wantEqual(t, "unprotected owner", string(e.Value), "first")
		}},
		{name: "a lease expires while the lease clock is paused", run: func(t *testing.T, s service) {
			id := must[platform.LeaseID](t)(s.GrantLease(t.Context(), 3*time.Second))
			time.Sleep(2 * time.Second)
			s.backend.SetFaults(memory.Faults{PauseLeases: true})
			time.Sleep(time.Hour)
			s.backend.SetFaults(memory.Faults{})
			time.Sleep(time.Second - time.Millisecond)
			wantKind(t, s.KeepAlive(t.Context(), id), "")
			time.Sleep(3 * time.Second)
			synctest.Wait()
			wantEqual(t, "expired leases", s.backend.Counts().LapsedLeases, 1)
		}},
	})
}

func TestStoreFaults(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a lost answer hides that the write took effect", run: func(t *testing.T, s service) {
			s.backend.SetFaults(memory.Faults{LoseNext: 2, LosePrefix: "a"})
			must[int64](t)(s.Put(t.Context(), "b", nil, 0, 0))
			_, err := s.Put(t.Context(), "a", []byte("token"), 0, 0)
			wantKind(t, err, errkind.StoreUnavailable)
			e := must[platform.Entry](t)(s.Get(t.Context(), "a"))
			wantEqual(t, "value", string(e.Value), "token")
			// A repeated write conflicts with the first, and its answer is not lost.
			_, err = s.Put(t.Context(), "a", []byte("token"), 0, 0)
			wantKind(t, err, errkind.Conflict)
			wantKind(t, s.Delete(t.Context(), "a", e.Version), errkind.StoreUnavailable)
			_, err = s.Get(t.Context(), "a")
			wantKind(t, err, errkind.NotFound)
			must[int64](t)(s.Put(t.Context(), "a", nil, 0, 0))
		}},
		{name: "lost answers differ between runs with one seed", run: func(t *testing.T, s service) {
			pattern := func(seed uint64) (lost string) {
				s.backend.SetFaults(memory.Faults{})
				s.backend.SetFaults(memory.Faults{LoseShare: 0.5, Seed: seed})
				for range 32 {
					_, err := s.Put(t.Context(), "k", nil, platform.AnyVersion, 0)
					lost += fmt.Sprint(errkind.Is(err, errkind.StoreUnavailable))[:1]
				}
				return lost
			}
			first := pattern(7)
			wantEqual(t, "same seed", pattern(7), first)
			if pattern(8) == first {
				t.Fatalf("seeds 7 and 8 lose the same answers: %s", first)
			}
		}},
		{name: "a call succeeds during an outage", run: func(t *testing.T, s service) {
			s.backend.SetFaults(memory.Faults{Outage: true})
			ctx := t.Context()
			_, getErr := s.Get(ctx, "k")
			_, listErr := s.List(ctx, "", "", 0)
			_, putErr := s.Put(ctx, "k", nil, 0, 0)
			_, watchErr := s.Watch(ctx, "", 0)
			_, grantErr := s.GrantLease(ctx, time.Second)
			for _, err := range []error{
				getErr, listErr, putErr, watchErr, grantErr,
				s.Delete(ctx, "k", 0), s.KeepAlive(ctx, 1), s.Revoke(ctx, 1),
			} {
				wantKind(t, err, errkind.StoreUnavailable)
			}
			s.backend.SetFaults(memory.Faults{})
			_, err := s.Get(ctx, "k")
			wantKind(t, err, errkind.NotFound)
		}},
		{name: "a call waits for a slow answer without a timeout", run: func(t *testing.T, s service) {
			s.backend.SetFaults(memory.Faults{Delay: time.Second})
			start := time.Now()
			must[int64](t)(s.Put(t.Context(), "k", nil, 0, 0))
			wantEqual(t, "added delay", time.Since(start), time.Second)
			for _, c := range []struct {
				limit   time.Duration
				written bool
			}{{400 * time.Millisecond, false}, {600 * time.Millisecond, true}} {
				ctx, cancel := context.WithTimeout(t.Context(), c.limit)
				_, err := s.Put(ctx, fmt.Sprint(c.limit), nil, 0, 0)
				cancel()
				wantKind(t, err, errkind.StoreUnavailable)
				synctest.Wait()
				_, err = s.Get(t.Context(), fmt.Sprint(c.limit))
				wantEqual(t, "written although the call timed out", err == nil, c.written)
			}
		}},
		{name: "the VM list does not lag or lags forever", opts: memory.Options{VMs: []platform.VM{{ID: "a"}}}, run: func(t *testing.T, s service) {
			s.backend.SetFaults(memory.Faults{VMListLag: 5 * time.Second})
			s.backend.PutVM(platform.VM{ID: "b", State: platform.VMLive})
			time.Sleep(2 * time.Second)
			s.backend.SetVMs([]platform.VM{{ID: "b", State: platform.VMLeaving}})
			list := func() (text string) {
				for _, vm := range must[[]platform.VM](t)(s.ListVMs(t.Context())) {
					text += vm.ID + string(vm.State) + " "
				}
				return text
			}
			wantEqual(t, "before", list(), "a ")
			time.Sleep(3 * time.Second)
			wantEqual(t, "first change", list(), "a blive ")
			time.Sleep(2 * time.Second)
			wantEqual(t, "second change", list(), "bleaving ")
			s.backend.UpdateFaults(func(f *memory.Faults) { f.VMListOutage = true })
			_, err := s.ListVMs(t.Context())
			wantKind(t, err, errkind.Unavailable)
		}},
	})
}
