// Package plan turns an operator's intent into a plan of its configuration
// changes and effects on jobs, and carries out the plan once an operator confirms
// it. Making a plan never changes the configuration or a job.
package plan

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Kind names a kind of intent.
type Kind string

// All kinds of intents.
const (
	KindWorkspace  Kind = "workspace"
	KindGuarantee  Kind = "guarantee"
	KindClass      Kind = "class"
	KindPriority   Kind = "priority"
	KindQuota      Kind = "quota"
	KindOperator   Kind = "operator"
	KindDrain      Kind = "drain"
	KindUndrain    Kind = "undrain"
	KindReclaim    Kind = "reclaim"
	KindDefragment Kind = "defragment"
	KindCancel     Kind = "cancel"
	KindHold       Kind = "hold"
	KindResume     Kind = "resume"
	KindProposals  Kind = "proposals"
)

// Kinds returns all kinds of intents.
func Kinds() []Kind {
	return []Kind{
		KindWorkspace, KindGuarantee, KindClass, KindPriority, KindQuota, KindOperator, KindDrain, KindUndrain,
		KindReclaim, KindDefragment, KindCancel, KindHold, KindResume, KindProposals,
	}
}

// Role returns the role that an operator needs to plan and confirm the kind.
func (k Kind) Role() policy.Role {
	switch k {
	case KindDrain, KindUndrain, KindReclaim, KindDefragment, KindCancel, KindHold, KindResume, KindProposals:
		return policy.RoleOperator
	default:
		return policy.RoleAdmin
	}
}

// Action is the operation of a workspace, class or operator intent.
type Action string

// Actions. The empty action means change.
const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Intent is a change that an operator requests. The type of Spec matches Kind.
type Intent struct {
	Kind Kind `json:"kind"`
	Spec Spec `json:"spec"`
}

// Spec is the content of one kind of intent.
type Spec interface {
	kind() Kind
}

// configSpec is a Spec that changes the configuration document. apply gets the
// creation time of the plan, so that a confirmation builds the same document.
type configSpec interface {
	Spec
	apply(doc *policy.Document, by string, at time.Time) error
}

// actionSpec is a Spec that acts on jobs or confirms held actions and leaves the
// document unchanged.
type actionSpec interface {
	Spec
	check(doc *policy.Document) error
}

// Workspace creates, changes or deletes a workspace. On a change, absent
// fields keep their values.
type Workspace struct {
	Action      Action              `json:"action,omitempty"`
	Name        string              `json:"name"`
	TokenHashes *[]string           `json:"tokenHashes,omitempty"` // hex SHA-256
	Quota       *policy.Quota       `json:"quota,omitempty"`
	Guarantees  *[]policy.Guarantee `json:"guarantees,omitempty"`
	Weight      *float64            `json:"weight,omitempty"`
}

// Guarantee replaces the guarantees of a workspace.
type Guarantee struct {
	Workspace  string             `json:"workspace"`
	Guarantees []policy.Guarantee `json:"guarantees"`
}

// Class creates, changes or deletes a job class. On a change, absent fields
// keep their values.
type Class struct {
	Action      Action    `json:"action,omitempty"`
	Name        string    `json:"name"`
	Rank        *int      `json:"rank,omitempty"`
	Short       *bool     `json:"short,omitempty"`
	StartWithin *Duration `json:"startWithin,omitempty"`
	MaxAttempts *int      `json:"maxAttempts,omitempty"`
	Sheddable   *bool     `json:"sheddable,omitempty"`
}

// Priority changes the rank of a class, the weight of a workspace, or both.
type Priority struct {
	Class     string   `json:"class,omitempty"`
	Rank      *int     `json:"rank,omitempty"` // the lowest rank is scheduled first
	Workspace string   `json:"workspace,omitempty"`
	Weight    *float64 `json:"weight,omitempty"`
}

// Quota changes the quota of a workspace. Absent fields keep their values; zero
// means no limit.
type Quota struct {
	Workspace         string   `json:"workspace"`
	Accelerators      *int     `json:"accelerators,omitempty"`
	Slots             *int     `json:"slots,omitempty"`
	Queued            *int     `json:"queued,omitempty"`
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
}

// Operator creates, changes or deletes an operator.
type Operator struct {
	Action    Action      `json:"action,omitempty"`
	Name      string      `json:"name"`
	Role      policy.Role `json:"role,omitempty"`
	TokenHash string      `json:"tokenHash,omitempty"` // hex SHA-256
}

// Drain stops new work on a worker or a rack.
type Drain struct {
	Worker string `json:"worker,omitempty"`
	Rack   string `json:"rack,omitempty"`
	Reason string `json:"reason"`
}

// Undrain returns a worker or a rack to service.
type Undrain struct {
	Worker string `json:"worker,omitempty"`
	Rack   string `json:"rack,omitempty"`
}

// Reclaim reclaims borrowed cells for the guarantees of a workspace.
type Reclaim struct {
	Workspace     string `json:"workspace"`
	FailureDomain string `json:"failureDomain,omitempty"` // empty: all
}

