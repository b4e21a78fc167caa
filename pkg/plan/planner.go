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

// Options configures a Planner. All interfaces but Recorder are required.
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

// Planner makes and confirms plans. It keeps no plan in memory, so that every
// VM can confirm what another made. It is safe for concurrent use.
type Planner struct {
	opts    Options
	history *history
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
	p := &Planner{opts: opts, history: &history{}}
	opts.Source.Subscribe(p.history.observe)
	return p
}

// Make returns a plan for the intent and keeps it. Kinds: forbidden,
// invalid_request, invalid_config, not_found, guarantee_unmeetable, too_large,
// overloaded (too many open plans), unavailable (no configuration yet) and
// store_unavailable.
func (p *Planner) Make(ctx context.Context, actor Actor, intent Intent) (*Plan, error) {
	if err := permit(actor, intent); err != nil {
		return nil, err
	}
	doc, err := p.current()
	if err != nil {
		return nil, err
	}
	made, err := p.draft(ctx, actor, intent, doc)
	if err != nil {
		return nil, err
	}
	if err := p.prune(ctx); err != nil {
		return nil, err
	}
	if _, err := p.save(ctx, Record{Plan: *made, State: StateOpen}, 0); err != nil {
		return nil, err
	}
	p.record(timeline.PlanMade, made, actor.Name)
	return made, nil
}

// Get returns a plan with its state, or not_found.
func (p *Planner) Get(ctx context.Context, id string) (Record, error) {
	rec, _, err := p.load(ctx, id)
	return p.shown(rec), err
}

// shown returns the record with the state that an operator sees.
func (p *Planner) shown(rec Record) Record {
	rec = rec.at(time.Now())
	if doc := p.opts.Source.Current(); doc != nil && rec.State == StateOpen && doc.Revision > rec.Plan.Base {
		rec.State = StateOutdated
	}
	return rec
}

// List returns the plans in the store, the newest first.
func (p *Planner) List(ctx context.Context) ([]Record, error) {
	stored, err := p.opts.Store.List(ctx)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(stored))
	for _, s := range stored {
		var rec Record
		if json.Unmarshal(s.Data, &rec) == nil {
			records = append(records, p.shown(rec))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return b.Plan.MadeAt.Compare(a.Plan.MadeAt) })
	return records, nil
}

func permit(actor Actor, intent Intent) error {
	if intent.Spec == nil {
		return errkind.New(errkind.InvalidRequest, "the intent is empty; give a kind and a spec")
	}
	if need := intent.Kind.Role(); !actor.Role.Includes(need) {
		return errkind.New(errkind.Forbidden, "the %s intent needs the role %s; %q has the role %s",
			intent.Kind, need, actor.Name, actor.Role)
	}
	return nil
}

func (p *Planner) current() (*policy.Document, error) {
	doc := p.opts.Source.Current()
	if doc == nil {
		return nil, errkind.New(errkind.Unavailable, "this VM has no configuration yet; ask another VM")
	}
	return doc, nil
}

// draft computes the plan without keeping it.
func (p *Planner) draft(ctx context.Context, actor Actor, intent Intent, doc *policy.Document) (*Plan, error) {
	now := time.Now().UTC()
	made := &Plan{
		ID: uuid.NewString(), Intent: intent, Base: doc.Revision,
		MadeBy: actor.Name, MadeAt: now, ExpiresAt: now.Add(p.opts.Lifetime),
	}
	if err := p.fill(ctx, made, doc); err != nil {
		return nil, err
	}
	if len(made.Effects) > MaxEffects {
		return nil, errkind.New(errkind.TooLarge, "the plan would affect %d jobs and can list %d; narrow the intent",
			len(made.Effects), MaxEffects)
	}
	for _, e := range made.Effects {
		made.LostWork += e.LostWork
	}
	var err error
	made.Hash, err = made.hash()
	return made, err
}

func (p *Planner) fill(ctx context.Context, made *Plan, doc *policy.Document) error {
	switch spec := made.Intent.Spec.(type) {
	case configSpec:
		return p.fillConfig(ctx, made, spec, doc)
	case actionSpec:
		if err := spec.check(doc); err != nil {
			return err
		}
		return p.fillAction(ctx, made, doc)
	default:
		return errkind.New(errkind.InvalidRequest, "the intent kind %q is unknown; use one of %v", made.Intent.Kind, Kinds())
	}
}

// nextDocument applies a plan's intent to doc. The result depends only on doc
// and the plan.
func nextDocument(made *Plan, spec configSpec, doc *policy.Document) (*policy.Document, error) {
	next := doc.Clone()
	if err := spec.apply(next, made.MadeBy, made.MadeAt); err != nil {
		return nil, err
	}
	if err := policy.ProblemsError(policy.Validate(next)); err != nil {
		return nil, err
	}
	next.Revision = doc.Revision + 1
	next.Token, next.Plan, next.ChangedBy, next.ChangedAt = "", made.ID, "", time.Time{}
	return next, nil
}

func (p *Planner) fillConfig(ctx context.Context, made *Plan, spec configSpec, doc *policy.Document) error {
	next, err := nextDocument(made, spec, doc)
	if err != nil {
		return err
	}
	made.Changes = policy.Diff(doc, next)
	if len(made.Changes) == 0 {
		return nothingToDo("the configuration already is as the intent wants it")
	}
	return p.preview(ctx, made, PreviewRequest{Next: next})
}

// preview adds the effects of req to the plan.
func (p *Planner) preview(ctx context.Context, made *Plan, req PreviewRequest) error {
	domains, err := p.opts.Previewer.Preview(ctx, req)
	if err != nil {
		return err
	}
	for _, d := range domains {
		if d.Error != "" {
			made.Warnings = append(made.Warnings, "the effects in failure domain "+d.Domain+" are not known: "+d.Error)
		}
		made.Effects = append(made.Effects, d.Effects...)
		made.Unmeetable = append(made.Unmeetable, d.Unmeetable...)
	}
	return p.checkGuarantees(ctx, made, req, domains)
}

func (p *Planner) record(t timeline.Type, made *Plan, by string) {
	p.opts.Recorder.Record(timeline.Event{Type: t, By: by, Reason: string(made.Intent.Kind) + " plan " + made.ID + " made by " + made.MadeBy})
}
