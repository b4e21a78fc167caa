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

// state is the owner's view of the partition's keys in the store.
type state struct {
	head          head
	headVersion   int64
	lastSeq       uint64 // sequence number of the newest entry
	maxEpoch      int64  // highest epoch seen
	slotVersions  [RingSlots]int64
	chunkVersions [2]map[int]int64 // versions of the chunks of both generations, by index
}

// hasFreeSlot reports whether the next entry may be written and the number of
// reserved slots then remains free: a slot is free if the snapshot covers its
// present entry.
func (s *state) hasFreeSlot(reserved uint64) bool {
	return s.lastSeq+1+reserved <= s.head.Seq+RingSlots
}

// loadedJournal is the content of the partition's keys, as read by load.
type loadedJournal struct {
	state
	entries map[uint64]entry
	chunks  [2]map[int]chunk
}

// load reads all keys of the partition. The head is first in key order and thus
// read first; if it is still unchanged after the read, it did not change during it.
func load(ctx context.Context, store platform.Store, k storeKeys) (*loadedJournal, error) {
	l := &loadedJournal{entries: map[uint64]entry{}}
	for gen := range l.chunks {
		l.chunks[gen], l.chunkVersions[gen] = map[int]chunk{}, map[int]int64{}
	}
	after := ""
	for {
		var page platform.ListResult
		err := retryUntilAnswered(ctx, func(ctx context.Context) (err error) {
			page, err = store.List(ctx, k.prefix, after, 0)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			if err := l.add(e, strings.TrimPrefix(e.Key, k.prefix)); err != nil {
				return nil, err
			}
			after = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return l, nil
		}
	}
}

// add decodes the value of one key; name is the key without the prefix of the
// partition.
func (l *loadedJournal) add(e platform.Entry, name string) error {
	var slot, index int
	var gen rune
	switch {
	case name == "head":
		l.headVersion = e.Version
		if err := unmarshal(e.Key, e.Value, &l.head); err != nil {
			return err
		}
		l.maxEpoch = max(l.maxEpoch, l.head.Epoch)
		return nil
	case matchKeyName(name, "log/%02d", &slot) && slot < RingSlots:
		return l.addEntry(e, slot)
	case matchKeyName(name, "snap/%c/%06d", &gen, &index) && (gen == 'a' || gen == 'b'):
		return l.addChunk(e, int(gen-'a'), index)
	default:
		return nil // key of a newer version of the program
	}
}

// matchKeyName parses s by the format and reports whether all values were found.
func matchKeyName(s, format string, into ...any) bool {
	n, err := fmt.Sscanf(s, format, into...)
	return err == nil && n == len(into)
}

func (l *loadedJournal) addEntry(e platform.Entry, slot int) error {
	var en entry
	if err := unmarshal(e.Key, e.Value, &en); err != nil {
		return err
	}
	l.slotVersions[slot] = e.Version
	l.entries[en.Seq] = en
	l.lastSeq = max(l.lastSeq, en.Seq)
	l.maxEpoch = max(l.maxEpoch, en.Epoch)
	return nil
}

func (l *loadedJournal) addChunk(e platform.Entry, gen, index int) error {
	var c chunk
	if err := unmarshal(e.Key, e.Value, &c); err != nil {
		return err
	}
	l.chunkVersions[gen][index] = e.Version
	l.chunks[gen][index] = c
	return nil
}

// assemble returns the records of the snapshot and of the entries after it.
func (l *loadedJournal) assemble() (Recovered, error) {
	var r Recovered
	var err error
	if r.Snapshot, err = l.snapshotRecords(); err != nil {
		return Recovered{}, err
	}
	for seq := l.head.Seq + 1; seq <= l.lastSeq; seq++ {
		e, ok := l.entries[seq]
		if !ok {
			return Recovered{}, errkind.New(errkind.Internal, "journal entry %d is missing between %d and %d", seq, l.head.Seq, l.lastSeq)
		}
		r.Records = append(r.Records, e.Records...)
	}
	return r, nil
}

// snapshotRecords decodes the records of the current snapshot.
func (l *loadedJournal) snapshotRecords() ([][]byte, error) {
	if l.head.Chunks == 0 {
		return nil, nil
	}
	var stream []byte
	for i := range l.head.Chunks {
		c, ok := l.chunks[l.head.Gen][i]
		if !ok || c.Snapshot != l.head.Snapshot || c.Index != i {
			return nil, errkind.New(errkind.Internal, "chunk %d of the journal snapshot at entry %d is missing or belongs to another snapshot", i, l.head.Seq)
		}
		stream = append(stream, c.Data...)
	}
	var records [][]byte
	if err := cbor.Unmarshal(stream, &records); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "journal snapshot cannot be decoded")
	}
	return records, nil
}

// allRecords returns the records of Snapshot and Records, in order.
func (r Recovered) allRecords() [][]byte { return slices.Concat(r.Snapshot, r.Records) }
