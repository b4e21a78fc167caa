package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// offerRetryDelay is the delay before the next offer after an unanswered offer, an
// attempt that was not run, or a lookup that found no failure domain.
const offerRetryDelay = 100 * time.Millisecond

// offer offers the job's current attempt to a failure domain, if an offer is due.
func (p *Partition) offer(j *job) {
	o, name, ok := p.prepareOffer(j)
	if !ok {
		return
	}
	epoch, _ := p.opts.DomainEpoch(name)
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	err := p.opts.Domains.Offer(ctx, name, o)
	p.mu.Lock()
	defer p.mu.Unlock()
	j.offering = false
	if j.terminal() || j.status.Attempt != o.Attempt {
		return
	}
	if err == nil {
		j.unansweredSince, j.unresponsiveDomain = time.Time{}, ""
		j.offeredEpoch, j.offeredAt = epoch, time.Now()
		return
	}
	p.handleOfferError(j, name, errkind.As(err))
}

// prepareOffer chooses the domain and marks the offer as in progress. It returns
// false if no offer is due.
func (p *Partition) prepareOffer(j *job) (domain.Offer, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || j.terminal() || j.offering || j.offeredEpoch != 0 || j.placementUnknown || !j.isAccepted() || time.Now().Before(j.notBefore) {
		return domain.Offer{}, "", false
	}
	if j.cancelRequested && j.claim == nil {
		p.endWithoutRun(j, api.StateCancelled, errkind.New(errkind.Cancelled, "cancelled before it was placed"))
		return domain.Offer{}, "", false
	}
	if !p.assignDomain(j) {
		return domain.Offer{}, "", false
	}
	j.offering = true
	o := domain.Offer{
		Job: j.status.ID, Attempt: j.status.Attempt, Spec: j.status.Spec,
		SubmittedAt: j.status.SubmittedAt, Partition: p.opts.Partition, PartitionEpoch: p.opts.Epoch,
		Checkpoint: j.checkpoint, AttainedService: j.attainedService, AvoidWorkers: j.avoidWorkers, Preempted: j.preempted,
	}
	if j.claim != nil {
		o.ClaimedAllocations, o.ClaimedAt = j.claim.allocations, j.claim.claimedAt
	}
	return o, j.status.FailureDomain, true
}

// assignDomain sets the job's failure domain if it has none, and reports whether
// it has one. A claimed attempt stays in the domain of its claim.
func (p *Partition) assignDomain(j *job) bool {
	if j.claim != nil {
		j.status.FailureDomain = j.claim.domain
		j.status.Attempt = j.claim.attempt
		return true
	}
	if j.status.FailureDomain != "" {
		return true
	}
	name, impossible := p.chooseDomain(j)
	if impossible != nil {
		p.endWithoutRun(j, api.StateRefused, impossible)
		return false
	}
	if name == "" {
		j.status.Reason = "no failure domain can be reached"
		j.notBefore = time.Now().Add(offerRetryDelay)
		return false
	}
	j.status.FailureDomain = name
	p.recentOffers[name]++
	return true
}

// handleOfferError handles a failed offer by the kind of its error. The caller
// must hold p.mu.
func (p *Partition) handleOfferError(j *job, name string, err *errkind.Error) {
	switch err.Kind {
	case errkind.Impossible:
		p.excludeDomain(j, name, err)
	case errkind.Overloaded, errkind.QuotaExceeded:
		p.deferOrRefuse(j, name, err)
	default:
		p.handleUnansweredOffer(j, name, time.Now())
	}
}

// handleUnansweredOffer handles a domain owner that is being replaced or is
// unreachable. The owner may have accepted the offer, so the same attempt is
// offered to the same domain again. After rerouteDelay the job is offered to
// another domain, because a failed owner gets no successor during a store outage.
// The new attempt number distinguishes this run from one of the former attempt.
func (p *Partition) handleUnansweredOffer(j *job, name string, now time.Time) {
	j.notBefore = now.Add(offerRetryDelay)
	if j.unansweredSince.IsZero() {
		j.unansweredSince = now
	}
	if j.claim != nil || now.Sub(j.unansweredSince) < rerouteDelay {
		return
	}
	for _, s := range candidateDomains(p.opts.Summaries(), j) {
		if s.Domain != name {
			p.recordEvent(timeline.Queued, j, "the owner of failure domain "+name+" does not answer")
			j.unresponsiveDomain = name
			j.nextAttempt(now)
			return
		}
	}
}

