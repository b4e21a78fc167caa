package plan

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// MethodCollect is the peer method that collects previews and proposals from a
// VM, confirms a proposal, and starts a reclaim or defragmentation in the failure
// domains that the VM owns.
const MethodCollect = "plan.collect"

// PreviewRequest requests the effects of a configuration change or an action.
// Next is the new document; for an action it is the current document.
type PreviewRequest struct {
	Next *policy.Document `cbor:"1,keyasint"`
	// Action is KindReclaim, KindDefragment or empty for the effects of Next.
	Action    Kind   `cbor:"2,keyasint,omitempty"`
	Workspace string `cbor:"3,keyasint,omitempty"`
	// Domain restricts the preview to one failure domain; empty means all.
	Domain string `cbor:"4,keyasint,omitempty"`
}

// DomainPreview is the preview of one failure domain.
type DomainPreview struct {
	Domain  string   `cbor:"1,keyasint"`
	Effects []Effect `cbor:"2,keyasint,omitempty"`
	// Unmeetable names guarantees that could not be met with the current workers.
	Unmeetable []string `cbor:"3,keyasint,omitempty"`
	// Impossible names guarantees that no state of the fleet can meet. A plan that
	// newly makes a guarantee impossible is rejected.
	Impossible []string `cbor:"4,keyasint,omitempty"`
	// Error is the reason why the domain has no preview.
	Error string `cbor:"5,keyasint,omitempty"`
}

// Previewer computes effects without applying them.
type Previewer interface {
	// Preview returns one DomainPreview per failure domain. It returns an error only
	// if no domain could be queried; a failure of one domain sets its Error field.
	Preview(ctx context.Context, req PreviewRequest) ([]DomainPreview, error)
}

// JobLister lists jobs; partition.Service implements it.
type JobLister interface {
	List(ctx context.Context, req partition.ListRequest) ([]api.JobStatus, error)
}

// Executor carries out confirmed plans. Each method must be idempotent for the
// same plan, because another VM repeats the execution if a VM fails part-way. An
// error of kind not_found means that no action is needed any more; it is recorded
// in Record.Notes.
type Executor interface {
	CancelJob(ctx context.Context, job api.JobID, reason string) error
	// Reclaim and Defragment act in the given failure domain, or in all if it is empty.
	Reclaim(ctx context.Context, planID, workspace, domain string) error
	Defragment(ctx context.Context, planID, domain string) error
	// ConfirmProposal executes the held action on the VM that holds it.
	ConfirmProposal(ctx context.Context, proposal string) error
}

// ProposalLister returns the held actions of all VMs, oldest first.
type ProposalLister interface {
	Proposals(ctx context.Context) ([]gate.Proposal, error)
}

// StoredPlan is one entry of a Store.
type StoredPlan struct {
	ID      string
	Data    []byte
	Version int64
}

// Store holds plans and is shared by all VMs. Errors have the kinds
// not_found, conflict and store_unavailable.
type Store interface {
	Load(ctx context.Context, id string) (StoredPlan, error)
	// Save writes p if the stored version equals p.Version (0: not stored yet) and
	// returns the new version.
	Save(ctx context.Context, p StoredPlan) (int64, error)
	Delete(ctx context.Context, id string, version int64) error
	List(ctx context.Context) ([]StoredPlan, error)
}

// Actor is the operator who makes or confirms a plan.
type Actor struct {
	Name string
	Role policy.Role
}

// Defaults of Options.
const (
	// DefaultLifetime is the time after which an open plan expires.
	DefaultLifetime = 15 * time.Minute
	// DefaultMaxPlans limits the number of plans in the store.
	DefaultMaxPlans = 64
	// MaxEffects limits the effects of a plan. A plan with more is rejected, since a
	// plan must list all effects: 4000 effects of about 180 bytes stay below the
	// store's limit of 1 MiB.
	MaxEffects = 4000
	// MaxRecordBytes limits the size of a stored plan; the store's limit is 1 MiB.
	MaxRecordBytes = 900 << 10
)
