package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Intervals and time limits of the recovery.
const (
	recoverRetryInterval = 200 * time.Millisecond
	// knownAttemptsTimeout bounds one round of queries to the domain owners for the
	// attempts that they know from the partition's former owner.
	knownAttemptsTimeout = time.Second
	// unresponsiveDomainTimeout bounds how long a job that may run in a domain
	// without an owner waits for the answer of the next owner. A takeover takes less
	// than 5 s.
	unresponsiveDomainTimeout = 10 * time.Second
)

// recover replays the journal and queries the domains for their known attempts. It
// returns false if the partition was stopped or fenced before the journal was read.
func (p *Partition) recover() bool {
	for {
		err := p.readJournal()
		if err == nil {
			break
		}
		if errkind.Is(err, errkind.StaleEpoch) || p.ctx.Err() != nil {
			return false
		}
		p.opts.Log.Info("failed to read the journal; retrying", "partition", p.opts.Partition, "error", err.Error())
		select {
		case <-time.After(recoverRetryInterval):
		case <-p.ctx.Done():
			return false
		}
	}
	p.queryDomains()
	p.mu.Lock()
	n := len(p.jobs)
	p.mu.Unlock()
	close(p.recovered)
	p.opts.Log.Info("partition recovered", "partition", p.opts.Partition, "epoch", p.opts.Epoch, "jobs", n)
	return true
}

func (p *Partition) readJournal() error {
	log, rec, err := p.opts.OpenJournal(p.ctx, p.snapshot)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = log
	for _, part := range [][][]byte{rec.Snapshot, rec.Records} {
		for _, b := range part {
			r, err := decodeRecord(b)
			if err != nil {
				return errkind.Wrap(err, errkind.Internal, "replay the journal of partition %d", p.opts.Partition)
			}
			p.applyRecord(r)
		}
	}
	p.retainRecovered()
	return nil
}

// queryDomains queries the domains for the attempts that they know of this
// partition. A domain that lost its owner together with the partition is queried
// again in the background; until then the jobs that it may hold are not placed.
func (p *Partition) queryDomains() {
	p.markPlacementUnknown()
	unanswered := p.queryDomainsOnce(p.domainNames())
	if len(unanswered) == 0 {
		p.advanceUnplaced()
		return
	}
	p.opts.Log.V(1).Info("failure domains did not report their attempts; querying them again", "partition", p.opts.Partition, "failureDomains", unanswered)
	p.runBackground(func() { p.requeryDomains(unanswered) })
}

func (p *Partition) requeryDomains(unanswered []string) {
	for deadline := time.Now().Add(unresponsiveDomainTimeout); len(unanswered) > 0 && time.Now().Before(deadline); {
		select {
		case <-time.After(recoverRetryInterval):
		case <-p.ctx.Done():
			return
		}
		unanswered = p.queryDomainsOnce(unanswered)
	}
	if len(unanswered) > 0 {
		p.opts.Log.Info("failure domains did not report their attempts; placing their jobs as new attempts", "partition", p.opts.Partition, "failureDomains", unanswered)
	}
	p.advanceUnplaced()
}

// queryDomainsOnce queries the domains for their known attempts, adopts these, and
// returns the domains that did not answer.
func (p *Partition) queryDomainsOnce(names []string) []string {
	ctx, cancel := context.WithTimeout(p.ctx, knownAttemptsTimeout)
	defer cancel()
	answered := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			attempts, err := p.opts.Domains.KnownAttempts(ctx, name, p.opts.Partition)
			if answered[i] = err == nil; answered[i] {
				p.adoptAttempts(name, attempts)
			}
		})
	}
	wg.Wait()
	var unanswered []string
	for i, name := range names {
		if !answered[i] {
			unanswered = append(unanswered, name)
		}
	}
	return unanswered
}

// domainNames returns the domains that VMs report or the platform lists. A domain
// whose owner has been down for a while is only in the platform's list.
func (p *Partition) domainNames() []string {
	var names []string
	if p.opts.DomainNames != nil {
		names = slices.Clone(p.opts.DomainNames())
	}
	for _, s := range p.opts.Summaries() {
		if !slices.Contains(names, s.Domain) {
			names = append(names, s.Domain)
		}
	}
	return names
}

// markPlacementUnknown marks the jobs of the journal that a domain may hold. A job
// with a claim is not marked: the domain of the claim resolves its attempt.
func (p *Partition) markPlacementUnknown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		j.placementUnknown = !j.terminal() && j.claim == nil
	}
}

// adoptAttempts updates the jobs with the attempts that a domain holds, and creates
// the jobs that are not in the journal.
func (p *Partition) adoptAttempts(name string, attempts []domain.KnownAttempt) {
	epoch, _ := p.opts.DomainEpoch(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range attempts {
		j, ok := p.jobs[h.Offer.Job]
		if !ok {
			j = newJob(h.Offer.Job, h.Offer.Spec, h.Offer.SubmittedAt)
			j.markAccepted(nil)
			p.insert(j)
		}
		if j.terminal() || h.Offer.Attempt < j.status.Attempt {
			continue
		}
		j.placementUnknown = false
		j.status.Attempt = h.Offer.Attempt
		j.status.FailureDomain = name
		j.checkpoint, j.attainedService, j.preempted = h.Offer.Checkpoint, h.Offer.AttainedService, h.Offer.Preempted
		j.offeredEpoch, j.offeredAt = epoch, time.Now()
		if h.Report.State != "" {
			j.status.State = h.Report.State
			j.status.Allocations = h.Report.Allocations
			j.status.StartedAt = h.Report.StartedAt
		}
	}
}

// advanceUnplaced gives a new attempt number to the jobs that no domain holds, so
// that a later report of the former owner's attempt is distinguishable.
func (p *Partition) advanceUnplaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.placementUnknown && !j.terminal() {
			j.nextAttempt(time.Time{})
		}
		j.placementUnknown = false
	}
}
