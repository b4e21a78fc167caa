// Package peer carries requests between VMs: one WebSocket per pair of VMs in
// use, CBOR frames with an ID, a method and a body, bounded in size and rate.
package peer

import "context"

// MaxFrameBytes bounds one frame between VMs.
const MaxFrameBytes = 1 << 20

// Caller sends requests to other VMs. Call encodes req as CBOR, waits for the
// answer and decodes it into resp (which may be nil). A failed connection
// yields kind unavailable; whether the peer acted is then unknown to the caller.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp any) error
}

// HandlerFunc handles one method; decode fills a value from the request body.
type HandlerFunc func(ctx context.Context, decode func(v any) error) (any, error)

// Registry collects the handlers of a VM.
type Registry interface {
	Handle(method string, h HandlerFunc)
}
