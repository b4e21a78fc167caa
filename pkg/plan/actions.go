package plan

import (
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// listPageSize is the number of jobs requested per page.
const listPageSize = 500

// computeActionEffects computes the effects of an intent that leaves the
// configuration unchanged.
func (p *Planner) computeActionEffects(ctx context.Context, plan *Plan, doc *policy.Document) error {
	switch spec := plan.Intent.Spec.(type) {
	case *Cancel:
		return p.computeCancelEffects(ctx, plan, spec)
	case *Proposals:
		return p.computeProposalEffects(ctx, plan, spec)
	case *Reclaim:
		return p.previewAction(ctx, plan, PreviewRequest{Next: doc, Action: KindReclaim, Workspace: spec.Workspace, Domain: spec.FailureDomain})
	case *Defragment:
		return p.previewAction(ctx, plan, PreviewRequest{Next: doc, Action: KindDefragment, Domain: spec.FailureDomain})
	default:
		return errkind.New(errkind.Internal, "no planning for the intent kind %q", plan.Intent.Kind)
	}
}

// previewAction previews a reclaim or defragmentation in the failure domains. A
// preview without effects and warnings is an error.
func (p *Planner) previewAction(ctx context.Context, plan *Plan, req PreviewRequest) error {
	if err := p.preview(ctx, plan, req); err != nil {
		return err
	}
	if len(plan.Effects) == 0 && len(plan.Warnings) == 0 {
		return noChangeError("no job stands in the way at present")
	}
	return nil
}

// affectsUnlistedJobs reports whether a reclaim or defragmentation plan would
// now affect a job that it does not list. Other kinds act on listed jobs only.
func (p *Planner) affectsUnlistedJobs(ctx context.Context, plan *Plan, doc *policy.Document) (bool, error) {
	if plan.Intent.Kind != KindReclaim && plan.Intent.Kind != KindDefragment {
		return false, nil
	}
	current := &Plan{Intent: plan.Intent, MadeAt: time.Now()}
	if err := p.computeActionEffects(ctx, current, doc); err != nil && !errkind.Is(err, errkind.InvalidRequest) {
		return false, err
	}
	listed := map[api.JobID]bool{}
	for _, e := range plan.Effects {
		listed[e.Job] = true
	}
	return slices.ContainsFunc(current.Effects, func(e Effect) bool { return !listed[e.Job] }), nil
}

func (p *Planner) computeCancelEffects(ctx context.Context, plan *Plan, spec *Cancel) error {
	req := partition.ListRequest{Workspace: spec.Workspace, Class: spec.Class, State: spec.State, Limit: listPageSize}
	for {
		jobs, err := p.opts.Jobs.List(ctx, req)
		if err != nil {
			return err
		}
		for _, j := range jobs {
			if spec.matches(j, plan.MadeAt) {
				plan.Effects = append(plan.Effects, cancelEffect(j, plan.MadeAt))
			}
		}
		// A page may be shorter than the limit, so only an empty page ends the list.
		if len(jobs) == 0 && len(plan.Effects) == 0 {
			return noChangeError("no job matches the selector")
		}
		if len(jobs) == 0 || len(plan.Effects) > MaxEffects {
			return nil
		}
		req.After = jobs[len(jobs)-1].ID
	}
}

func (s *Cancel) matches(j api.JobStatus, now time.Time) bool {
	return !j.State.Terminal() &&
		(s.Workspace == "" || s.Workspace == j.Spec.Workspace) &&
		(s.Class == "" || s.Class == j.Spec.Class) &&
		(s.State == "" || s.State == j.State) &&
		(s.OlderThan == 0 || now.Sub(j.SubmittedAt) >= time.Duration(s.OlderThan))
}

// cancelEffect estimates the lost work as the time since the job started,
// multiplied by its number of accelerators.
func cancelEffect(j api.JobStatus, now time.Time) Effect {
	e := Effect{Kind: EffectCancel, Job: j.ID, Workspace: j.Spec.Workspace, Domain: j.FailureDomain, Reason: string(j.State)}
	if !j.StartedAt.IsZero() && now.After(j.StartedAt) {
		e.LostWork = now.Sub(j.StartedAt) * time.Duration(max(1, j.Spec.Accelerators))
	}
	return e
}

func (p *Planner) computeProposalEffects(ctx context.Context, plan *Plan, spec *Proposals) error {
	proposals, err := p.opts.Proposals.Proposals(ctx)
	if err != nil {
		return err
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(spec.IDs))) {
		i := slices.IndexFunc(proposals, func(h gate.Proposal) bool { return h.ID == id })
		if i < 0 {
			return errkind.New(errkind.NotFound, "there is no proposal %q; list the proposals again, they change with the state", id)
		}
		plan.Effects = append(plan.Effects, proposalEffect(proposals[i]))
	}
	return nil
}

func proposalEffect(h gate.Proposal) Effect {
	kind := EffectOther
	switch h.Kind {
	case gate.Preempt, gate.Reclaim:
		kind = EffectPreempt
	case gate.Move:
		kind = EffectMove
	}
	reason := string(h.Kind)
	if h.Worker != "" {
		reason += " on " + h.Worker
	}
	return Effect{
		Kind: kind, Job: h.Job, Workspace: h.Workspace, Domain: h.Domain, LostWork: h.LostWork,
		Reason: reason + ": " + h.Reason, Proposal: h.ID,
	}
}

// execute carries out a confirmed action plan. It records failures in
// rec.Failures, and in rec.Notes the effects that returned not_found because the
// job has ended, or the proposal was already taken or no longer applies.
func (p *Planner) execute(ctx context.Context, rec *Record) {
	rec.Failures, rec.Notes = nil, nil
	plan := &rec.Plan
	switch spec := plan.Intent.Spec.(type) {
	case *Reclaim:
		rec.addResult("reclaim", p.opts.Executor.Reclaim(ctx, plan.ID, spec.Workspace, spec.FailureDomain))
		return
	case *Defragment:
		rec.addResult("defragment", p.opts.Executor.Defragment(ctx, plan.ID, spec.FailureDomain))
		return
	}
	for _, e := range plan.Effects {
		if e.Proposal != "" {
			rec.addResult("proposal "+e.Proposal, p.opts.Executor.ConfirmProposal(ctx, e.Proposal))
		} else {
			rec.addResult("job "+string(e.Job), p.opts.Executor.CancelJob(ctx, e.Job, "cancelled by plan "+plan.ID))
		}
	}
}

func (r *Record) addResult(what string, err error) {
	switch {
	case err == nil:
	case errkind.Is(err, errkind.NotFound):
		r.Notes = append(r.Notes, what+": nothing left to do: "+errkind.As(err).Message)
	default:
		r.Failures = append(r.Failures, what+": "+err.Error())
	}
}
