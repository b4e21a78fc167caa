package journal

import (
	"crypto/rand"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Sizes of the ring, its entries and the pending records.
const (
	// RingSlots is the number of slots. It is twice the snapshot interval, so that
	// appends can continue while a snapshot is written.
	RingSlots = 64
	// SnapshotInterval is the number of entries after which a snapshot is written.
	SnapshotInterval = 32
	// reservedSlots is the number of slots that appends leave free for the owner
	// entries of later owners, which cannot write a snapshot before recovery.
	reservedSlots = 8
	// MaxEntryBytes bounds an entry and a snapshot chunk.
	MaxEntryBytes = 768 << 10
	// MaxRecordBytes bounds a record; the remaining bytes hold the entry's header.
	MaxRecordBytes = MaxEntryBytes - maxHeaderBytes
	// MaxPendingBytes bounds the records that are not written yet.
	MaxPendingBytes = 32 << 20

	maxHeaderBytes       = 512 // upper bound of the encoded fields other than the records
	maxRecordPrefixBytes = 5   // upper bound of the length prefix of a record
)

// writeToken identifies one write, so that the writer recognizes its own value
// in the store when the answer was lost.
type writeToken [16]byte

func newWriteToken() writeToken {
	var t writeToken
	_, _ = rand.Read(t[:]) // crypto/rand.Read never returns an error
	return t
}

// entry is the value of one slot of the ring.
type entry struct {
	Seq     uint64     `cbor:"1,keyasint"`
	Epoch   int64      `cbor:"2,keyasint"`
	Token   writeToken `cbor:"3,keyasint"`
	VM      string     `cbor:"4,keyasint,omitempty"`
	Owner   bool       `cbor:"5,keyasint,omitempty"` // first entry of an owner
	Records [][]byte   `cbor:"6,keyasint,omitempty"`
}

// head identifies the current snapshot.
type head struct {
	Seq    uint64     `cbor:"1,keyasint"` // the snapshot covers the entries up to and including this one
	Epoch  int64      `cbor:"2,keyasint"`
	Token  writeToken `cbor:"3,keyasint"` // identifies this write
	Gen    int        `cbor:"4,keyasint"` // generation of the chunks, 0 or 1
	Chunks int        `cbor:"5,keyasint"`
	// Snapshot is the token that all chunks of the snapshot carry.
	Snapshot writeToken `cbor:"6,keyasint"`
}

// chunk is one part of an encoded snapshot.
type chunk struct {
	Index    int        `cbor:"1,keyasint"`
	Epoch    int64      `cbor:"2,keyasint"`
	Snapshot writeToken `cbor:"3,keyasint"`
	Data     []byte     `cbor:"4,keyasint"`
}

// epochHeader decodes only the epoch of an entry, a head or a chunk.
type epochHeader struct {
	Epoch int64 `cbor:"2,keyasint"`
}

// storeKeys builds the store keys of a partition.
type storeKeys struct{ prefix string }

func partitionKeys(partition int) storeKeys { return storeKeys{fmt.Sprintf("jobs/%d/", partition)} }

func (k storeKeys) head() string { return k.prefix + "head" }

func (k storeKeys) slot(seq uint64) string { return fmt.Sprintf("%slog/%02d", k.prefix, seq%RingSlots) }

func (k storeKeys) chunk(gen, index int) string {
	return fmt.Sprintf("%ssnap/%c/%06d", k.prefix, 'a'+rune(gen), index)
}

func unmarshal(key string, value []byte, v any) error {
	if err := cbor.Unmarshal(value, v); err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal key %s cannot be decoded", key)
	}
	return nil
}

// splitSnapshot encodes the records of a snapshot as one stream and splits it
// into the data of its chunks.
func splitSnapshot(records [][]byte) ([][]byte, error) {
	stream, err := cbor.Marshal(records)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "snapshot cannot be encoded")
	}
	var parts [][]byte
	for len(stream) > MaxRecordBytes {
		parts = append(parts, stream[:MaxRecordBytes])
		stream = stream[MaxRecordBytes:]
	}
	return append(parts, stream), nil
}
