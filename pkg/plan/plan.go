package plan

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// EffectKind is the kind of an effect of a plan.
type EffectKind string

// Effects.
const (
	EffectPreempt EffectKind = "preempt"
	EffectMove    EffectKind = "move"
	EffectRefuse  EffectKind = "refuse"
	EffectCancel  EffectKind = "cancel"
	EffectOther   EffectKind = "other" // a confirmed proposal that concerns no job, such as quarantine
)

// Effect is what a plan would do to one job.
type Effect struct {
	Kind      EffectKind `json:"kind" cbor:"1,keyasint"`
	Job       api.JobID  `json:"job,omitempty" cbor:"2,keyasint,omitempty"`
	Workspace string     `json:"workspace,omitempty" cbor:"3,keyasint,omitempty"`
	Domain    string     `json:"failureDomain,omitempty" cbor:"4,keyasint,omitempty"`
	Reason    string     `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
	// LostWork estimates the work that is lost by the effect.
	LostWork time.Duration `json:"lostWork,omitempty" cbor:"6,keyasint,omitempty"`
	// Proposal is the ID of the held action, for a proposals intent.
	Proposal string `json:"proposal,omitempty" cbor:"7,keyasint,omitempty"`
}

// Plan lists the changes and effects of an intent. It is immutable once made;
// Hash covers every other field.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the configuration revision that the plan was computed from.
	Base      int64     `json:"base"`
	MadeBy    string    `json:"madeBy"`
	MadeAt    time.Time `json:"madeAt"`
	ExpiresAt time.Time `json:"expiresAt"`
	// Changes is the configuration diff, with secrets redacted.
	Changes []policy.Change `json:"changes,omitempty"`
	Effects []Effect        `json:"effects,omitempty"`
	// Unmeetable names guarantees that could no longer be met.
	Unmeetable []string `json:"unmeetable,omitempty"`
	// LostWork is the total lost work of all effects.
	LostWork time.Duration `json:"lostWork,omitempty"`
	// Warnings name failure domains whose effects are unknown.
	Warnings []string `json:"warnings,omitempty"`
	Hash     string   `json:"hash"`
}

// hash returns the hex SHA-256 of the plan without its Hash field.
func (p *Plan) hash() (string, error) {
	c := *p
	c.Hash = ""
	data, err := json.Marshal(&c)
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "encode the plan")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// verifyHash returns plan_tampered unless Hash matches the content and, if seen
// is not empty, the hash that the operator saw.
func (p *Plan) verifyHash(seen string) error {
	h, err := p.hash()
	if err != nil {
		return err
	}
	if !hashEqual(h, p.Hash) || (seen != "" && !hashEqual(seen, p.Hash)) {
		return errkind.New(errkind.PlanTampered, "the content of plan %s differs from what was made; make a new plan", p.ID)
	}
	return nil
}

func hashEqual(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// State is the lifecycle state of a plan.
type State string

// States of a plan. All effects of an applied plan are complete; a confirmed
// plan is being carried out.
const (
	StateOpen      State = "open"
	StateConfirmed State = "confirmed"
	StateApplied   State = "applied"
	// StateExpired and StateOutdated are derived for open plans and never stored.
	StateExpired  State = "expired"
	StateOutdated State = "outdated" // a later configuration revision is in force
)

// Record is a stored plan with its state and the result of its confirmation.
type Record struct {
	Plan        Plan      `json:"plan"`
	State       State     `json:"state"`
	ConfirmedBy string    `json:"confirmedBy,omitempty"`
	ConfirmedAt time.Time `json:"confirmedAt,omitzero"`
	// Revision is the configuration revision that the plan produced, if any.
	Revision int64 `json:"revision,omitempty"`
	// Failures lists the effects that failed, with the reason.
	Failures []string `json:"failures,omitempty"`
	// Notes lists the effects that needed no action any more.
	Notes []string `json:"notes,omitempty"`
}

// withStateAt returns the record with StateExpired if it is open and has expired
// at time now.
func (r Record) withStateAt(now time.Time) Record {
	if r.State == StateOpen && !now.Before(r.Plan.ExpiresAt) {
		r.State = StateExpired
	}
	return r
}

// Revision is one accepted change of the configuration.
type Revision struct {
	Revision  int64           `json:"revision"`
	ChangedBy string          `json:"changedBy,omitempty"`
	ChangedAt time.Time       `json:"changedAt,omitzero"`
	Plan      string          `json:"plan,omitempty"`
	Changes   []policy.Change `json:"changes,omitempty"`
}

// OutdatedError reports that the configuration or the affected jobs changed after
// the plan was made. Its kind is plan_outdated.
type OutdatedError struct {
	err *errkind.Error
	// Changed lists the revisions after the plan's base that this VM has seen.
	Changed []Revision
	// Fresh is a new plan for the same intent on the current revision. It is nil if
	// no new plan could be made; FreshError then has the reason.
	Fresh      *Plan
	FreshError string
}

// Error returns the text of the plan_outdated error.
func (e *OutdatedError) Error() string { return e.err.Error() }

// Unwrap returns the plan_outdated error.
func (e *OutdatedError) Unwrap() error { return e.err }

// Redacted returns a copy of the plan for display, without token hashes. Hash
// remains the hash of the original.
func (p Plan) Redacted() Plan {
	switch spec := p.Intent.Spec.(type) {
	case *Workspace:
		c := *spec
		if c.TokenHashes != nil {
			hidden := make([]string, len(*c.TokenHashes))
			for i := range hidden {
				hidden[i] = redacted
			}
			c.TokenHashes = &hidden
		}
		p.Intent.Spec = &c
	case *Operator:
		c := *spec
		if c.TokenHash != "" {
			c.TokenHash = redacted
		}
		p.Intent.Spec = &c
	}
	return p
}

const redacted = "(redacted)"
