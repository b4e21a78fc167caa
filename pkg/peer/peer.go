// Package peer is the RPC layer between VMs. Components of a VM register method
// handlers with Registry and call other VMs through Caller. CBOR frames travel
// in both directions over one WebSocket per pair of VMs; their size and the rate
// of requests are limited. The package never retries a request.
package peer

import (
	"context"
	"errors"
)

// MaxFrameBytes is the default maximum size of a frame.
const MaxFrameBytes = 1 << 20

// ErrAnswerLost is the cause of an unavailable error when the connection broke
// after the request was queued for sending, so the peer may have executed it. An
// unavailable error without this cause means that the request was not sent.
var ErrAnswerLost = errors.New("connection broke before the answer arrived")

// Caller sends requests to other VMs. Call encodes req as CBOR, waits for the
// answer and decodes it into resp, which may be nil. If the connection fails,
// Call returns an error of kind unavailable, with the cause ErrAnswerLost if the
// peer may have executed the request. If ctx ends after the connection
// is established, the kind is timeout or cancelled.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// HandlerFunc handles requests of one method and returns the answer to encode.
// decode decodes the request body into v.
type HandlerFunc func(ctx context.Context, decode func(v any) error) (any, error)

// Registry registers the method handlers of a VM.
type Registry interface {
	Handle(method string, h HandlerFunc)
}
