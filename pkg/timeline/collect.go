package timeline

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Caller sends requests to other VMs; peer.Caller fits. It is declared here so
// that the packages below membership and peer can record events.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// Peer is another VM that may hold events.
type Peer struct {
	ID      string
	Address string // host:port
	// Newest is the position of its newest event as far as this VM knows; zero if
	// it does not know.
	Newest Position
}

// Defaults of Collector.
const (
	// DefaultReplicas is the number of other VMs whose events a VM copies.
	DefaultReplicas = 2
	// DefaultReplicateEvery is the interval between copies, and so the time whose
	// events are lost with a VM. An empty call takes about 200 bytes.
	DefaultReplicateEvery = 500 * time.Millisecond
	// collectTimeout bounds the wait for one VM.
	collectTimeout = 2 * time.Second
)

// Collector asks the other VMs for their events.
type Collector struct {
	Buffer *Buffer
	Caller Caller
	// Peers returns the other VMs that are not dead.
	Peers func() []Peer
	// Every is the interval of Run; 0 means DefaultReplicateEvery.
	Every time.Duration
	// Replicas is how many VMs Run copies from; 0 means DefaultReplicas.
	Replicas int
}

// Collect merges this VM's events with those of all others. Unanswered names
// the VMs that did not answer; their newest events may be missing.
func (c *Collector) Collect(ctx context.Context, req SinceRequest) (merged Merged, unanswered []string) {
	if req.Limit <= 0 || req.Limit > MaxPage {
		req.Limit = MaxPage
	}
	peers := c.Peers()
	pages := make([]Page, len(peers))
	failed := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { failed[i] = c.ask(ctx, p, req, &pages[i]) != nil })
	}
	wg.Wait()
	all := []Page{c.Buffer.Since(req)}
	for i, p := range peers {
		if failed[i] {
			unanswered = append(unanswered, p.ID)
			continue
		}
		all = append(all, pages[i])
	}
	return MergeAfter(req.Cursor, req.Filter, all...), unanswered
}

func (c *Collector) ask(ctx context.Context, p Peer, req SinceRequest, page *Page) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return c.Caller.Call(ctx, p.Address, MethodSince, req, page)
}

// Run copies the events of the next VMs in order of ID into the buffer until
// ctx ends, so that each VM's last events remain on others.
func (c *Collector) Run(ctx context.Context) {
	every := c.Every
	if every <= 0 {
		every = DefaultReplicateEvery
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.replicate(ctx)
		}
	}
}

func (c *Collector) replicate(ctx context.Context) {
	for _, p := range c.neighbors() {
		var page Page
		cursor := c.Buffer.PeerCursor(p.ID)
		if p.Newest.Seq > 0 && !cursor[p.ID].before(p.Newest) {
			continue // nothing new; most calls of an idle system would be empty
		}
		req := SinceRequest{Cursor: cursor, Limit: MaxPage, OwnOnly: true}
		if c.ask(ctx, p, req, &page) == nil {
			c.Buffer.Absorb(page.Events)
		}
	}
}

// neighbors returns the VMs that follow this one in order of ID, so that each
// VM is copied by the same number of others.
func (c *Collector) neighbors() []Peer {
	peers := c.Peers()
	slices.SortFunc(peers, func(a, b Peer) int {
		return compareFrom(c.Buffer.opts.VM, a.ID, b.ID)
	})
	n := c.Replicas
	if n <= 0 {
		n = DefaultReplicas
	}
	return peers[:min(n, len(peers))]
}

// compareFrom orders a and b on the circle of names that begins after self.
func compareFrom(self, a, b string) int {
	switch {
	case (a > self) != (b > self) && a > self:
		return -1
	case (a > self) != (b > self):
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Changed returns a channel that is closed when this VM has a new event.
func (c *Collector) Changed() <-chan struct{} { return c.Buffer.Changed() }
