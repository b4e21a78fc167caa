package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Change is one field that differs between two documents. Old or New is empty if
// the field is absent from that document.
type Change struct {
	Path string `json:"path" cbor:"1,keyasint"`
	Old  string `json:"old,omitempty" cbor:"2,keyasint,omitempty"`
	New  string `json:"new,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns "path: old -> new".
func (c Change) String() string { return c.Path + ": " + c.Values() }

// Values returns "old -> new".
func (c Change) Values() string { return orNone(c.Old) + " -> " + orNone(c.New) }

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Placeholders for token hashes in a Change and in a redacted document.
const (
	redactedOld = "(redacted)"
	redactedNew = "(redacted, new)"
)

// metadataFields are the fields that describe the revision itself and are not
// configuration; Diff ignores them.
var metadataFields = []string{"revision", "changedBy", "changedAt", "plan", "token"}

// Diff returns the changes from old to next, ordered by path. Either document
// may be nil. Token hashes are redacted.
func Diff(old, next *Document) []Change {
	return diffLeaves(flattenDocument(old), flattenDocument(next))
}

// DiffValues returns the changes between two objects as JSON has them, ordered by path,
// for configurations other than a Document.
func DiffValues(old, next map[string]any) []Change {
	return diffLeaves(flatten(old), flatten(next))
}

func diffLeaves(before, after map[string]string) []Change {
	paths := map[string]bool{}
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	var changes []Change
	for _, p := range sortedKeys(paths) {
		c := Change{Path: p, Old: before[p], New: after[p]}
		if c.Old != c.New && !emptyOnlyIn(p, before, after) && !emptyOnlyIn(p, after, before) {
			changes = append(changes, redact(c))
		}
	}
	return changes
}

// emptyOnlyIn reports whether the object at path is empty in the first document
// and has fields in the second. Diff then lists those fields, not the object.
func emptyOnlyIn(path string, empty, full map[string]string) bool {
	if empty[path] != emptyObject {
		return false
	}
	for p := range full {
		if strings.HasPrefix(p, path+".") {
			return true
		}
	}
	return false
}

// emptyObject is the JSON text of an object without fields.
const emptyObject = "{}"

func redact(c Change) Change {
	if !strings.Contains(c.Path, "tokenHash") {
		return c
	}
	if c.Old != "" {
		c.Old = redactedOld
	}
	if c.New != "" {
		c.New = redactedNew
	}
	return c
}

// Redacted returns a copy of d without token hashes, for display.
func (d *Document) Redacted() *Document {
	c := d.Clone()
	for name, ws := range c.Workspaces {
		for i := range ws.TokenHashes {
			ws.TokenHashes[i] = redactedOld
		}
		c.Workspaces[name] = ws
	}
	for name, op := range c.Operators {
		op.TokenHash = redactedOld
		c.Operators[name] = op
	}
	c.Token = ""
	return c
}

// IsRedacted reports whether d has placeholders for token hashes, as Redacted leaves them.
func (d *Document) IsRedacted() bool {
	for _, ws := range d.Workspaces {
		if slices.Contains(ws.TokenHashes, redactedOld) {
			return true
		}
	}
	for _, op := range d.Operators {
		if op.TokenHash == redactedOld {
			return true
		}
	}
	return false
}

// flattenDocument returns the leaves of a document, which may be nil.
func flattenDocument(d *Document) map[string]string {
	if d == nil {
		return map[string]string{}
	}
	return flatten(d)
}

// flatten maps the path of each leaf of a value that JSON has as an object to its text.
// An empty object counts as a leaf, so that a difference also reports an added entry
// without fields.
func flatten(v any) map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(v)
	if err != nil {
		return out // unreachable: every field of a document has a JSON form
	}
	var tree map[string]any
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if dec.Decode(&tree) != nil {
		return out
	}
	for key, value := range tree {
		if !slices.Contains(metadataFields, key) {
			flattenValue(out, key, value)
		}
	}
	return out
}

func flattenValue(out map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		if len(v) == 0 && strings.Contains(path, ".") {
			out[path] = emptyObject
		}
		for key, child := range v {
			flattenValue(out, path+"."+key, child)
		}
	case []any:
		for i, child := range v {
			flattenValue(out, fmt.Sprintf("%s[%d]", path, i), child)
		}
	case nil:
	case json.Number:
		out[path] = numberText(path, v)
	default:
		out[path] = fmt.Sprint(v)
	}
}

// numberText returns the text of a number. A duration, which is a number of
// nanoseconds in JSON, is formatted as in "6.1s".
func numberText(path string, n json.Number) string {
	if ns, err := n.Int64(); err == nil && strings.HasSuffix(path, ".startWithin") {
		return time.Duration(ns).String()
	}
	return n.String()
}
