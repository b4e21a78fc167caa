package partition

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

const priorityClaim = journal.PriorityClaim

// defaultMaxAttempts bounds the runs of a repeatable job whose class says nothing.
const defaultMaxAttempts = 3

// Report takes what a domain's owner says of an attempt. Nil means that the
// domain may forget the attempt if it has ended; conflict tells the domain to
// stop an attempt that is not the present one.
func (p *Partition) Report(ctx context.Context, r domain.Report) error {
	if err := p.ready(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	j, ok := p.jobs[r.Job]
	if !ok {
		p.mu.Unlock()
		return errkind.New(errkind.NotFound, "no job %s", r.Job)
	}
	err := p.applyReport(j, r)
	wait := j.end != nil && j.durable && !j.endDurable && err == nil
	p.mu.Unlock()
	if err != nil || !wait {
		return err
	}
	return p.awaitEndDurable(ctx, j)
}

// applyReport changes the job's state; the caller holds the lock.
func (p *Partition) applyReport(j *job, r domain.Report) error {
	if j.terminal() {
		if r.Outcome != "" {
			return nil // a repeated or late report of an ended job
		}
		return errkind.New(errkind.Conflict, "job %s has ended", r.Job)
	}
	if err := p.superseded(r.Domain, r.Epoch); err != nil {
		return err
	}
	if j.unsure && r.Attempt >= j.status.Attempt {
		// The next owner of the domain reports before it was asked again.
		j.unsure = false
		j.status.Attempt, j.status.FailureDomain = r.Attempt, r.Domain
		j.offeredEpoch, _ = p.opts.DomainEpoch(r.Domain)
		j.offeredAt = time.Now()
	}
	if r.Attempt != j.status.Attempt || r.Domain != j.status.FailureDomain {
		return p.foreignReport(j, r)
	}
	if r.Outcome != "" {
		p.applyOutcome(j, r)
		return nil
	}
	if r.State != "" {
		j.status.State = r.State
	}
	if r.State == api.StateRunning {
		j.status.Ran = string(errkind.HasRun)
	}
	j.status.Allocations = r.Allocations
	j.status.Reason = r.Reason
	if !r.StartedAt.IsZero() {
		j.status.StartedAt = r.StartedAt
	}
	return nil
}

// superseded refuses an owner of a failure domain that has a newer one: it may
// report tasks as lost that its successor follows.
func (p *Partition) superseded(name string, epoch int64) error {
	if known, ok := p.opts.DomainEpoch(name); ok && epoch < known {
		return errkind.New(errkind.Conflict, "failure domain %s has an owner with epoch %d, not %d", name, known, epoch)
	}
	return nil
}

// foreignReport handles an attempt that is not the present one: a success of a
// repeatable job is an answer all the same, anything else is to be stopped.
func (p *Partition) foreignReport(j *job, r domain.Report) error {
	if r.Outcome == api.OutcomeSucceeded && !j.status.Spec.AtMostOnce {
		p.applyOutcome(j, r)
		return nil
	}
	if r.Outcome != "" {
		return nil
	}
	return errkind.New(errkind.Conflict, "job %s is at attempt %d in %s", r.Job, j.status.Attempt, j.status.FailureDomain)
}

// applyOutcome ends the job or prepares its next attempt.
func (p *Partition) applyOutcome(j *job, r domain.Report) {
	p.opts.Metrics.outcomes.WithLabelValues(string(r.Outcome)).Inc()
	if r.Checkpoint != "" {
		j.checkpoint, j.attained = r.Checkpoint, r.AttainedService
	}
	switch r.Outcome {
	case api.OutcomeSucceeded:
		if p.tooLarge(r.Result) {
			r.Reason = fmt.Sprintf("the result has %d bytes, more than %d", len(r.Result), p.opts.MaxResultBytes)
			r.Result = nil
			p.endRun(j, r, api.StateFailed, errkind.TooLarge)
			return
		}
		p.endRun(j, r, api.StateSucceeded, "")
	case api.OutcomeFailed:
		p.failed(j, r)
	case api.OutcomeStopped:
		p.stoppedRun(j, r)
	case api.OutcomePreempted:
		p.event(timeline.Queued, j, "preempted: "+r.Reason)
		j.preempted = true
		j.nextAttempt(time.Time{})
	case api.OutcomeNotRun:
		p.notRun(j, r)
	case api.OutcomeLost:
		p.lost(j, r)
	case api.OutcomeRefused:
		p.excludeDomain(j, r.Domain, errkind.New(errkind.Kind(r.ErrorKind), "%s", r.Reason))
	}
}

// tooLarge reports whether a result would break the journal's entry limit.
func (p *Partition) tooLarge(result []byte) bool {
	return p.opts.MaxResultBytes > 0 && int64(len(result)) > p.opts.MaxResultBytes
}

func (p *Partition) failed(j *job, r domain.Report) {
	if r.ErrorKind == string(errkind.TooLarge) { // another run would give as large a result
		p.endRun(j, r, api.StateFailed, errkind.TooLarge)
		return
	}
	j.failures++
	if p.mayRetry(j, r) {
		p.retry(j, r)
		return
	}
	p.endRun(j, r, api.StateFailed, errkind.TaskFailed)
}

func (p *Partition) stoppedRun(j *job, r domain.Report) {
	if j.cancelRequested {
		p.endRun(j, r, api.StateCancelled, errkind.Cancelled)
		return
	}
	p.lost(j, r)
}

// notRun continues with another attempt: nothing of this one was started.
func (p *Partition) notRun(j *job, r domain.Report) {
	if j.claim != nil && !domain.SameTasks(j.claim.places, r.Allocations) {
		// The claim is another owner's, which may have started the job. The offer is
		// made again with the claim, to be resolved.
		j.offeredEpoch, j.withdrawing = 0, false
		return
	}
	if j.claim != nil {
		rec := record{Type: recordClaimReleased, Job: j.status.ID, Attempt: j.claim.attempt}
		j.claim = nil
		// The next claim is appended behind this record, so its order is kept.
		p.goRun(func() { _ = p.append(p.ctx, journal.PriorityClaim, rec) })
	}
	if j.cancelRequested {
		p.endWithoutRun(j, api.StateCancelled, errkind.New(errkind.Cancelled, "cancelled before it was started"))
		return
	}
	p.event(timeline.Queued, j, r.Reason)
	j.nextAttempt(time.Now().Add(offerRetry))
}

// lost handles an attempt whose worker is gone. An at-most-once job that may
// have run is never run again; its outcome is reported as unknown.
func (p *Partition) lost(j *job, r domain.Report) {
	if j.status.Spec.AtMostOnce && j.claim == nil {
		p.notRun(j, r) // it never starts without a claim
		return
	}
	if j.status.Spec.AtMostOnce {
		p.endRun(j, r, api.StateUnknown, errkind.OutcomeUnknown)
		return
	}
	j.failures++
	if p.mayRetry(j, r) {
		p.retry(j, r)
		return
	}
	p.endRun(j, r, api.StateFailed, errkind.TaskFailed)
}

// mayRetry applies the attempt limit, the workspace's retry budget and the
// automation gate, in this order.
func (p *Partition) mayRetry(j *job, r domain.Report) bool {
	if j.status.Spec.AtMostOnce || j.cancelRequested || j.failures >= p.maxAttempts(j) {
		return false
	}
	// A lost worker is no fault of the job: its retry is not charged.
	if r.Outcome == api.OutcomeFailed && !p.opts.Retries.AllowRetry(j.status.Spec.Workspace, time.Now()) {
		return false
	}
	return true
}

func (p *Partition) maxAttempts(j *job) int {
	if doc := p.opts.Config.Current(); doc != nil {
		if c, ok := doc.Classes[j.status.Spec.Class]; ok && c.MaxAttempts > 0 {
			return c.MaxAttempts
		}
	}
	return defaultMaxAttempts
}

// retry schedules another attempt. While automation is held the job waits and
// the retry is listed as a proposal; the sweep asks the gate again.
func (p *Partition) retry(j *job, r domain.Report) {
	for _, a := range r.Allocations {
		j.avoid = append(j.avoid, a.Worker)
	}
	p.event(timeline.Retried, j, r.Reason)
	j.nextAttempt(time.Now().Add(p.opts.Retries.Backoff(j.failures)))
	j.retryPending = true
}

// retryAllowed asks the gate for a pending retry; the caller holds the lock.
func (p *Partition) retryAllowed(j *job) bool {
	if !j.retryPending {
		return true
	}
	spec := j.status.Spec
	if !p.opts.Gate.Allow(gate.Retry, spec.Workspace, gate.Proposal{
		Kind: gate.Retry, Workspace: spec.Workspace, Job: j.status.ID, Reason: "retry after a failed run",
	}) {
		j.status.Reason = "automation is held; the retry waits for an operator"
		return false
	}
	j.retryPending = false
	return true
}

// Retry carries out a held retry that an operator confirmed.
func (p *Partition) Retry(id api.JobID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok || j.terminal() || !j.retryPending {
		return errkind.New(errkind.Conflict, "job %s has no pending retry", id)
	}
	j.retryPending = false
	return nil
}

// endRun ends a job that was started.
func (p *Partition) endRun(j *job, r domain.Report, state api.State, kind errkind.Kind) {
	s := &j.status
	s.State, s.ErrorKind, s.Reason = state, string(kind), r.Reason
	s.Ran = string(errkind.HasRun)
	if state == api.StateUnknown {
		s.Ran = string(errkind.Unknown)
	}
	if p.tooLarge(r.Result) {
		r.Result = nil // of a failed run; its reason tells
	}
	s.Result = json.RawMessage(r.Result)
	if len(r.Allocations) > 0 {
		s.Allocations = r.Allocations
	}
	if !r.StartedAt.IsZero() {
		s.StartedAt = r.StartedAt
	}
	s.EndedAt = time.Now()
	p.end(j)
}

// endWithoutRun ends a job of which nothing was started.
func (p *Partition) endWithoutRun(j *job, state api.State, why *errkind.Error) {
	s := &j.status
	s.State, s.ErrorKind, s.Reason = state, string(why.Kind), why.Message
	ran := s.Ran == string(errkind.HasRun) || j.failures > 0 || j.attained > 0
	s.Ran = string(errkind.NotRun)
	if ran {
		s.Ran = string(errkind.HasRun)
	} else {
		j.retryAfter = why.RetryAfter
	}
	s.EndedAt = time.Now()
	p.end(j)
}

// end makes the end known, durably for a durable job; the caller holds the lock.
func (p *Partition) end(j *job) {
	p.opts.Metrics.ended.WithLabelValues(string(j.status.State)).Inc()
	p.event(timeline.Ended, j, string(j.status.State)+": "+j.status.Reason)
	final := j.status
	if !j.durable {
		j.end = &final
		j.finish()
		p.retain(j)
		return
	}
	final.Durable = true
	j.status.Durable = false
	j.end = &final
	p.writeEnd(j)
}

// writeEnd journals the end in the background. Callers are answered when it is
// durable, or after endGrace with durable=false.
func (p *Partition) writeEnd(j *job) {
	if j.endPending || p.stopped {
		return
	}
	j.endPending = true
	rec := endRecord(j)
	grace := time.AfterFunc(endGrace, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		j.finish()
	})
	p.goRun(func() {
		err := p.append(p.ctx, journal.PriorityJobEnd, rec)
		grace.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		j.endPending = false
		if err == nil {
			j.endDurable = true
			j.status.Durable = true
			j.finish()
			p.retain(j)
		}
	})
}

// awaitEndDurable waits until the end stands in the journal, so that the domain
// forgets the result only then.
func (p *Partition) awaitEndDurable(ctx context.Context, j *job) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		p.mu.Lock()
		durable := j.endDurable
		p.mu.Unlock()
		if durable {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "the end of job %s is not durable yet", j.status.ID)
		case <-p.ctx.Done():
			return errStale()
		}
	}
}
