package domain

import (
	"context"
	"strconv"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Pauses between deliveries of a report that got no answer.
const (
	reportRetryMin = 50 * time.Millisecond
	reportRetryMax = 2 * time.Second
)

func itoa(n int) string { return strconv.Itoa(n) }

// sendState reports a new state of the attempt; the caller holds the lock.
func (d *Domain) sendState(a *attempt) {
	if a.ended {
		return
	}
	a.report = a.newReport(d.opts.Name, d.opts.Epoch)
	d.deliver(a)
}

// deliver sends the newest report until the partition's owner has taken it; the
// caller holds the lock.
func (d *Domain) deliver(a *attempt) {
	a.dirty = true
	if a.reporting || d.fenced || a.orphan && !a.ended {
		return
	}
	a.reporting = true
	d.goRun(func() { d.deliverLoop(a) })
}

func (d *Domain) deliverLoop(a *attempt) {
	pause := reportRetryMin
	for {
		d.mu.Lock()
		if !a.dirty || d.fenced {
			a.reporting = false
			d.mu.Unlock()
			return
		}
		a.dirty = false
		r, partition := a.report, a.offer.Partition
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, d.opts.LeaseTTL)
		err := d.opts.Reporter.Report(ctx, partition, r)
		cancel()
		if d.delivered(a, r, err) {
			return
		}
		if err == nil {
			continue
		}
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(pause):
			pause = min(pause*2, reportRetryMax)
		}
	}
}

// delivered handles the answer to a report; it returns true when the attempt is
// forgotten and nothing more is to be sent.
func (d *Domain) delivered(a *attempt, r Report, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind := errkind.Of(err); {
	case err == nil && r.Outcome != "":
		d.forget(a)
		return true
	case err == nil:
		return false
	case kind == errkind.NotFound || kind == errkind.Conflict:
		// The partition does not want this attempt: it ends here.
		if a.ended {
			d.forget(a)
			return true
		}
		a.reporting = false // the outcome is delivered by a new loop
		d.withdraw(a, "the job's partition refused the attempt: "+err.Error())
		return true
	default:
		a.dirty = true
		return false
	}
}

// forget drops an attempt whose outcome has been taken; the caller holds the lock.
func (d *Domain) forget(a *attempt) {
	for _, c := range a.copies {
		d.forgetCopy(c)
	}
	if d.attempts[a.offer.Job] == a {
		delete(d.attempts, a.offer.Job)
		if a.ended {
			d.forgotten.add(a.offer.Job, a.offer.Attempt, time.Now())
		}
	}
	a.reporting = false
}
