package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// offerRetry is the pause after an offer that got no answer.
const offerRetry = 100 * time.Millisecond

// offer hands the job's present attempt to a failure domain, if it is due.
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
		j.unanswered, j.shunned = time.Time{}, ""
		j.offeredEpoch, j.offeredAt = epoch, time.Now()
		return
	}
	p.offerFailed(j, name, errkind.As(err))
}

// prepareOffer chooses the domain and marks the offer as in progress.
func (p *Partition) prepareOffer(j *job) (domain.Offer, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || j.terminal() || j.offering || j.offeredEpoch != 0 || j.unsure || !j.isAccepted() || time.Now().Before(j.notBefore) {
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
		Checkpoint: j.checkpoint, AttainedService: j.attained, AvoidWorkers: j.avoid, Preempted: j.preempted,
	}
	if j.claim != nil {
		o.ClaimedAllocations, o.ClaimedAt = j.claim.places, j.claim.at
	}
	return o, j.status.FailureDomain, true
}

// assignDomain sets the job's failure domain if it has none. A claimed attempt
// stays where its places are.
func (p *Partition) assignDomain(j *job) bool {
	if j.claim != nil {
		j.status.FailureDomain = j.claim.domain
		j.status.Attempt = j.claim.attempt
		return true
	}
	if j.status.FailureDomain != "" {
		return true
	}
	name, impossible := p.choose(j)
	if impossible != nil {
		p.endWithoutRun(j, api.StateRefused, impossible)
		return false
	}
	if name == "" {
		j.status.Reason = "no failure domain can be reached"
		j.notBefore = time.Now().Add(offerRetry)
		return false
	}
	j.status.FailureDomain = name
	p.load[name]++
	return true
}

// offerFailed decides what a refused offer means; the caller holds the lock.
func (p *Partition) offerFailed(j *job, name string, err *errkind.Error) {
	switch err.Kind {
	case errkind.Impossible:
		p.excludeDomain(j, name, err)
	case errkind.Overloaded, errkind.QuotaExceeded:
		p.deferOrRefuse(j, name, err)
	default:
		p.offerUnanswered(j, name, time.Now())
	}
}

// offerUnanswered handles an owner that is being replaced or out of reach. The
// offer may have been taken, so the same attempt is offered to the same domain
// again. After a while another domain gets a new attempt, which tells a run of
// the former apart; during a store outage a dead owner has no successor.
func (p *Partition) offerUnanswered(j *job, name string, now time.Time) {
	j.notBefore = now.Add(offerRetry)
	if j.unanswered.IsZero() {
		j.unanswered = now
	}
	if j.claim != nil || now.Sub(j.unanswered) < rerouteAfter {
		return
	}
	for _, s := range candidates(p.opts.Summaries(), j) {
		if s.Domain != name {
			p.event(timeline.Queued, j, "the owner of failure domain "+name+" does not answer")
			j.shunned = name
			j.nextAttempt(now)
			return
		}
	}
}

// excludeDomain marks the domain as unable to run the job and tries another.
func (p *Partition) excludeDomain(j *job, name string, err *errkind.Error) {
	if j.refusedBy == nil {
		j.refusedBy = map[string]*errkind.Error{}
	}
	j.refusedBy[name] = err
	j.nextAttempt(time.Time{})
}

// deferOrRefuse refuses a job that nobody holds durably, so that the caller can
// repeat it, and keeps a durable one for a later attempt.
func (p *Partition) deferOrRefuse(j *job, name string, err *errkind.Error) {
	if !j.durable {
		p.endWithoutRun(j, api.StateRefused, err)
		return
	}
	wait := max(err.RetryAfter, time.Second)
	j.status.Reason = err.Message
	p.event(timeline.Queued, j, "failure domain "+name+" refused for now: "+err.Message)
	j.nextAttempt(time.Now().Add(wait))
}

// Claim journals the places of an at-most-once attempt. Only nil permits the
// start. Claims of another attempt, domain or a cancelled job are refused.
func (p *Partition) Claim(ctx context.Context, c domain.Claim) error {
	err := p.journalClaim(ctx, c)
	p.opts.Metrics.claims.WithLabelValues(resultLabel(err)).Inc()
	return err
}

func (p *Partition) journalClaim(ctx context.Context, c domain.Claim) error {
	if err := p.ready(ctx); err != nil {
		return err
	}
	j, at, err := p.prepareClaim(c)
	if err != nil {
		return err
	}
	// The record may be written after ctx has ended; the claim then stays
	// unresolved until the domain reports that the attempt did not run.
	if err := p.append(ctx, priorityClaim, record{
		Type: recordClaimed, Job: c.Job, Attempt: c.Attempt, Domain: c.Domain, Places: c.Allocations, At: at,
	}); err != nil {
		return err
	}
	p.event(timeline.Claimed, j, "")
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
	case p.superseded(c.Domain, c.Epoch) != nil:
		return nil, time.Time{}, p.superseded(c.Domain, c.Epoch)
	case j.status.Attempt != c.Attempt || j.status.FailureDomain != c.Domain:
		return nil, time.Time{}, errkind.New(errkind.Conflict, "job %s is at attempt %d in %s", c.Job, j.status.Attempt, j.status.FailureDomain)
	case j.claim != nil:
		return nil, time.Time{}, errkind.New(errkind.Conflict, "job %s already has a claim for attempt %d", c.Job, j.claim.attempt)
	}
	at := time.Now()
	j.claim = &claim{attempt: c.Attempt, domain: c.Domain, places: c.Allocations, at: at}
	return j, at, nil
}

// confirmClaim refuses a start that was cancelled while the claim was written.
func (p *Partition) confirmClaim(j *job, attempt int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.cancelRequested || j.terminal() || j.status.Attempt != attempt {
		return errkind.New(errkind.Conflict, "job %s was cancelled", j.status.ID)
	}
	return nil
}
