package timeline

import (
	"cmp"
	"slices"
)

// Gap is a run of events of one VM that no buffer holds any more.
type Gap struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	From        uint64 `json:"from"`
	To          uint64 `json:"to"`
	// Before is the stamp of the first known event after the gap.
	Before Timestamp `json:"before"`
}

// Merged is the time line of several VMs.
type Merged struct {
	Events []Event `json:"events"`
	Gaps   []Gap   `json:"gaps,omitempty"`
	// Cursor is where the next request continues.
	Cursor Cursor `json:"-"`
	// More says that a page was cut by its limit.
	More bool `json:"more,omitempty"`
}

type eventID struct {
	vm          string
	incarnation int64
	seq         uint64
}

// Merge puts the pages of several VMs in order, drops duplicates and shows
// missing sequence numbers as gaps. Events from the beginning of a VM's
// incarnation that nobody holds are a gap too, unless f.Since excludes them.
func Merge(f Filter, pages ...Page) Merged {
	return MergeAfter(nil, f, pages...)
}

// MergeAfter is Merge for pages that were requested with the cursor `after`:
// what lies before the cursor is not missing.
func MergeAfter(after Cursor, f Filter, pages ...Page) Merged {
	ends := cutEnds(pages)
	out := Merged{Cursor: after.clone()}
	seen := map[eventID]bool{}
	var spans []Span
	for _, page := range pages {
		out.More = out.More || page.More
		for _, e := range page.Events {
			id := eventID{e.VM, e.Incarnation, e.Seq}
			if !seen[id] && within(ends, e.VM, Position{e.Incarnation, e.Seq}) {
				seen[id] = true
				out.Events = append(out.Events, e)
			}
		}
		for _, s := range page.Spans {
			if s, ok := clip(ends, s); ok {
				spans = append(spans, s)
				out.Cursor.advance(s.VM, Position{s.Incarnation, s.To})
			}
		}
	}
	slices.SortFunc(out.Events, compareEvents)
	out.Gaps = gaps(after, f, spans)
	return out
}

// cutEnds returns, for each VM whose events a limit cut, where the page ends.
// Copies that reach further are left for the next page, because the events
// between are not missing but not yet asked for. A VM's own page decides over
// copies of its events.
func cutEnds(pages []Page) map[string]Position {
	ends, answered := map[string]Position{}, map[string]bool{}
	for _, p := range pages {
		answered[p.Source] = true
	}
	for _, p := range pages {
		for _, vm := range p.Cut {
			end, known := ends[vm]
			if p.Source == vm || (!answered[vm] && (!known || p.Cursor[vm].before(end))) {
				ends[vm] = p.Cursor[vm]
			}
		}
	}
	return ends
}

func within(ends map[string]Position, vm string, at Position) bool {
	end, cut := ends[vm]
	return !cut || !end.before(at)
}

func clip(ends map[string]Position, s Span) (Span, bool) {
	end, cut := ends[s.VM]
	if !cut {
		return s, true
	}
	if end.before(Position{s.Incarnation, s.From}) {
		return s, false
	}
	if s.Incarnation == end.Incarnation && s.To > end.Seq {
		s.To = end.Seq
	}
	return s, true
}

// compareEvents orders by stamp; events of one VM keep their own order even if
// its stamps were wrong, because Clock never goes back.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.At.Wall, b.At.Wall),
		cmp.Compare(a.At.Logical, b.At.Logical),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// gaps finds the sequence numbers that no span covers, per VM and incarnation.
func gaps(after Cursor, f Filter, spans []Span) []Gap {
	slices.SortFunc(spans, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.From, b.From))
	})
	var out []Gap
	vm, incarnation, next := "", int64(0), uint64(1)
	for i, s := range spans {
		if i == 0 || s.VM != vm || s.Incarnation != incarnation {
			vm, incarnation, next = s.VM, s.Incarnation, firstWanted(after, f, s)
		}
		if s.From > next {
			out = append(out, Gap{VM: vm, Incarnation: incarnation, From: next, To: s.From - 1, Before: s.FromAt})
		}
		next = max(next, s.To+1)
	}
	return out
}

// firstWanted returns the first sequence number that the request asked for.
func firstWanted(after Cursor, f Filter, first Span) uint64 {
	if p, ok := after[first.VM]; ok && p.Incarnation == first.Incarnation {
		return p.Seq + 1
	}
	if !f.Since.IsZero() && first.FromAt.Wall <= f.Since.UnixNano() {
		return first.From
	}
	return 1
}
