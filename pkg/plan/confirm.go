package plan

import (
	"context"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// catchUpWait bounds the wait for a revision that another VM has already seen;
// a revision is in force everywhere within 2 s today (G8).
const (
	catchUpWait = 3 * time.Second
	catchUpPoll = 50 * time.Millisecond
)

// Confirm carries the plan out. seenHash, if not empty, is the hash of the plan
// that the operator saw. Confirming an applied plan again returns the same
// record. Kinds: not_found, forbidden, plan_outdated (as *OutdatedError),
// plan_expired, plan_tampered, store_unavailable (nothing is known to have
// changed; confirm again) and unavailable.
func (p *Planner) Confirm(ctx context.Context, actor Actor, id, seenHash string) (Record, error) {
	rec, version, err := p.load(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if err := rec.Plan.verify(seenHash); err != nil {
		return Record{}, err
	}
	if err := permit(actor, rec.Plan.Intent); err != nil {
		return Record{}, err
	}
	if applied, ok := p.appliedAs(id); ok && rec.State != StateApplied {
		return p.noteApplied(ctx, rec, version, applied), nil
	}
	switch rec.at(time.Now()).State {
	case StateApplied:
		return rec, nil
	case StateExpired:
		return Record{}, errkind.New(errkind.PlanExpired, "plan %s expired at %s; make a new plan",
			id, rec.Plan.ExpiresAt.Format(time.RFC3339))
	}
	if spec, ok := rec.Plan.Intent.Spec.(configSpec); ok {
		return p.confirmConfig(ctx, actor, rec, version, spec)
	}
	return p.confirmAction(ctx, actor, rec, version)
}

// confirmConfig writes the new document; its compare-and-swap on the revision
// is what confirms the plan.
func (p *Planner) confirmConfig(ctx context.Context, actor Actor, rec Record, version int64, spec configSpec) (Record, error) {
	made := &rec.Plan
	doc, err := p.caughtUp(ctx, made.Base)
	if err != nil {
		return Record{}, err
	}
	if doc.Revision != made.Base {
		return Record{}, p.outdated(ctx, actor, made, overtaken(made))
	}
	next, err := nextDocument(made, spec, doc)
	if err != nil {
		return Record{}, err
	}
	next.ChangedBy, next.ChangedAt = actor.Name, time.Now().UTC()
	accepted, err := p.opts.Source.Change(ctx, made.Base, next)
	if errkind.Is(err, errkind.Conflict) {
		return p.afterConflict(ctx, actor, rec, version)
	}
	if err != nil {
		return Record{}, err
	}
	p.announce(made, actor.Name)
	return p.noteApplied(ctx, rec, version, revisionOf(accepted)), nil
}

// afterConflict tells a race with the same plan from one with another change.
func (p *Planner) afterConflict(ctx context.Context, actor Actor, rec Record, version int64) (Record, error) {
	if _, err := p.caughtUp(ctx, rec.Plan.Base+1); err != nil {
		return Record{}, err
	}
	if applied, ok := p.appliedAs(rec.Plan.ID); ok {
		return p.noteApplied(ctx, rec, version, applied), nil
	}
	if again, _, err := p.load(ctx, rec.Plan.ID); err == nil && again.State == StateApplied {
		return again, nil
	}
	return Record{}, p.outdated(ctx, actor, &rec.Plan, overtaken(&rec.Plan))
}

// appliedAs returns the revision that the plan produced, as far as this VM has
// seen it. It finds a change whose confirmation could not be noted.
func (p *Planner) appliedAs(id string) (Revision, bool) {
	if doc := p.opts.Source.Current(); doc != nil && doc.Plan == id {
		return revisionOf(doc), true
	}
	return p.history.byPlan(id)
}

// noteApplied stores that the plan took effect. A failure to do so does not
// undo the change: the document names the plan.
func (p *Planner) noteApplied(ctx context.Context, rec Record, version int64, as Revision) Record {
	rec.State, rec.ConfirmedBy, rec.ConfirmedAt, rec.Revision = StateApplied, as.ChangedBy, as.ChangedAt, as.Revision
	if _, err := p.save(ctx, rec, version); errkind.Is(err, errkind.Conflict) {
		if other, _, err := p.load(ctx, rec.Plan.ID); err == nil && other.State == StateApplied {
			return other
		}
	}
	return rec
}

// confirmAction decides by compare-and-swap on the plan's record that it is
// carried out, and then carries it out. A VM that finds a confirmed record
// repeats the execution, which is idempotent.
func (p *Planner) confirmAction(ctx context.Context, actor Actor, rec Record, version int64) (Record, error) {
	if rec.State == StateOpen {
		doc, err := p.caughtUp(ctx, rec.Plan.Base)
		if err != nil {
			return Record{}, err
		}
		if doc.Revision != rec.Plan.Base {
			return Record{}, p.outdated(ctx, actor, &rec.Plan, overtaken(&rec.Plan))
		}
		more, err := p.outgrown(ctx, &rec.Plan, doc)
		if err != nil {
			return Record{}, err
		}
		if more {
			return Record{}, p.outdated(ctx, actor, &rec.Plan, "would now affect jobs that it does not list")
		}
		rec.State, rec.ConfirmedBy, rec.ConfirmedAt = StateConfirmed, actor.Name, time.Now().UTC()
		version, err = p.save(ctx, rec, version)
		if errkind.Is(err, errkind.Conflict) {
			return p.followWinner(ctx, rec.Plan.ID)
		}
		if err != nil {
			return Record{}, err
		}
		p.announce(&rec.Plan, actor.Name)
	}
	p.execute(ctx, &rec)
	if len(rec.Failures) > 0 {
		return rec, nil // stays confirmed, so that confirming again repeats what failed
	}
	rec.State = StateApplied
	if _, err := p.save(ctx, rec, version); err != nil && !errkind.Is(err, errkind.Conflict) {
		return rec, nil //nolint:nilerr // the effects are done; a repeated confirmation notes it
	}
	return rec, nil
}

// followWinner waits until the VM that won the compare-and-swap has carried
// the plan out, or the time is over, and returns its record.
func (p *Planner) followWinner(ctx context.Context, id string) (Record, error) {
	deadline := time.Now().Add(catchUpWait)
	for {
		rec, _, err := p.load(ctx, id)
		if err != nil || rec.State == StateApplied || time.Now().After(deadline) {
			return rec, err
		}
		if err := sleep(ctx, catchUpPoll); err != nil {
			return Record{}, err
		}
	}
}

// caughtUp returns the document once it has at least the given revision.
func (p *Planner) caughtUp(ctx context.Context, revision int64) (*policy.Document, error) {
	deadline := time.Now().Add(catchUpWait)
	for {
		doc := p.opts.Source.Current()
		if doc != nil && doc.Revision >= revision {
			return doc, nil
		}
		if time.Now().After(deadline) {
			return nil, errkind.New(errkind.Unavailable, "this VM does not have revision %d yet; repeat, or ask another VM", revision)
		}
		if err := sleep(ctx, catchUpPoll); err != nil {
			return nil, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the wait was ended")
	case <-t.C:
		return nil
	}
}

func overtaken(made *Plan) string {
	return fmt.Sprintf("rests on revision %d, which is no longer in force", made.Base)
}

// outdated returns plan_outdated with what changed and a fresh plan.
func (p *Planner) outdated(ctx context.Context, actor Actor, made *Plan, why string) error {
	out := &OutdatedError{
		err:     errkind.New(errkind.PlanOutdated, "plan %s %s; look at the fresh plan and confirm that", made.ID, why),
		Changed: p.history.after(made.Base),
	}
	fresh, err := p.Make(ctx, actor, made.Intent)
	if err != nil {
		out.FreshError = err.Error()
		return out
	}
	out.Fresh = fresh
	return out
}

func (p *Planner) announce(made *Plan, by string) {
	p.record(timeline.PlanConfirmed, made, by)
	if made.Intent.Kind != KindHold && made.Intent.Kind != KindResume {
		return
	}
	e := timeline.Event{Type: timeline.HoldChanged, By: by, Reason: string(made.Intent.Kind)}
	switch spec := made.Intent.Spec.(type) {
	case *Hold:
		e.Workspace, e.Reason = spec.Workspace, "hold: "+spec.Reason
	case *Resume:
		e.Workspace = spec.Workspace
	}
	p.opts.Recorder.Record(e)
}