// Defragment moves jobs so that larger gangs can be placed.
type Defragment struct {
	FailureDomain string `json:"failureDomain,omitempty"` // empty: all
}

// Cancel cancels the jobs that match every field that is set; at least one is
// needed. A plan cancels exactly the jobs that it lists.
type Cancel struct {
	Workspace string    `json:"workspace,omitempty"`
	Class     string    `json:"class,omitempty"`
	State     api.State `json:"state,omitempty"`
	OlderThan Duration  `json:"olderThan,omitempty"` // time since submission
}

// Hold stops automatic actions for one workspace or, if it is empty, for the
// whole system.
type Hold struct {
	Workspace string    `json:"workspace,omitempty"`
	Until     time.Time `json:"until,omitzero"` // zero: until resumed
	Reason    string    `json:"reason"`
}

// Resume ends the hold on one workspace or, if it is empty, on the whole system.
type Resume struct {
	Workspace string `json:"workspace,omitempty"`
}

// Proposals confirms held actions by ID.
type Proposals struct {
	IDs []string `json:"ids"`
}

func (*Workspace) kind() Kind  { return KindWorkspace }
func (*Guarantee) kind() Kind  { return KindGuarantee }
func (*Class) kind() Kind      { return KindClass }
func (*Priority) kind() Kind   { return KindPriority }
func (*Quota) kind() Kind      { return KindQuota }
func (*Operator) kind() Kind   { return KindOperator }
func (*Drain) kind() Kind      { return KindDrain }
func (*Undrain) kind() Kind    { return KindUndrain }
func (*Reclaim) kind() Kind    { return KindReclaim }
func (*Defragment) kind() Kind { return KindDefragment }
func (*Cancel) kind() Kind     { return KindCancel }
func (*Hold) kind() Kind       { return KindHold }
func (*Resume) kind() Kind     { return KindResume }
func (*Proposals) kind() Kind  { return KindProposals }

// newSpec returns an empty Spec of the kind, or nil if the kind is unknown.
func newSpec(k Kind) Spec {
	specs := map[Kind]func() Spec{
		KindWorkspace:  func() Spec { return &Workspace{} },
		KindGuarantee:  func() Spec { return &Guarantee{} },
		KindClass:      func() Spec { return &Class{} },
		KindPriority:   func() Spec { return &Priority{} },
		KindQuota:      func() Spec { return &Quota{} },
		KindOperator:   func() Spec { return &Operator{} },
		KindDrain:      func() Spec { return &Drain{} },
		KindUndrain:    func() Spec { return &Undrain{} },
		KindReclaim:    func() Spec { return &Reclaim{} },
		KindDefragment: func() Spec { return &Defragment{} },
		KindCancel:     func() Spec { return &Cancel{} },
		KindHold:       func() Spec { return &Hold{} },
		KindResume:     func() Spec { return &Resume{} },
		KindProposals:  func() Spec { return &Proposals{} },
	}
	if f, ok := specs[k]; ok {
		return f()
	}
	return nil
}

// NewIntent returns an intent with the given Spec.
func NewIntent(spec Spec) Intent { return Intent{Kind: spec.kind(), Spec: spec} }

// UnmarshalJSON decodes Spec according to Kind. Unknown kinds and fields return
// invalid_request.
func (i *Intent) UnmarshalJSON(data []byte) error {
	var raw struct {
		Kind Kind            `json:"kind"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := decodeStrict(data, &raw); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "the intent needs the fields kind and spec")
	}
	spec := newSpec(raw.Kind)
	if spec == nil {
		return errkind.New(errkind.InvalidRequest, "the intent kind %q is unknown; use one of %v", raw.Kind, Kinds())
	}
	if len(raw.Spec) > 0 {
		if err := decodeStrict(raw.Spec, spec); err != nil {
			return errkind.New(errkind.InvalidRequest, "the spec of the %s intent is malformed: %v", raw.Kind, err)
		}
	}
	i.Kind, i.Spec = raw.Kind, spec
	return nil
}

func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// ParseIntent parses an intent in YAML or JSON. Its errors have the kind
// invalid_request.
func ParseIntent(data []byte) (Intent, error) {
	var tree any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return Intent{}, errkind.New(errkind.InvalidRequest, "the intent is not valid YAML or JSON: %v", err)
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return Intent{}, errkind.Wrap(err, errkind.InvalidRequest, "the intent holds keys that are no text")
	}
	var intent Intent
	if err := json.Unmarshal(text, &intent); err != nil {
		return Intent{}, errkind.As(err)
	}
	return intent, nil
}

// Duration is a time.Duration that is encoded as a string such as "6.1s" or "24h".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(time.Duration(d).String())), nil
}

// UnmarshalJSON decodes the string form.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a text such as "30m"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is no duration such as "30m"`, text)
	}
	*d = Duration(parsed)
	return nil
}
