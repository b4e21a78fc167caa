package timeline

import (
	"context"
	"testing"
)

// countingCaller answers with the events of one VM and counts the calls.
type countingCaller struct {
	from  *Buffer
	calls int
}

func (c *countingCaller) Call(_ context.Context, _, _ string, req, resp any) error {
	c.calls++
	*resp.(*Page) = c.from.Since(req.(SinceRequest))
	return nil
}

// Guards against events that are not copied when there are new ones, and
// against calls to VMs that have none.
func TestCopiesOnlyNewEvents(t *testing.T) {
	from, to := newTestBuffer("b", 10), newTestBuffer("a", 10)
	caller := &countingCaller{from: from}
	c := &Collector{Buffer: to, Caller: caller, Peers: func() []Peer {
		return []Peer{{ID: "b", Address: "b:1", Newest: Position{Incarnation: 1, Seq: from.Seq()}}}
	}}
	for _, want := range []int{1, 1, 2, 2} {
		if caller.calls < want {
			from.Record(Event{Type: Queued})
		}
		c.replicate(t.Context())
		if caller.calls != want {
			t.Errorf("%d calls, want %d", caller.calls, want)
		}
	}
	if got := len(to.Query(Filter{})); got != 2 {
		t.Errorf("%d events copied, want 2", got)
	}
}
