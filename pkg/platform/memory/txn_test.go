package memory

import (
	"fmt"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Guards against revisions that differ within a transaction, which the platform's store gives
// one: a version that is taken from the answer would be wrong for all writes but the last.
func TestTransactionHasOneRevision(t *testing.T) {
	s := NewStore(Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	commit := func(txn platform.Txn) int64 {
		t.Helper()
		res, err := s.Commit(t.Context(), txn)
		if err != nil {
			t.Fatal(err)
		}
		return res.Revision
	}
	first := commit(platform.Txn{Writes: []platform.Write{{Key: "a"}, {Key: "b"}}})
	for _, key := range []string{"a", "b"} {
		if e, err := s.Get(t.Context(), key); err != nil || e.Version != first {
			t.Errorf("%s has version %d, want %d (%v)", key, e.Version, first, err)
		}
	}
	second := commit(platform.Txn{
		Conditions: []platform.Condition{{Key: "a", Version: first}, {Key: "b", Version: first}},
		Writes:     []platform.Write{{Key: "a"}}, Deletes: []string{"b"},
	})
	if second != first+1 {
		t.Errorf("revision %d follows %d", second, first)
	}
	events, err := s.Watch(t.Context(), "", first)
	if err != nil || len(events) != 2 || events[0].Revision != second || events[1].Revision != second {
		t.Errorf("changes after revision %d: %+v, %v", first, events, err)
	}
}

// Guards against a watch that loses changes, as an answer ends within a transaction and the
// caller continues after its revision.
func TestWatchAnswerHoldsWholeTransactions(t *testing.T) {
	const keys = 20
	s := NewStore(Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	total := 0
	for n := 0; total < maxWatchEvents+keys; n++ {
		txn := platform.Txn{}
		for i := range keys - n%3 {
			txn.Writes = append(txn.Writes, platform.Write{Key: fmt.Sprintf("%d/%d", n, i)})
		}
		if _, err := s.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		total += len(txn.Writes)
	}
	seen, after := 0, int64(0)
	for seen < total {
		events, err := s.Watch(t.Context(), "", after)
		if err != nil || len(events) == 0 {
			t.Fatalf("%d of %d changes were seen: %v", seen, total, err)
		}
		seen, after = seen+len(events), events[len(events)-1].Revision
	}
	if seen != total {
		t.Errorf("%d changes were seen, want %d", seen, total)
	}
}
