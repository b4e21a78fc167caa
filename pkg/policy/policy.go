// Package policy holds the operators' configuration document: workspaces with
// tokens, quotas and guarantees, job classes, drained workers and racks, and
// the hold on automation. The document is kept in the platform's store and
// changes only through a confirmed plan.
package policy

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Document is one revision of the configuration.
type Document struct {
	// Revision grows by one with each accepted change and never goes down.
	Revision   int64                `json:"revision" yaml:"revision" cbor:"1,keyasint"`
	Workspaces map[string]Workspace `json:"workspaces" yaml:"workspaces" cbor:"2,keyasint"`
	Classes    map[string]Class     `json:"classes" yaml:"classes" cbor:"3,keyasint"`
	// Operators maps an operator's name to role and token hash.
	Operators map[string]Operator `json:"operators" yaml:"operators" cbor:"4,keyasint"`
	// Drained names workers and racks ("rack:<name>") that get no new work.
	Drained map[string]Drain `json:"drained,omitempty" yaml:"drained,omitempty" cbor:"5,keyasint,omitempty"`
	// Holds maps a workspace, or "*" for the whole system, to a hold on automation.
	Holds map[string]Hold `json:"holds,omitempty" yaml:"holds,omitempty" cbor:"6,keyasint,omitempty"`
	// ChangedBy, ChangedAt and Plan tell where the revision came from.
	ChangedBy string    `json:"changedBy,omitempty" yaml:"-" cbor:"7,keyasint,omitempty"`
	ChangedAt time.Time `json:"changedAt,omitzero" yaml:"-" cbor:"8,keyasint,omitzero"`
	Plan      string    `json:"plan,omitempty" yaml:"-" cbor:"9,keyasint,omitempty"`
	// Token identifies the write, so that a lost answer can be resolved.
	Token string `json:"token,omitempty" yaml:"-" cbor:"10,keyasint,omitempty"`
}

// Workspace is one customer's share of the system.
type Workspace struct {
	// TokenHashes are the hex SHA-256 hashes of the workspace's bearer tokens.
	TokenHashes []string `json:"tokenHashes,omitempty" yaml:"tokenHashes,omitempty" cbor:"1,keyasint,omitempty"`
	Quota       Quota    `json:"quota" yaml:"quota" cbor:"2,keyasint"`
	// Guarantees are shapes that can be reclaimed at any moment.
	Guarantees []Guarantee `json:"guarantees,omitempty" yaml:"guarantees,omitempty" cbor:"3,keyasint,omitempty"`
	// Weight shares spare capacity between workspaces; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty" cbor:"4,keyasint,omitempty"`
}

// Quota limits a workspace; zero means no limit.
type Quota struct {
	// Accelerators and Slots bound what runs at one time.
	Accelerators int `json:"accelerators,omitempty" yaml:"accelerators,omitempty" cbor:"1,keyasint,omitempty"`
	Slots        int `json:"slots,omitempty" yaml:"slots,omitempty" cbor:"2,keyasint,omitempty"`
	// Queued bounds the jobs that wait.
	Queued int `json:"queued,omitempty" yaml:"queued,omitempty" cbor:"3,keyasint,omitempty"`
	// RequestsPerSecond bounds submissions at one VM; the VMs share it equally.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty" cbor:"4,keyasint,omitempty"`
}

// Guarantee is a shape: so many cells, each of Accelerators adjacent
// accelerators at level Adjacency, in one failure domain.
type Guarantee struct {
	Cells         int           `json:"cells" yaml:"cells" cbor:"1,keyasint"`
	Accelerators  int           `json:"accelerators" yaml:"accelerators" cbor:"2,keyasint"`
	Adjacency     api.Adjacency `json:"adjacency" yaml:"adjacency" cbor:"3,keyasint"`
	FailureDomain string        `json:"failureDomain" yaml:"failureDomain" cbor:"4,keyasint"`
}

// Class describes a job class.
type Class struct {
	// Rank orders classes; the lowest rank goes first.
	Rank int `json:"rank" yaml:"rank" cbor:"1,keyasint"`
	// Short marks work that is answered within the call and kept off stragglers.
	Short bool `json:"short,omitempty" yaml:"short,omitempty" cbor:"2,keyasint,omitempty"`
	// StartWithin is the bound on the wait before the start; zero means none.
	StartWithin time.Duration `json:"startWithin,omitempty" yaml:"startWithin,omitempty" cbor:"3,keyasint,omitempty"`
	// MaxAttempts bounds the runs of a repeatable job; 0 means 3.
	MaxAttempts int `json:"maxAttempts,omitempty" yaml:"maxAttempts,omitempty" cbor:"4,keyasint,omitempty"`
	// Sheddable work is refused first when more arrives than can be served.
	Sheddable bool `json:"sheddable,omitempty" yaml:"sheddable,omitempty" cbor:"5,keyasint,omitempty"`
}

// Role is what an operator may do.
type Role string

// Roles, each including those before it.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleAdmin    Role = "admin"
)

// Operator is a person or tool with a role.
type Operator struct {
	Role      Role   `json:"role" yaml:"role" cbor:"1,keyasint"`
	TokenHash string `json:"tokenHash" yaml:"tokenHash" cbor:"2,keyasint"`
}

// Drain says why a worker or rack gets no new work.
type Drain struct {
	Reason string    `json:"reason,omitempty" yaml:"reason,omitempty" cbor:"1,keyasint,omitempty"`
	Since  time.Time `json:"since,omitzero" yaml:"since,omitempty" cbor:"2,keyasint,omitzero"`
}

// Hold stops automatic actions until it is resumed or Until has passed.
type Hold struct {
	Reason string    `json:"reason,omitempty" yaml:"reason,omitempty" cbor:"1,keyasint,omitempty"`
	By     string    `json:"by,omitempty" yaml:"by,omitempty" cbor:"2,keyasint,omitempty"`
	Since  time.Time `json:"since,omitzero" yaml:"since,omitempty" cbor:"3,keyasint,omitzero"`
	Until  time.Time `json:"until,omitzero" yaml:"until,omitempty" cbor:"4,keyasint,omitzero"`
}

// HoldAll is the key of a hold on the whole system.
const HoldAll = "*"

// Held reports whether automation is held for the workspace at time now; an
// empty workspace asks for the whole system.
func (d *Document) Held(workspace string, now time.Time) (Hold, bool) {
	for _, key := range []string{HoldAll, workspace} {
		if h, ok := d.Holds[key]; ok && (h.Until.IsZero() || now.Before(h.Until)) {
			return h, true
		}
	}
	return Hold{}, false
}
