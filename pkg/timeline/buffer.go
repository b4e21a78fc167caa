package timeline

import (
	"slices"
	"sync"
)

// Defaults of BufferOptions and bounds of one event.
const (
	// DefaultCapacity is the number of own events kept; about 6 MiB at 300 bytes each.
	DefaultCapacity = 20_000
	// DefaultPeerCapacity is the number of events kept of each other VM.
	DefaultPeerCapacity = 2_000
	// DefaultMaxPeers is the number of other VMs of which events are kept.
	DefaultMaxPeers = 4
	// MaxTextBytes bounds Reason and By; longer texts are cut.
	MaxTextBytes = 512
)

// BufferOptions configures a Buffer.
type BufferOptions struct {
	VM           string
	Incarnation  int64
	Clock        *Clock // nil creates one
	Capacity     int    // own events; 0 means DefaultCapacity
	PeerCapacity int    // events per other VM; 0 means DefaultPeerCapacity
	MaxPeers     int    // other VMs; 0 means DefaultMaxPeers
}

// Buffer keeps this VM's events and recent events of a few other VMs in
// bounded memory. It is a Recorder and safe for concurrent use.
type Buffer struct {
	opts BufferOptions

	mu      sync.Mutex
	own     *ring
	seq     uint64
	peers   map[string]*peerEvents
	uses    uint64 // counts Absorb calls, to find the VM that was absorbed longest ago
	changed chan struct{}
}

// peerEvents is the copy of another VM's events.
type peerEvents struct {
	ring *ring
	last Position
	used uint64
}

// NewBuffer returns an empty buffer.
func NewBuffer(opts BufferOptions) *Buffer {
	if opts.Clock == nil {
		opts.Clock = &Clock{}
	}
	if opts.Capacity <= 0 {
		opts.Capacity = DefaultCapacity
	}
	if opts.PeerCapacity <= 0 {
		opts.PeerCapacity = DefaultPeerCapacity
	}
	if opts.MaxPeers <= 0 {
		opts.MaxPeers = DefaultMaxPeers
	}
	return &Buffer{opts: opts, own: newRing(opts.Capacity), peers: map[string]*peerEvents{}, changed: make(chan struct{})}
}

// Record stamps e with this VM's clock, name and next sequence number and
// keeps it; the oldest event goes when the buffer is full.
func (b *Buffer) Record(e Event) {
	e.Reason, e.By = cut(e.Reason), cut(e.By)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	e.At, e.VM, e.Seq, e.Incarnation = b.opts.Clock.Now(), b.opts.VM, b.seq, b.opts.Incarnation
	b.own.push(e)
	b.wake()
}

// Absorb keeps copies of other VMs' events, so that they remain when the VM is
// gone, and merges their stamps into the clock. Events that are already known
// and those of this VM are ignored.
func (b *Buffer) Absorb(events []Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if e.VM == b.opts.VM || e.VM == "" {
			continue
		}
		p := b.peer(e.VM)
		if at := (Position{e.Incarnation, e.Seq}); p.last.before(at) {
			e.Reason, e.By = cut(e.Reason), cut(e.By)
			p.ring.push(e)
			p.last = at
			b.opts.Clock.Merge(e.At)
		}
	}
	b.wake()
}

// peer returns the copy of vm; when there are too many, the one that was
// absorbed longest ago goes.
func (b *Buffer) peer(vm string) *peerEvents {
	b.uses++
	p, ok := b.peers[vm]
	if !ok {
		if len(b.peers) >= b.opts.MaxPeers {
			delete(b.peers, b.leastUsed())
		}
		p = &peerEvents{ring: newRing(b.opts.PeerCapacity)}
		b.peers[vm] = p
	}
	p.used = b.uses
	return p
}

func (b *Buffer) leastUsed() string {
	oldest := ""
	for vm, p := range b.peers {
		if oldest == "" || p.used < b.peers[oldest].used {
			oldest = vm
		}
	}
	return oldest
}

// Changed returns a channel that is closed when the next event arrives.
func (b *Buffer) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Query returns the kept events that f selects, own and copied, in order.
func (b *Buffer) Query(f Filter) []Event {
	return Merge(f, b.Since(SinceRequest{Filter: f})).Events
}

// Seq returns the sequence number of this VM's newest event.
func (b *Buffer) Seq() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seq
}

// PeerCursor returns the position up to which events of vm are kept, for the
// next request to it.
func (b *Buffer) PeerCursor(vm string) Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Cursor{}
	if p, ok := b.peers[vm]; ok {
		c[vm] = p.last
	}
	return c
}

// rings returns the own ring and those of the other VMs, ordered by VM.
func (b *Buffer) rings() []*ring {
	vms := make([]string, 0, len(b.peers))
	for vm := range b.peers {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	rings := []*ring{b.own}
	for _, vm := range vms {
		rings = append(rings, b.peers[vm].ring)
	}
	return rings
}

func cut(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	return s[:MaxTextBytes]
}
