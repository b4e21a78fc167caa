package plan

import (
	"sync"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// maxHistoryRevisions limits the revisions that a VM keeps in memory. At 6,300
// changes a day, about 65 fall into the 15-minute lifetime of a plan.
const maxHistoryRevisions = 128

// revisionHistory keeps the changes of recent revisions, which OutdatedError
// reports, and finds the revision that a plan produced.
type revisionHistory struct {
	mu        sync.Mutex
	last      *policy.Document
	revisions []Revision
}

// recordRevision is the callback for configsync.Source.Subscribe.
func (h *revisionHistory) recordRevision(doc *policy.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil && doc.Revision > h.last.Revision {
		r := revisionOf(doc)
		r.Changes = policy.Diff(h.last, doc)
		h.revisions = append(h.revisions, r)
		if len(h.revisions) > maxHistoryRevisions {
			h.revisions = h.revisions[len(h.revisions)-maxHistoryRevisions:]
		}
	}
	h.last = doc
}

// since returns the revisions later than base.
func (h *revisionHistory) since(base int64) []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Revision
	for _, r := range h.revisions {
		if r.Revision > base {
			out = append(out, r)
		}
	}
	return out
}

// revisionOfPlan returns the revision that the plan produced.
func (h *revisionHistory) revisionOfPlan(id string) (Revision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.revisions {
		if r.Plan == id {
			return r, true
		}
	}
	return Revision{}, false
}

func revisionOf(doc *policy.Document) Revision {
	return Revision{Revision: doc.Revision, ChangedBy: doc.ChangedBy, ChangedAt: doc.ChangedAt, Plan: doc.Plan}
}
