package plan

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// MethodCollect is the peer method by which a VM is asked for the previews of
// the failure domains that it owns and for its proposals.
const MethodCollect = "plan.collect"

// PreviewRequest asks what would happen. Next is the document to come; for an
// action without a change it equals the present one.
type PreviewRequest struct {
	Next *policy.Document `cbor:"1,keyasint"`
	// Action is KindReclaim, KindDefragment or empty for the effects of Next.
	Action    Kind   `cbor:"2,keyasint,omitempty"`
	Workspace string `cbor:"3,keyasint,omitempty"`
	// Domain restricts the answer to one failure domain; empty means all.
	Domain string `cbor:"4,keyasint,omitempty"`
}

// DomainPreview is the answer of one failure domain.
type DomainPreview struct {
	Domain  string   `cbor:"1,keyasint"`
	Effects []Effect `cbor:"2,keyasint,omitempty"`
	// Unmeetable names guarantees that could not be met with the present workers.
	Unmeetable []string `cbor:"3,keyasint,omitempty"`
	// Impossible names guarantees that no state of the fleet can meet; such a
	// plan is refused.
	Impossible []string `cbor:"4,keyasint,omitempty"`
	// Error says why the domain could not answer.
	Error string `cbor:"5,keyasint,omitempty"`
}

// Previewer computes effects without causing them.
type Previewer interface {
	// Preview returns one answer per failure domain. An error means that none
	// could be asked; a single domain that does not answer sets its Error field.
	Preview(ctx context.Context, req PreviewRequest) ([]DomainPreview, error)
}

// JobLister lists jobs; partition.Service fits.
type JobLister interface {
	List(ctx context.Context, req partition.ListRequest) ([]api.JobStatus, error)
}

// Executor carries confirmed plans out. Each method must be idempotent for the
// same plan, because a VM that failed half-way is followed by another. The kind
// not_found says that nothing is left to do; the plan's record notes it.
type Executor interface {
	CancelJob(ctx context.Context, job api.JobID, reason string) error
	// Reclaim and Defragment act in the given failure domain, or in all if empty.
	Reclaim(ctx context.Context, planID, workspace, domain string) error
	Defragment(ctx context.Context, planID, domain string) error
	// ConfirmProposal takes the held action from whichever VM has it and does it.
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

// Store keeps plans where every VM finds them. Errors have the kinds
// not_found, conflict and store_unavailable.
type Store interface {
	Load(ctx context.Context, id string) (StoredPlan, error)
	// Save writes p if the stored version equals p.Version (0: absent) and
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
	// DefaultLifetime is how long a plan can be confirmed.
	DefaultLifetime = 15 * time.Minute
	// DefaultMaxPlans bounds the plans in the store.
	DefaultMaxPlans = 64
	// MaxEffects bounds the effects of a plan, which lists all of them or is
	// refused: 4000 effects of about 180 bytes stay below the store's 1 MiB.
	MaxEffects = 4000
	// MaxRecordBytes bounds one stored plan; the store's limit is 1 MiB.
	MaxRecordBytes = 900 << 10
)
