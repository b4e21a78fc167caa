package partition

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/journal"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Submit accepts the job of req, or returns the job that an earlier request
// with the same ID or idempotency key created. A durable job is journaled
// before Submit returns. If ctx ends before that, the error kind is timeout and the
// job may still be accepted.
func (p *Partition) Submit(ctx context.Context, req SubmitRequest) (api.JobStatus, error) {
	if err := p.awaitRecovered(ctx); err != nil {
		return api.JobStatus{}, err
	}
	j, created, err := p.findOrCreate(req)
	if err != nil {
		return api.JobStatus{}, err
	}
	if created {
		p.opts.Retries.RecordAccepted(req.Spec.Workspace, time.Now())
		p.accept(j)
	}
	if err := p.awaitAccepted(ctx, j); err != nil {
		return api.JobStatus{}, err
	}
	return p.statusOf(j), nil
}

func (p *Partition) findOrCreate(req SubmitRequest) (*job, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, false, errStaleEpoch()
	}
	if j := p.findExisting(req); j != nil {
		if j.specHash != "" && req.SpecHash != "" && j.specHash != req.SpecHash {
			return nil, false, errkind.New(errkind.Conflict, "the Idempotency-Key was used for a different request, job %s", j.status.ID)
		}
		return j, false, nil
	}
	durable := req.Durable || req.Spec.AtMostOnce
	if durable && !p.opts.StoreReachable() {
		return nil, false, errkind.New(errkind.StoreUnavailable, "the job cannot be kept durably now").WithRetryAfter(2 * time.Second)
	}
	j := newJob(req.ID, req.Spec, time.Now())
	j.idempotencyKey, j.specHash, j.durable = req.IdempotencyKey, req.SpecHash, durable
	p.insert(j)
	return j, true, nil
}

func (p *Partition) findExisting(req SubmitRequest) *job {
	if req.IdempotencyKey != "" {
		if id, ok := p.jobIDsByKey[idempotencyIndexKey(req.Spec.Workspace, req.IdempotencyKey)]; ok {
			return p.jobs[id]
		}
	}
	if j, ok := p.jobs[req.ID]; ok && j.status.Spec.Workspace == req.Spec.Workspace {
		return j
	}
	return nil
}

// accept journals a new job if it is durable, and then offers it to a failure domain.
func (p *Partition) accept(j *job) {
	if !j.durable {
		p.mu.Lock()
		j.markAccepted(nil)
		p.recordEvent(timeline.Admitted, j, "")
		p.mu.Unlock()
		p.runBackground(func() { p.offer(j) })
		return
	}
	p.runBackground(func() {
		spec := j.status.Spec
		// The write continues after the caller has gone; only stopping the partition
		// cancels it.
		err := p.appendRecord(p.ctx, journal.PriorityJobAccept, record{
			Type: recordAccepted, Job: j.status.ID, Spec: &spec, IdempotencyKey: j.idempotencyKey,
			SpecHash: j.specHash, SubmittedAt: j.status.SubmittedAt,
		})
		p.mu.Lock()
		j.status.Durable = err == nil
		j.markAccepted(err)
		if err != nil {
			p.remove(j)
		} else {
			p.recordEvent(timeline.Admitted, j, "")
		}
		p.mu.Unlock()
		if err == nil {
			p.offer(j)
		}
	})
}

// awaitAccepted waits until the job is accepted. If the acceptance fails, the error
// kind is timeout, with an unknown outcome, because the record may have reached the
// store. A record that is too large is the exception.
func (p *Partition) awaitAccepted(ctx context.Context, j *job) error {
	select {
	case <-j.accepted:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "the job's acceptance is not confirmed; repeat with the same Idempotency-Key")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.acceptErr == nil {
		return nil
	}
	if errkind.Is(j.acceptErr, errkind.TooLarge) {
		return j.acceptErr
	}
	return errkind.Wrap(j.acceptErr, errkind.Timeout, "the job's acceptance is not confirmed; repeat with the same Idempotency-Key")
}

func (p *Partition) statusOf(j *job) api.JobStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return j.status
}

// Get returns the job's status.
func (p *Partition) Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	j, err := p.lookup(ctx, workspace, id)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.statusOf(j), nil
}

func (p *Partition) lookup(ctx context.Context, workspace string, id api.JobID) (*job, error) {
	if err := p.awaitRecovered(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok || (workspace != "" && j.status.Spec.Workspace != workspace) {
		return nil, errkind.New(errkind.NotFound, "no job %s in this workspace", id)
	}
	return j, nil
}

// Wait returns the job's status once the job has ended or wait has elapsed. For a
// job that ended without a run it also returns the reason as an error.
func (p *Partition) Wait(ctx context.Context, workspace string, id api.JobID, wait time.Duration) (api.JobStatus, error) {
	j, err := p.lookup(ctx, workspace, id)
	if err != nil {
		return api.JobStatus{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-p.ctx.Done():
		return api.JobStatus{}, errStaleEpoch()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return j.status, j.refusal()
}

// List returns the partition's jobs that match req, without results.
func (p *Partition) List(ctx context.Context, req ListRequest) ([]api.JobStatus, error) {
	if err := p.awaitRecovered(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []api.JobStatus
	for _, j := range p.jobs {
		if req.matches(j.status) {
			s := j.status
			s.Result = nil
			out = append(out, s)
		}
	}
	return out, nil
}

func (r ListRequest) matches(s api.JobStatus) bool {
	return (r.Workspace == "" || r.Workspace == s.Spec.Workspace) &&
		(r.Class == "" || r.Class == s.Spec.Class) &&
		(r.State == "" || r.State == s.State) &&
		s.ID > r.After
}
