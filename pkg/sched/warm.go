package sched

import (
	"math/bits"
	"time"
)

// Short work of a guarantee's owner comes and goes within seconds. Lending its
// slot out in every gap would need a preemption for each next arrival, so a cell
// keeps as many slots back as its owner's short work used at once in the present
// and the last window.

// warmWindow is the length of a window. It has to outlast the gaps between short
// jobs in a peak; 30 s kept cells idle for longer than it saved preemptions.
const warmWindow = 10 * time.Second

// use counts the slots and accelerators in use by short work.
type use struct{ slots, accelerators int }

func (u use) max(o use) use {
	return use{max(u.slots, o.slots), max(u.accelerators, o.accelerators)}
}

// warmth is the recent use of a cell part by its owner's short work.
type warmth struct {
	now, peak, last use // at present, most in the present window, most in the last
	queued          bool
}

// kept returns the slots of the part that are not lent now.
func (p *part) kept() int { return max(0, p.warm.peak.max(p.warm.last).slots-p.warm.now.slots) }

// keptMask returns the free accelerators of the part that are not lent now.
func (p *part) keptMask() (kept uint64) {
	n := p.warm.peak.max(p.warm.last).accelerators - p.warm.now.accelerators
	for m := p.mask & p.w.free; n > 0 && m != 0; n-- {
		kept |= m & -m
		m &= m - 1
	}
	return kept
}

// warmEntry is a part whose window ends at until.
type warmEntry struct {
	p     *part
	until time.Time
}

func (d *Domain) warmStart(now time.Time, p *part, mask uint64) {
	p.warm.add(1, mask)
	p.warm.peak = p.warm.peak.max(p.warm.now)
	if !p.warm.queued {
		p.warm.queued = true
		d.warmQueue = append(d.warmQueue, warmEntry{p, now.Add(warmWindow)})
	}
}

func (w *warmth) add(sign int, mask uint64) {
	w.now.slots += sign
	w.now.accelerators += sign * bits.OnesCount64(mask)
}

// cool ends the windows that are over.
func (d *Domain) cool(now time.Time) {
	for len(d.warmQueue) > 0 && !now.Before(d.warmQueue[0].until) {
		p := d.warmQueue[0].p
		d.warmQueue = d.warmQueue[1:]
		p.warm.last, p.warm.peak = p.warm.peak, p.warm.now
		if p.warm.queued = p.warm.last.slots > 0; p.warm.queued {
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
