package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// frameType tells requests, answers and cancellations apart: both sides of a
// connection send all three.
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
	// Timeout is the time that is left to the caller; zero means no deadline. A
	// duration is sent because the clocks of two VMs differ.
	Timeout time.Duration `cbor:"6,keyasint,omitempty"`
}

// wireError carries an errkind.Error.
type wireError struct {
	Kind       errkind.Kind  `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

func toWire(err error) *wireError {
	e := errkind.As(err)
	return &wireError{Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter}
}

// toError restores the error; a kind that this VM does not know becomes internal.
func (w *wireError) toError() error {
	kind := errkind.Lookup(w.Kind).Kind
	return errkind.New(kind, "%s", w.Message).WithRetryAfter(w.RetryAfter)
}

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

func decode(body cbor.RawMessage, v any) error {
	if v == nil || len(body) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "message cannot be decoded")
	}
	return nil
}

// encMode keeps sub-second times; the default of CBOR is whole seconds.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()
