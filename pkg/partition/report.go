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

// defaultMaxAttempts limits the runs of a repeatable job whose class sets no limit.
const defaultMaxAttempts = 3

// Report processes a domain owner's report of an attempt. Nil means that the domain
// may drop the attempt if it has ended; an error of kind conflict tells the domain
// to stop an attempt that is not the current one.
func (p *Partition) Report(ctx context.Context, r domain.Report) error {
	if err := p.awaitRecovered(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	j, ok := p.jobs[r.Job]
	if !ok {
		p.mu.Unlock()
		return errkind.New(errkind.NotFound, "no job %s", r.Job)
	}
	err := p.applyReport(j, r)
	wait := j.finalStatus != nil && j.durable && !j.endDurable && err == nil
	p.mu.Unlock()
	if err != nil || !wait {
		return err
	}
	return p.awaitEndDurable(ctx, j)
}

// applyReport updates the job from a report. The caller must hold p.mu.
func (p *Partition) applyReport(j *job, r domain.Report) error {
	if j.terminal() {
		if r.Outcome != "" {
			return nil // a repeated or late report of an ended job
		}
		return errkind.New(errkind.Conflict, "job %s has ended", r.Job)
	}
	if err := p.checkDomainEpoch(r.Domain, r.Epoch); err != nil {
		return err
	}
	if j.placementUnknown && r.Attempt >= j.status.Attempt {
		// The domain's new owner reports the attempt before it was queried again.
		j.placementUnknown = false
		j.status.Attempt, j.status.FailureDomain = r.Attempt, r.Domain
		j.offeredEpoch, _ = p.opts.DomainEpoch(r.Domain)
		j.offeredAt = time.Now()
	}
	if r.Attempt != j.status.Attempt || r.Domain != j.status.FailureDomain {
		return p.handleOtherAttempt(j, r)
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
		j.withdrawing = false // a recall came too late
	}
	j.status.Allocations = r.Allocations
	j.status.Reason = r.Reason
	if !r.StartedAt.IsZero() {
		j.status.StartedAt = r.StartedAt
	}
	return nil
}

// checkDomainEpoch returns an error if the failure domain has a newer owner than the
// one with the epoch: the former owner may report tasks as lost that its successor
// still tracks.
func (p *Partition) checkDomainEpoch(name string, epoch int64) error {
	if known, ok := p.opts.DomainEpoch(name); ok && epoch < known {
		return errkind.New(errkind.Conflict, "failure domain %s has an owner with epoch %d, not %d", name, known, epoch)
	}
	return nil
}

// handleOtherAttempt handles a report of an attempt that is not the current one. A
// success ends a repeatable job, any other outcome is ignored, and an attempt that
// has not ended is to be stopped.
func (p *Partition) handleOtherAttempt(j *job, r domain.Report) error {
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
		j.checkpoint, j.attainedService = r.Checkpoint, r.AttainedService
	}
	switch r.Outcome {
	case api.OutcomeSucceeded:
		if p.resultTooLarge(r.Result) {
			r.Reason = fmt.Sprintf("the result has %d bytes, more than %d", len(r.Result), p.opts.MaxResultBytes)
			r.Result = nil
			p.endRun(j, r, api.StateFailed, errkind.TooLarge)
			return
		}
		p.endRun(j, r, api.StateSucceeded, "")
	case api.OutcomeFailed:
		p.handleFailed(j, r)
	case api.OutcomeStopped:
		p.handleStopped(j, r)
	case api.OutcomePreempted:
		p.recordEvent(timeline.Queued, j, "preempted: "+r.Reason)
		j.preempted = true
		j.nextAttempt(time.Time{})
	case api.OutcomeNotRun:
		p.handleNotRun(j, r)
	case api.OutcomeLost:
		p.handleLost(j, r)
	case api.OutcomeRefused:
		p.excludeDomain(j, r.Domain, errkind.New(errkind.Kind(r.ErrorKind), "%s", r.Reason))
	}
}

// resultTooLarge reports whether a result exceeds MaxResultBytes, which keeps a
// job's end within the size limit of a journal entry.
func (p *Partition) resultTooLarge(result []byte) bool {
	return p.opts.MaxResultBytes > 0 && int64(len(result)) > p.opts.MaxResultBytes
}

func (p *Partition) handleFailed(j *job, r domain.Report) {
	if r.ErrorKind == string(errkind.TooLarge) { // another run would give as large a result
		p.endRun(j, r, api.StateFailed, errkind.TooLarge)
		return
	}
	j.failures++
	if p.mayRetry(j, r) {
		p.scheduleRetry(j, r)
		return
	}
	p.endRun(j, r, api.StateFailed, errkind.TaskFailed)
}

func (p *Partition) handleStopped(j *job, r domain.Report) {
	if j.cancelRequested {
		p.endRun(j, r, api.StateCancelled, errkind.Cancelled)
		return
	}
	p.handleLost(j, r)
}

