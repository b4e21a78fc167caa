package domain

import (
	"context"
	"strconv"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Backoff delays between retries of a report that was not accepted.
const (
	reportRetryMin = 50 * time.Millisecond
	reportRetryMax = 2 * time.Second
)

func itoa(n int) string { return strconv.Itoa(n) }

// reportState reports the current state of the attempt; the caller holds the lock.
func (d *Domain) reportState(a *attempt) {
	if a.ended {
		return
	}
	a.report = a.newReport(d.opts.Name, d.opts.Epoch)
	d.deliverReport(a)
}

// deliverReport sends the newest report until the partition's owner has accepted it;
// the caller holds the lock.
func (d *Domain) deliverReport(a *attempt) {
	a.reportChanged = true
	if a.reporting || d.fenced || a.orphan && !a.ended {
		return
	}
	a.reporting = true
	d.runAsync(func() { d.deliverLoop(a) })
}

func (d *Domain) deliverLoop(a *attempt) {
	pause := reportRetryMin
	for {
		d.mu.Lock()
		if !a.reportChanged || d.fenced {
			a.reporting = false
			d.mu.Unlock()
			return
		}
		a.reportChanged = false
		r, partition := a.report, a.offer.Partition
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(d.ctx, d.opts.LeaseTTL)
		err := d.opts.Reporter.Report(ctx, partition, r)
		cancel()
		if d.handleReportAnswer(a, r, err) {
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

// handleReportAnswer handles the answer to a report and reports whether the delivery
// loop ends.
func (d *Domain) handleReportAnswer(a *attempt, r Report, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind := errkind.Of(err); {
	case err == nil && r.Outcome != "":
		d.dropAttempt(a)
		return true
	case err == nil:
		return false
	case kind == errkind.NotFound || kind == errkind.Conflict:
		// The partition rejected the attempt, so it ends.
		if a.ended {
			d.dropAttempt(a)
			return true
		}
		a.reporting = false // a new delivery loop sends the outcome
		d.withdraw(a, "the job's partition refused the attempt: "+err.Error())
		return true
	default:
		a.reportChanged = true
		return false
	}
}

// dropAttempt removes an attempt that needs no more reports; the caller holds the lock.
func (d *Domain) dropAttempt(a *attempt) {
	for _, c := range a.copies {
		d.dropCopy(c)
	}
	if d.attempts[a.offer.Job] == a {
		delete(d.attempts, a.offer.Job)
		if a.ended {
			d.recentlyEnded.add(a.offer.Job, a.offer.Attempt, time.Now())
		}
	}
	a.reporting = false
}
