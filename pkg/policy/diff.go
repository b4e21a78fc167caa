package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Change is one field that differs between two documents. An empty side means
// that the field is absent there.
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

// Texts that stand for a token hash in a Change.
const (
	redactedOld = "(redacted)"
	redactedNew = "(redacted, new)"
)

// bookkeeping fields tell where a revision came from and are no configuration.
var bookkeeping = []string{"revision", "changedBy", "changedAt", "plan", "token"}

// Diff returns what changed from old to next, ordered by path. Either may be
// nil. Token hashes are redacted.
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
		if c.Old != c.New && !filled(p, before, after) && !filled(p, after, before) {
			changes = append(changes, redact(c))
		}
	}
	return changes
}

// filled reports whether the object at path is empty on one side and has
// fields on the other, which are changes of their own.
func filled(path string, empty, full map[string]string) bool {
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

// emptyObject is the text of an object without fields.
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

// flatten maps the path of each leaf to its JSON text. An empty object is a
// leaf, so that the creation of an entry without fields shows.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	data, err := json.Marshal(d)
	if err != nil {
		return out // a document holds no type that JSON cannot express
	}
	var tree map[string]any
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if dec.Decode(&tree) != nil {
		return out
	}
	for key, value := range tree {
		if !slices.Contains(bookkeeping, key) {
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

// numberText shows a duration, which JSON holds in nanoseconds, in its text form.
func numberText(path string, n json.Number) string {
	if ns, err := n.Int64(); err == nil && strings.HasSuffix(path, ".startWithin") {
		return time.Duration(ns).String()
	}
	return n.String()
}
