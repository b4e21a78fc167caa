// Package peer carries requests between VMs: one WebSocket per pair of VMs in
// use, CBOR frames with an ID, a method and a body, bounded in size and rate.
package peer

import (
	"context"
	"errors"
)

// MaxFrameBytes bounds one frame between VMs.
const MaxFrameBytes = 1 << 20

// ErrAnswerLost is the cause of an unavailable error when the connection broke
// after the request had been sent: the peer may have acted. Without this cause
// an unavailable error means that the request was not sent.
var ErrAnswerLost = errors.New("connection broke before the answer arrived")

// Caller sends requests to other VMs. Call encodes req as CBOR, waits for the
// answer and decodes it into resp (which may be nil). A failed connection
// yields kind unavailable, with the cause ErrAnswerLost if the peer may have
// acted. The end of ctx yields kind timeout or cancelled.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// HandlerFunc handles one method; decode fills a value from the request body.
type HandlerFunc func(ctx context.Context, decode func(v any) error) (any, error)

// Registry collects the handlers of a VM.
type Registry interface {
	Handle(method string, h HandlerFunc)
}
