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
	id, ch, err := c.addPending()
	if err != nil {
		return nil, err
	}
	defer c.removePending(id)
	f.ID = id
	sentAt := time.Since(c.start)
	data, err := c.encodeFrame(f)
	if err != nil {
		return nil, err
	}
	select {
	case c.sendQueue <- data:
	case <-c.ctx.Done():
		return nil, errkind.New(errkind.Unavailable, "peer %s: connection closed", c.peer)
	case <-ctx.Done():
		return nil, contextError(ctx, c.peer)
	}
	return c.await(ctx, id, ch, sentAt)
}

// await waits for the answer to a call, and cancels the call at the peer if ctx
// ends first. If nothing has arrived since the call was sent, the connection may have
// gone silent, and later calls use a new one.
func (c *conn) await(ctx context.Context, id uint64, ch chan frame, sentAt time.Duration) ([]byte, error) {
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
		if c.peer != "" && errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Duration(c.lastFrame.Load()) < sentAt {
			c.node.link(c.peer).replace(c)
		}
		return nil, contextError(ctx, c.peer)
	}
}

// addPending allocates the ID of a call and the channel that receives its answer.
func (c *conn) addPending() (uint64, chan frame, error) {
	c.touch(&c.lastRequest)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return 0, nil, errkind.New(errkind.Unavailable, "peer %s: connection closed", c.peer)
	}
	if len(c.pending) == 0 {
		c.touch(&c.lastRead) // readIdleTimeout starts with the first pending call
	}
	c.nextID++
	ch := make(chan frame, 1)
	c.pending[c.nextID] = ch
	return c.nextID, ch, nil
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// sendCancel asks the peer to cancel the handler of a call. If the send queue is
// full, the frame is dropped, and the handler runs until the deadline that was
// sent with the request.
func (c *conn) sendCancel(id uint64) {
	data, err := cbor.Marshal(frame{ID: id, Type: frameCancel})
	if err != nil {
		return
	}
	select {
	case c.sendQueue <- data:
	default:
	}
}

// contextError returns the error of a call whose context has ended.
func contextError(ctx context.Context, peer string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "peer %s did not answer in time", peer)
	}
	return errkind.Wrap(ctx.Err(), errkind.Cancelled, "call to peer %s was cancelled", peer)
}
