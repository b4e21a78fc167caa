// Package problem encodes errors as problem documents (RFC 9457) in HTTP
// responses. It adds members to those of the RFC: the error kind, the request ID,
// whether the request was executed, whether a retry may succeed, and the status of
// a failed job.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// typePrefix is the prefix of the type member; the kind follows it.
const typePrefix = "urn:carawayusher:error:"

// Problem is a problem document.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"` // HTTP status code
	Kind      errkind.Kind `json:"kind"`
	Detail    string       `json:"detail"`
	RequestID string       `json:"requestId"`
	// Ran tells whether any part of the request was executed.
	Ran       errkind.Ran `json:"ran"`
	Retryable bool        `json:"retryable"`
	// Job is the full status of a job that ended without success.
	Job *api.JobStatus `json:"job,omitempty"`
	// RetryAfter is sent in the Retry-After header, rounded up to whole seconds;
	// zero means no hint.
	RetryAfter time.Duration `json:"-"`
}

// FromError returns the problem document for err, with the values that the table
// of package errkind has for its kind. It omits the cause of err, which may reveal
// internals.
func FromError(err error, requestID string) Problem {
	e := errkind.As(err)
	row := errkind.Lookup(e.Kind)
	return Problem{
		Type:       typePrefix + string(row.Kind),
		Title:      strings.ReplaceAll(string(row.Kind), "_", " "),
		Status:     row.Status,
		Kind:       row.Kind,
		Detail:     e.Message,
		RequestID:  requestID,
		Ran:        row.Ran,
		Retryable:  row.Retryable,
		RetryAfter: e.RetryAfter,
	}
}

// Err returns the document as an error of its kind, or nil for a nil document.
func (p *Problem) Err() *errkind.Error {
	if p == nil {
		return nil
	}
	return errkind.New(p.Kind, "%s", p.Detail).WithRetryAfter(p.RetryAfter)
}

// Write writes the document as the response.
func Write(w http.ResponseWriter, p Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		// Only the raw JSON of a job can fail to encode. The caller must still
		// get the error itself.
		p.Job = nil
		body, _ = json.Marshal(p)
	}
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	if p.Kind == errkind.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
