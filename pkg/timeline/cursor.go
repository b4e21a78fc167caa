package timeline

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Position is the last event seen of one VM.
type Position struct {
	Incarnation int64  `json:"incarnation" cbor:"1,keyasint"`
	Seq         uint64 `json:"seq" cbor:"2,keyasint"`
}

func (p Position) before(o Position) bool {
	if p.Incarnation != o.Incarnation {
		return p.Incarnation < o.Incarnation
	}
	return p.Seq < o.Seq
}

// Cursor maps a VM to the last position seen of it; events after it follow.
type Cursor map[string]Position

// advance moves the cursor of vm to p unless it is already further.
func (c Cursor) advance(vm string, p Position) {
	if c[vm].before(p) {
		c[vm] = p
	}
}

func (c Cursor) clone() Cursor {
	out := make(Cursor, len(c))
	for vm, p := range c {
		out[vm] = p
	}
	return out
}

// String encodes the cursor for a URL.
func (c Cursor) String() string {
	data, err := cbor.Marshal(map[string]Position(c))
	if err != nil {
		return "" // a map of plain integers always has an encoding
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// ParseCursor decodes what String returned; an empty text is the beginning.
// Other faults have the kind invalid_request.
func ParseCursor(s string) (Cursor, error) {
	c := Cursor{}
	if s == "" {
		return c, nil
	}
	data, err := base64.RawURLEncoding.DecodeString(s)
	if err == nil {
		err = cbor.Unmarshal(data, &c)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the cursor is malformed; use the one of an earlier answer or none")
	}
	return c, nil
}
