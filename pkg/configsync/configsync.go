// Package configsync distributes the configuration document to all VMs, by a watch on
// the platform's store and by requests to peers, and writes changes to the store. The
// daemon runs one Sync per VM; other packages read and change the configuration
// through Source. It never replaces a document by one of a lower revision.
package configsync

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Key is the store key of the configuration document.
const Key = "control/config"

// Method is the peer method that returns the peer's document if it is newer than
// the caller's.
const Method = "config.get"

// Source gives access to the configuration in force on this VM.
type Source interface {
	// Current returns the document in force; it must not be modified. It is nil
	// until the first document has been received.
	Current() *policy.Document
	// Subscribe calls fn with the document in force, if there is one, and with newer
	// ones in order of revision.
	Subscribe(fn func(*policy.Document))
	// Change writes next as revision base+1. It returns kind conflict if the store
	// holds another revision than base, and store_unavailable if the store is
	// unreachable and nothing was changed. After a lost reply it retries until the
	// outcome is known. If ctx ends before that, or a later revision hides the
	// outcome, the kind is outcome_unknown: the change may still take effect.
	Change(ctx context.Context, base int64, next *policy.Document) (*policy.Document, error)
}
