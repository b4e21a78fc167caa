package timeline

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// A fixed seed makes a failure repeatable; -rapid.seed on the command line replaces it.
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

func newTestBuffer(vm string, capacity int) *Buffer {
	return NewBuffer(BufferOptions{VM: vm, Incarnation: 1, Capacity: capacity, PeerCapacity: capacity})
}

func seqs(events []Event) []uint64 {
	var out []uint64
	for _, e := range events {
		out = append(out, e.Seq)
	}
	return out
}

// Guards against an effect that is shown before its cause when the clocks of
// the VMs differ: each message carries the sender's stamp.
func TestOrderFollowsCausesAcrossSkewedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wall int64 = 1e18
		bufs := make([]*Buffer, 3)
		for i := range bufs {
			skew := int64(time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second)
			clock := &Clock{wall: func() int64 { return wall + skew }}
			bufs[i] = NewBuffer(BufferOptions{VM: fmt.Sprint("vm", i), Incarnation: 1, Clock: clock})
		}
		at, steps := 0, rapid.IntRange(2, 30).Draw(t, "steps")
		for i := range steps {
			bufs[at].Record(Event{Type: Started, Reason: fmt.Sprint(i)})
			stamp := bufs[at].opts.Clock.Now()
			wall += rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass")
			at = rapid.IntRange(0, 2).Draw(t, "to")
			bufs[at].opts.Clock.Merge(stamp)
		}
		merged := Merge(Filter{}, bufs[0].Since(SinceRequest{}), bufs[1].Since(SinceRequest{}), bufs[2].Since(SinceRequest{}))
		for i, e := range merged.Events {
			if e.Reason != fmt.Sprint(i) {
				t.Fatalf("event %d is number %s", i, e.Reason)
			}
		}
		if len(merged.Events) != steps || len(merged.Gaps) != 0 {
			t.Fatalf("%d events, gaps %v", len(merged.Events), merged.Gaps)
		}
	})
}

// Guards against one VM with a broken clock that moves all others ahead.
func TestClockIgnoresStampsFarAhead(t *testing.T) {
	c := &Clock{wall: func() int64 { return 1000 }}
	if got := c.Merge(Timestamp{Wall: 1000 + int64(MaxDrift) + 1}); got.Wall != 1000 {
		t.Errorf("clock moved to %v", got)
	}
	before := c.Now()
	c.wall = func() int64 { return 1 }
	if now := c.Now(); !before.Less(now) {
		t.Errorf("clock went back: %v after %v", now, before)
	}
}

// Guards against memory that grows with the number of events or VMs, and
// against lost events that are not shown.
func TestBufferIsBoundedAndShowsWhatWasLost(t *testing.T) {
	b := newTestBuffer("a", 10)
	for range 25 {
		b.Record(Event{Type: Queued, Reason: string(make([]byte, 2*MaxTextBytes))})
	}
	for vm := range 9 {
		b.Absorb([]Event{{VM: fmt.Sprint("p", vm), Incarnation: 1, Seq: 1}})
	}
	merged := Merge(Filter{}, b.Since(SinceRequest{}))
	if len(merged.Events) != 10+DefaultMaxPeers || len(b.peers) != DefaultMaxPeers {
		t.Errorf("%d events of %d other VMs", len(merged.Events), len(b.peers))
	}
	if len(merged.Gaps) != 1 || merged.Gaps[0].From != 1 || merged.Gaps[0].To != 15 {
		t.Errorf("gaps = %+v", merged.Gaps)
	}
	if n := len(b.own.at(0).Reason); n != MaxTextBytes {
		t.Errorf("reason has %d bytes", n)
	}
}

