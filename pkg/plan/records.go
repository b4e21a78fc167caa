package plan

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// load returns the record and its stored version. It returns plan_tampered for a
// record that cannot be decoded.
func (p *Planner) load(ctx context.Context, id string) (Record, int64, error) {
	stored, err := p.opts.Store.Load(ctx, id)
	if errkind.Is(err, errkind.NotFound) {
		return Record{}, 0, errkind.New(errkind.NotFound, "there is no plan %q; list the plans or make a new one", id)
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	if err := json.Unmarshal(stored.Data, &rec); err != nil {
		return Record{}, 0, errkind.Wrap(err, errkind.PlanTampered, "plan %s cannot be read; make a new plan", id)
	}
	if rec.Plan.ID != id {
		return Record{}, 0, errkind.New(errkind.PlanTampered, "plan %s is stored under another name; make a new plan", id)
	}
	return rec, stored.Version, nil
}

func (p *Planner) save(ctx context.Context, rec Record, version int64) (int64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "encode the plan")
	}
	if len(data) > MaxRecordBytes {
		return 0, errkind.New(errkind.TooLarge, "the plan has %d bytes and may have %d; narrow the intent", len(data), MaxRecordBytes)
	}
	return p.opts.Store.Save(ctx, StoredPlan{ID: rec.Plan.ID, Data: data, Version: version})
}

// prune makes room for one plan. It deletes all unreadable and expired plans and
// then, as needed, the oldest applied or incomplete ones. It returns overloaded if too many remain.
func (p *Planner) prune(ctx context.Context) error {
	stored, err := p.opts.Store.List(ctx)
	if err != nil {
		return err
	}
	excess := len(stored) - p.opts.MaxPlans + 1
	for _, c := range removalCandidates(stored, time.Now()) {
		if excess <= 0 && !c.expired {
			break
		}
		if err := p.opts.Store.Delete(ctx, c.ID, c.Version); err == nil || errkind.Is(err, errkind.NotFound) {
			excess--
		}
	}
	if excess > 0 {
		return errkind.New(errkind.Overloaded, "there are %d open plans; confirm some or wait until they expire", len(stored))
	}
	return nil
}

type removalCandidate struct {
	StoredPlan
	expired bool
	rank    int
	madeAt  time.Time
}

// removalCandidates returns the plans that may be deleted, in order of deletion:
// unreadable and expired plans first, then, oldest first, plans that were applied
// or were confirmed but not completed within their lifetime.
func removalCandidates(stored []StoredPlan, now time.Time) []removalCandidate {
	var out []removalCandidate
	for _, s := range stored {
		var rec Record
		c := removalCandidate{StoredPlan: s, expired: true}
		if json.Unmarshal(s.Data, &rec) == nil {
			if rec.State != StateApplied && now.Before(rec.Plan.ExpiresAt) {
				continue
			}
			c.expired, c.madeAt = rec.State == StateOpen, rec.Plan.MadeAt
		}
		if !c.expired {
			c.rank = 1
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b removalCandidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.madeAt.Compare(b.madeAt)
	})
	return out
}