// handleNotRun prepares another attempt, since no task of this one was started.
func (p *Partition) handleNotRun(j *job, r domain.Report) {
	if j.claim != nil && !domain.SameTasks(j.claim.allocations, r.Allocations) {
		// The claim belongs to another domain owner, which may have started the job.
		// Offer the attempt again with its claim, so that the domain resolves it.
		j.offeredEpoch, j.withdrawing = 0, false
		return
	}
	if j.claim != nil {
		rec := record{Type: recordClaimReleased, Job: j.status.ID, Attempt: j.claim.attempt}
		j.claim = nil
		// The next claim is appended after this record, so their order is kept.
		p.runBackground(func() { _ = p.appendRecord(p.ctx, journal.PriorityClaim, rec) })
	}
	if j.cancelRequested {
		p.endWithoutRun(j, api.StateCancelled, errkind.New(errkind.Cancelled, "cancelled before it was started"))
		return
	}
	p.recordEvent(timeline.Queued, j, r.Reason)
	j.nextAttempt(time.Now().Add(offerRetryDelay))
}

// handleLost handles an attempt whose worker was lost. An at-most-once job that may
// have run is never run again; its outcome is reported as unknown.
func (p *Partition) handleLost(j *job, r domain.Report) {
	if j.status.Spec.AtMostOnce && j.claim == nil {
		p.handleNotRun(j, r) // an at-most-once attempt never starts without a claim
		return
	}
	if j.status.Spec.AtMostOnce {
		p.endRun(j, r, api.StateUnknown, errkind.OutcomeUnknown)
		return
	}
	j.failures++
	if p.mayRetry(j, r) {
		p.scheduleRetry(j, r)
		return
	}
	p.endRun(j, r, api.StateFailed, errkind.TaskFailed)
}

// mayRetry applies the attempt limit and then the workspace's retry budget. The
// automation gate is applied later, by retryApproved.
func (p *Partition) mayRetry(j *job, r domain.Report) bool {
	if j.status.Spec.AtMostOnce || j.cancelRequested || j.failures >= p.maxAttempts(j) {
		return false
	}
	// The loss of a worker is not the job's fault, so its retry is not charged to the
	// budget.
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

// scheduleRetry schedules another attempt. During an automation hold the job waits
// and the retry is listed as a proposal; each sweep checks the gate again.
func (p *Partition) scheduleRetry(j *job, r domain.Report) {
	for _, a := range r.Allocations {
		j.avoidWorkers = append(j.avoidWorkers, a.Worker)
	}
	p.recordEvent(timeline.Retried, j, r.Reason)
	j.nextAttempt(time.Now().Add(p.opts.Retries.Backoff(j.failures)))
	j.retryPending = true
}

// retryApproved reports whether the automation gate permits the job's next attempt,
// or none is pending. The caller must hold p.mu.
func (p *Partition) retryApproved(j *job) bool {
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

// Retry permits a held retry that an operator has confirmed.
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

// endRun ends a job whose attempt was started.
func (p *Partition) endRun(j *job, r domain.Report, state api.State, kind errkind.Kind) {
	s := &j.status
	s.State, s.ErrorKind, s.Reason = state, string(kind), r.Reason
	s.Ran = string(errkind.HasRun)
	if state == api.StateUnknown {
		s.Ran = string(errkind.Unknown)
	}
	if p.resultTooLarge(r.Result) {
		r.Result = nil // result of a failed run; the reason describes the failure
	}
	s.Result = json.RawMessage(r.Result)
	if len(r.Allocations) > 0 {
		s.Allocations = r.Allocations
	}
	if !r.StartedAt.IsZero() {
		s.StartedAt = r.StartedAt
	}
	s.EndedAt = time.Now()
	p.endJob(j)
}

// endWithoutRun ends a job whose current attempt was not started.
func (p *Partition) endWithoutRun(j *job, state api.State, cause *errkind.Error) {
	s := &j.status
	s.State, s.ErrorKind, s.Reason = state, string(cause.Kind), cause.Message
	ran := s.Ran == string(errkind.HasRun) || j.failures > 0 || j.attainedService > 0
	s.Ran = string(errkind.NotRun)
	if ran {
		s.Ran = string(errkind.HasRun)
	} else {
		j.retryAfter = cause.RetryAfter
	}
	s.EndedAt = time.Now()
	p.endJob(j)
}

// endJob records the job's end and publishes it, for a durable job once it is
// journaled. The caller must hold p.mu.
func (p *Partition) endJob(j *job) {
	p.opts.Metrics.ended.WithLabelValues(string(j.status.State)).Inc()
	p.recordEvent(timeline.Ended, j, string(j.status.State)+": "+j.status.Reason)
	final := j.status
	if !j.durable {
		j.finalStatus = &final
		j.releaseWaiters()
		p.retain(j)
		return
	}
	final.Durable = true
	j.status.Durable = false
	j.finalStatus = &final
	p.journalEnd(j)
}

// journalEnd journals the job's end in the background. Callers are answered once it
// is durable, or after durableWaitTimeout with durable=false.
func (p *Partition) journalEnd(j *job) {
	if j.endWritePending || p.stopped {
		return
	}
	j.endWritePending = true
	rec := endRecord(j)
	timer := time.AfterFunc(durableWaitTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		j.releaseWaiters()
	})
	p.runBackground(func() {
		err := p.appendRecord(p.ctx, journal.PriorityJobEnd, rec)
		timer.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		j.endWritePending = false
		if err == nil {
			j.endDurable = true
			j.status.Durable = true
			j.releaseWaiters()
			p.retain(j)
		}
	})
}

// awaitEndDurable waits until the job's end is journaled, so that the domain keeps
// the result until then.
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
			return errStaleEpoch()
		}
	}
}
