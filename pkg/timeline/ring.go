package timeline

// ring keeps the newest events of one VM, in order of their positions. It
// grows on demand up to its limit.
type ring struct {
	events []Event
	start  int
	limit  int
}

func newRing(limit int) *ring { return &ring{limit: limit} }

func (r *ring) push(e Event) {
	if len(r.events) < r.limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.start] = e
	r.start = (r.start + 1) % r.limit
}

func (r *ring) len() int { return len(r.events) }

func (r *ring) at(i int) Event { return r.events[(r.start+i)%len(r.events)] }

// after returns the index of the first event after p.
func (r *ring) after(p Position) int {
	lo, hi := 0, r.len()
	for lo < hi {
		mid := (lo + hi) / 2
		e := r.at(mid)
		if p.before(Position{e.Incarnation, e.Seq}) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}
