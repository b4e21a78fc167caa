package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// UrgentStartWithin is the longest allowed wait before the start of an urgent job
// (design page, section 1.3).
const UrgentStartWithin = 6100 * time.Millisecond

// Default returns a document of revision 0 with the built-in classes and
// without workspaces or operators.
func Default() *Document {
	return &Document{
		Workspaces: map[string]Workspace{},
		Operators:  map[string]Operator{},
		Classes: map[string]Class{
			api.ClassUrgent:  {Rank: 0, Short: true, StartWithin: UrgentStartWithin},
			api.ClassShort:   {Rank: 10, Short: true},
			api.ClassLong:    {Rank: 20},
			api.ClassArchive: {Rank: 30, Sheddable: true},
		},
	}
}

// Clone returns a deep copy of d whose maps are never nil, so that callers can
// add entries. The clone of a nil document is Default().
func (d *Document) Clone() *Document {
	if d == nil {
		return Default()
	}
	c := *d
	c.Workspaces = make(map[string]Workspace, len(d.Workspaces))
	for name, ws := range d.Workspaces {
		ws.TokenHashes = slices.Clone(ws.TokenHashes)
		ws.Guarantees = slices.Clone(ws.Guarantees)
		c.Workspaces[name] = ws
	}
	c.Classes = cloneMap(d.Classes)
	c.Operators = cloneMap(d.Operators)
	c.Drained = cloneMap(d.Drained)
	c.Holds = cloneMap(d.Holds)
	return &c
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
