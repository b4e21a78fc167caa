package platformtest

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestStoreContract(t *testing.T) {
	runContract(t, []contractCase{
		{name: "two writers both win a compare-and-swap", run: func(t *testing.T, s service) {
			ctx := t.Context()
			v1 := must[int64](t)(s.Put(ctx, "k", []byte("a"), 0, 0))
			v2 := must[int64](t)(s.Put(ctx, "k", []byte("b"), v1, 0))
			for _, stale := range []int64{0, v1, v2 + 1} {
				_, err := s.Put(ctx, "k", []byte("c"), stale, 0)
				wantKind(t, err, errkind.Conflict)
				wantKind(t, s.Delete(ctx, "k", stale), errkind.Conflict)
			}
			e := must[platform.Entry](t)(s.Get(ctx, "k"))
			wantEqual(t, "value", string(e.Value), "b")
			wantEqual(t, "version", e.Version, v2)
		}},
		{name: "a version repeats after a deletion", run: func(t *testing.T, s service) {
			ctx := t.Context()
			v1 := must[int64](t)(s.Put(ctx, "k", nil, 0, 0))
			wantKind(t, s.Delete(ctx, "k", v1), "")
			wantKind(t, s.Delete(ctx, "k", platform.AnyVersion), errkind.NotFound)
			_, err := s.Get(ctx, "k")
			wantKind(t, err, errkind.NotFound)
			v2 := must[int64](t)(s.Put(ctx, "k", nil, 0, 0))
			if v2 <= v1+1 {
				t.Fatalf("version %d after %d and a deletion", v2, v1)
			}
		}},
		{name: "a list page skips or repeats entries", run: func(t *testing.T, s service) {
			for _, k := range []string{"a/9", "b", "b/1", "b/2", "b/3", "c"} {
				must[int64](t)(s.Put(t.Context(), k, []byte(k), 0, 0))
			}
			got, after := "", ""
			for more := true; more; {
				page := must[platform.ListResult](t)(s.List(t.Context(), "b/", after, 2))
				for _, e := range page.Entries {
					got += e.Key + " "
					after = e.Key
				}
				wantEqual(t, "revision", page.Revision, 6)
				more = page.More
			}
			wantEqual(t, "keys", got, "b/1 b/2 b/3 ")
		}},
		{name: "a list answer grows beyond 1 MiB of values", run: func(t *testing.T, s service) {
			for _, k := range []string{"a", "b", "c"} {
				must[int64](t)(s.Put(t.Context(), k, make([]byte, platform.MaxValueBytes/2), 0, 0))
			}
			page := must[platform.ListResult](t)(s.List(t.Context(), "", "", 0))
			if len(page.Entries) != 2 || !page.More {
				t.Fatalf("%d entries, more = %v", len(page.Entries), page.More)
			}
		}},
		{name: "an oversize value is written", run: func(t *testing.T, s service) {
			largest := bytes.Repeat([]byte{0xff}, platform.MaxValueBytes)
			must[int64](t)(s.Put(t.Context(), "k", largest, 0, 0))
			e := must[platform.Entry](t)(s.Get(t.Context(), "k"))
			wantEqual(t, "largest value unchanged", bytes.Equal(e.Value, largest), true)
			_, err := s.Put(t.Context(), "k2", append(largest, 0), 0, 0)
			wantKind(t, err, errkind.TooLarge)
			_, err = s.Get(t.Context(), "k2")
			wantKind(t, err, errkind.NotFound)
		}},
		{name: "a key that JSON cannot carry is written", run: func(t *testing.T, s service) {
			for _, key := range []string{"", "\xff"} {
				_, err := s.Put(t.Context(), key, nil, 0, 0)
				wantKind(t, err, errkind.InvalidRequest)
			}
		}},
		{name: "a call over the rate limit writes", opts: memory.Options{WritesPerSecond: 3, ReadsPerSecond: 2}, run: func(t *testing.T, s service) {
			for i := range 3 {
				must[int64](t)(s.Put(t.Context(), fmt.Sprint(i), nil, 0, 0))
			}
			_, err := s.Put(t.Context(), "over", nil, 0, 0)
			wantKind(t, err, errkind.QuotaExceeded)
			_, err = s.Get(t.Context(), "over")
			wantKind(t, err, errkind.NotFound)
			_, err = s.List(t.Context(), "", "", 0)
			wantKind(t, err, "")
			_, err = s.Watch(t.Context(), "", 0)
			wantKind(t, err, errkind.QuotaExceeded)
			time.Sleep(time.Second)
			must[int64](t)(s.Put(t.Context(), "over", nil, 0, 0))
		}},
	})
}

func TestWatchContract(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a change is missed, repeated or out of order", run: func(t *testing.T, s service) {
			rev := must[int64](t)(s.Put(t.Context(), "p/1", []byte("a"), 0, 0))
			var writer sync.WaitGroup
			writer.Go(func() {
				time.Sleep(time.Minute) // longer than one watch request of the HTTP client
				must[int64](t)(s.Put(t.Context(), "other", nil, 0, 0))
				must[int64](t)(s.Put(t.Context(), "p/1", []byte("b"), rev, 0))
			})
			events := must[[]platform.Event](t)(s.Watch(t.Context(), "p/", rev))
			writer.Wait()
			wantEqual(t, "events", len(events), 1)
			wantEqual(t, "value", string(events[0].Entry.Value), "b")
			wantKind(t, s.Delete(t.Context(), "p/1", platform.AnyVersion), "")
			events = must[[]platform.Event](t)(s.Watch(t.Context(), "p/", 0))
			wantEqual(t, "events", len(events), 3)
			wantEqual(t, "deletion last", events[2].Deleted && events[2].Revision == rev+3, true)
		}},
		{name: "a watch outlives its context or ends with an error", run: func(t *testing.T, s service) {
			for _, wait := range []time.Duration{time.Second, time.Minute} {
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				start := time.Now()
				events, err := s.Watch(ctx, "", 0)
				cancel()
				if err != nil || events != nil || time.Since(start) != wait {
					t.Fatalf("events %v, error %v after %v", events, err, time.Since(start))
				}
			}
			synctest.Wait()
			wantEqual(t, "watches left", s.backend.Counts().PendingWatch, 0)
		}},
		{name: "a watch over compacted history skips changes", opts: memory.Options{History: 4}, run: func(t *testing.T, s service) {
			for i := range 6 {
				must[int64](t)(s.Put(t.Context(), "k", []byte{byte(i)}, platform.AnyVersion, 0))
			}
			_, err := s.Watch(t.Context(), "", 1)
			wantKind(t, err, errkind.Conflict)
			events := must[[]platform.Event](t)(s.Watch(t.Context(), "", 2))
			wantEqual(t, "events", len(events), 4)
			_, err = s.Watch(t.Context(), "", 7) // as after a store lost its state
			wantKind(t, err, errkind.Conflict)
		}},
		{name: "a waiting watch does not end at an outage", run: func(t *testing.T, s service) {
			time.AfterFunc(time.Second, func() { s.backend.SetFaults(memory.Faults{Outage: true}) })
			_, err := s.Watch(t.Context(), "", 0)
			wantKind(t, err, errkind.StoreUnavailable)
		}},
	})
}
