package journal

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// state is what an owner knows of the partition's keys.
type state struct {
	head        head
	headVersion int64
	last        uint64 // sequence number of the newest entry
	epoch       int64  // highest epoch seen
	slots       [RingSlots]int64
	chunks      [2]map[int]int64 // versions by index, of both generations
}

// fits reports whether the entry after the last one has a slot: the entry that
// is there now must be covered by the snapshot.
func (s *state) fits(reserved uint64) bool {
	return s.last+1+reserved <= s.head.Seq+RingSlots
}

// loaded is the content of the store at one moment.
type loaded struct {
	state
	entries map[uint64]entry
	parts   [2]map[int]chunk
}

// load reads all keys of the partition. The head comes first in key order, so
// that it is unchanged during the read if it is unchanged afterwards.
func load(ctx context.Context, store platform.Store, k keys) (*loaded, error) {
	l := &loaded{entries: map[uint64]entry{}}
	for gen := range l.parts {
		l.parts[gen], l.chunks[gen] = map[int]chunk{}, map[int]int64{}
	}
	after := ""
	for {
		var page platform.ListResult
		err := untilAnswered(ctx, func(ctx context.Context) (err error) {
			page, err = store.List(ctx, k.prefix, after, 0)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			if err := l.take(e, strings.TrimPrefix(e.Key, k.prefix)); err != nil {
				return nil, err
			}
			after = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return l, nil
		}
	}
}

func (l *loaded) take(e platform.Entry, name string) error {
	var slot, index int
	var gen rune
	switch {
	case name == "head":
		l.headVersion = e.Version
		if err := unmarshal(e.Key, e.Value, &l.head); err != nil {
			return err
		}
		l.epoch = max(l.epoch, l.head.Epoch)
		return nil
	case scan(name, "log/%02d", &slot) && slot < RingSlots:
		return l.takeEntry(e, slot)
	case scan(name, "snap/%c/%06d", &gen, &index) && (gen == 'a' || gen == 'b'):
		return l.takeChunk(e, int(gen-'a'), index)
	default:
		return nil // written by a later version of the program
	}
}

func scan(s, format string, into ...any) bool {
	n, err := fmt.Sscanf(s, format, into...)
	return err == nil && n == len(into)
}

func (l *loaded) takeEntry(e platform.Entry, slot int) error {
	var en entry
	if err := unmarshal(e.Key, e.Value, &en); err != nil {
		return err
	}
	l.slots[slot] = e.Version
	l.entries[en.Seq] = en
	l.last = max(l.last, en.Seq)
	l.epoch = max(l.epoch, en.Epoch)
	return nil
}

func (l *loaded) takeChunk(e platform.Entry, gen, index int) error {
	var c chunk
	if err := unmarshal(e.Key, e.Value, &c); err != nil {
		return err
	}
	l.chunks[gen][index] = e.Version
	l.parts[gen][index] = c
	return nil
}

// recovered assembles the snapshot and the entries after it.
func (l *loaded) recovered() (Recovered, error) {
	var r Recovered
	var err error
	if r.Snapshot, err = l.snapshot(); err != nil {
		return Recovered{}, err
	}
	for seq := l.head.Seq + 1; seq <= l.last; seq++ {
		e, ok := l.entries[seq]
		if !ok {
			return Recovered{}, errkind.New(errkind.Internal, "journal entry %d is missing between %d and %d", seq, l.head.Seq, l.last)
		}
		r.Records = append(r.Records, e.Records...)
	}
	return r, nil
}

func (l *loaded) snapshot() ([][]byte, error) {
	if l.head.Chunks == 0 {
		return nil, nil
	}
	var stream []byte
	for i := range l.head.Chunks {
		c, ok := l.parts[l.head.Gen][i]
		if !ok || c.Snapshot != l.head.Snapshot || c.Index != i {
			return nil, errkind.New(errkind.Internal, "chunk %d of the journal snapshot at entry %d is missing or of another snapshot", i, l.head.Seq)
		}
		stream = append(stream, c.Data...)
	}
	var records [][]byte
	if err := cbor.Unmarshal(stream, &records); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "journal snapshot cannot be decoded")
	}
	return records, nil
}

// all returns the records of both parts, as the content of a new snapshot.
func (r Recovered) all() [][]byte { return slices.Concat(r.Snapshot, r.Records) }
