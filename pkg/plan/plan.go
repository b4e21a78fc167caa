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

// EffectKind is the closed list of what a plan does to a job.
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
	// LostWork estimates the work that the effect throws away.
	LostWork time.Duration `json:"lostWork,omitempty" cbor:"6,keyasint,omitempty"`
	// Proposal is the ID of the held action, for a proposals intent.
	Proposal string `json:"proposal,omitempty" cbor:"7,keyasint,omitempty"`
}

// Plan is what an intent would change. It does not change after it was made;
// Hash covers every other field.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the revision of the configuration on which the plan rests.
	Base      int64     `json:"base"`
	MadeBy    string    `json:"madeBy"`
	MadeAt    time.Time `json:"madeAt"`
	ExpiresAt time.Time `json:"expiresAt"`
	// Changes is the difference of the configuration; secrets are redacted.
	Changes []policy.Change `json:"changes,omitempty"`
	Effects []Effect        `json:"effects,omitempty"`
	// Unmeetable names guarantees that could not be met any more.
	Unmeetable []string `json:"unmeetable,omitempty"`
	// LostWork is the sum over the effects.
	LostWork time.Duration `json:"lostWork,omitempty"`
	// Warnings name failure domains whose effects are not known, and the like.
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

// verify returns plan_tampered unless the hash fits the content and, if given,
// the hash that the operator saw.
func (p *Plan) verify(seen string) error {
	h, err := p.hash()
	if err != nil {
		return err
	}
	if !equal(h, p.Hash) || (seen != "" && !equal(seen, p.Hash)) {
		return errkind.New(errkind.PlanTampered, "the content of plan %s differs from what was made; make a new plan", p.ID)
	}
	return nil
}

func equal(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// State is how far a plan has come.
type State string

// States of a plan. An applied plan has taken effect completely; a confirmed
// one has been decided and is being carried out.
const (
	StateOpen      State = "open"
	StateConfirmed State = "confirmed"
	StateApplied   State = "applied"
	// StateExpired and StateOutdated are shown for open plans and never stored.
	StateExpired  State = "expired"
	StateOutdated State = "outdated" // another change came first
)

// Record is a plan with what became of it, as it is kept in the store.
type Record struct {
	Plan        Plan      `json:"plan"`
	State       State     `json:"state"`
	ConfirmedBy string    `json:"confirmedBy,omitempty"`
	ConfirmedAt time.Time `json:"confirmedAt,omitzero"`
	// Revision is the configuration revision that the plan produced, if any.
	Revision int64 `json:"revision,omitempty"`
	// Failures are the effects that could not be carried out, with the reason.
	Failures []string `json:"failures,omitempty"`
	// Notes name effects for which there was nothing left to do.
	Notes []string `json:"notes,omitempty"`
}

// at returns the record with the state that it has at time now.
func (r Record) at(now time.Time) Record {
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

// OutdatedError says that another change came first. Its kind is plan_outdated.
type OutdatedError struct {
	err *errkind.Error
	// Changed are the revisions since the plan's base that this VM has seen.
	Changed []Revision
	// Fresh is a plan for the same intent on the present revision; nil when the
	// intent is no longer possible, and FreshError then says why.
	Fresh      *Plan
	FreshError string
}

// Error returns the text of the plan_outdated error.
func (e *OutdatedError) Error() string { return e.err.Error() }

// Unwrap returns the plan_outdated error.
func (e *OutdatedError) Unwrap() error { return e.err }

// Redacted returns a copy of the plan for display, without token hashes. Hash
// stays that of the original.
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