// excludeDomain marks the domain as unable to run the job and prepares an attempt
// in another one.
func (p *Partition) excludeDomain(j *job, name string, err *errkind.Error) {
	if j.refusedBy == nil {
		j.refusedBy = map[string]*errkind.Error{}
	}
	j.refusedBy[name] = err
	j.nextAttempt(time.Time{})
}

// deferOrRefuse refuses a job that is not durable, so that the caller can submit
// it again, and schedules a later attempt of a durable job.
func (p *Partition) deferOrRefuse(j *job, name string, err *errkind.Error) {
	if !j.durable {
		p.endWithoutRun(j, api.StateRefused, err)
		return
	}
	wait := max(err.RetryAfter, time.Second)
	j.status.Reason = err.Message
	p.recordEvent(timeline.Queued, j, "failure domain "+name+" refused for now: "+err.Message)
	j.nextAttempt(time.Now().Add(wait))
}

// Claim journals the allocations of an at-most-once attempt. The attempt may be
// started only if Claim returns nil. A claim of another attempt or domain, or of a
// cancelled job, is refused.
func (p *Partition) Claim(ctx context.Context, c domain.Claim) error {
	err := p.journalClaim(ctx, c)
	p.opts.Metrics.claims.WithLabelValues(resultLabel(err)).Inc()
	return err
}

func (p *Partition) journalClaim(ctx context.Context, c domain.Claim) error {
	if err := p.awaitRecovered(ctx); err != nil {
		return err
	}
	j, at, err := p.prepareClaim(c)
	if err != nil {
		return err
	}
	// The record may still be written after ctx has ended. The claim then stays
	// unresolved until the domain reports that the attempt did not run.
	if err := p.appendRecord(ctx, priorityClaim, record{
		Type: recordClaimed, Job: c.Job, Attempt: c.Attempt, Domain: c.Domain, Allocations: c.Allocations, ClaimedAt: at,
	}); err != nil {
		return err
	}
	return p.confirmClaim(j, c.Attempt)
}

func (p *Partition) prepareClaim(c domain.Claim) (*job, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[c.Job]
	switch {
	case !ok:
		return nil, time.Time{}, errkind.New(errkind.NotFound, "no job %s", c.Job)
	case j.terminal() || j.cancelRequested:
		return nil, time.Time{}, errkind.New(errkind.Conflict, "job %s has ended or is cancelled", c.Job)
	case p.checkDomainEpoch(c.Domain, c.Epoch) != nil:
		return nil, time.Time{}, p.checkDomainEpoch(c.Domain, c.Epoch)
	case j.status.Attempt != c.Attempt || j.status.FailureDomain != c.Domain:
		return nil, time.Time{}, errkind.New(errkind.Conflict, "job %s is at attempt %d in %s", c.Job, j.status.Attempt, j.status.FailureDomain)
	case j.claim != nil:
		return nil, time.Time{}, errkind.New(errkind.Conflict, "job %s already has a claim for attempt %d", c.Job, j.claim.attempt)
	}
	at := time.Now()
	j.claim = &claim{attempt: c.Attempt, domain: c.Domain, allocations: c.Allocations, claimedAt: at}
	return j, at, nil
}

// confirmClaim records a journaled claim in the time line. It returns an error if the job was
// cancelled, ended or moved to another attempt while the claim was being journaled.
func (p *Partition) confirmClaim(j *job, attempt int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordEvent(timeline.Claimed, j, "")
	if j.cancelRequested || j.terminal() || j.status.Attempt != attempt {
		return errkind.New(errkind.Conflict, "job %s was cancelled", j.status.ID)
	}
	return nil
}
