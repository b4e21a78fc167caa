package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// maxAnswer bounds an answer in bytes; a page of jobs is the largest.
	maxAnswer = 32 << 20
	// rounds is how often each server is tried.
	rounds = 3

	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Request is one HTTP request to the system.
type Request struct {
	Method string
	Path   string // from the root of the server
	Query  url.Values
	Header http.Header
	Body   any // sent as JSON; nil sends no body
	// Idempotent requests are sent to another server even when the first may
	// have acted.
	Idempotent bool
}

// Do sends a request and decodes the JSON answer into out, which may be nil.
// It tries the other servers when the first cannot serve the request and
// trying is safe.
func (c *Client) Do(ctx context.Context, r Request, out any) error {
	body, err := encode(r.Body)
	if err != nil {
		return err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstBackoff, maxBackoff
	first := int(c.preferred.Load())
	var answer []byte
	for i := range rounds * len(c.servers) {
		index := (first + i) % len(c.servers)
		if i > 0 && i%len(c.servers) == 0 {
			hint := min(errkind.As(err).RetryAfter, maxBackoff)
			if sleep(ctx, max(hint, delays.NextBackOff())) != nil {
				return err
			}
		}
		answer, err = c.send(ctx, c.servers[index], r, body)
		if err == nil {
			c.preferred.Store(int64(index))
			return decode(answer, out)
		}
		if ctx.Err() != nil || !mayTryAgain(r, err) {
			return err
		}
	}
	return err
}

func encode(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the request cannot be encoded")
	}
	return body, nil
}

func decode(answer []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errkind.Wrap(err, errkind.Internal, "the answer is not the expected JSON")
	}
	return nil
}

// send makes one attempt at one server.
func (c *Client) send(ctx context.Context, server string, r Request, body []byte) ([]byte, error) {
	target := server + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the request cannot be built")
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, linkError(ctx, err, server)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, linkError(ctx, err, server)
	}
	if len(answer) > maxAnswer {
		return nil, errkind.New(errkind.TooLarge, "the answer of %s exceeds %d bytes", server, maxAnswer)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errorOf(server, response, answer)
	}
	return answer, nil
}

// errNotSent marks a connection that was never opened.
var errNotSent = errors.New("no connection")

func linkError(ctx context.Context, err error, server string) error {
	if ctx.Err() != nil {
		return errkind.Wrap(err, errkind.Timeout, "no answer from %s", server)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(&dialError{err}, errkind.Unavailable, "%s cannot be reached", server)
	}
	return errkind.Wrap(err, errkind.Unavailable, "the connection to %s failed", server)
}

// dialError is a failure before anything was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Is reports that the error matches errNotSent.
func (e *dialError) Is(target error) bool { return target == errNotSent }

// mayTryAgain reports whether another attempt may help and cannot run the
// request twice.
func mayTryAgain(r Request, err error) bool {
	switch errkind.Of(err) {
	case errkind.Unavailable, errkind.StaleEpoch, errkind.Overloaded:
	default:
		return false
	}
	var answered *Error
	if errors.As(err, &answered) {
		return r.Idempotent || answered.Ran == errkind.NotRun
	}
	return r.Idempotent || errors.Is(err, errNotSent)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "the time of the call is over")
	}
}
