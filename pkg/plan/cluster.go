package plan

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/peer"
)

// collectTimeout bounds the wait for one VM.
const collectTimeout = 3 * time.Second

// Local is what one VM contributes: it answers for the failure domains that it
// owns and is silent about the others.
type Local interface {
	// Preview computes effects without causing them.
	Preview(ctx context.Context, req PreviewRequest) []DomainPreview
	// Reclaim and Defragment act in the owned domain of that name, or in all
	// owned ones if it is empty; a repeated call with the same plan is harmless.
	Reclaim(ctx context.Context, planID, workspace, domain string) error
	Defragment(ctx context.Context, planID, domain string) error
	// Perform does a held action that an operator confirmed. It returns
	// not_found if the state no longer calls for it.
	Perform(ctx context.Context, p gate.Proposal) error
}

// Cluster joins the VMs' contributions by the peer method plan.collect. It
// implements Previewer, ProposalLister and Executor.
type Cluster struct {
	Local  Local
	Gate   *gate.Gate
	Jobs   partition.Service
	View   membership.View
	Caller peer.Caller
}

// collectOp is the closed list of requests of plan.collect.
type collectOp string

const (
	opPreview    collectOp = "preview"
	opProposals  collectOp = "proposals"
	opConfirm    collectOp = "confirm"
	opReclaim    collectOp = "reclaim"
	opDefragment collectOp = "defragment"
)

// CollectRequest is the body of plan.collect.
type CollectRequest struct {
	Op        collectOp       `cbor:"1,keyasint"`
	Preview   *PreviewRequest `cbor:"2,keyasint,omitempty"`
	Plan      string          `cbor:"3,keyasint,omitempty"`
	Workspace string          `cbor:"4,keyasint,omitempty"`
	Domain    string          `cbor:"5,keyasint,omitempty"`
	Proposal  string          `cbor:"6,keyasint,omitempty"`
}

// CollectResponse is the answer to plan.collect.
type CollectResponse struct {
	Previews  []DomainPreview `cbor:"1,keyasint,omitempty"`
	Proposals []gate.Proposal `cbor:"2,keyasint,omitempty"`
	// Done says that this VM had the proposal and did it.
	Done bool `cbor:"3,keyasint,omitempty"`
}

// HandleCollect is the handler of MethodCollect; the type is peer.HandlerFunc.
func (c *Cluster) HandleCollect(ctx context.Context, decode func(any) error) (any, error) {
	var req CollectRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	return c.local(ctx, req)
}

func (c *Cluster) local(ctx context.Context, req CollectRequest) (CollectResponse, error) {
	switch req.Op {
	case opPreview:
		if req.Preview == nil {
			return CollectResponse{}, errkind.New(errkind.InvalidRequest, "plan.collect: the preview has no content")
		}
		return CollectResponse{Previews: c.Local.Preview(ctx, *req.Preview)}, nil
	case opProposals:
		return CollectResponse{Proposals: c.Gate.Proposals()}, nil
	case opConfirm:
		return c.confirmHere(ctx, req.Proposal)
	case opReclaim:
		return CollectResponse{}, c.Local.Reclaim(ctx, req.Plan, req.Workspace, req.Domain)
	case opDefragment:
		return CollectResponse{}, c.Local.Defragment(ctx, req.Plan, req.Domain)
	default:
		return CollectResponse{}, errkind.New(errkind.InvalidRequest, "plan.collect: unknown request %q", req.Op)
	}
}

// confirmHere takes the proposal, so that two confirmations do it once, and
// puts it back if it could not be done.
func (c *Cluster) confirmHere(ctx context.Context, id string) (CollectResponse, error) {
	p, ok := c.Gate.Take(id)
	if !ok {
		return CollectResponse{}, nil
	}
	err := c.Local.Perform(ctx, p)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		c.Gate.Restore(p)
		return CollectResponse{}, err
	}
	return CollectResponse{Done: true}, nil
}

// answer is what one VM said.
type answer struct {
	vm   string
	resp CollectResponse
	err  error
}

// ask sends the request to every member, this VM included, and returns the
// answers in order of VM.
func (c *Cluster) ask(ctx context.Context, req CollectRequest) []answer {
	members := c.View.Members()
	answers := make([]answer, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			answers[i].vm = m.ID
			answers[i].resp, answers[i].err = c.askOne(ctx, m, req)
		})
	}
	wg.Wait()
	return answers
}

