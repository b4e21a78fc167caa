package partition

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// recordType is the type of a journal record.
type recordType int

const (
	recordAccepted recordType = iota + 1
	recordClaimed
	recordClaimReleased
	recordCancelRequested
	recordEnded
)

// record is one entry of a partition's journal. Only the fields for its type are set.
type record struct {
	Type recordType `cbor:"1,keyasint"`
	Job  api.JobID  `cbor:"2,keyasint"`
	// Fields of recordAccepted.
	Spec           *api.JobSpec `cbor:"3,keyasint,omitempty"`
	IdempotencyKey string       `cbor:"4,keyasint,omitempty"`
	SpecHash       string       `cbor:"5,keyasint,omitempty"`
	SubmittedAt    time.Time    `cbor:"6,keyasint,omitzero"`
	// Fields of recordClaimed and recordClaimReleased.
	Attempt     int              `cbor:"7,keyasint,omitempty"`
	Domain      string           `cbor:"8,keyasint,omitempty"`
	Allocations []api.Allocation `cbor:"9,keyasint,omitempty"`
	ClaimedAt   time.Time        `cbor:"11,keyasint,omitzero"`
	// Fields of recordEnded.
	Status *api.JobStatus `cbor:"10,keyasint,omitempty"`
}

// encMode encodes times with sub-second precision, because deadlines and waiting
// times are computed from them.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // cannot fail: the options are constant
	}
	return m
}()

func encodeRecord(r record) ([]byte, error) {
	b, err := encMode.Marshal(r)
	return b, errors.Wrap(err, "encode journal record")
}

func decodeRecord(b []byte) (record, error) {
	var r record
	err := cbor.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode journal record")
}

// snapshotRecords returns the records that reproduce the job from a snapshot. A job
// that is not durable has none.
func (j *job) snapshotRecords() []record {
	if !j.durable {
		return nil
	}
	spec := j.status.Spec
	out := []record{{
		Type: recordAccepted, Job: j.status.ID, Spec: &spec, IdempotencyKey: j.idempotencyKey,
		SpecHash: j.specHash, SubmittedAt: j.status.SubmittedAt,
	}}
	if j.claim != nil {
		out = append(out, record{
			Type: recordClaimed, Job: j.status.ID,
			Attempt: j.claim.attempt, Domain: j.claim.domain, Allocations: j.claim.allocations, ClaimedAt: j.claim.claimedAt,
		})
	}
	if j.cancelRequested {
		out = append(out, record{Type: recordCancelRequested, Job: j.status.ID})
	}
	if j.finalStatus != nil {
		out = append(out, endRecord(j))
	}
	return out
}

// endRecord returns the record of the job's end. It omits the job specification,
// which the acceptance record contains and whose payload may be larger than the
// result.
func endRecord(j *job) record {
	end := *j.finalStatus
	end.Spec = api.JobSpec{}
	return record{Type: recordEnded, Job: j.status.ID, Status: &end}
}

// applyRecord replays one journal record during the recovery of the partition.
func (p *Partition) applyRecord(r record) {
	if r.Type == recordAccepted {
		p.applyAccepted(r)
		return
	}
	j, ok := p.jobs[r.Job]
	if !ok {
		return // the job's retention had ended before the record was written
	}
	switch r.Type {
	case recordClaimed:
		j.claim = &claim{attempt: r.Attempt, domain: r.Domain, allocations: r.Allocations, claimedAt: r.ClaimedAt}
		j.status.Attempt = max(j.status.Attempt, r.Attempt)
		j.status.FailureDomain = r.Domain // the domain may report before the attempt is offered again
	case recordClaimReleased:
		if j.claim != nil && j.claim.attempt == r.Attempt {
			j.claim, j.status.FailureDomain = nil, ""
		}
	case recordCancelRequested:
		j.cancelRequested = true
	case recordEnded:
		spec := j.status.Spec
		j.status = *r.Status
		j.status.Spec = spec
		end := j.status
		j.finalStatus = &end
		j.releaseWaiters()
	case recordAccepted: // handled above
	}
}

func (p *Partition) applyAccepted(r record) {
	if _, ok := p.jobs[r.Job]; ok || r.Spec == nil {
		return
	}
	j := newJob(r.Job, *r.Spec, r.SubmittedAt)
	j.idempotencyKey, j.specHash, j.durable = r.IdempotencyKey, r.SpecHash, true
	j.status.Durable = true
	j.markAccepted(nil)
	p.insert(j)
}
