package timeline

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Filter selects events; empty fields match everything.
type Filter struct {
	Job       api.JobID `json:"job,omitempty" cbor:"1,keyasint,omitempty"`
	Workspace string    `json:"workspace,omitempty" cbor:"2,keyasint,omitempty"`
	Worker    string    `json:"worker,omitempty" cbor:"3,keyasint,omitempty"`
	Domain    string    `json:"failureDomain,omitempty" cbor:"4,keyasint,omitempty"`
	// Since keeps events at or after this time.
	Since time.Time `json:"since,omitzero" cbor:"5,keyasint,omitzero"`
	Types []Type    `json:"types,omitempty" cbor:"6,keyasint,omitempty"`
}

// Match reports whether e is selected.
func (f Filter) Match(e Event) bool {
	return (f.Job == "" || f.Job == e.Job) &&
		(f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Domain == "" || f.Domain == e.Domain) &&
		(f.Since.IsZero() || e.At.Wall >= f.Since.UnixNano()) &&
		(len(f.Types) == 0 || slices.Contains(f.Types, e.Type))
}
