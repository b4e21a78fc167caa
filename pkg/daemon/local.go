package daemon

import (
	"context"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// localPlans is what this VM contributes to plans; it implements plan.Local.
type localPlans struct{ d *parts }

func (l localPlans) owned(name string) []*domain.Domain {
	if name == "" {
		return l.d.host.allDomains()
	}
	if d, ok := l.d.host.Domain(name); ok {
		return []*domain.Domain{d}
	}
	return nil
}

// Preview computes the effects in the failure domains that this VM owns.
func (l localPlans) Preview(_ context.Context, req plan.PreviewRequest) []plan.DomainPreview {
	var out []plan.DomainPreview
	for _, d := range l.owned(req.Domain) {
		out = append(out, l.preview(d, req))
	}
	return out
}

func (l localPlans) preview(d *domain.Domain, req plan.PreviewRequest) plan.DomainPreview {
	p := plan.DomainPreview{Domain: d.Name()}
	switch req.Action {
	case plan.KindReclaim:
		p.Effects = effects(d.Name(), plan.EffectPreempt, d.PreviewReclaim(req.Workspace))
	case plan.KindDefragment:
		p.Effects = effects(d.Name(), plan.EffectMove, d.PreviewDefragment())
	default:
		doc := l.d.host.share(req.Next, d.Name())
		v := d.Preview(doc)
		p.Effects = append(effects(d.Name(), plan.EffectPreempt, v.Preempt), effects(d.Name(), plan.EffectRefuse, v.Refuse)...)
		p.Unmeetable = v.Unmeetable
		if err := sched.CheckGuarantees(l.guaranteesHere(doc, d.Name()), map[string][]sched.Worker{d.Name(): d.Inventory()}); err != nil {
			p.Impossible = []string{errkind.As(err).Message}
		}
	}
	return p
}

// guaranteesHere returns the document with the guarantees of one failure domain
// and those of failure domains that have no workers: the former are checked
// against the domain's equipment, the latter are impossible everywhere.
func (l localPlans) guaranteesHere(doc *policy.Document, name string) *policy.Document {
	known := l.d.vms.domains()
	c := doc.Clone()
	for id, ws := range c.Workspaces {
		ws.Guarantees = slices.DeleteFunc(ws.Guarantees, func(g policy.Guarantee) bool {
			return g.FailureDomain != name && slices.Contains(known, g.FailureDomain)
		})
		c.Workspaces[id] = ws
	}
	return c
}

func effects(name string, kind plan.EffectKind, actions []sched.Action) []plan.Effect {
	var out []plan.Effect
	for _, a := range actions {
		out = append(out, plan.Effect{
			Kind: kind, Job: a.Job, Workspace: a.Workspace, Domain: name, Reason: a.Reason, LostWork: a.LostWork,
		})
	}
	return out
}

// Reclaim takes the borrowed cells of a workspace's guarantees back.
func (l localPlans) Reclaim(_ context.Context, _, workspace, name string) error {
	for _, d := range l.owned(name) {
		d.Reclaim(workspace)
	}
	return nil
}

// Defragment moves jobs so that larger blocks become free.
func (l localPlans) Defragment(_ context.Context, _, name string) error {
	for _, d := range l.owned(name) {
		d.Defragment()
	}
	return nil
}

// Perform carries out a held action that an operator confirmed.
func (l localPlans) Perform(ctx context.Context, p gate.Proposal) error {
	if p.Kind == gate.Retry {
		return l.d.router.RetryJob(ctx, p.Job)
	}
	d, ok := l.d.host.Domain(p.Domain)
	if !ok {
		return errkind.New(errkind.NotFound, "failure domain %s has moved to another VM, which decides anew", p.Domain)
	}
	return d.Confirm(p)
}

// workers lists the workers of all failure domains; it implements
// ingress.WorkerLister.
type workers struct{ d *parts }

// Workers asks the owners of all failure domains. A domain whose owner does not
// answer is left out.
func (w workers) Workers(ctx context.Context) ([]api.WorkerStatus, error) {
	var out []api.WorkerStatus
	names := w.d.vms.domains()
	failed := 0
	var last error
	for _, name := range names {
		list, err := w.d.router.Workers(ctx, name)
		if err != nil {
			failed, last = failed+1, err
			continue
		}
		for _, info := range list {
			out = append(out, workerStatus(info))
		}
	}
	if failed > 0 && failed == len(names) {
		return nil, last
	}
	slices.SortFunc(out, func(a, b api.WorkerStatus) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

func workerStatus(w domain.WorkerInfo) api.WorkerStatus {
	return api.WorkerStatus{
		ID: w.ID, FailureDomain: w.FailureDomain, Rack: w.Rack, State: api.WorkerState(w.State),
		Accelerators: w.Accelerators, AcceleratorsFree: w.Accelerators - w.AcceleratorsInUse,
		Slots: w.Slots, SlotsFree: w.Slots - w.Tasks,
		Usage: &api.WorkerUsage{MeasuredAt: w.Usage.MeasuredAt, BusyShare: w.Usage.BusyShare, MemoryMiB: w.Usage.MemoryMiB},
	}
}
