package plan

import (
	"testing"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// Guards against a plan that is overwritten without compare-and-swap, stored
// under a wrong key, or missing from the list.
func TestStoreOnThePlatform(t *testing.T) {
	ctx, kv := t.Context(), memory.NewStore(memory.Options{})
	s := NewStore(kv)
	version, err := s.Save(ctx, StoredPlan{ID: "a", Data: []byte("1")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kv.Get(ctx, "control/plans/a"); err != nil {
		t.Errorf("key: %v", err)
	}
	if _, err := s.Save(ctx, StoredPlan{ID: "a", Data: []byte("2")}); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("second creation: %v", err)
	}
	if version, err = s.Save(ctx, StoredPlan{ID: "a", Data: []byte("2"), Version: version}); err != nil {
		t.Error(err)
	}
	if got, err := s.Load(ctx, "a"); err != nil || string(got.Data) != "2" || got.Version != version {
		t.Errorf("Load = %+v, %v", got, err)
	}
	if list, err := s.List(ctx); err != nil || len(list) != 1 || list[0].ID != "a" || list[0].Version != version {
		t.Errorf("List = %+v, %v", list, err)
	}
	for _, id := range []string{"b", "../config", "a/b"} {
		if _, err := s.Load(ctx, id); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("Load(%q): %v", id, err)
		}
	}
	if err := s.Delete(ctx, "a", version); err != nil {
		t.Error(err)
	}
}
