package plan

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// load returns the record and the version under which it is stored. A record
// that cannot be decoded is plan_tampered.
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

// prune makes room for one plan: first the expired ones go, then the oldest
// applied ones. If all are open, the kind is overloaded.
func (p *Planner) prune(ctx context.Context) error {
	stored, err := p.opts.Store.List(ctx)
	if err != nil {
		return err
	}
	excess := len(stored) - p.opts.MaxPlans + 1
	for _, c := range removable(stored, time.Now()) {
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

type candidate struct {
	StoredPlan
	expired bool
	rank    int
	madeAt  time.Time
}

// removable returns the plans that may go, in the order in which they do:
// unreadable and expired ones, then by age those that were applied or that
// could not be carried out completely in their lifetime.
func removable(stored []StoredPlan, now time.Time) []candidate {
	var out []candidate
	for _, s := range stored {
		var rec Record
		c := candidate{StoredPlan: s, expired: true}
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
	slices.SortFunc(out, func(a, b candidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.madeAt.Compare(b.madeAt)
	})
	return out
}
