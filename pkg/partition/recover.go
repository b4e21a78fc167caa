package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Recovery limits.
const (
	recoverRetry = 200 * time.Millisecond
	// heldTimeout bounds the question to the domains' owners about what the former
	// owner had offered; an unanswered domain is not waited for any longer.
	heldTimeout = time.Second
	// heldGrace bounds how long a job that may run in a domain without an owner
	// waits for the next owner to tell; a takeover takes less than 5 s.
	heldGrace = 10 * time.Second
)

// recover reads the journal and asks the domains what they hold. It returns
// false when the partition was stopped or fenced meanwhile.
func (p *Partition) recover() bool {
	for {
		err := p.readJournal()
		if err == nil {
			break
		}
		if errkind.Is(err, errkind.StaleEpoch) || p.ctx.Err() != nil {
			return false
		}
		p.opts.Log.Info("journal cannot be read; trying again", "partition", p.opts.Partition, "error", err.Error())
		select {
		case <-time.After(recoverRetry):
		case <-p.ctx.Done():
			return false
		}
	}
	p.askDomains()
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
				return errkind.Wrap(err, errkind.Internal, "partition %d", p.opts.Partition)
			}
			p.apply(r)
		}
	}
	p.retainRecovered()
	return nil
}

// askDomains learns which attempts the domains hold for this partition. A
// domain that lost its owner together with the partition is asked again in the
// background; meanwhile the jobs that it may hold are not placed.
func (p *Partition) askDomains() {
	p.markUnsure()
	silent := p.askOnce(p.domainNames())
	if len(silent) == 0 {
		p.advanceUnheld()
		return
	}
	p.opts.Log.V(1).Info("domains did not tell what they hold; asking again", "partition", p.opts.Partition, "failureDomains", silent)
	p.goRun(func() { p.askAgain(silent) })
}

func (p *Partition) askAgain(silent []string) {
	for end := time.Now().Add(heldGrace); len(silent) > 0 && time.Now().Before(end); {
		select {
		case <-time.After(recoverRetry):
		case <-p.ctx.Done():
			return
		}
		silent = p.askOnce(silent)
	}
	if len(silent) > 0 {
		p.opts.Log.Info("domains did not tell what they hold; their jobs are placed anew", "partition", p.opts.Partition, "failureDomains", silent)
	}
	p.advanceUnheld()
}

// askOnce returns the domains that did not answer.
func (p *Partition) askOnce(names []string) []string {
	ctx, cancel := context.WithTimeout(p.ctx, heldTimeout)
	defer cancel()
	answered := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			held, err := p.opts.Domains.KnownAttempts(ctx, name, p.opts.Partition)
			if answered[i] = err == nil; answered[i] {
				p.adopt(name, held)
			}
		})
	}
	wg.Wait()
	var silent []string
	for i, name := range names {
		if !answered[i] {
			silent = append(silent, name)
		}
	}
	return silent
}

// domainNames returns the domains that members report or the platform lists; a
// domain whose owner has been dead for a while is in the list only.
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

// markUnsure marks the jobs of the journal that may be placed somewhere. A
// claimed attempt is resolved by its domain.
func (p *Partition) markUnsure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		j.unsure = !j.terminal() && j.claim == nil
	}
}

// adopt takes over the attempts that a domain holds.
func (p *Partition) adopt(name string, held []domain.KnownAttempt) {
	epoch, _ := p.opts.DomainEpoch(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range held {
		j, ok := p.jobs[h.Offer.Job]
		if !ok {
			j = newJob(h.Offer.Job, h.Offer.Spec, h.Offer.SubmittedAt)
			j.markAccepted(nil)
			p.insert(j)
		}
		if j.terminal() || h.Offer.Attempt < j.status.Attempt {
			continue
		}
		j.unsure = false
		j.status.Attempt = h.Offer.Attempt
		j.status.FailureDomain = name
		j.checkpoint, j.attained, j.preempted = h.Offer.Checkpoint, h.Offer.AttainedService, h.Offer.Preempted
		j.offeredEpoch, j.offeredAt = epoch, time.Now()
		if h.Report.State != "" {
			j.status.State = h.Report.State
			j.status.Allocations = h.Report.Allocations
			j.status.StartedAt = h.Report.StartedAt
		}
	}
}

// advanceUnheld gives a new attempt number to jobs that no domain holds, so that
// an attempt of the former owner that turns up later is told apart.
func (p *Partition) advanceUnheld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.unsure && !j.terminal() {
			j.nextAttempt(time.Time{})
		}
		j.unsure = false
	}
}
