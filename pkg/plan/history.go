package plan

import (
	"sync"

	"github.com/carawayusher/carawayusher/pkg/policy"
)

// historyLength bounds the changes that a VM remembers. At 6,300 changes a day
// a plan's life of 15 minutes sees about 65.
const historyLength = 128

// history remembers what recent revisions changed, for the answer to a plan
// that was overtaken.
type history struct {
	mu        sync.Mutex
	last      *policy.Document
	revisions []Revision
}

// observe is the subscription to configsync.Source.
func (h *history) observe(doc *policy.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil && doc.Revision > h.last.Revision {
		r := revisionOf(doc)
		r.Changes = policy.Diff(h.last, doc)
		h.revisions = append(h.revisions, r)
		if len(h.revisions) > historyLength {
			h.revisions = h.revisions[len(h.revisions)-historyLength:]
		}
	}
	h.last = doc
}

// after returns the revisions later than base.
func (h *history) after(base int64) []Revision {
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

// byPlan returns the revision that the plan produced.
func (h *history) byPlan(id string) (Revision, bool) {
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
