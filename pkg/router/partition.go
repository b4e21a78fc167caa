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

// Methods between VMs for partitions.
const (
	methodSubmit = "partition.submit"
	methodGet    = "partition.get"
	methodWait   = "partition.wait"
	methodCancel = "partition.cancel"
	methodList   = "partition.list"
	methodReport = "partition.report"
	methodClaim  = "partition.claim"
	methodRetry  = "partition.retry"
)

// Limits of calls to partitions.
const (
	// waitMargin is added to a wait so that the remote answer arrives in time.
	waitMargin = 2 * time.Second
	// submitTime bounds a submission whose caller sets no limit of its own.
	submitTime = 20 * time.Second
	// lookupTime bounds how long a read waits for a shard without an owner.
	lookupTime = 8 * time.Second
	// defaultListLimit is the page size when the caller names none.
	defaultListLimit = 100
)

type jobRequest struct {
	Workspace string        `cbor:"1,keyasint,omitempty"`
	Job       api.JobID     `cbor:"2,keyasint"`
	Wait      time.Duration `cbor:"3,keyasint,omitempty"`
}

// waitReply carries the status of a job that ended without a run together with
// the error, because a peer answers with a body or an error.
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

// PartitionOf returns the partition number that a job ID carries.
func (r *Router) PartitionOf(id api.JobID) (int, error) {
	head, _, ok := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(strings.TrimPrefix(head, "j"))
	if !ok || !strings.HasPrefix(head, "j") || err != nil || n < 0 || n >= r.partitions {
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

func (r *Router) partitionOfJob(id api.JobID) (*partition.Partition, error) {
	n, err := r.PartitionOf(id)
	if err != nil {
		return nil, err
	}
	return r.localPartition(n)
}

// Submit sends the job to the owner of its partition, and again to its
// successor when the owner goes: the job's ID makes that idempotent. Once a
// call may have reached an owner, the error is timeout with an unknown outcome.
func (r *Router) Submit(ctx context.Context, req partition.SubmitRequest) (api.JobStatus, error) {
	n, err := r.PartitionOf(req.ID)
	if err != nil {
		return api.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	sent := false
	status, err := withRetry(ctx, func() (api.JobStatus, error) {
		s, err := call(ctx, r, ownership.PartitionShard(n), methodSubmit, req, r.submitLocal)
		sent = sent || err != nil && maybeTaken(err)
		return s, err
	})
	if err != nil && sent && errkind.Lookup(errkind.Of(err)).Ran == errkind.NotRun && retryable(err) {
		err = errkind.Wrap(err, errkind.Timeout, "the job may have been accepted; ask for job %s or repeat with the same Idempotency-Key", req.ID)
	}
	return status, err
}

// maybeTaken reports whether the owner may have taken a request that failed.
func maybeTaken(err error) bool {
	k := errkind.Of(err)
	return errors.Is(err, peer.ErrAnswerLost) || k == errkind.Timeout || k == errkind.Internal || k == errkind.OutcomeUnknown
}

func (r *Router) submitLocal(ctx context.Context, req partition.SubmitRequest) (api.JobStatus, error) {
	p, err := r.partitionOfJob(req.ID)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Submit(ctx, req)
}

// Get returns the status of a job from the owner of its partition.
func (r *Router) Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	return r.jobCall(ctx, methodGet, jobRequest{Workspace: workspace, Job: id}, r.getLocal)
}

func (r *Router) getLocal(ctx context.Context, req jobRequest) (api.JobStatus, error) {
	p, err := r.partitionOfJob(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Get(ctx, req.Workspace, req.Job)
}

// Cancel asks the owner of the job's partition to end it.
func (r *Router) Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	return r.jobCall(ctx, methodCancel, jobRequest{Workspace: workspace, Job: id}, r.cancelLocal)
}

func (r *Router) cancelLocal(ctx context.Context, req jobRequest) (api.JobStatus, error) {
	p, err := r.partitionOfJob(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	return p.Cancel(ctx, req.Workspace, req.Job)
}

func (r *Router) jobCall(ctx context.Context, method string, req jobRequest,
	local func(context.Context, jobRequest) (api.JobStatus, error),
) (api.JobStatus, error) {
	n, err := r.PartitionOf(req.Job)
	if err != nil {
		return api.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	return withRetry(ctx, func() (api.JobStatus, error) {
		return call(ctx, r, ownership.PartitionShard(n), method, req, local)
	})
}

// Wait returns the status once the job is terminal or wait is over. When the
// owner goes meanwhile, it waits for the rest of the time at the successor.
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
	p, err := r.partitionOfJob(req.Job)
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

// List asks all partitions and returns one page ordered by job ID.
func (r *Router) List(ctx context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	if req.Limit <= 0 {
		req.Limit = defaultListLimit
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	type answer struct {
		jobs []api.JobStatus
		err  error
	}
	answers := make(chan answer, r.partitions)
	for n := range r.partitions {
		go func() {
			jobs, err := withRetry(ctx, func() ([]api.JobStatus, error) {
				return call(ctx, r, ownership.PartitionShard(n), methodList, listRequest{Partition: n, List: req}, r.listLocal)
			})
			answers <- answer{jobs, err}
		}()
	}
	var out []api.JobStatus
	for range r.partitions {
		a := <-answers
		if a.err != nil {
			return nil, a.err
		}
		out = append(out, a.jobs...)
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

// Report delivers an attempt's report to the owner of the partition.
func (r *Router) Report(ctx context.Context, n int, rep domain.Report) error {
	_, err := call(ctx, r, ownership.PartitionShard(n), methodReport, reportRequest{Partition: n, Report: rep}, r.reportLocal)
	return err
}

func (r *Router) reportLocal(ctx context.Context, req reportRequest) (empty, error) {
	p, err := r.localPartition(req.Partition)
	if err != nil {
		return empty{}, err
	}
	return empty{}, p.Report(ctx, req.Report)
}

// Claim asks the owner of the partition for the permission to start.
func (r *Router) Claim(ctx context.Context, n int, c domain.Claim) error {
	_, err := call(ctx, r, ownership.PartitionShard(n), methodClaim, claimRequest{Partition: n, Claim: c}, r.claimLocal)
	return err
}

func (r *Router) claimLocal(ctx context.Context, req claimRequest) (empty, error) {
	p, err := r.localPartition(req.Partition)
	if err != nil {
		return empty{}, err
	}
	return empty{}, p.Claim(ctx, req.Claim)
}

// RetryJob carries out a held retry that an operator confirmed.
func (r *Router) RetryJob(ctx context.Context, id api.JobID) error {
	n, err := r.PartitionOf(id)
	if err != nil {
		return err
	}
	_, err = call(ctx, r, ownership.PartitionShard(n), methodRetry, jobRequest{Job: id}, r.retryLocal)
	return err
}

func (r *Router) retryLocal(_ context.Context, req jobRequest) (empty, error) {
	p, err := r.partitionOfJob(req.Job)
	if err != nil {
		return empty{}, err
	}
	return empty{}, p.Retry(req.Job)
}

func (r *Router) registerPartition(reg peer.Registry) {
	handle(reg, methodSubmit, r.submitLocal)
	handle(reg, methodGet, r.getLocal)
	handle(reg, methodWait, r.waitLocal)
	handle(reg, methodCancel, r.cancelLocal)
	handle(reg, methodList, r.listLocal)
	handle(reg, methodReport, r.reportLocal)
	handle(reg, methodClaim, r.claimLocal)
	handle(reg, methodRetry, r.retryLocal)
}
