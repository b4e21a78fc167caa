package plan

import (
	"context"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// KeyPrefix is the key prefix of plans in the store.
const KeyPrefix = "control/plans/"

// keyValueStore is the subset of platform.Store that platformStore uses.
type keyValueStore interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error)
	Put(ctx context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (int64, error)
	Delete(ctx context.Context, key string, expect int64) error
}

type platformStore struct{ kv keyValueStore }

// NewStore returns a Store backed by the platform's key-value store.
func NewStore(kv platform.Store) Store { return platformStore{kv} }

// Load returns the plan, or not_found.
func (s platformStore) Load(ctx context.Context, id string) (StoredPlan, error) {
	if strings.Contains(id, "/") {
		return StoredPlan{}, errkind.New(errkind.NotFound, "there is no plan %q", id)
	}
	e, err := s.kv.Get(ctx, KeyPrefix+id)
	if err != nil {
		return StoredPlan{}, err
	}
	return StoredPlan{ID: id, Data: e.Value, Version: e.Version}, nil
}

// Save writes p by compare-and-swap on its version.
func (s platformStore) Save(ctx context.Context, p StoredPlan) (int64, error) {
	return s.kv.Put(ctx, KeyPrefix+p.ID, p.Data, p.Version, 0)
}

// Delete removes the plan by compare-and-swap on its version.
func (s platformStore) Delete(ctx context.Context, id string, version int64) error {
	return s.kv.Delete(ctx, KeyPrefix+id, version)
}

// List returns all stored plans.
func (s platformStore) List(ctx context.Context) ([]StoredPlan, error) {
	var plans []StoredPlan
	after := ""
	for {
		res, err := s.kv.List(ctx, KeyPrefix, after, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range res.Entries {
			plans = append(plans, StoredPlan{ID: strings.TrimPrefix(e.Key, KeyPrefix), Data: e.Value, Version: e.Version})
			after = e.Key
		}
		if !res.More || len(res.Entries) == 0 {
			return plans, nil
		}
	}
}
