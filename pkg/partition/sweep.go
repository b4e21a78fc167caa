package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// sweepLoop periodically processes what no event triggers: due retries, offers lost
// with a domain's owner, missed deadlines and expired results.
func (p *Partition) sweepLoop() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
			p.sweep(time.Now())
		}
	}
}

func (p *Partition) sweep(now time.Time) {
	p.mu.Lock()
	idle := len(p.active) == 0
	if idle {
		p.dropExpired(now)
	}
	p.mu.Unlock()
	if idle {
		return
	}
	summaries := map[string]sched.Summary{}
	for _, s := range p.opts.Summaries() {
		summaries[s.Domain] = s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if now.Sub(p.recentOffersSince) > recentOfferWindow {
		clear(p.recentOffers)
		p.recentOffersSince = now
	}
	for _, j := range p.active {
		p.sweepJob(j, now, summaries)
	}
	p.dropExpired(now)
}

func (p *Partition) sweepJob(j *job, now time.Time, summaries map[string]sched.Summary) {
	if j.terminal() {
		p.journalEnd(j) // still active only because its end is not durable yet
		return
	}
	if !j.isAccepted() {
		return
	}
	p.resetLostOffer(j)
	switch {
	case j.cancelRequested && j.offeredEpoch != 0:
		p.withdraw(j, "cancelled")
	case p.expired(j, now):
		p.expire(j)
	case p.shouldReroute(j, now, summaries):
		p.recall(j, "another failure domain has free or guaranteed capacity")
	case j.offeredEpoch == 0 && !j.offering && !now.Before(j.notBefore) && p.retryApproved(j):
		p.runBackground(func() { p.offer(j) })
	}
}

// resetLostOffer marks the attempt as not offered if the domain has a new owner, so
// that it is offered again.
func (p *Partition) resetLostOffer(j *job) {
	if j.offeredEpoch == 0 {
		return
	}
	if epoch, ok := p.opts.DomainEpoch(j.status.FailureDomain); ok && epoch != j.offeredEpoch {
		j.offeredEpoch = 0
		j.withdrawing = false
	}
}

// expired reports whether a job's deadline passed before it was started.
func (p *Partition) expired(j *job, now time.Time) bool {
	d := j.status.Spec.Deadline
	return !d.IsZero() && now.After(d) && j.status.State == api.StateQueued && j.claim == nil && !j.placementUnknown
}

func (p *Partition) expire(j *job) {
	if j.offeredEpoch != 0 || j.offering {
		p.recall(j, "deadline passed")
		return
	}
	p.endWithoutRun(j, api.StateExpired, errkind.New(errkind.DeadlinePassed, "the deadline passed before the job could be placed"))
}

// shouldReroute reports whether a queued job should be offered to another domain.
func (p *Partition) shouldReroute(j *job, now time.Time, summaries map[string]sched.Summary) bool {
	if j.status.State != api.StateQueued || j.claim != nil || j.offeredEpoch == 0 || now.Sub(j.offeredAt) < rerouteDelay {
		return false
	}
	spec := j.status.Spec
	guaranteed := hasIdleGuarantee(summaries[j.status.FailureDomain], spec)
	for name, s := range summaries {
		if name == j.status.FailureDomain || !fitsInventory(s, spec) || j.refusedBy[name] != nil {
			continue
		}
		// The domain with the guarantee may have had no owner when the job was offered.
		// Only there can the workspace reclaim its cells from borrowers.
		if !guaranteed && hasIdleGuarantee(s, spec) {
			return true
		}
		free, queued := s.FreeSlots, 0
		if spec.Accelerators > 0 {
			free = freeForAdjacency(s.Free, spec.Adjacency)
		}
		for _, n := range s.QueuedByClass {
			queued += n
		}
		if queued == 0 && free >= max(spec.Accelerators, 1) {
			return true
		}
	}
	return false
}

// hasIdleGuarantee reports whether the workspace has enough guaranteed cells for the
// job in the domain that it does not use itself, whether free or borrowed by others.
func hasIdleGuarantee(s sched.Summary, spec api.JobSpec) bool {
	return spec.Accelerators > 0 && s.IdleGuaranteed[spec.Workspace] >= spec.Accelerators
}

// withdraw withdraws the attempt from its domain. The domain then reports a queued
// attempt as not run and a running one as stopped.
func (p *Partition) withdraw(j *job, reason string) { p.takeBack(j, p.opts.Domains.Withdraw, reason) }

// recall takes the attempt back from its domain, unless it has started meanwhile.
func (p *Partition) recall(j *job, reason string) { p.takeBack(j, p.opts.Domains.Recall, reason) }

func (p *Partition) takeBack(j *job, call func(ctx context.Context, domain string, job api.JobID, attempt int, reason string) error, reason string) {
	if j.withdrawing || j.offering {
		return
	}
	j.withdrawing = true
	id, attempt, name := j.status.ID, j.status.Attempt, j.status.FailureDomain
	p.runBackground(func() {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		if err := call(ctx, name, id, attempt, reason); err != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			j.withdrawing = false // the next sweep tries again
		}
	})
}

// Cancel requests the cancellation of the job. For a durable job the request is
// journaled; during a store outage it is applied immediately and journaled later,
// and the status has durable=false until then.
func (p *Partition) Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	j, err := p.lookup(ctx, workspace, id)
	if err != nil {
		return api.JobStatus{}, err
	}
	first := p.requestCancel(j)
	if first && j.durable {
		p.journalCancel(ctx, j)
	}
	return p.statusOf(j), nil
}

func (p *Partition) requestCancel(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.terminal() || j.cancelRequested {
		return false
	}
	j.cancelRequested = true
	p.recordEvent(timeline.CancelledEvent, j, "cancel requested")
	switch {
	case j.offeredEpoch != 0:
		p.withdraw(j, "cancelled")
	case !j.offering && !j.placementUnknown && j.claim == nil && j.isAccepted():
		p.endWithoutRun(j, api.StateCancelled, errkind.New(errkind.Cancelled, "cancelled before it was placed"))
	}
	return true
}

// journalCancel journals the cancellation in the background and waits for it, at
// most durableWaitTimeout.
func (p *Partition) journalCancel(ctx context.Context, j *job) {
	p.mu.Lock()
	j.status.Durable = false
	p.mu.Unlock()
	written := make(chan struct{})
	p.runBackground(func() {
		defer close(written)
		if err := p.appendRecord(p.ctx, journal.PriorityJobEnd, record{Type: recordCancelRequested, Job: j.status.ID}); err == nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			j.status.Durable = !j.terminal() || j.endDurable
		}
	})
	select {
	case <-written:
	case <-time.After(durableWaitTimeout):
	case <-ctx.Done():
	}
}