func (c *Cluster) askOne(ctx context.Context, m membership.Member, req CollectRequest) (resp CollectResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if m.ID == c.View.Self().ID {
		return c.local(ctx, req)
	}
	err = c.Caller.Call(ctx, m.Address, MethodCollect, req, &resp)
	return resp, err
}

// Preview asks the owners of all failure domains. A known domain without an
// answer gets a DomainPreview with Error.
func (c *Cluster) Preview(ctx context.Context, req PreviewRequest) ([]DomainPreview, error) {
	byDomain := map[string]DomainPreview{}
	for _, a := range c.ask(ctx, CollectRequest{Op: opPreview, Preview: &req}) {
		for _, d := range a.resp.Previews {
			if old, ok := byDomain[d.Domain]; !ok || old.Error != "" {
				byDomain[d.Domain] = d
			}
		}
	}
	for _, s := range c.View.Summaries() {
		_, ok := byDomain[s.Domain]
		if !ok && (req.Domain == "" || req.Domain == s.Domain) {
			byDomain[s.Domain] = DomainPreview{Domain: s.Domain, Error: "its owner did not answer"}
		}
	}
	previews := make([]DomainPreview, 0, len(byDomain))
	for _, d := range byDomain {
		previews = append(previews, d)
	}
	slices.SortFunc(previews, func(a, b DomainPreview) int { return strings.Compare(a.Domain, b.Domain) })
	return previews, nil
}

// Proposals returns the held actions of the VMs that answered, oldest first. It
// fails with unavailable only if none answered.
func (c *Cluster) Proposals(ctx context.Context) ([]gate.Proposal, error) {
	var list []gate.Proposal
	answers := c.ask(ctx, CollectRequest{Op: opProposals})
	failed := 0
	for _, a := range answers {
		if a.err != nil {
			failed++
		}
		for _, p := range a.resp.Proposals {
			if !slices.ContainsFunc(list, func(o gate.Proposal) bool { return o.ID == p.ID }) {
				list = append(list, p)
			}
		}
	}
	if len(answers) > 0 && failed == len(answers) {
		return nil, unanswered(answers)
	}
	slices.SortStableFunc(list, func(a, b gate.Proposal) int { return a.ProposedAt.Compare(b.ProposedAt) })
	return list, nil
}

// CancelJob cancels the job in whichever workspace it is.
func (c *Cluster) CancelJob(ctx context.Context, job api.JobID, _ string) error {
	_, err := c.Jobs.Cancel(ctx, "", job)
	return err
}

// Reclaim starts the reclaim on the owners of the failure domains.
func (c *Cluster) Reclaim(ctx context.Context, planID, workspace, domain string) error {
	return unanswered(c.ask(ctx, CollectRequest{Op: opReclaim, Plan: planID, Workspace: workspace, Domain: domain}))
}

// Defragment starts the moves on the owners of the failure domains.
func (c *Cluster) Defragment(ctx context.Context, planID, domain string) error {
	return unanswered(c.ask(ctx, CollectRequest{Op: opDefragment, Plan: planID, Domain: domain}))
}

// ConfirmProposal has the VM that holds the proposal do it. It returns
// not_found only if every VM answered that it has none.
func (c *Cluster) ConfirmProposal(ctx context.Context, proposal string) error {
	answers := c.ask(ctx, CollectRequest{Op: opConfirm, Proposal: proposal})
	for _, a := range answers {
		if a.resp.Done {
			return nil
		}
	}
	if err := unanswered(answers); err != nil {
		return err
	}
	return errkind.New(errkind.NotFound, "no VM has the proposal %q any more", proposal)
}

// unanswered returns the first failure under its kind, with the names of all
// VMs that failed, or nil.
func unanswered(answers []answer) error {
	var names []string
	var first error
	for _, a := range answers {
		if a.err != nil {
			names = append(names, a.vm)
			if first == nil {
				first = a.err
			}
		}
	}
	if first == nil {
		return nil
	}
	return errkind.Wrap(first, errkind.Of(first), "no success from %s; confirm again to repeat", strings.Join(names, ", "))
}
