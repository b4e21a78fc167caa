// Package configsync keeps the newest accepted configuration document on every
// VM: from a watch on the platform's store and, beside it, from peers.
package configsync

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Key is the store key of the configuration document.
const Key = "control/config"

// Method is the name of the request by which a VM asks a peer for a newer
// document.
const Method = "config.get"

// Source gives access to the configuration in force on this VM.
type Source interface {
	// Current returns the document in force; it must not be modified. It is nil
	// until the first document has arrived.
	Current() *policy.Document
	// Subscribe calls fn with the document in force, if there is one, and with
	// each newer one, in order of revision.
	Subscribe(fn func(*policy.Document))
	// Change writes next as the successor of revision base. It returns kind
	// conflict when the store holds another revision, and store_unavailable when
	// the store cannot be reached and nothing was changed; a lost answer is
	// resolved before it returns. If ctx ends before it is resolved, the kind is
	// outcome_unknown: the change may still come into force.
	Change(ctx context.Context, base int64, next *policy.Document) (*policy.Document, error)
}
