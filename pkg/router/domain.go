package router

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/peer"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Peer methods of failure domains.
const (
	methodOffer         = "domain.offer"
	methodWithdraw      = "domain.withdraw"
	methodRecall        = "domain.recall"
	methodKnownAttempts = "domain.lookup"
	methodExplain       = "domain.explain"
	methodSummary       = "domain.summary"
	methodWorkers       = "domain.workers"
	methodPreview       = "domain.preview"
)

type offerRequest struct {
	Domain string       `cbor:"1,keyasint"`
	Offer  domain.Offer `cbor:"2,keyasint"`
}

// domainRequest is the request of all domain methods except offer and preview.
// Each method uses only some of its fields.
type domainRequest struct {
	Domain  string    `cbor:"1,keyasint"`
	Job     api.JobID `cbor:"2,keyasint,omitempty"`
	Attempt int       `cbor:"3,keyasint,omitempty"`
	Reason  string    `cbor:"4,keyasint,omitempty"`
	// Partition restricts a lookup to the attempts of this partition's jobs.
	Partition int `cbor:"5,keyasint,omitempty"`
}

type previewRequest struct {
	Domain   string           `cbor:"1,keyasint"`
	Document *policy.Document `cbor:"2,keyasint"`
}

func (r *Router) localDomain(name string) (*domain.Domain, error) {
	d, ok := r.local.Domain(name)
	if !ok {
		return nil, errkind.New(errkind.StaleEpoch, "this VM does not own failure domain %s", name)
	}
	return d, nil
}

// Offer passes an attempt to the owner of the failure domain for scheduling.
func (r *Router) Offer(ctx context.Context, name string, o domain.Offer) error {
	_, err := call(ctx, r, ownership.DomainShard(name), methodOffer, offerRequest{Domain: name, Offer: o}, r.offerLocal)
	return err
}

func (r *Router) offerLocal(ctx context.Context, req offerRequest) (emptyReply, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, d.Offer(ctx, req.Offer)
}

// Withdraw dequeues or stops an attempt in the failure domain.
func (r *Router) Withdraw(ctx context.Context, name string, job api.JobID, attempt int, reason string) error {
	req := domainRequest{Domain: name, Job: job, Attempt: attempt, Reason: reason}
	_, err := call(ctx, r, ownership.DomainShard(name), methodWithdraw, req, r.withdrawLocal)
	return err
}

func (r *Router) withdrawLocal(ctx context.Context, req domainRequest) (emptyReply, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, d.Withdraw(ctx, req.Job, req.Attempt, req.Reason)
}

// Recall takes back an attempt that has not started from the failure domain.
func (r *Router) Recall(ctx context.Context, name string, job api.JobID, attempt int, reason string) error {
	req := domainRequest{Domain: name, Job: job, Attempt: attempt, Reason: reason}
	_, err := call(ctx, r, ownership.DomainShard(name), methodRecall, req, r.recallLocal)
	return err
}

func (r *Router) recallLocal(ctx context.Context, req domainRequest) (emptyReply, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return emptyReply{}, err
	}
	return emptyReply{}, d.Recall(ctx, req.Job, req.Attempt, req.Reason)
}

// KnownAttempts returns the attempts of the partition's jobs that are known to the
// owner of the failure domain.
func (r *Router) KnownAttempts(ctx context.Context, name string, partition int) ([]domain.KnownAttempt, error) {
	return call(ctx, r, ownership.DomainShard(name), methodKnownAttempts, domainRequest{Domain: name, Partition: partition}, r.knownAttemptsLocal)
}

func (r *Router) knownAttemptsLocal(ctx context.Context, req domainRequest) ([]domain.KnownAttempt, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return nil, err
	}
	return d.KnownAttempts(ctx, req.Partition)
}

// Explain returns one sentence that says why a job is still queued.
func (r *Router) Explain(ctx context.Context, name string, job api.JobID) (string, error) {
	return call(ctx, r, ownership.DomainShard(name), methodExplain, domainRequest{Domain: name, Job: job}, r.explainLocal)
}

func (r *Router) explainLocal(_ context.Context, req domainRequest) (string, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return "", err
	}
	return d.Explain(req.Job), nil
}

// Summary returns the current summary of the failure domain from its owner.
func (r *Router) Summary(ctx context.Context, name string) (sched.Summary, error) {
	return call(ctx, r, ownership.DomainShard(name), methodSummary, domainRequest{Domain: name}, r.summaryLocal)
}

func (r *Router) summaryLocal(_ context.Context, req domainRequest) (sched.Summary, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return sched.Summary{}, err
	}
	return d.Summary(), nil
}

// Workers returns the workers of the failure domain.
func (r *Router) Workers(ctx context.Context, name string) ([]domain.WorkerInfo, error) {
	return call(ctx, r, ownership.DomainShard(name), methodWorkers, domainRequest{Domain: name}, r.workersLocal)
}

func (r *Router) workersLocal(_ context.Context, req domainRequest) ([]domain.WorkerInfo, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return nil, err
	}
	return d.Workers(), nil
}

// Preview returns the effects that a configuration document would have on the
// failure domain.
func (r *Router) Preview(ctx context.Context, name string, doc *policy.Document) (sched.Preview, error) {
	req := previewRequest{Domain: name, Document: doc}
	return call(ctx, r, ownership.DomainShard(name), methodPreview, req, r.previewLocal)
}

func (r *Router) previewLocal(_ context.Context, req previewRequest) (sched.Preview, error) {
	d, err := r.localDomain(req.Domain)
	if err != nil {
		return sched.Preview{}, err
	}
	return d.Preview(req.Document), nil
}

func (r *Router) registerDomain(reg peer.Registry) {
	handle(reg, methodOffer, r.offerLocal)
	handle(reg, methodWithdraw, r.withdrawLocal)
	handle(reg, methodRecall, r.recallLocal)
	handle(reg, methodKnownAttempts, r.knownAttemptsLocal)
	handle(reg, methodExplain, r.explainLocal)
	handle(reg, methodSummary, r.summaryLocal)
	handle(reg, methodWorkers, r.workersLocal)
	handle(reg, methodPreview, r.previewLocal)
}
