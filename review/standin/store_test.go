//go:build review

package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// Limits of the platform's store.
const (
	storeWrites  = 400
	storeReads   = 2000
	storeHistory = 20 * time.Second
	storePage    = 500
	minTTL       = time.Second
)

// item is an item of the store, or its removal in an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// kvStore is the platform's store: all changes of a transaction have one revision.
type kvStore struct {
	writes, reads *rate.Limiter

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	dropped  int64 // the history up to this revision is gone
	changed  chan struct{}
	leases   map[int64]*kvLease
	faults   memory.Faults
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *kvStore {
	s := &kvStore{
		writes: rate.NewLimiter(storeWrites, storeWrites), reads: rate.NewLimiter(storeReads, storeReads),
		items: map[string]item{}, changed: make(chan struct{}), leases: map[int64]*kvLease{}, revision: 1,
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// SetFaults replaces the faults; Delay, Outage, LoseShare and PauseLeases are played.
func (s *kvStore) SetFaults(f memory.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// expire ends the leases that have run out, and drops old history.
func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if s.faults.PauseLeases {
			l.expires = l.expires.Add(10 * time.Millisecond)
		} else if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// change applies writes and deletes under one revision; the lock is held.
func (s *kvStore) change(writes []item, deletes []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created, w.at = s.revision, s.revision, time.Now()
		if before, ok := s.items[w.Key]; ok {
			w.Created = before.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, k := range deletes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Removed: true, at: time.Now()})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get, Put and Delete are the calls of the operator and of the workers.
func (s *kvStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return platform.Entry{}, errkind.New(errkind.NotFound, "no such key")
	}
	return platform.Entry{Key: key, Value: i.Value, Version: i.Revision}, nil
}

// Put writes a key; it fails while the store is down.
func (s *kvStore) Put(_ context.Context, key string, value []byte, _ int64, _ platform.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, errkind.New(errkind.StoreUnavailable, "the store is down")
	}
	s.change([]item{{Key: key, Value: value}}, nil)
	return s.revision, nil
}

// Delete removes a key.
func (s *kvStore) Delete(_ context.Context, key string, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
	return nil
}

// ServeHTTP serves the calls of the VMs.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		panic(http.ErrAbortHandler)
	}
	write := r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/kv-keep/")
	if (write && !s.writes.Allow()) || (!write && r.Method == http.MethodGet && !s.reads.Allow()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(faults.Delay / 2)
	q := r.URL.Query()
	status, body := http.StatusNotFound, any(nil)
	switch {
	case r.URL.Path == "/kv-key":
		status, body = s.key(q.Get("key"))
	case r.URL.Path == "/kv-range":
		status, body = http.StatusOK, s.page(q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		status, body = s.watch(r.Context(), q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		status, body = s.txn(r)
	case r.URL.Path == "/kv-lease":
		status, body = s.grant(r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		status, body = s.keep(strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		if s.leases[id] != nil {
			status, body = http.StatusOK, map[string]any{}
			s.endLease(id)
		}
		s.mu.Unlock()
	}
	time.Sleep(faults.Delay / 2)
	if write && status == http.StatusOK && rand.Float64() < faults.LoseShare {
		panic(http.ErrAbortHandler) // done, and not answered
	}
	if body == nil {
		body = map[string]any{}
	}
	writeJSON(w, status, body)
}

func (s *kvStore) key(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]any{"store_revision": s.revision}
	}
	return http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store_revision": s.revision}
}

func (s *kvStore) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, k := range keys[:min(storePage, len(keys))] {
		items = append(items, s.items[k])
	}
	return map[string]any{"items": items, "has_more": len(keys) > storePage, "store_revision": s.revision}
}

func (s *kvStore) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for over := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

func (s *kvStore) txn(r *http.Request) (int, any) {
	var b struct {
		Conditions []item   `json:"expected_rev"`
		Writes     []item   `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Conditions)+len(b.Writes)+len(b.Deletes) > 32 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []item{}
	for _, c := range b.Conditions {
		i, ok := s.items[c.Key]
		if !ok {
			i = item{Key: c.Key}
		}
		met = met && i.Revision == c.Revision
		current = append(current, i)
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range b.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.change(b.Writes, b.Deletes)
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *kvStore) grant(r *http.Request) (int, any) {
	var b struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || time.Duration(b.TTLMS)*time.Millisecond < minTTL {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ttl := 1+rand.Int64N(1<<40), time.Duration(b.TTLMS)*time.Millisecond
	s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": b.TTLMS}
}

func (s *kvStore) keep(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}
