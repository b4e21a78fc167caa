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

// sweepLoop looks after jobs that no event moves on: due retries, offers lost
// with a domain's owner, passed deadlines, expired results.
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
	if now.Sub(p.loadAt) > loadInterval {
		clear(p.load)
		p.loadAt = now
	}
	for _, j := range p.active {
		p.sweepJob(j, now, summaries)
	}
	p.dropExpired(now)
}

func (p *Partition) sweepJob(j *job, now time.Time, summaries map[string]sched.Summary) {
	if j.terminal() {
		p.writeEnd(j) // it is active only because its end is not durable yet
		return
	}
	if !j.isAccepted() {
		return
	}
	p.forgetLostOffer(j)
	switch {
	case j.cancelRequested && j.offeredEpoch != 0:
		p.withdraw(j, "cancelled")
	case p.expired(j, now):
		p.expire(j)
	case p.shouldReroute(j, now, summaries):
		p.withdraw(j, "another failure domain has free or guaranteed capacity")
	case j.offeredEpoch == 0 && !j.offering && !now.Before(j.notBefore) && p.retryAllowed(j):
		p.goRun(func() { p.offer(j) })
	}
}

// forgetLostOffer offers the attempt again when the domain has a new owner.
func (p *Partition) forgetLostOffer(j *job) {
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
	return !d.IsZero() && now.After(d) && j.status.State == api.StateQueued && j.claim == nil && !j.unsure
}

func (p *Partition) expire(j *job) {
	if j.offeredEpoch != 0 || j.offering {
		p.withdraw(j, "deadline passed")
		return
	}
	p.endWithoutRun(j, api.StateExpired, errkind.New(errkind.DeadlinePassed, "the deadline passed before the job could be placed"))
}

// shouldReroute reports whether a queued job should try another domain.
func (p *Partition) shouldReroute(j *job, now time.Time, summaries map[string]sched.Summary) bool {
	if j.status.State != api.StateQueued || j.claim != nil || j.offeredEpoch == 0 || now.Sub(j.offeredAt) < rerouteAfter {
		return false
	}
	spec := j.status.Spec
	guaranteed := holdsGuarantee(summaries[j.status.FailureDomain], spec)
	for name, s := range summaries {
		if name == j.status.FailureDomain || !fitsEquipment(s, spec) || j.refusedBy[name] != nil {
			continue
		}
		// The domain of the guarantee had no owner when the job was placed; only
		// there can the workspace take its cells back from borrowers.
		if !guaranteed && holdsGuarantee(s, spec) {
			return true
		}
		free, queued := s.FreeSlots, 0
		if spec.Accelerators > 0 {
			free = freeAt(s.Free, spec.Adjacency)
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

// holdsGuarantee reports whether the workspace has guaranteed cells for the job
// in the domain, free or borrowed.
func holdsGuarantee(s sched.Summary, spec api.JobSpec) bool {
	return spec.Accelerators > 0 && s.IdleGuaranteed[spec.Workspace] >= spec.Accelerators
}

// withdraw takes the attempt back from its domain. A queued attempt is then
// reported as not run, a running one as stopped.
func (p *Partition) withdraw(j *job, reason string) {
	if j.withdrawing || j.offering {
		return
	}
	j.withdrawing = true
	id, attempt, name := j.status.ID, j.status.Attempt, j.status.FailureDomain
	p.goRun(func() {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		if err := p.opts.Domains.Withdraw(ctx, name, id, attempt, reason); err != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			j.withdrawing = false // the next sweep tries again
		}
	})
}

// Cancel asks for the end of the job. For a durable job the request is
// journaled; during a store outage it is applied at once and journaled later,
// and the status says durable=false until then.
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
	p.event(timeline.CancelledEvent, j, "cancel requested")
	switch {
	case j.offeredEpoch != 0:
		p.withdraw(j, "cancelled")
	case !j.offering && !j.unsure && j.claim == nil && j.isAccepted():
		p.endWithoutRun(j, api.StateCancelled, errkind.New(errkind.Cancelled, "cancelled before it was placed"))
	}
	return true
}

// journalCancel waits a short time for the record and leaves it to the journal then.
func (p *Partition) journalCancel(ctx context.Context, j *job) {
	p.mu.Lock()
	j.status.Durable = false
	p.mu.Unlock()
	written := make(chan struct{})
	p.goRun(func() {
		defer close(written)
		if err := p.append(p.ctx, journal.PriorityJobEnd, record{Type: recordCancelRequested, Job: j.status.ID}); err == nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			j.status.Durable = !j.terminal() || j.endDurable
		}
	})
	select {
	case <-written:
	case <-time.After(endGrace):
	case <-ctx.Done():
	}
}