// Guards against a gap that a filter, a cursor or a start time makes up, and
// against a real one that they hide.
func TestGaps(t *testing.T) {
	b := newTestBuffer("a", 100)
	b.Absorb(nil)
	for i := range 6 {
		b.Record(Event{Type: Queued, Workspace: fmt.Sprint("ws", i%2)})
	}
	all := b.Query(Filter{})
	holed := slices.Delete(slices.Clone(all), 2, 4)
	for name, c := range map[string]struct {
		after  Cursor
		filter Filter
		pages  []Page
		want   string
	}{
		"filter":          {nil, Filter{}, []Page{b.Since(SinceRequest{Filter: Filter{Workspace: "ws1"}})}, ""},
		"hole":            {nil, Filter{}, []Page{PageOf("f", holed)}, "3-4"},
		"hole filled":     {nil, Filter{}, []Page{PageOf("f", holed), PageOf("g", all[1:5])}, ""},
		"lost beginning":  {nil, Filter{}, []Page{PageOf("f", all[3:])}, "1-3"},
		"after a cursor":  {Cursor{"a": {1, 3}}, Filter{}, []Page{PageOf("f", all[3:])}, ""},
		"lost after it":   {Cursor{"a": {1, 1}}, Filter{}, []Page{PageOf("f", all[3:])}, "2-3"},
		"later start":     {nil, Filter{Since: all[3].At.Time()}, []Page{PageOf("f", all[3:])}, ""},
		"restarted VM":    {Cursor{"a": {1, 6}}, Filter{}, []Page{PageOf("f", []Event{{VM: "a", Incarnation: 2, Seq: 2}})}, "1-1"},
		"duplicate pages": {nil, Filter{}, []Page{PageOf("f", all), PageOf("g", all)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, g := range MergeAfter(c.after, c.filter, c.pages...).Gaps {
				got += fmt.Sprintf("%d-%d", g.From, g.To)
			}
			if got != c.want {
				t.Errorf("gaps = %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against events that a follower loses or sees twice when pages are cut
// by a limit and copies of a VM's events reach further than its own page.
func TestFollowingByCursorLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestBuffer("a", 1000)
		// The copy holds the newest events only, so that it begins after the end
		// of a page of a that the limit cut.
		copied := rapid.IntRange(1, 10).Draw(t, "copied")
		b := NewBuffer(BufferOptions{VM: "b", Incarnation: 1, PeerCapacity: copied})
		total := 0
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			buf := rapid.SampledFrom([]*Buffer{a, b}).Draw(t, "vm")
			buf.Record(Event{Type: Started})
			total++
			if rapid.Bool().Draw(t, "copy") {
				b.Absorb(a.Since(SinceRequest{OwnOnly: true}).Events)
			}
		}
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		withA := rapid.Bool().Draw(t, "a answers")
		var cursor Cursor
		seen := map[eventID]int{}
		for range 200 {
			req := SinceRequest{Cursor: cursor, Limit: limit}
			pages := []Page{b.Since(req)}
			if withA {
				pages = append(pages, a.Since(req))
			}
			merged := MergeAfter(cursor, Filter{}, pages...)
			if withA && len(merged.Gaps) > 0 {
				t.Fatalf("gaps = %v", merged.Gaps)
			}
			for _, e := range merged.Events {
				seen[eventID{e.VM, e.Incarnation, e.Seq}]++
			}
			parsed, err := ParseCursor(merged.Cursor.String())
			if err != nil {
				t.Fatal(err)
			}
			cursor = parsed
		}
		for id, n := range seen {
			if n != 1 {
				t.Fatalf("%v seen %d times", id, n)
			}
		}
		if withA && len(seen) != total {
			t.Fatalf("saw %d of %d events", len(seen), total)
		}
	})
}

// Guards against the loss of a dead VM's last events and against the filter
// fields that are not applied.
func TestQuery(t *testing.T) {
	b := newTestBuffer("b", 100)
	dead := newTestBuffer("a", 100)
	dead.Record(Event{Type: Started, Job: "j1-x", Worker: "w1"})
	dead.Record(Event{Type: Ended, Job: "j1-x", Workspace: "ws", Domain: "r/a"})
	b.Absorb(dead.Since(SinceRequest{}).Events)
	b.Absorb(dead.Since(SinceRequest{}).Events)
	b.Record(Event{Type: Retried, Job: "j2-y"})
	for name, c := range map[string]struct {
		filter Filter
		want   []uint64
	}{
		"job":       {Filter{Job: "j1-x"}, []uint64{1, 2}},
		"workspace": {Filter{Workspace: "ws"}, []uint64{2}},
		"worker":    {Filter{Worker: "w1"}, []uint64{1}},
		"domain":    {Filter{Domain: "r/a"}, []uint64{2}},
		"type":      {Filter{Types: []Type{Retried}}, []uint64{1}},
		"future":    {Filter{Since: time.Now().Add(time.Hour)}, nil},
	} {
		if got := seqs(b.Query(c.filter)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if _, err := ParseCursor("%%"); err == nil {
		t.Error("malformed cursor accepted")
	}
}

// cborCaller calls handlers as the peer package does, by encoded bodies.
type cborCaller map[string]*Buffer

func (c cborCaller) Call(ctx context.Context, address, _ string, req, resp any) error {
	b, ok := c[address]
	if !ok {
		return errors.New("unreachable")
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := b.HandleSince(ctx, func(v any) error { return cbor.Unmarshal(body, v) })
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

// Guards against a collector that fails as a whole when one VM is gone, and
// against a dead VM whose events no other VM kept.
func TestCollectorKeepsEventsOfDeadVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestBuffer("a", 100), newTestBuffer("b", 100)
		caller := cborCaller{"b:1": b}
		c := &Collector{Buffer: a, Caller: caller, Peers: func() []Peer { return []Peer{{ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}} }}
		b.Record(Event{Type: Started, Reason: "last words"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		time.Sleep(DefaultReplicateEvery + time.Millisecond)
		synctest.Wait()
		delete(caller, "b:1")
		merged, unanswered := c.Collect(ctx, SinceRequest{})
		if len(merged.Events) != 1 || merged.Events[0].VM != "b" || !slices.Equal(unanswered, []string{"b", "c"}) {
			t.Errorf("events = %v, unanswered = %v", merged.Events, unanswered)
		}
		cancel()
		<-done
	})
}

// Guards against all VMs copying the same few others.
func TestEachVMIsCopiedByTheSameNumber(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	copies := map[string]int{}
	for _, self := range ids {
		c := &Collector{Buffer: newTestBuffer(self, 1), Peers: func() []Peer {
			var peers []Peer
			for _, id := range ids {
				if id != self {
					peers = append(peers, Peer{ID: id})
				}
			}
			return peers
		}}
		for _, p := range c.neighbors() {
			copies[p.ID]++
		}
	}
	for _, id := range ids {
		if copies[id] != DefaultReplicas {
			t.Errorf("%s is copied by %d VMs", id, copies[id])
		}
	}
}
