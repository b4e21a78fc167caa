// Package httpjson encodes and decodes JSON bodies and errkind errors over HTTP.
// The HTTP handlers and clients of the emulated platform and targets use it.
package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// maxProblemBytes limits how much of an error response is read.
const maxProblemBytes = 64 << 10

// problem is the body of an error response; retryAfter is in nanoseconds.
type problem struct {
	Kind       errkind.Kind  `json:"kind"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// NewEngine returns a gin engine without access log and recovery middleware: on
// a panic net/http closes the connection, as a crash would.
func NewEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// Fail writes an error response with the kind, message and retry delay of err.
func Fail(c *gin.Context, err error) {
	e := errkind.As(err)
	c.AbortWithStatusJSON(errkind.Lookup(e.Kind).Status, problem{Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter})
}

// Answer writes v as JSON, or an error response if err is not nil.
func Answer(c *gin.Context, v any, err error) {
	if err != nil {
		Fail(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}

// Decode decodes a JSON request body of at most limit bytes into v. Errors have
// kind too_large or invalid_request.
func Decode(c *gin.Context, limit int64, v any) error {
	body, err := ReadBody(c, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "the body is not the expected JSON")
	}
	return nil
}

// ReadBody reads a request body of at most limit bytes. Errors have kind
// too_large or invalid_request.
func ReadBody(c *gin.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the body cannot be read")
	}
	return body, nil
}

// ReadError returns the error in a response, or nil if its status is below 400.
// The error has kind fallback if the body cannot be read or decoded, or if its
// kind is unknown or internal.
func ReadError(resp *http.Response, fallback errkind.Kind) error {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return errkind.Wrap(err, fallback, "the error answer with status %d broke off", resp.StatusCode)
	}
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return errkind.Wrap(err, fallback, "status %d without a readable error", resp.StatusCode)
	}
	if p.Kind == errkind.Internal || errkind.Lookup(p.Kind).Kind != p.Kind {
		return errkind.New(fallback, "status %d: %s: %s", resp.StatusCode, p.Kind, p.Message)
	}
	return errkind.New(p.Kind, "%s", p.Message).WithRetryAfter(p.RetryAfter)
}

// ReadAnswer decodes a response of at most limit bytes into v and reads the body
// to its end so that the connection can be reused. If v is nil, the body is
// discarded. Transport and decoding errors have kind fallback. The caller closes
// the body.
func ReadAnswer(resp *http.Response, limit int64, v any, fallback errkind.Kind) error {
	if err := ReadError(resp, fallback); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errkind.Wrap(err, fallback, "the answer broke off")
	}
	if int64(len(body)) > limit {
		return errkind.New(fallback, "the answer exceeds %d bytes", limit)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errkind.Wrap(err, fallback, "the answer cannot be decoded")
	}
	return nil
}
