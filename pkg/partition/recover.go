package partition

import (
	"context"
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
		p.opts.Log.Info("journal cannot be read; trying again", "partition", p.opts.Number, "error", err.Error())
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
	p.opts.Log.Info("partition recovered", "partition", p.opts.Number, "epoch", p.opts.Epoch, "jobs", n)
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
				return errkind.Wrap(err, errkind.Internal, "partition %d", p.opts.Number)
			}
			p.apply(r)
		}
	}
	for _, j := range p.jobs {
		j.endDurable = j.end != nil
	}
	return nil
}

// askDomains learns which attempts the domains hold for this partition.
func (p *Partition) askDomains() {
	ctx, cancel := context.WithTimeout(p.ctx, heldTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range p.opts.Summaries() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			held, err := p.opts.Domains.Held(ctx, s.Domain, p.opts.Number)
			if err != nil {
				p.opts.Log.Info("domain did not tell what it holds", "partition", p.opts.Number, "failureDomain", s.Domain, "error", err.Error())
				return
			}
			p.adopt(s.Domain, held)
		}()
	}
	wg.Wait()
	p.advanceUnheld()
}

// adopt takes over the attempts that a domain holds.
func (p *Partition) adopt(name string, held []domain.Held) {
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
		j.status.Attempt = h.Offer.Attempt
		j.status.FailureDomain = name
		j.checkpoint, j.attained = h.Offer.Checkpoint, h.Offer.Attained
		j.offeredEpoch, j.offeredAt = epoch, time.Now()
		if h.Report.State != "" {
			j.status.State = h.Report.State
			j.status.Allocations = h.Report.Allocations
			j.status.StartedAt = h.Report.StartedAt
		}
	}
}

// advanceUnheld gives a new attempt number to jobs that no reachable domain
// holds, so that an attempt of the former owner that turns up later is told
// apart. A claimed attempt keeps its number: it must be resolved first.
func (p *Partition) advanceUnheld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.terminal() || j.claim != nil || j.offeredEpoch != 0 {
			continue
		}
		j.nextAttempt(time.Time{})
	}
}
