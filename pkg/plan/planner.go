package plan

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Options configures a Planner. All interfaces except Recorder are required.
type Options struct {
	Source    configsync.Source
	Store     Store
	Previewer Previewer
	Jobs      JobLister
	Proposals ProposalLister
	Executor  Executor
	Recorder  timeline.Recorder // nil discards the events
	Lifetime  time.Duration     // 0 means DefaultLifetime
	MaxPlans  int               // 0 means DefaultMaxPlans
}

// Planner makes and confirms plans. Plans are kept only in the Store, so that
// every VM can confirm a plan made by another. It is safe for concurrent use.
type Planner struct {
	opts    Options
	history *revisionHistory
}

// New returns a Planner.
func New(opts Options) *Planner {
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	if opts.Lifetime <= 0 {
		opts.Lifetime = DefaultLifetime
	}
	if opts.MaxPlans <= 0 {
		opts.MaxPlans = DefaultMaxPlans
	}
	p := &Planner{opts: opts, history: &revisionHistory{}}
	opts.Source.Subscribe(p.history.recordRevision)
	return p
}

// Make returns a plan for the intent and stores it. Error kinds: forbidden,
// invalid_request, invalid_config, not_found, guarantee_unmeetable, too_large,
// overloaded (too many open plans), unavailable (no configuration yet) and
// store_unavailable.
func (p *Planner) Make(ctx context.Context, actor Actor, intent Intent) (*Plan, error) {
	if err := checkPermission(actor, intent); err != nil {
		return nil, err
	}
	doc, err := p.currentConfig()
	if err != nil {
		return nil, err
	}
	plan, err := p.buildPlan(ctx, actor, intent, doc)
	if err != nil {
		return nil, err
	}
	if err := p.prune(ctx); err != nil {
		return nil, err
	}
	if _, err := p.save(ctx, Record{Plan: *plan, State: StateOpen}, 0); err != nil {
		return nil, err
	}
	p.recordEvent(timeline.PlanMade, plan, actor.Name)
	return plan, nil
}

// Get returns a plan with its state, or not_found.
func (p *Planner) Get(ctx context.Context, id string) (Record, error) {
	rec, _, err := p.load(ctx, id)
	return p.withCurrentState(rec), err
}

// withCurrentState returns the record with its current state, including the
// derived states expired and outdated.
func (p *Planner) withCurrentState(rec Record) Record {
	rec = rec.withStateAt(time.Now())
	if doc := p.opts.Source.Current(); doc != nil && rec.State == StateOpen && doc.Revision > rec.Plan.Base {
		rec.State = StateOutdated
	}
	return rec
}

// List returns the stored plans, newest first.
func (p *Planner) List(ctx context.Context) ([]Record, error) {
	stored, err := p.opts.Store.List(ctx)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(stored))
	for _, s := range stored {
		var rec Record
		if json.Unmarshal(s.Data, &rec) == nil {
			records = append(records, p.withCurrentState(rec))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return b.Plan.MadeAt.Compare(a.Plan.MadeAt) })
	return records, nil
}

func checkPermission(actor Actor, intent Intent) error {
	if intent.Spec == nil {
		return errkind.New(errkind.InvalidRequest, "the intent is empty; give a kind and a spec")
	}
	if need := intent.Kind.Role(); !actor.Role.Includes(need) {
		return errkind.New(errkind.Forbidden, "the %s intent needs the role %s; %q has the role %s",
			intent.Kind, need, actor.Name, actor.Role)
	}
	return nil
}

func (p *Planner) currentConfig() (*policy.Document, error) {
	doc := p.opts.Source.Current()
	if doc == nil {
		return nil, errkind.New(errkind.Unavailable, "this VM has no configuration yet; ask another VM")
	}
	return doc, nil
}

// buildPlan computes the plan without storing it.
func (p *Planner) buildPlan(ctx context.Context, actor Actor, intent Intent, doc *policy.Document) (*Plan, error) {
	now := time.Now().UTC()
	plan := &Plan{
		ID: uuid.NewString(), Intent: intent, Base: doc.Revision,
		MadeBy: actor.Name, MadeAt: now, ExpiresAt: now.Add(p.opts.Lifetime),
	}
	if err := p.computeEffects(ctx, plan, doc); err != nil {
		return nil, err
	}
	if len(plan.Effects) > MaxEffects {
		return nil, errkind.New(errkind.TooLarge, "the plan would affect %d jobs and can list %d; narrow the intent",
			len(plan.Effects), MaxEffects)
	}
	for _, e := range plan.Effects {
		plan.LostWork += e.LostWork
	}
	var err error
	plan.Hash, err = plan.hash()
	return plan, err
}

func (p *Planner) computeEffects(ctx context.Context, plan *Plan, doc *policy.Document) error {
	switch spec := plan.Intent.Spec.(type) {
	case configSpec:
		return p.computeConfigEffects(ctx, plan, spec, doc)
	case actionSpec:
		if err := spec.check(doc); err != nil {
			return err
		}
		return p.computeActionEffects(ctx, plan, doc)
	default:
		return errkind.New(errkind.InvalidRequest, "the intent kind %q is unknown; use one of %v", plan.Intent.Kind, Kinds())
	}
}

// nextDocument applies a plan's intent to doc. The result depends only on doc
// and the plan.
func nextDocument(plan *Plan, spec configSpec, doc *policy.Document) (*policy.Document, error) {
	next := doc.Clone()
	if err := spec.apply(next, plan.MadeBy, plan.MadeAt); err != nil {
		return nil, err
	}
	if err := policy.ProblemsError(policy.Validate(next)); err != nil {
		return nil, err
	}
	next.Revision = doc.Revision + 1
	next.Token, next.Plan, next.ChangedBy, next.ChangedAt = "", plan.ID, "", time.Time{}
	return next, nil
}

func (p *Planner) computeConfigEffects(ctx context.Context, plan *Plan, spec configSpec, doc *policy.Document) error {
	next, err := nextDocument(plan, spec, doc)
	if err != nil {
		return err
	}
	plan.Changes = policy.Diff(doc, next)
	if len(plan.Changes) == 0 {
		return noChangeError("the configuration already is as the intent wants it")
	}
	return p.preview(ctx, plan, PreviewRequest{Next: next})
}

// preview adds the effects, unmeetable guarantees and warnings of req to the plan.
func (p *Planner) preview(ctx context.Context, plan *Plan, req PreviewRequest) error {
	domains, err := p.opts.Previewer.Preview(ctx, req)
	if err != nil {
		return err
	}
	for _, d := range domains {
		if d.Error != "" {
			plan.Warnings = append(plan.Warnings, "the effects in failure domain "+d.Domain+" are not known: "+d.Error)
		}
		plan.Effects = append(plan.Effects, d.Effects...)
		plan.Unmeetable = append(plan.Unmeetable, d.Unmeetable...)
	}
	return p.checkGuarantees(ctx, plan, req, domains)
}

func (p *Planner) recordEvent(t timeline.Type, plan *Plan, by string) {
	p.opts.Recorder.Record(timeline.Event{Type: t, By: by, Reason: string(plan.Intent.Kind) + " plan " + plan.ID + " made by " + plan.MadeBy})
}
