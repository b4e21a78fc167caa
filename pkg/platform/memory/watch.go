package memory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// maxWatchEvents bounds the changes in one answer of Watch; the caller
// continues after the last one.
const maxWatchEvents = 1000

// history holds the latest changes for watches.
type history struct {
	limit     int
	events    []platform.Event
	compacted int64 // revision of the latest change that was dropped
}

func (h *history) add(e platform.Event) {
	h.events = append(h.events, e)
	if drop := len(h.events) - h.limit; drop > 0 {
		h.compacted = h.events[drop-1].Revision
		h.events = h.events[drop:]
	}
}

// since returns the changes of keys with the prefix after a revision, up to the limits
// of one answer.
func (h *history) since(prefix string, after int64) []platform.Event {
	var out []platform.Event
	size := 0
	start, _ := slices.BinarySearchFunc(h.events, after+1, func(e platform.Event, revision int64) int { return cmp.Compare(e.Revision, revision) })
	for _, e := range h.events[start:] {
		if !strings.HasPrefix(e.Entry.Key, prefix) {
			continue
		}
		size += len(e.Entry.Value)
		// The caller continues after a revision, so all changes of one belong to an answer.
		if (len(out) >= maxWatchEvents || size > maxAnswerBytes) && len(out) > 0 && e.Revision != out[len(out)-1].Revision {
			break
		}
		e.Entry.Value = bytes.Clone(e.Entry.Value)
		out = append(out, e)
	}
	return out
}

// record adds a change to the history and notifies watches.
func (s *Store) record(e platform.Event) {
	if !e.Deleted {
		s.counts.BytesWritten += int64(len(e.Entry.Value))
	}
	s.history.add(e)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for changes, see platform.Store. When ctx ends first it returns
// no changes and no error. One answer holds at most 1000 changes and 1 MiB of
// values. The call counts as one read, however long it waits.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) ([]platform.Event, error) {
	delay, err := s.admit(OpWatch)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, delay); err != nil {
		return nil, nil //nolint:nilerr // the interface ends a watch without an error
	}
	s.pendingWatch(1)
	defer s.pendingWatch(-1)
	for {
		events, changed, err := s.poll(prefix, after)
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

func (s *Store) pendingWatch(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.PendingWatch += n
}

// poll returns the changes so far and a channel that closes at the next one.
func (s *Store) poll(prefix string, after int64) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, errOutage()
	}
	// A revision above the current one belongs to another instance of the store.
	if after < s.history.compacted || after > s.revision {
		return nil, nil, errkind.New(errkind.Conflict,
			"no history after revision %d; it covers %d to %d", after, s.history.compacted, s.revision)
	}
	return s.history.since(prefix, after), s.changed, nil
}
