package plan

import (
	"context"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// confirmWaitTimeout limits the wait for a configuration revision that another VM
// has already seen, and for a concurrent confirmation of the same action plan. A
// revision currently takes effect on all VMs within 2 s (G8).
const (
	confirmWaitTimeout  = 3 * time.Second
	confirmPollInterval = 50 * time.Millisecond
)

// Confirm carries out the plan. seenHash, if not empty, is the hash of the plan
// that the operator saw. Confirming an applied plan again returns the same
// record. Error kinds: not_found, forbidden, plan_outdated (as *OutdatedError),
// plan_expired, plan_tampered, store_unavailable (whether the change took
// effect is unknown; confirm again) and unavailable.
func (p *Planner) Confirm(ctx context.Context, actor Actor, id, seenHash string) (Record, error) {
	rec, version, err := p.load(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if err := rec.Plan.verifyHash(seenHash); err != nil {
		return Record{}, err
	}
	if err := checkPermission(actor, rec.Plan.Intent); err != nil {
		return Record{}, err
	}
	if applied, ok := p.appliedRevision(id); ok && rec.State != StateApplied {
		return p.markApplied(ctx, rec, version, applied), nil
	}
	switch rec.withStateAt(time.Now()).State {
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

// confirmConfig writes the new document. The compare-and-swap on its revision
// confirms the plan.
func (p *Planner) confirmConfig(ctx context.Context, actor Actor, rec Record, version int64, spec configSpec) (Record, error) {
	plan := &rec.Plan
	doc, err := p.waitForRevision(ctx, plan.Base)
	if err != nil {
		return Record{}, err
	}
	if doc.Revision != plan.Base {
		return Record{}, p.outdatedError(ctx, actor, plan, outdatedReason(plan))
	}
	next, err := nextDocument(plan, spec, doc)
	if err != nil {
		return Record{}, err
	}
	next.ChangedBy, next.ChangedAt = actor.Name, time.Now().UTC()
	accepted, err := p.opts.Source.Change(ctx, plan.Base, next)
	if errkind.Is(err, errkind.Conflict) {
		return p.resolveConflict(ctx, actor, rec, version)
	}
	if err != nil {
		return Record{}, err
	}
	p.recordConfirmation(plan, actor.Name)
	return p.markApplied(ctx, rec, version, revisionOf(accepted)), nil
}

// resolveConflict handles a failed compare-and-swap: if another VM applied the
// same plan, it returns the applied record, otherwise plan_outdated.
func (p *Planner) resolveConflict(ctx context.Context, actor Actor, rec Record, version int64) (Record, error) {
	if _, err := p.waitForRevision(ctx, rec.Plan.Base+1); err != nil {
		return Record{}, err
	}
	if applied, ok := p.appliedRevision(rec.Plan.ID); ok {
		return p.markApplied(ctx, rec, version, applied), nil
	}
	if stored, _, err := p.load(ctx, rec.Plan.ID); err == nil && stored.State == StateApplied {
		return stored, nil
	}
	return Record{}, p.outdatedError(ctx, actor, &rec.Plan, outdatedReason(&rec.Plan))
}

// appliedRevision returns the revision that the plan produced, if this VM has
// seen it. It also finds a change whose plan record could not be updated.
func (p *Planner) appliedRevision(id string) (Revision, bool) {
	if doc := p.opts.Source.Current(); doc != nil && doc.Plan == id {
		return revisionOf(doc), true
	}
	return p.history.revisionOfPlan(id)
}

// markApplied stores that the plan took effect. The change stands even if the
// save fails: the document contains the plan ID.
func (p *Planner) markApplied(ctx context.Context, rec Record, version int64, applied Revision) Record {
	rec.State, rec.ConfirmedBy, rec.ConfirmedAt, rec.Revision = StateApplied, applied.ChangedBy, applied.ChangedAt, applied.Revision
	if _, err := p.save(ctx, rec, version); errkind.Is(err, errkind.Conflict) {
		if other, _, err := p.load(ctx, rec.Plan.ID); err == nil && other.State == StateApplied {
			return other
		}
	}
	return rec
}

// confirmAction marks the plan's record as confirmed by compare-and-swap and then
// executes the plan. If the record is already confirmed, it repeats the execution,
// which is idempotent.
func (p *Planner) confirmAction(ctx context.Context, actor Actor, rec Record, version int64) (Record, error) {
	if rec.State == StateOpen {
		doc, err := p.waitForRevision(ctx, rec.Plan.Base)
		if err != nil {
			return Record{}, err
		}
		if doc.Revision != rec.Plan.Base {
			return Record{}, p.outdatedError(ctx, actor, &rec.Plan, outdatedReason(&rec.Plan))
		}
		unlisted, err := p.affectsUnlistedJobs(ctx, &rec.Plan, doc)
		if err != nil {
			return Record{}, err
		}
		if unlisted {
			return Record{}, p.outdatedError(ctx, actor, &rec.Plan, "would now affect jobs that it does not list")
		}
		rec.State, rec.ConfirmedBy, rec.ConfirmedAt = StateConfirmed, actor.Name, time.Now().UTC()
		version, err = p.save(ctx, rec, version)
		if errkind.Is(err, errkind.Conflict) {
			return p.waitUntilApplied(ctx, rec.Plan.ID)
		}
		if err != nil {
			return Record{}, err
		}
		p.recordConfirmation(&rec.Plan, actor.Name)
	}
	p.execute(ctx, &rec)
	if len(rec.Failures) > 0 {
		return rec, nil // stays confirmed, so that another confirmation retries the failed effects
	}
	rec.State = StateApplied
	if _, err := p.save(ctx, rec, version); err != nil && !errkind.Is(err, errkind.Conflict) {
		return rec, nil //nolint:nilerr // the effects are applied; another confirmation updates the record
	}
	return rec, nil
}

// waitUntilApplied waits until the VM that won the compare-and-swap has applied
// the plan or confirmWaitTimeout has passed, and returns the latest record.
func (p *Planner) waitUntilApplied(ctx context.Context, id string) (Record, error) {
	deadline := time.Now().Add(confirmWaitTimeout)
	for {
		rec, _, err := p.load(ctx, id)
		if err != nil || rec.State == StateApplied || time.Now().After(deadline) {
			return rec, err
		}
		if err := sleep(ctx, confirmPollInterval); err != nil {
			return Record{}, err
		}
	}
}

// waitForRevision returns the document once this VM has at least the given
// revision, or unavailable after confirmWaitTimeout.
func (p *Planner) waitForRevision(ctx context.Context, revision int64) (*policy.Document, error) {
	deadline := time.Now().Add(confirmWaitTimeout)
	for {
		doc := p.opts.Source.Current()
		if doc != nil && doc.Revision >= revision {
			return doc, nil
		}
		if time.Now().After(deadline) {
			return nil, errkind.New(errkind.Unavailable, "this VM does not have revision %d yet; repeat, or ask another VM", revision)
		}
		if err := sleep(ctx, confirmPollInterval); err != nil {
			return nil, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the wait was cancelled")
	case <-t.C:
		return nil
	}
}

func outdatedReason(plan *Plan) string {
	return fmt.Sprintf("rests on revision %d, which is no longer in force", plan.Base)
}

// outdatedError returns plan_outdated with the later revisions and a new plan for
// the same intent.
func (p *Planner) outdatedError(ctx context.Context, actor Actor, plan *Plan, why string) error {
	out := &OutdatedError{
		err:     errkind.New(errkind.PlanOutdated, "plan %s %s; look at the fresh plan and confirm that", plan.ID, why),
		Changed: p.history.since(plan.Base),
	}
	fresh, err := p.Make(ctx, actor, plan.Intent)
	if err != nil {
		out.FreshError = err.Error()
		return out
	}
	out.Fresh = fresh
	return out
}

func (p *Planner) recordConfirmation(plan *Plan, by string) {
	p.recordEvent(timeline.PlanConfirmed, plan, by)
	if plan.Intent.Kind != KindHold && plan.Intent.Kind != KindResume {
		return
	}
	e := timeline.Event{Type: timeline.HoldChanged, By: by, Reason: string(plan.Intent.Kind)}
	switch spec := plan.Intent.Spec.(type) {
	case *Hold:
		e.Workspace, e.Reason = spec.Workspace, "hold: "+spec.Reason
	case *Resume:
		e.Workspace = spec.Workspace
	}
	p.opts.Recorder.Record(e)
}
