package timeline

import "context"

// MethodSince is the peer method that returns a VM's events after a cursor.
const MethodSince = "events.since"

// MaxPage is the largest number of events in one Page of one VM. At 300 bytes
// an event it stays below the frame limit between VMs of 1 MiB.
const MaxPage = 1000

// SinceRequest asks for events after a cursor.
type SinceRequest struct {
	Cursor Cursor `json:"cursor,omitempty" cbor:"1,keyasint,omitempty"`
	Filter Filter `json:"filter" cbor:"2,keyasint"`
	// Limit bounds the events of the page; 0 means no bound.
	Limit int `json:"limit,omitempty" cbor:"3,keyasint,omitempty"`
	// OwnOnly leaves the copies of other VMs' events out.
	OwnOnly bool `json:"ownOnly,omitempty" cbor:"4,keyasint,omitempty"`
}

// Span is a run of sequence numbers of one VM without a gap that was searched.
type Span struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	From        uint64 `json:"from" cbor:"3,keyasint"`
	To          uint64 `json:"to" cbor:"4,keyasint"`
	// FromAt is the stamp of the event From.
	FromAt Timestamp `json:"fromAt" cbor:"5,keyasint"`
}

// Page is one VM's answer: the events that match and the spans that were
// searched, from which gaps are found although the filter leaves events out.
type Page struct {
	Source string  `json:"source" cbor:"1,keyasint"`
	Events []Event `json:"events" cbor:"2,keyasint"`
	Spans  []Span  `json:"spans" cbor:"3,keyasint"`
	// Cursor is where the next request continues.
	Cursor Cursor `json:"cursor" cbor:"4,keyasint"`
	// More says that the limit cut the page.
	More bool `json:"more,omitempty" cbor:"5,keyasint,omitempty"`
	// Cut names the VMs of which events remain for the next request.
	Cut []string `json:"cut,omitempty" cbor:"6,keyasint,omitempty"`
}

// Since returns the events after the request's cursor.
func (b *Buffer) Since(req SinceRequest) Page {
	b.mu.Lock()
	defer b.mu.Unlock()
	page := Page{Source: b.opts.VM, Cursor: req.Cursor.clone()}
	rings := b.rings()
	if req.OwnOnly {
		rings = rings[:1]
	}
	for _, r := range rings {
		page.collect(r, req)
	}
	return page
}

// HandleSince is the handler of MethodSince; its pages have at most MaxPage
// events. The type matches peer.HandlerFunc.
func (b *Buffer) HandleSince(_ context.Context, decode func(any) error) (any, error) {
	var req SinceRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	if req.Limit <= 0 || req.Limit > MaxPage {
		req.Limit = MaxPage
	}
	return b.Since(req), nil
}

// collect searches one ring until the page is full.
func (p *Page) collect(r *ring, req SinceRequest) {
	if r.len() == 0 {
		return
	}
	vm := r.at(0).VM
	for i := r.after(req.Cursor[vm]); i < r.len(); i++ {
		e := r.at(i)
		if req.Filter.Match(e) {
			if req.Limit > 0 && len(p.Events) >= req.Limit {
				p.More, p.Cut = true, append(p.Cut, vm)
				return
			}
			p.Events = append(p.Events, e)
		}
		p.cover(e)
		p.Cursor[vm] = Position{e.Incarnation, e.Seq}
	}
}

// cover extends the last span by e or begins a new one.
func (p *Page) cover(e Event) {
	if n := len(p.Spans); n > 0 {
		if s := &p.Spans[n-1]; s.VM == e.VM && s.Incarnation == e.Incarnation && s.To+1 == e.Seq {
			s.To = e.Seq
			return
		}
	}
	p.Spans = append(p.Spans, Span{VM: e.VM, Incarnation: e.Incarnation, From: e.Seq, To: e.Seq, FromAt: e.At})
}

// PageOf returns a page of events that were kept elsewhere, for example in a
// file; the events of each VM must be in order of sequence and unfiltered.
func PageOf(source string, events []Event) Page {
	p := Page{Source: source, Cursor: Cursor{}}
	for _, e := range events {
		p.Events = append(p.Events, e)
		p.cover(e)
		p.Cursor.advance(e.VM, Position{e.Incarnation, e.Seq})
	}
	return p
}
