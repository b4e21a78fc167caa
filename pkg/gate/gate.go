// Package gate decides whether an automatic action, such as a preemption or a
// retry, may be taken now; every automatic action has to ask it first. During an
// automation hold the gate permits none and records the refused actions as
// proposals for the operators. It never carries out an action itself.
package gate

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Kind is a kind of automatic action. The list is closed.
type Kind string

// Automatic actions.
const (
	Preempt    Kind = "preempt"
	Reclaim    Kind = "reclaim"
	Move       Kind = "move"
	Hedge      Kind = "hedge"
	Retry      Kind = "retry"
	Quarantine Kind = "quarantine"
	Throttle   Kind = "throttle"
	Rebalance  Kind = "rebalance"
)

// Kinds returns all kinds of automatic actions.
func Kinds() []Kind {
	return []Kind{Preempt, Reclaim, Move, Hedge, Retry, Quarantine, Throttle, Rebalance}
}

// Proposal is an action that was not taken because of an automation hold.
type Proposal struct {
	ID         string        `json:"id" cbor:"1,keyasint"`
	Kind       Kind          `json:"kind" cbor:"2,keyasint"`
	Workspace  string        `json:"workspace,omitempty" cbor:"3,keyasint,omitempty"`
	Job        api.JobID     `json:"job,omitempty" cbor:"4,keyasint,omitempty"`
	Worker     string        `json:"worker,omitempty" cbor:"5,keyasint,omitempty"`
	Domain     string        `json:"failureDomain,omitempty" cbor:"6,keyasint,omitempty"`
	Reason     string        `json:"reason" cbor:"7,keyasint"`
	LostWork   time.Duration `json:"lostWork,omitempty" cbor:"8,keyasint,omitempty"`
	ProposedAt time.Time     `json:"at" cbor:"9,keyasint"`
}
