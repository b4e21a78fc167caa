// Package problem carries errors over HTTP as problem documents (RFC 9457)
// with the members that carawayusher adds: kind, request ID, whether the
// request ran and whether a retry may help.
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

// typePrefix begins the type member; the kind follows it.
const typePrefix = "urn:carawayusher:error:"

// Problem is one problem document.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"` // HTTP status code
	Kind      errkind.Kind `json:"kind"`
	Detail    string       `json:"detail"`
	RequestID string       `json:"requestId"`
	// Ran says whether any part of the request was executed.
	Ran       errkind.Ran `json:"ran"`
	Retryable bool        `json:"retryable"`
	// Job is the whole status of a job that ended without success.
	Job *api.JobStatus `json:"job,omitempty"`
	// RetryAfter is sent as a header in whole seconds; zero means no hint.
	RetryAfter time.Duration `json:"-"`
}

// FromError returns the document for err under its row of the table of kinds.
// The cause of err is left out, because it may name internals.
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

// Err returns the document as an error of its kind, nil for a nil document.
func (p *Problem) Err() *errkind.Error {
	if p == nil {
		return nil
	}
	return errkind.New(p.Kind, "%s", p.Detail).WithRetryAfter(p.RetryAfter)
}

// Write sends the document as the answer.
func Write(w http.ResponseWriter, p Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		// Only a job's raw JSON can fail to encode; the refusal itself must
		// still reach the caller.
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
