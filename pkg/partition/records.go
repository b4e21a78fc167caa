package partition

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// recordType is the closed list of journal records.
type recordType int

const (
	recordAccepted recordType = iota + 1
	recordClaimed
	recordClaimReleased
	recordCancelRequested
	recordEnded
)

// record is one entry of a partition's journal. Only the fields of its type are set.
type record struct {
	Type recordType `cbor:"1,keyasint"`
	Job  api.JobID  `cbor:"2,keyasint"`
	// Accepted.
	Spec        *api.JobSpec `cbor:"3,keyasint,omitempty"`
	Key         string       `cbor:"4,keyasint,omitempty"`
	SpecHash    string       `cbor:"5,keyasint,omitempty"`
	SubmittedAt time.Time    `cbor:"6,keyasint,omitzero"`
	// Claimed and ClaimReleased.
	Attempt int              `cbor:"7,keyasint,omitempty"`
	Domain  string           `cbor:"8,keyasint,omitempty"`
	Places  []api.Allocation `cbor:"9,keyasint,omitempty"`
	At      time.Time        `cbor:"11,keyasint,omitzero"`
	// Ended.
	Status *api.JobStatus `cbor:"10,keyasint,omitempty"`
}

// encMode keeps sub-second times: deadlines and waits are measured with them.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // constant options
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

// records returns what a snapshot must keep of the job.
func (j *job) records() []record {
	if !j.durable {
		return nil
	}
	spec := j.status.Spec
	out := []record{{
		Type: recordAccepted, Job: j.status.ID, Spec: &spec, Key: j.key,
		SpecHash: j.specHash, SubmittedAt: j.status.SubmittedAt,
	}}
	if j.claim != nil {
		out = append(out, record{
			Type: recordClaimed, Job: j.status.ID,
			Attempt: j.claim.attempt, Domain: j.claim.domain, Places: j.claim.places, At: j.claim.at,
		})
	}
	if j.cancelRequested {
		out = append(out, record{Type: recordCancelRequested, Job: j.status.ID})
	}
	if j.end != nil {
		out = append(out, endRecord(j))
	}
	return out
}

// endRecord leaves the specification out: it stands in the record of the
// acceptance, and its payload may be larger than the result.
func endRecord(j *job) record {
	end := *j.end
	end.Spec = api.JobSpec{}
	return record{Type: recordEnded, Job: j.status.ID, Status: &end}
}

// apply replays one journal record on the state of a recovering partition.
func (p *Partition) apply(r record) {
	if r.Type == recordAccepted {
		p.applyAccepted(r)
		return
	}
	j, ok := p.jobs[r.Job]
	if !ok {
		return // its retention had ended when the record was written
	}
	switch r.Type {
	case recordClaimed:
		j.claim = &claim{attempt: r.Attempt, domain: r.Domain, places: r.Places, at: r.At}
		j.status.Attempt = max(j.status.Attempt, r.Attempt)
		j.status.FailureDomain = r.Domain // which may report before the attempt is offered again
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
		j.end = &end
		j.finish()
	case recordAccepted: // handled above
	}
}

func (p *Partition) applyAccepted(r record) {
	if _, ok := p.jobs[r.Job]; ok || r.Spec == nil {
		return
	}
	j := newJob(r.Job, *r.Spec, r.SubmittedAt)
	j.key, j.specHash, j.durable = r.Key, r.SpecHash, true
	j.status.Durable = true
	j.markAccepted(nil)
	p.insert(j)
}
