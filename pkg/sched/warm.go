package sched

import "time"

// Short work of a guarantee's owner comes and goes within seconds. Lending its
// slot out in every gap would need a preemption for each next arrival, so a cell
// keeps as many slots back as its owner's short work used at once in the present
// and the last window.

// warmWindow is the length of a window.
const warmWindow = 30 * time.Second

// warmth is the recent use of a cell part by its owner's short work.
type warmth struct {
	used   int // slots in use by short work
	peak   int // most in the present window
	last   int // most in the last window
	mask   uint64
	queued bool
}

// kept returns the slots of the part that are not lent now.
func (p *part) kept() int { return max(0, max(p.warm.peak, p.warm.last)-p.warm.used) }

// warmEntry is a part whose window ends at until.
type warmEntry struct {
	p     *part
	until time.Time
}

func (d *Domain) warmStart(now time.Time, p *part) {
	p.warm.used++
	p.warm.peak = max(p.warm.peak, p.warm.used)
	if !p.warm.queued {
		p.warm.queued = true
		d.warmQueue = append(d.warmQueue, warmEntry{p, now.Add(warmWindow)})
	}
}

func (p *part) warmEnd(mask uint64) {
	p.warm.used--
	p.warm.mask |= mask
}

// cool ends the windows that are over.
func (d *Domain) cool(now time.Time) {
	for len(d.warmQueue) > 0 && !now.Before(d.warmQueue[0].until) {
		p := d.warmQueue[0].p
		d.warmQueue = d.warmQueue[1:]
		p.warm.last, p.warm.peak, p.warm.mask = p.warm.peak, p.warm.used, 0
		if p.warm.queued = p.warm.last > 0; p.warm.queued {
			d.warmQueue = append(d.warmQueue, warmEntry{p, now.Add(warmWindow)})
		}
		if len(p.cell.parts) > 0 {
			d.refresh(p.w)
			d.freed = true
		}
	}
	if len(d.warmQueue) > 0 && d.queued > 0 {
		d.wakeAt(d.warmQueue[0].until)
	}
}
