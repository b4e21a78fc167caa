package router

import (
	"context"
	"errors"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/peer"
)

// Peer methods of partitions.
const (
	methodSubmit   = "partition.submit"
	methodGet      = "partition.get"
	methodWait     = "partition.wait"
	methodCancel   = "partition.cancel"
	methodList     = "partition.list"
	methodReport   = "partition.report"
	methodClaim    = "partition.claim"
	methodRetryJob = "partition.retry"
)

// Time and page limits of calls to partitions.
const (
	// waitMargin extends the deadline of a Wait call so that the remote reply still arrives.
	waitMargin = 2 * time.Second
	// submitTimeout bounds a submission with its retries; an earlier deadline of the caller applies.
	submitTimeout = 20 * time.Second
	// lookupTimeout bounds Get, Cancel and List with the retries while a shard has no owner.
	lookupTimeout = 8 * time.Second
	// defaultListLimit is the page size if the caller sets none.
	defaultListLimit = 100
)

// jobRequest is the request of the get, wait, cancel and retry methods.
type jobRequest struct {
	Workspace string        `cbor:"1,keyasint,omitempty"`
	Job       api.JobID     `cbor:"2,keyasint"`
	Wait      time.Duration `cbor:"3,keyasint,omitempty"`
}

// waitReply carries both the status and the error of a job that ended without a
// run, because a peer call returns either a body or an error.
type waitReply struct {
	Status     api.JobStatus `cbor:"1,keyasint"`
	Kind       errkind.Kind  `cbor:"2,keyasint,omitempty"`
	Message    string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

type listRequest struct {
	Partition int                   `cbor:"1,keyasint"`
	List      partition.ListRequest `cbor:"2,keyasint"`
}

type reportRequest struct {
	Partition int           `cbor:"1,keyasint"`
	Report    domain.Report `cbor:"2,keyasint"`
}

type claimRequest struct {
	Partition int          `cbor:"1,keyasint"`
	Claim     domain.Claim `cbor:"2,keyasint"`
}

// PartitionOf returns the partition number encoded in a job ID.
func (r *Router) PartitionOf(id api.JobID) (int, error) {
	prefix, _, ok := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(strings.TrimPrefix(prefix, "j"))
	if !ok || !strings.HasPrefix(prefix, "j") || err != nil || n < 0 || n >= r.partitions {
		return 0, errkind.New(errkind.NotFound, "no job %s in this workspace", id)
	}
	return n, nil
}

func (r *Router) localPartition(n int) (*partition.Partition, error) {
	p, ok := r.local.Partition(n)
	if !ok {
		return nil, errkind.New(errkind.StaleEpoch, "this VM does not own partition %d", n)
	}
	return p, nil
}

func (r *Router) localPartitionOfJob(id api.JobID) (*partition.Partition, error) {
	n, err := r.PartitionOf(id)
	if err != nil {
		return nil, err
	}
	return r.localPartition(n)
}

// Submit sends the job to the owner of its partition and retries at the next owner
// after an ownership change; the job ID makes that idempotent. If an owner may have
// accepted the job, a retryable error of the class "not run" is replaced by a
// timeout, whose outcome is unknown.
func (r *Router) Submit(ctx context.Context, req partition.SubmitRequest) (api.JobStatus, error) {
	n, err := r.PartitionOf(req.ID)
	if err != nil {
		return api.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	maybeAccepted := false
	status, err := withRetry(ctx, func() (api.JobStatus, error) {
		s, err := call(ctx, r, ownership.PartitionShard(n), methodSubmit, req, r.submitLocal)
		maybeAccepted = maybeAccepted || err != nil && mayHaveAccepted(err)
		return s, err
	})
	// If the new owner rejects the call for overload or ownership, the previous owner
	// may still have accepted the job. A rejection of the request itself applies to
	// both owners.
	if maybeAccepted && errkind.Retryable(err) && errkind.Lookup(errkind.Of(err)).Ran == errkind.NotRun {
		err = errkind.Wrap(err, errkind.Timeout, "the job may have been accepted; query job %s or retry with the same Idempotency-Key", req.ID)
	}
	return status, err
}

// mayHaveAccepted reports whether the owner may have accepted a submission that
// returned err.
func mayHaveAccepted(err error) bool {
	k := errkind.Of(err)
	return errors.Is(err, peer.ErrAnswerLost) || k == errkind.Timeout || k == errkind.Internal || k == errkind.OutcomeUnknown
}

func (r *Router) submitLocal(ctx context.Context, req partition.SubmitRequest) (api.JobStatus, error) {
	p, err := r.localPartitionOfJob(req.ID)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Submit(ctx, req)
}

// Get returns the status of a job from the owner of its partition.
func (r *Router) Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	return r.callJobOwner(ctx, methodGet, jobRequest{Workspace: workspace, Job: id}, r.getLocal)
}

func (r *Router) getLocal(ctx context.Context, req jobRequest) (api.JobStatus, error) {
	p, err := r.localPartitionOfJob(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Get(ctx, req.Workspace, req.Job)
}

// Cancel requests the cancellation of a job from the owner of its partition.
func (r *Router) Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	return r.callJobOwner(ctx, methodCancel, jobRequest{Workspace: workspace, Job: id}, r.cancelLocal)
}

func (r *Router) cancelLocal(ctx context.Context, req jobRequest) (api.JobStatus, error) {
	p, err := r.localPartitionOfJob(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Cancel(ctx, req.Workspace, req.Job)
}

// callJobOwner calls a method at the owner of the job's partition, with retries for
// at most lookupTimeout.
func (r *Router) callJobOwner(ctx context.Context, method string, req jobRequest,
	local func(context.Context, jobRequest) (api.JobStatus, error),
) (api.JobStatus, error) {
	n, err := r.PartitionOf(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return withRetry(ctx, func() (api.JobStatus, error) {
		return call(ctx, r, ownership.PartitionShard(n), method, req, local)
	})
}

// Wait returns the status once the job is terminal or wait has elapsed. If the
// ownership of the partition changes meanwhile, it waits for the remaining time at
// the new owner.
func (r *Router) Wait(ctx context.Context, workspace string, id api.JobID, wait time.Duration) (api.JobStatus, error) {
	n, err := r.PartitionOf(id)
	if err != nil {
		return api.JobStatus{}, err
	}
	deadline := time.Now().Add(wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(waitMargin))
	defer cancel()
	reply, err := withRetry(ctx, func() (waitReply, error) {
		req := jobRequest{Workspace: workspace, Job: id, Wait: max(time.Until(deadline), 0)}
		return call(ctx, r, ownership.PartitionShard(n), methodWait, req, r.waitLocal)
	})
	if err == nil && reply.Kind != "" {
		err = errkind.New(reply.Kind, "%s", reply.Message).WithRetryAfter(reply.RetryAfter)
	}
	return reply.Status, err
}

func (r *Router) waitLocal(ctx context.Context, req jobRequest) (waitReply, error) {
	p, err := r.localPartitionOfJob(req.Job)
	if err != nil {
		return waitReply{}, err
	}
	status, err := p.Wait(ctx, req.Workspace, req.Job, req.Wait)
	if err == nil || status.ID == "" {
		return waitReply{Status: status}, err
	}
	e := errkind.As(err)
	return waitReply{Status: status, Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter}, nil
}

// List queries all partitions and returns one page of jobs in order of job ID. It
// fails if any partition fails.
func (r *Router) List(ctx context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	if req.Limit <= 0 {
		req.Limit = defaultListLimit
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	type result struct {
		jobs []api.JobStatus
		err  error
	}
	results := make(chan result, r.partitions)
	for n := range r.partitions {
		go func() {
			jobs, err := withRetry(ctx, func() ([]api.JobStatus, error) {
				return call(ctx, r, ownership.PartitionShard(n), methodList, listRequest{Partition: n, List: req}, r.listLocal)
			})
			results <- result{jobs, err}
		}()
	}
	var out []api.JobStatus
	for range r.partitions {
		res := <-results
		if res.err != nil {
			return nil, res.err
		}
		out = append(out, res.jobs...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out[:min(len(out), req.Limit)], nil
}

func (r *Router) listLocal(ctx context.Context, req listRequest) ([]api.JobStatus, error) {
	p, err := r.localPartition(req.Partition)
	if err != nil {
		return nil, err
	}
	jobs, err := p.List(ctx, req.List)
	if err != nil {
		return nil, err
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID < jobs[j].ID })
	return jobs[:min(len(jobs), req.List.Limit)], nil
}

// Report sends the report on an attempt to the owner of the partition.
func (r *Router) Report(ctx context.Context, n int, rep domain.Report) error {
	_, err := call(ctx, r, ownership.PartitionShard(n), methodReport, reportRequest{Partition: n, Report: rep}, r.reportLocal)
	return err
}

func (r *Router) reportLocal(ctx context.Context, req reportRequest) (emptyReply, error) {
	p, err := r.localPartition(req.Partition)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, p.Report(ctx, req.Report)
}

// Claim requests permission to start an attempt from the owner of the partition.
func (r *Router) Claim(ctx context.Context, n int, c domain.Claim) error {
	_, err := call(ctx, r, ownership.PartitionShard(n), methodClaim, claimRequest{Partition: n, Claim: c}, r.claimLocal)
	return err
}

func (r *Router) claimLocal(ctx context.Context, req claimRequest) (emptyReply, error) {
	p, err := r.localPartition(req.Partition)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, p.Claim(ctx, req.Claim)
}

// RetryJob releases a held retry of the job after an operator confirmed it.
func (r *Router) RetryJob(ctx context.Context, id api.JobID) error {
	n, err := r.PartitionOf(id)
	if err != nil {
		return err
	}
	_, err = call(ctx, r, ownership.PartitionShard(n), methodRetryJob, jobRequest{Job: id}, r.retryJobLocal)
	return err
}

func (r *Router) retryJobLocal(_ context.Context, req jobRequest) (emptyReply, error) {
	p, err := r.localPartitionOfJob(req.Job)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, p.Retry(req.Job)
}

func (r *Router) registerPartition(reg peer.Registry) {
	handle(reg, methodSubmit, r.submitLocal)
	handle(reg, methodGet, r.getLocal)
	handle(reg, methodWait, r.waitLocal)
	handle(reg, methodCancel, r.cancelLocal)
	handle(reg, methodList, r.listLocal)
	handle(reg, methodReport, r.reportLocal)
	handle(reg, methodClaim, r.claimLocal)
	handle(reg, methodRetryJob, r.retryJobLocal)
}
