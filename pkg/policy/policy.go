// Package policy defines the operators' configuration document: workspaces with
// tokens, quotas and guarantees, job classes, drained workers and racks, and
// automation holds. It loads, validates, compares and queries documents. The
// document is stored in the platform's store and changes only through a
// confirmed plan; this package never reads or writes the store.
package policy

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Document is one revision of the configuration.
type Document struct {
	// Revision increases by one with each accepted change and never decreases.
	Revision   int64                `json:"revision" yaml:"revision" cbor:"1,keyasint"`
	Workspaces map[string]Workspace `json:"workspaces" yaml:"workspaces" cbor:"2,keyasint"`
	Classes    map[string]Class     `json:"classes" yaml:"classes" cbor:"3,keyasint"`
	// Operators maps the name of an operator to the role and the token hash.
	Operators map[string]Operator `json:"operators" yaml:"operators" cbor:"4,keyasint"`
	// Drained maps the ID of a worker, or "rack:<name>" for a whole rack, to a
	// drain; no new work is placed there.
	Drained map[string]Drain `json:"drained,omitempty" yaml:"drained,omitempty" cbor:"5,keyasint,omitempty"`
	// Holds maps a workspace, or "*" for the whole system, to an automation hold.
	Holds map[string]Hold `json:"holds,omitempty" yaml:"holds,omitempty" cbor:"6,keyasint,omitempty"`
	// ChangedBy, ChangedAt and Plan record who made this revision, when, and
	// through which plan.
	ChangedBy string    `json:"changedBy,omitempty" yaml:"-" cbor:"7,keyasint,omitempty"`
	ChangedAt time.Time `json:"changedAt,omitzero" yaml:"-" cbor:"8,keyasint,omitzero"`
	Plan      string    `json:"plan,omitempty" yaml:"-" cbor:"9,keyasint,omitempty"`
	// Token identifies the write. A writer that got no answer from the store
	// compares it to find out whether its write was applied.
	Token string `json:"token,omitempty" yaml:"-" cbor:"10,keyasint,omitempty"`
}

// Workspace holds the tokens, limits and guarantees of one customer.
type Workspace struct {
	// TokenHashes are the hex SHA-256 hashes of the workspace's bearer tokens.
	TokenHashes []string `json:"tokenHashes,omitempty" yaml:"tokenHashes,omitempty" cbor:"1,keyasint,omitempty"`
	Quota       Quota    `json:"quota" yaml:"quota" cbor:"2,keyasint"`
	// Guarantees are capacities that the workspace can reclaim at any time from
	// those that borrow them.
	Guarantees []Guarantee `json:"guarantees,omitempty" yaml:"guarantees,omitempty" cbor:"3,keyasint,omitempty"`
	// Weight is the weight of the workspace in the fair sharing of spare
	// capacity; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty" cbor:"4,keyasint,omitempty"`
}

// Quota limits a workspace; zero means no limit.
type Quota struct {
	// Accelerators and Slots limit the concurrent use by running jobs.
	Accelerators int `json:"accelerators,omitempty" yaml:"accelerators,omitempty" cbor:"1,keyasint,omitempty"`
	Slots        int `json:"slots,omitempty" yaml:"slots,omitempty" cbor:"2,keyasint,omitempty"`
	// Queued limits the number of queued jobs.
	Queued int `json:"queued,omitempty" yaml:"queued,omitempty" cbor:"3,keyasint,omitempty"`
	// RequestsPerSecond limits the rate of submissions; each VM enforces an
	// equal share of it.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty" cbor:"4,keyasint,omitempty"`
}

// Guarantee is reserved capacity in one failure domain: a number of cells, each
// of Accelerators accelerators that are adjacent at the level Adjacency.
type Guarantee struct {
	Cells         int           `json:"cells" yaml:"cells" cbor:"1,keyasint"`
	Accelerators  int           `json:"accelerators" yaml:"accelerators" cbor:"2,keyasint"`
	Adjacency     api.Adjacency `json:"adjacency" yaml:"adjacency" cbor:"3,keyasint"`
	FailureDomain string        `json:"failureDomain" yaml:"failureDomain" cbor:"4,keyasint"`
}

// Class describes a job class.
type Class struct {
	// Rank is the scheduling order of the class; the lowest rank goes first.
	Rank int `json:"rank" yaml:"rank" cbor:"1,keyasint"`
	// Short marks jobs whose submitting call waits for the result by default, and
	// which are kept off stragglers.
	Short bool `json:"short,omitempty" yaml:"short,omitempty" cbor:"2,keyasint,omitempty"`
	// StartWithin is the longest allowed wait before the start; zero means no limit.
	StartWithin time.Duration `json:"startWithin,omitempty" yaml:"startWithin,omitempty" cbor:"3,keyasint,omitempty"`
	// MaxAttempts limits the attempts of a job that may be repeated; 0 means 3.
	MaxAttempts int `json:"maxAttempts,omitempty" yaml:"maxAttempts,omitempty" cbor:"4,keyasint,omitempty"`
	// Sheddable marks jobs that are rejected first under overload.
	Sheddable bool `json:"sheddable,omitempty" yaml:"sheddable,omitempty" cbor:"5,keyasint,omitempty"`
}

// Role is the permission level of an operator.
type Role string

// Roles, each including those before it.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleAdmin    Role = "admin"
)

// Operator is a person or a tool that may call the admin API.
type Operator struct {
	Role      Role   `json:"role" yaml:"role" cbor:"1,keyasint"`
	TokenHash string `json:"tokenHash" yaml:"tokenHash" cbor:"2,keyasint"`
}

// Drain records why and since when a worker or rack gets no new work.
type Drain struct {
	Reason string    `json:"reason,omitempty" yaml:"reason,omitempty" cbor:"1,keyasint,omitempty"`
	Since  time.Time `json:"since,omitzero" yaml:"since,omitempty" cbor:"2,keyasint,omitzero"`
}

// Hold suspends automatic actions until an operator resumes them or Until has
// passed; a zero Until means no expiry.
type Hold struct {
	Reason string    `json:"reason,omitempty" yaml:"reason,omitempty" cbor:"1,keyasint,omitempty"`
	By     string    `json:"by,omitempty" yaml:"by,omitempty" cbor:"2,keyasint,omitempty"`
	Since  time.Time `json:"since,omitzero" yaml:"since,omitempty" cbor:"3,keyasint,omitzero"`
	Until  time.Time `json:"until,omitzero" yaml:"until,omitempty" cbor:"4,keyasint,omitzero"`
}

// HoldAll is the key of an automation hold on the whole system.
const HoldAll = "*"

// Held returns the hold that suspends automation for the workspace at time now,
// and whether there is one. For an empty workspace it checks only the hold on
// the whole system.
func (d *Document) Held(workspace string, now time.Time) (Hold, bool) {
	for _, key := range []string{HoldAll, workspace} {
		if h, ok := d.Holds[key]; ok && (h.Until.IsZero() || now.Before(h.Until)) {
			return h, true
		}
	}
	return Hold{}, false
}
