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
const shortUseWindow = 10 * time.Second

// use counts the slots and accelerators in use by short work.
type usage struct{ slots, accelerators int }

func (u usage) max(o usage) usage {
	return usage{max(u.slots, o.slots), max(u.accelerators, o.accelerators)}
}

// warmth is the recent use of a cell part by its owner's short work.
type recentUse struct {
	now, peak, last usage // at present, most in the present window, most in the last
	tracked         bool
}

// mask returns the slots of the part that are not lent now.
func (p *cellPart) withheld() int { return max(0, p.use.peak.max(p.use.last).slots-p.use.now.slots) }

// keptMask returns the free accelerators of the part that are not lent now.
func (p *cellPart) withheldMask() (mask uint64) {
	n := p.use.peak.max(p.use.last).accelerators - p.use.now.accelerators
	for m := p.mask & p.worker.free; n > 0 && m != 0; n-- {
		mask |= m & -m
		m &= m - 1
	}
	return mask
}

// warmEntry is a part whose window ends at until.
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

// cool ends the windows that are over.
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
