package sched

import (
	"math/bits"
	"time"
)

// Short jobs of a guarantee's owner start and end within seconds. If their capacity
// were lent in every gap, each arrival would need a preemption. A cell part
// therefore withholds as many slots and accelerators as the owner's short jobs used
// at the same time in the current or the previous window.

// shortUseWindow is the length of a window. It has to be longer than the gaps between
// short jobs during a peak; 30 s left cells idle for longer than the saved
// preemptions justified.
const shortUseWindow = 10 * time.Second

// usage counts the slots and accelerators in use by short jobs.
type usage struct{ slots, accelerators int }

func (u usage) max(o usage) usage {
	return usage{max(u.slots, o.slots), max(u.accelerators, o.accelerators)}
}

// recentUse is the recent usage of a cell part by its owner's short jobs.
type recentUse struct {
	now, peak, last usage // current, peak of the current window, peak of the previous one
	tracked         bool
}

// withheld returns the number of free slots of the part that are not lent now.
func (p *cellPart) withheld() int { return max(0, p.use.peak.max(p.use.last).slots-p.use.now.slots) }

// withheldMask returns the free accelerators of the part that are not lent now.
func (p *cellPart) withheldMask() (mask uint64) {
	n := p.use.peak.max(p.use.last).accelerators - p.use.now.accelerators
	for m := p.mask & p.worker.free; n > 0 && m != 0; n-- {
		mask |= m & -m
		m &= m - 1
	}
	return mask
}

// useWindow is the current window of a cell part.
type useWindow struct {
	part *cellPart
	end  time.Time
}

func (d *Domain) recordShortStart(now time.Time, p *cellPart, mask uint64) {
	p.use.add(1, mask)
	p.use.peak = p.use.peak.max(p.use.now)
	if !p.use.tracked {
		p.use.tracked = true
		d.useWindows = append(d.useWindows, useWindow{p, now.Add(shortUseWindow)})
	}
}

func (w *recentUse) add(sign int, mask uint64) {
	w.now.slots += sign
	w.now.accelerators += sign * bits.OnesCount64(mask)
}

// rotateUseWindows closes the windows that have ended and opens the next one for parts
// that short jobs used.
func (d *Domain) rotateUseWindows(now time.Time) {
	for len(d.useWindows) > 0 && !now.Before(d.useWindows[0].end) {
		p := d.useWindows[0].part
		d.useWindows = d.useWindows[1:]
		p.use.last, p.use.peak = p.use.peak, p.use.now
		if p.use.tracked = p.use.last.slots > 0; p.use.tracked {
			d.useWindows = append(d.useWindows, useWindow{p, now.Add(shortUseWindow)})
		}
		if len(p.cell.parts) > 0 {
			d.refreshIndexes(p.worker)
			d.capacityFreed = true
		}
	}
	if len(d.useWindows) > 0 && d.queued > 0 {
		d.requestDecide(d.useWindows[0].end)
	}
}
