// Package timeline records what the processes do as events with one record
// type, ordered by a hybrid logical clock.
package timeline

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Type is the closed list of event types.
type Type string

// Event types.
const (
	Admitted       Type = "admitted"
	Queued         Type = "queued" // Reason says why it waits
	Reserved       Type = "reserved"
	Claimed        Type = "claimed"
	Started        Type = "started"
	Checkpointed   Type = "checkpointed"
	Preempted      Type = "preempted"
	Moved          Type = "moved"
	Hedged         Type = "hedged"
	Retried        Type = "retried"
	Ended          Type = "ended"
	Refused        Type = "refused"
	CancelledEvent Type = "cancelled"
	OwnerChanged   Type = "owner_changed"
	ConfigInForce  Type = "config_in_force"
	HoldChanged    Type = "hold_changed"
	Proposed       Type = "proposed"
	Quarantined    Type = "quarantined"
	WorkerState    Type = "worker_state"
	Guarantee      Type = "guarantee" // a guarantee became unmeetable or meetable
	StoreOutage    Type = "store_outage"
	MemberState    Type = "member_state"
	PlanMade       Type = "plan_made"
	PlanConfirmed  Type = "plan_confirmed"
)

// Timestamp is a hybrid logical clock reading: wall time in nanoseconds and a
// counter that orders readings with the same wall time.
type Timestamp struct {
	Wall    int64  `json:"wall" cbor:"1,keyasint"`
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Time returns the wall part.
func (t Timestamp) Time() time.Time { return time.Unix(0, t.Wall).UTC() }

// Less orders two timestamps.
func (t Timestamp) Less(o Timestamp) bool {
	if t.Wall != o.Wall {
		return t.Wall < o.Wall
	}
	return t.Logical < o.Logical
}

// Event is one record of the time line.
type Event struct {
	At Timestamp `json:"at" cbor:"1,keyasint"`
	VM string    `json:"vm" cbor:"2,keyasint"`
	// Seq counts the events of one VM's incarnation from 1; a gap in it shows lost events.
	Seq         uint64    `json:"seq" cbor:"3,keyasint"`
	Incarnation int64     `json:"incarnation" cbor:"4,keyasint"`
	Type        Type      `json:"type" cbor:"5,keyasint"`
	Job         api.JobID `json:"job,omitempty" cbor:"6,keyasint,omitempty"`
	Workspace   string    `json:"workspace,omitempty" cbor:"7,keyasint,omitempty"`
	Worker      string    `json:"worker,omitempty" cbor:"8,keyasint,omitempty"`
	Domain      string    `json:"failureDomain,omitempty" cbor:"9,keyasint,omitempty"`
	Reason      string    `json:"reason,omitempty" cbor:"10,keyasint,omitempty"`
	// By names the operator, job or rule that caused the event.
	By string `json:"by,omitempty" cbor:"11,keyasint,omitempty"`
}

// Recorder takes events; it fills in At, VM, Seq and Incarnation.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record drops e.
func (Discard) Record(Event) {}
