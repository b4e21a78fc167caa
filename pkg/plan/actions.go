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

// listPage is the number of jobs asked for at once.
const listPage = 500

// fillAction computes the effects of an intent that changes no configuration.
func (p *Planner) fillAction(ctx context.Context, made *Plan, doc *policy.Document) error {
	switch spec := made.Intent.Spec.(type) {
	case *Cancel:
		return p.fillCancel(ctx, made, spec)
	case *Proposals:
		return p.fillProposals(ctx, made, spec)
	case *Reclaim:
		return p.fillOrder(ctx, made, PreviewRequest{Next: doc, Action: KindReclaim, Workspace: spec.Workspace, Domain: spec.FailureDomain})
	case *Defragment:
		return p.fillOrder(ctx, made, PreviewRequest{Next: doc, Action: KindDefragment, Domain: spec.FailureDomain})
	default:
		return errkind.New(errkind.Internal, "no planning for the intent kind %q", made.Intent.Kind)
	}
}

// fillOrder asks what an order to the failure domains would do now.
func (p *Planner) fillOrder(ctx context.Context, made *Plan, req PreviewRequest) error {
	if err := p.preview(ctx, made, req); err != nil {
		return err
	}
	if len(made.Effects) == 0 && len(made.Warnings) == 0 {
		return nothingToDo("no job stands in the way at present")
	}
	return nil
}

// outgrown reports whether an order to the failure domains would now affect a
// job that the plan does not list. Other kinds act on the listed jobs only.
func (p *Planner) outgrown(ctx context.Context, made *Plan, doc *policy.Document) (bool, error) {
	if made.Intent.Kind != KindReclaim && made.Intent.Kind != KindDefragment {
		return false, nil
	}
	now := &Plan{Intent: made.Intent, MadeAt: time.Now()}
	if err := p.fillAction(ctx, now, doc); err != nil && !errkind.Is(err, errkind.InvalidRequest) {
		return false, err
	}
	listed := map[api.JobID]bool{}
	for _, e := range made.Effects {
		listed[e.Job] = true
	}
	return slices.ContainsFunc(now.Effects, func(e Effect) bool { return !listed[e.Job] }), nil
}

func (p *Planner) fillCancel(ctx context.Context, made *Plan, spec *Cancel) error {
	req := partition.ListRequest{Workspace: spec.Workspace, Class: spec.Class, State: spec.State, Limit: listPage}
	for {
		jobs, err := p.opts.Jobs.List(ctx, req)
		if err != nil {
			return err
		}
		for _, j := range jobs {
			if spec.matches(j, made.MadeAt) {
				made.Effects = append(made.Effects, cancelEffect(j, made.MadeAt))
			}
		}
		// A page may be shorter than asked for, so only an empty one is the last.
		if len(jobs) == 0 && len(made.Effects) == 0 {
			return nothingToDo("no job matches the selector")
		}
		if len(jobs) == 0 || len(made.Effects) > MaxEffects {
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

// cancelEffect estimates the lost work as the time since the start, times the
// accelerators of the job.
func cancelEffect(j api.JobStatus, now time.Time) Effect {
	e := Effect{Kind: EffectCancel, Job: j.ID, Workspace: j.Spec.Workspace, Domain: j.FailureDomain, Reason: string(j.State)}
	if !j.StartedAt.IsZero() && now.After(j.StartedAt) {
		e.LostWork = now.Sub(j.StartedAt) * time.Duration(max(1, j.Spec.Accelerators))
	}
	return e
}

func (p *Planner) fillProposals(ctx context.Context, made *Plan, spec *Proposals) error {
	held, err := p.opts.Proposals.Proposals(ctx)
	if err != nil {
		return err
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(spec.IDs))) {
		i := slices.IndexFunc(held, func(h gate.Proposal) bool { return h.ID == id })
		if i < 0 {
			return errkind.New(errkind.NotFound, "there is no proposal %q; list the proposals again, they change with the state", id)
		}
		made.Effects = append(made.Effects, proposalEffect(held[i]))
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

// execute carries a confirmed action plan out and notes in rec what failed and
// for what nothing was left to do: the job has ended, or the proposal was taken
// or no longer fits the state (kind not_found).
func (p *Planner) execute(ctx context.Context, rec *Record) {
	rec.Failures, rec.Notes = nil, nil
	made := &rec.Plan
	switch spec := made.Intent.Spec.(type) {
	case *Reclaim:
		rec.note("reclaim", p.opts.Executor.Reclaim(ctx, made.ID, spec.Workspace, spec.FailureDomain))
		return
	case *Defragment:
		rec.note("defragment", p.opts.Executor.Defragment(ctx, made.ID, spec.FailureDomain))
		return
	}
	for _, e := range made.Effects {
		if e.Proposal != "" {
			rec.note("proposal "+e.Proposal, p.opts.Executor.ConfirmProposal(ctx, e.Proposal))
		} else {
			rec.note("job "+string(e.Job), p.opts.Executor.CancelJob(ctx, e.Job, "cancelled by plan "+made.ID))
		}
	}
}

func (r *Record) note(what string, err error) {
	switch {
	case err == nil:
	case errkind.Is(err, errkind.NotFound):
		r.Notes = append(r.Notes, what+": nothing left to do: "+errkind.As(err).Message)
	default:
		r.Failures = append(r.Failures, what+": "+err.Error())
	}
}
