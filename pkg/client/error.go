package client

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

// Error is a problem document that a server sent. It unwraps to an
// *errkind.Error of the same kind.
type Error struct {
	problem.Problem
	Server string // base URL of the server that answered
	// Body is the whole document, for members that belong to one kind only.
	Body json.RawMessage
}

// Error returns kind, detail and request ID.
func (e *Error) Error() string {
	return e.Err().Error() + " (request " + e.RequestID + ")"
}

// Unwrap returns the error with its kind, message and retry hint.
func (e *Error) Unwrap() error { return e.Err() }

// errorOf turns an answer other than a success into an error.
func errorOf(server string, response *http.Response, body []byte) error {
	e := &Error{Server: server}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType) && json.Unmarshal(body, &e.Problem) == nil && e.Kind != "" {
		e.RetryAfter, e.Body = retryAfter(response), body
		return e
	}
	// Something between the client and the system answered.
	kind := errkind.Internal
	if response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusServiceUnavailable {
		kind = errkind.Unavailable
	}
	e.Problem = problem.FromError(errkind.New(kind, "%s answered %s without a problem document", server, response.Status), response.Header.Get("X-Request-Id"))
	e.Ran, e.RetryAfter = errkind.Unknown, retryAfter(response)
	return e
}

func retryAfter(response *http.Response) time.Duration {
	n, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
