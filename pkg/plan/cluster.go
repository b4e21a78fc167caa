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

// collectTimeout limits one plan.collect call to one VM.
const collectTimeout = 3 * time.Second

// Local previews and executes actions in the failure domains that this VM owns.
// It ignores all other domains.
type Local interface {
	// Preview computes effects without applying them.
	Preview(ctx context.Context, req PreviewRequest) []DomainPreview
	// Reclaim and Defragment act in the named domain if this VM owns it, or in all
	// owned domains if the name is empty. They are idempotent for the same plan.
	Reclaim(ctx context.Context, planID, workspace, domain string) error
	Defragment(ctx context.Context, planID, domain string) error
	// Perform executes a held action that an operator confirmed. It returns
	// not_found if the action is no longer needed.
	Perform(ctx context.Context, p gate.Proposal) error
}

// Cluster calls all VMs by the peer method plan.collect and merges their
// responses. It implements Previewer, ProposalLister and Executor.
type Cluster struct {
	Local  Local
	Gate   *gate.Gate
	Jobs   partition.Service
	View   membership.View
	Caller peer.Caller
}

// collectOp is the operation of a plan.collect request.
type collectOp string

const (
	opPreview    collectOp = "preview"
	opProposals  collectOp = "proposals"
	opConfirm    collectOp = "confirm"
	opReclaim    collectOp = "reclaim"
	opDefragment collectOp = "defragment"
)

// CollectRequest is the request body of plan.collect.
type CollectRequest struct {
	Op        collectOp       `cbor:"1,keyasint"`
	Preview   *PreviewRequest `cbor:"2,keyasint,omitempty"`
	Plan      string          `cbor:"3,keyasint,omitempty"`
	Workspace string          `cbor:"4,keyasint,omitempty"`
	Domain    string          `cbor:"5,keyasint,omitempty"`
	Proposal  string          `cbor:"6,keyasint,omitempty"`
}

// CollectResponse is the response body of plan.collect.
type CollectResponse struct {
	Previews  []DomainPreview `cbor:"1,keyasint,omitempty"`
	Proposals []gate.Proposal `cbor:"2,keyasint,omitempty"`
	// Done reports that this VM held the proposal and resolved it.
	Done bool `cbor:"3,keyasint,omitempty"`
}

// HandleCollect handles MethodCollect. It is a peer.HandlerFunc.
func (c *Cluster) HandleCollect(ctx context.Context, decode func(any) error) (any, error) {
	var req CollectRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	return c.handleLocally(ctx, req)
}

func (c *Cluster) handleLocally(ctx context.Context, req CollectRequest) (CollectResponse, error) {
	switch req.Op {
	case opPreview:
		if req.Preview == nil {
			return CollectResponse{}, errkind.New(errkind.InvalidRequest, "plan.collect: the preview has no content")
		}
		return CollectResponse{Previews: c.Local.Preview(ctx, *req.Preview)}, nil
	case opProposals:
		return CollectResponse{Proposals: c.Gate.Proposals()}, nil
	case opConfirm:
		return c.confirmLocally(ctx, req.Proposal)
	case opReclaim:
		return CollectResponse{}, c.Local.Reclaim(ctx, req.Plan, req.Workspace, req.Domain)
	case opDefragment:
		return CollectResponse{}, c.Local.Defragment(ctx, req.Plan, req.Domain)
	default:
		return CollectResponse{}, errkind.New(errkind.InvalidRequest, "plan.collect: unknown request %q", req.Op)
	}
}

// confirmLocally removes the proposal from the gate before executing it, so that
// concurrent confirmations execute it once, and restores it if the execution
// fails.
func (c *Cluster) confirmLocally(ctx context.Context, id string) (CollectResponse, error) {
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

// memberResponse is the response or error of one VM.
type memberResponse struct {
	vm   string
	resp CollectResponse
	err  error
}

// callMembers sends the request to every member, including this VM, and returns
// the responses in member order.
func (c *Cluster) callMembers(ctx context.Context, req CollectRequest) []memberResponse {
	members := c.View.Members()
	responses := make([]memberResponse, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			responses[i].vm = m.ID
			responses[i].resp, responses[i].err = c.callMember(ctx, m, req)
		})
	}
	wg.Wait()
	return responses
}

func (c *Cluster) callMember(ctx context.Context, m membership.Member, req CollectRequest) (resp CollectResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if m.ID == c.View.Self().ID {
		return c.handleLocally(ctx, req)
	}
	err = c.Caller.Call(ctx, m.Address, MethodCollect, req, &resp)
	return resp, err
}

// Preview collects previews from the owners of all failure domains. A known
// domain whose owner does not respond gets a DomainPreview with Error set.
func (c *Cluster) Preview(ctx context.Context, req PreviewRequest) ([]DomainPreview, error) {
	byDomain := map[string]DomainPreview{}
	for _, a := range c.callMembers(ctx, CollectRequest{Op: opPreview, Preview: &req}) {
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

// Proposals returns the held actions of the VMs that responded, oldest first. It
// fails only if no VM responded, with the kind of the first failure.
func (c *Cluster) Proposals(ctx context.Context) ([]gate.Proposal, error) {
	var list []gate.Proposal
	responses := c.callMembers(ctx, CollectRequest{Op: opProposals})
	failed := 0
	for _, a := range responses {
		if a.err != nil {
			failed++
		}
		for _, p := range a.resp.Proposals {
			if !slices.ContainsFunc(list, func(o gate.Proposal) bool { return o.ID == p.ID }) {
				list = append(list, p)
			}
		}
	}
	if len(responses) > 0 && failed == len(responses) {
		return nil, firstFailure(responses)
	}
	slices.SortStableFunc(list, func(a, b gate.Proposal) int { return a.ProposedAt.Compare(b.ProposedAt) })
	return list, nil
}

// CancelJob cancels the job regardless of its workspace.
func (c *Cluster) CancelJob(ctx context.Context, job api.JobID, _ string) error {
	_, err := c.Jobs.Cancel(ctx, "", job)
	return err
}

// Reclaim starts the reclaim on the owners of the failure domains.
func (c *Cluster) Reclaim(ctx context.Context, planID, workspace, domain string) error {
	return firstFailure(c.callMembers(ctx, CollectRequest{Op: opReclaim, Plan: planID, Workspace: workspace, Domain: domain}))
}

// Defragment starts the defragmentation on the owners of the failure domains.
func (c *Cluster) Defragment(ctx context.Context, planID, domain string) error {
	return firstFailure(c.callMembers(ctx, CollectRequest{Op: opDefragment, Plan: planID, Domain: domain}))
}

// ConfirmProposal executes the proposal on the VM that holds it. It returns
// not_found only if every VM responded and none holds it.
func (c *Cluster) ConfirmProposal(ctx context.Context, proposal string) error {
	responses := c.callMembers(ctx, CollectRequest{Op: opConfirm, Proposal: proposal})
	for _, a := range responses {
		if a.resp.Done {
			return nil
		}
	}
	if err := firstFailure(responses); err != nil {
		return err
	}
	return errkind.New(errkind.NotFound, "no VM has the proposal %q any more", proposal)
}

// firstFailure returns an error with the kind of the first failure and the names
// of all VMs that failed, or nil if none failed.
func firstFailure(responses []memberResponse) error {
	var names []string
	var first error
	for _, a := range responses {
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
