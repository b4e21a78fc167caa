package embedded

import (
	"context"
	"encoding/json"

	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// writePolicy keeps the first document in the store, as revision 1.
func (s *System) writePolicy(ctx context.Context, doc *policy.Document) error {
	first := doc.Clone()
	first.Revision = 1
	value, err := json.Marshal(first)
	if err != nil {
		return err
	}
	_, err = s.Store.Put(ctx, configsync.Key, value, 0, 0)
	return err
}
