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
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, orNone(c.Old), orNone(c.New))
}

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
	before, after := flatten(old), flatten(next)
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

// flatten maps the path of each leaf to its text. An empty object counts as a
// leaf, so that Diff also reports an added entry without fields.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	data, err := json.Marshal(d)
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
