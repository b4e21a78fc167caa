package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// readBody reads the request body and fails with TooLarge beyond limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errkind.New(errkind.TooLarge, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	if errkind.Is(err, errkind.Unavailable) {
		return nil, err // a limit of clients has ended the body
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the body could not be read")
	}
	return body, nil
}

// decodeSpec decodes one job specification. It rejects unknown fields, because
// a misspelt field would silently change the meaning of a request.
func decodeSpec(body []byte) (api.JobSpec, error) {
	var spec api.JobSpec
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return api.JobSpec{}, errkind.New(errkind.InvalidRequest, "the body is not a job specification: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return api.JobSpec{}, errkind.New(errkind.InvalidRequest, "the body holds more than one JSON value")
	}
	return spec, nil
}

// checkSpec validates the fields that depend on neither the configuration nor
// the capacity of the fleet.
func checkSpec(s api.JobSpec) error {
	switch {
	case len(s.Name) > api.MaxNameLength:
		return invalid("name: longer than %d bytes", api.MaxNameLength)
	case strings.ContainsFunc(s.Name, unicode.IsControl):
		return invalid("name: control characters are not allowed")
	case s.Class == "":
		return invalid("class: must be set")
	case s.Priority < 0 || s.Priority > api.MaxPriority:
		return invalid("priority: must be from 0 to %d", api.MaxPriority)
	case s.DeclaredSeconds < 0 || s.DeclaredSeconds > math.MaxInt32:
		return invalid("declaredSeconds: must be from 0 to %d", math.MaxInt32)
	case s.DeclaredMemoryMiB < 0 || s.DeclaredMemoryMiB > math.MaxInt32:
		return invalid("declaredMemoryMiB: must be from 0 to %d", math.MaxInt32)
	}
	return checkShape(s)
}

func checkShape(s api.JobSpec) error {
	switch {
	case s.Accelerators < 0:
		return invalid("accelerators: must not be negative")
	case s.Accelerators > api.MaxGangAccelerators:
		return errkind.New(errkind.Impossible, "accelerators: a gang has at most %d", api.MaxGangAccelerators)
	case s.Accelerators == 0 && (s.Adjacency != "" || s.RelaxAdjacency):
		return invalid("adjacency: needs accelerators")
	}
	switch s.Adjacency {
	case "", api.AdjacencyWorker, api.AdjacencyRack, api.AdjacencyDomain:
		return nil
	default:
		return invalid("adjacency: must be worker, rack or failure_domain")
	}
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidRequest, format, args...)
}
