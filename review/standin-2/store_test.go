//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/platform/platformtest"
)

// storePage serves the project's store in memory as the page PROTOCOL describes it: it adds what
// platformtest leaves out, `created`, the revision beside one item, and the keys that the system
// may not write.
type storePage struct {
	store *memory.Store
	rest  http.Handler

	mu      sync.Mutex
	created map[string]int64 // by key: the revision of its creation
}

// pageItems is the largest number of items on a page.
const pageItems = 500

func newStorePage(s *memory.Store) *storePage {
	return &storePage{store: s, rest: platformtest.StoreHandler(s), created: map[string]int64{}}
}

// noteWrite records the creation of a key.
func (p *storePage) noteWrite(key string, revision int64, creates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.created[key]; !known || creates {
		p.created[key] = revision
	}
}

func (p *storePage) item(e platform.Entry) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	created, known := p.created[e.Key]
	if !known {
		created = e.Version
	}
	return map[string]any{"key": e.Key, "value": e.Value, "revision": e.Version, "created": min(created, e.Version), "lease": int64(e.Lease)}
}

// ServeHTTP implements http.Handler.
func (p *storePage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		e, err := p.store.Get(r.Context(), q.Get("key"))
		body := p.item(e)
		body["store_revision"] = e.Version
		answerStore(w, body, err)
	case "GET /kv-range":
		page, err := p.store.List(r.Context(), q.Get("prefix"), q.Get("after"), pageItems)
		items := make([]any, 0, len(page.Entries))
		for _, e := range page.Entries {
			items = append(items, p.item(e))
		}
		answerStore(w, map[string]any{"items": items, "has_more": page.More, "store_revision": page.Revision}, err)
	case "GET /kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // 0 if it is missing
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)  // the same
		changes, err := p.store.Poll(r.Context(), q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
		if errkind.Is(err, errkind.Conflict) {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, e := range changes.Events {
			if e.Deleted {
				events = append(events, map[string]any{"key": e.Entry.Key, "revision": e.Revision, "removed": true})
				continue
			}
			events = append(events, p.item(e.Entry))
		}
		answerStore(w, map[string]any{"events": events, "store_revision": changes.Revision}, err)
	case "POST /kv-txn":
		p.commit(w, r)
	default:
		p.rest.ServeHTTP(w, r)
	}
}

// commit refuses writes that the system may not make, and records which keys a transaction
// creates.
func (p *storePage) commit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Writes []struct {
			Key string `json:"key"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	keys := body.Deletes
	for _, x := range body.Writes {
		keys = append(keys, x.Key)
	}
	for _, k := range keys {
		if strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	answer := &statusWriter{ResponseWriter: w}
	p.rest.ServeHTTP(answer, r)
	var committed struct {
		Revision int64 `json:"revision"`
	}
	if json.Unmarshal(answer.body.Bytes(), &committed) != nil || committed.Revision == 0 {
		return // it changed nothing
	}
	absent := map[string]bool{}
	for _, c := range body.Expected {
		absent[c.Key] = c.Revision == 0
	}
	for _, x := range body.Writes {
		p.noteWrite(x.Key, committed.Revision, absent[x.Key])
	}
}

// statusWriter keeps a copy of the body of an answer.
type statusWriter struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write implements http.ResponseWriter.
func (s *statusWriter) Write(b []byte) (int, error) {
	s.body.Write(b)
	return s.ResponseWriter.Write(b)
}

// answerStore writes a body or the status of an error. Other errors leave the call unanswered.
func answerStore(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // the caller may have left
	case errkind.Is(err, errkind.NotFound):
		w.WriteHeader(http.StatusNotFound)
	case errkind.Is(err, errkind.QuotaExceeded):
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler)
	}
}
