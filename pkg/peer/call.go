package peer

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// call sends one request and waits for its answer.
func (c *conn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	f := frame{Type: frameRequest, Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.Timeout = max(time.Until(deadline), time.Nanosecond)
	}
	id, ch, err := c.register()
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
	f.ID = id
	data, err := c.encodeFrame(f)
	if err != nil {
		return nil, err
	}
	select {
	case c.out <- data:
	case <-c.ctx.Done():
		return nil, errkind.New(errkind.Unavailable, "peer %s: connection closed", c.peer)
	case <-ctx.Done():
		return nil, contextError(ctx, c.peer)
	}
	return c.await(ctx, id, ch)
}

func (c *conn) await(ctx context.Context, id uint64, ch chan frame) ([]byte, error) {
	select {
	case f, ok := <-ch:
		if !ok {
			return nil, errkind.Wrap(ErrAnswerLost, errkind.Unavailable, "peer %s: connection closed", c.peer)
		}
		if f.Error != nil {
			return nil, f.Error.toError()
		}
		return f.Body, nil
	case <-ctx.Done():
		c.sendCancel(id)
		return nil, contextError(ctx, c.peer)
	}
}

func (c *conn) register() (uint64, chan frame, error) {
	c.touch(&c.lastUse)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return 0, nil, errkind.New(errkind.Unavailable, "peer %s: connection closed", c.peer)
	}
	if len(c.pending) == 0 {
		c.touch(&c.lastRead) // silence is counted while a call is open
	}
	c.nextID++
	ch := make(chan frame, 1)
	c.pending[c.nextID] = ch
	return c.nextID, ch, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// sendCancel is dropped when the send queue is full: the peer's handler then
// ends with the deadline that came with the request.
func (c *conn) sendCancel(id uint64) {
	data, err := cbor.Marshal(frame{ID: id, Type: frameCancel})
	if err != nil {
		return
	}
	select {
	case c.out <- data:
	default:
	}
}

func contextError(ctx context.Context, peer string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "peer %s did not answer in time", peer)
	}
	return errkind.Wrap(ctx.Err(), errkind.Cancelled, "call to peer %s was cancelled", peer)
}
