// Package httpjson carries JSON bodies and errors with a kind over HTTP
// between the stand-ins and their clients.
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

// maxProblemBytes bounds the part of an error answer that is read.
const maxProblemBytes = 64 << 10

// problem is the body of an error answer; retryAfter is in nanoseconds.
type problem struct {
	Kind       errkind.Kind  `json:"kind"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// NewEngine returns a gin engine without access log. It recovers from no
// panic: net/http then breaks the connection off, as a crash would.
func NewEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// Fail answers with the kind and the message of err.
func Fail(c *gin.Context, err error) {
	e := errkind.As(err)
	c.AbortWithStatusJSON(errkind.Lookup(e.Kind).Status, problem{Kind: e.Kind, Message: e.Message, RetryAfter: e.RetryAfter})
}

// Answer writes v as JSON, or the error if there is one.
func Answer(c *gin.Context, v any, err error) {
	if err != nil {
		Fail(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}

// Decode reads a JSON body of at most limit bytes into v; errors have the
// kinds too_large and invalid_request.
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

// ReadBody reads a body of at most limit bytes; errors have the kinds
// too_large and invalid_request.
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

// ReadError returns the error that an answer carries, nil for an answer
// without error, or an error of kind unclear if the answer names no listed kind
// or the kind internal.
func ReadError(resp *http.Response, unclear errkind.Kind) error {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return errkind.Wrap(err, unclear, "the error answer with status %d broke off", resp.StatusCode)
	}
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return errkind.Wrap(err, unclear, "status %d without a readable error", resp.StatusCode)
	}
	if p.Kind == errkind.Internal || errkind.Lookup(p.Kind).Kind != p.Kind {
		return errkind.New(unclear, "status %d: %s: %s", resp.StatusCode, p.Kind, p.Message)
	}
	return errkind.New(p.Kind, "%s", p.Message).WithRetryAfter(p.RetryAfter)
}

// ReadAnswer decodes an answer of at most limit bytes into v (nil: ignored)
// and reads the body to its end so that the connection can be used again. The
// caller closes the body.
func ReadAnswer(resp *http.Response, limit int64, v any, unclear errkind.Kind) error {
	if err := ReadError(resp, unclear); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errkind.Wrap(err, unclear, "the answer broke off")
	}
	if int64(len(body)) > limit {
		return errkind.New(unclear, "the answer exceeds %d bytes", limit)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errkind.Wrap(err, unclear, "the answer cannot be decoded")
	}
	return nil
}
