package journal

import (
	"crypto/rand"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Sizes of the ring and its entries.
const (
	// RingSlots is the number of slots. Twice the snapshot interval leaves room
	// to append while a snapshot is written.
	RingSlots = 64
	// SnapshotInterval is the number of entries after which a snapshot is written.
	SnapshotInterval = 32
	// reservedSlots stay free for the owner entries of later owners, which cannot
	// write a snapshot before they have recovered.
	reservedSlots = 8
	// MaxEntryBytes bounds an entry and a chunk of a snapshot.
	MaxEntryBytes = 768 << 10
	// MaxRecordBytes bounds a record; the rest of an entry holds its header.
	MaxRecordBytes = MaxEntryBytes - headerBytes
	// MaxPendingBytes bounds the records that wait for the store.
	MaxPendingBytes = 32 << 20

	headerBytes = 512 // upper bound of the encoded fields other than the records
	recordBytes = 5   // upper bound of the length prefix of a record
)

// token identifies one write, so that its author recognizes it when the answer
// was lost.
type token [16]byte

func newToken() token {
	var t token
	_, _ = rand.Read(t[:]) // never fails, see crypto/rand
	return t
}

// entry is the value of one slot of the ring.
type entry struct {
	Seq     uint64   `cbor:"1,keyasint"`
	Epoch   int64    `cbor:"2,keyasint"`
	Token   token    `cbor:"3,keyasint"`
	VM      string   `cbor:"4,keyasint,omitempty"`
	Owner   bool     `cbor:"5,keyasint,omitempty"` // first entry of an owner
	Records [][]byte `cbor:"6,keyasint,omitempty"`
}

// head names the snapshot in force.
type head struct {
	Seq    uint64 `cbor:"1,keyasint"` // the snapshot covers the entries up to it
	Epoch  int64  `cbor:"2,keyasint"`
	Token  token  `cbor:"3,keyasint"` // of this write
	Gen    int    `cbor:"4,keyasint"` // generation of the chunks, 0 or 1
	Chunks int    `cbor:"5,keyasint"`
	// Snapshot is the token that all chunks carry.
	Snapshot token `cbor:"6,keyasint"`
}

// chunk is a part of a snapshot.
type chunk struct {
	Index    int    `cbor:"1,keyasint"`
	Epoch    int64  `cbor:"2,keyasint"`
	Snapshot token  `cbor:"3,keyasint"`
	Data     []byte `cbor:"4,keyasint"`
}

// author reads the epoch of an entry, a head or a chunk.
type author struct {
	Epoch int64 `cbor:"2,keyasint"`
}

// keys builds the store keys of a partition.
type keys struct{ prefix string }

func keysOf(partition int) keys { return keys{fmt.Sprintf("jobs/%d/", partition)} }

func (k keys) head() string { return k.prefix + "head" }

func (k keys) slot(seq uint64) string { return fmt.Sprintf("%slog/%02d", k.prefix, seq%RingSlots) }

func (k keys) chunk(gen, index int) string {
	return fmt.Sprintf("%ssnap/%c/%06d", k.prefix, 'a'+rune(gen), index)
}

func unmarshal(key string, value []byte, v any) error {
	if err := cbor.Unmarshal(value, v); err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal key %s cannot be decoded", key)
	}
	return nil
}

// split encodes the records of a snapshot as one stream and cuts it into chunks.
func split(records [][]byte) ([][]byte, error) {
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
