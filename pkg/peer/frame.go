package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// frameType is the kind of a frame. Both VMs of a connection send all kinds.
type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameAnswer
	frameCancel
)

// frame is one WebSocket message.
type frame struct {
	ID     uint64          `cbor:"1,keyasint"`
	Type   frameType       `cbor:"2,keyasint"`
	Method string          `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Error  *wireError      `cbor:"5,keyasint,omitempty"`
	// Timeout is the time until the deadline of the caller; zero means no deadline.
	// It is a duration because the clocks of the two VMs may differ.
	Timeout time.Duration `cbor:"6,keyasint,omitempty"`
}

// wireError is the encoding of an errkind.Error.
type wireError struct {
	Kind       errkind.Kind  `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

func toWireError(err error) *wireError {
	e := errkind.As(err)
	return &wireError{Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter}
}

// toError decodes the error. A kind unknown to this VM becomes internal.
func (w *wireError) toError() error {
	kind := errkind.Lookup(w.Kind).Kind
	return errkind.New(kind, "%s", w.Message).WithRetryAfter(w.RetryAfter)
}

// encode encodes a request or an answer as CBOR; nil becomes an empty body.
func encode(v any) (cbor.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "message cannot be encoded")
	}
	return b, nil
}

// decode decodes a body into v. It does nothing if v is nil or the body is empty.
func decode(body cbor.RawMessage, v any) error {
	if v == nil || len(body) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "message cannot be decoded")
	}
	return nil
}

// encMode encodes times with nanoseconds; the default of the CBOR package is
// whole seconds.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()
