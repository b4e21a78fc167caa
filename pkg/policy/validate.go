package policy

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"regexp"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Maximum size of a guaranteed cell at each adjacency level, in accelerators: a
// worker has 8 accelerators, a rack has 8 workers, and a gang has at most
// api.MaxGangAccelerators.
const (
	MaxWorkerCell = 8
	MaxRackCell   = 64
	MaxDomainCell = api.MaxGangAccelerators
)

// RackPrefix is the prefix of the keys of Document.Drained that name a rack.
const RackPrefix = "rack:"

// Problem is one validation error of a document.
type Problem struct {
	Path    string `json:"path"` // path of the field, as in Change
	Message string `json:"message"`
}

// String returns "path: message".
func (p Problem) String() string { return p.Path + ": " + p.Message }

// ProblemsError returns an error of kind invalid_config that lists all
// problems, or nil if there are none.
func ProblemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return errkind.New(errkind.InvalidConfig, "%s", strings.Join(texts, "; "))
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Validate returns the validation errors of d in a deterministic order. It does
// not read the clock: an expired hold is still valid, but a hold whose end is not
// after its beginning is not. That a new hold ends in the future is checked when
// its plan is made.
func Validate(d *Document) []Problem {
	if d == nil {
		return []Problem{{Path: "", Message: "there is no document"}}
	}
	v := &validator{hashPaths: map[string]string{}}
	v.classes(d.Classes)
	for _, name := range sortedKeys(d.Workspaces) {
		v.workspace("workspaces."+name, name, d.Workspaces[name])
	}
	for _, name := range sortedKeys(d.Operators) {
		v.operator("operators."+name, name, d.Operators[name])
	}
	v.drained(d.Drained)
	v.holds(d)
	return v.problems
}

type validator struct {
	problems  []Problem
	hashPaths map[string]string // token hash -> path of its first use
}

func (v *validator) addf(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.addf(path, "the name must have 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit")
	}
}

func (v *validator) classes(classes map[string]Class) {
	for _, name := range []string{api.ClassUrgent, api.ClassShort, api.ClassLong, api.ClassArchive} {
		if _, ok := classes[name]; !ok {
			v.addf("classes."+name, "the built-in class is missing; keep it")
		}
	}
	for _, name := range sortedKeys(classes) {
		path, c := "classes."+name, classes[name]
		v.name(path, name)
		if c.Rank < 0 {
			v.addf(path+".rank", "the rank is %d; use 0 or more", c.Rank)
		}
		if c.StartWithin < 0 {
			v.addf(path+".startWithin", "the bound is negative; use 0 for none")
		}
		if c.MaxAttempts < 0 {
			v.addf(path+".maxAttempts", "the number of attempts is negative; use 0 for the default")
		}
	}
}

func (v *validator) workspace(path, name string, ws Workspace) {
	v.name(path, name)
	for i, h := range ws.TokenHashes {
		v.tokenHash(fmt.Sprintf("%s.tokenHashes[%d]", path, i), h)
	}
	v.quota(path+".quota", ws.Quota)
	if !isAmount(ws.Weight) {
		v.addf(path+".weight", "the weight is negative or not a finite number; use 0 for the default of 1")
	}
	total := 0
	for i, g := range ws.Guarantees {
		v.guarantee(fmt.Sprintf("%s.guarantees[%d]", path, i), g)
		total += max(g.Cells, 0) * max(g.Accelerators, 0)
	}
	if ws.Quota.Accelerators > 0 && total > ws.Quota.Accelerators {
		v.addf(path+".guarantees", "the guarantees sum to %d accelerators but the quota is %d; raise the quota or lower the guarantees",
			total, ws.Quota.Accelerators)
	}
}

func (v *validator) quota(path string, q Quota) {
	for _, f := range []struct {
		field string
		value float64
	}{
		{"accelerators", float64(q.Accelerators)},
		{"slots", float64(q.Slots)},
		{"queued", float64(q.Queued)},
		{"requestsPerSecond", q.RequestsPerSecond},
	} {
		if !isAmount(f.value) {
			v.addf(path+"."+f.field, "the quota is negative or not a finite number; use 0 for no limit")
		}
	}
}

// isAmount reports whether x is finite and not negative. YAML has infinities and NaN, with
// which the document has no JSON form and cannot be stored.
func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

func (v *validator) guarantee(path string, g Guarantee) {
	if g.Cells < 1 {
		v.addf(path+".cells", "the number of cells is %d; use 1 or more", g.Cells)
	}
	if g.Accelerators < 1 || bits.OnesCount(uint(g.Accelerators)) != 1 {
		v.addf(path+".accelerators", "a cell has %d accelerators; use a power of two", g.Accelerators)
	}
	limit, ok := maxCellSize(g.Adjacency)
	switch {
	case !ok:
		v.addf(path+".adjacency", "the level %q is unknown; use worker, rack or failure_domain", g.Adjacency)
	case g.Accelerators > limit:
		v.addf(path+".accelerators", "a cell has %d accelerators but the level %s allows %d; use a smaller cell or a wider level",
			g.Accelerators, g.Adjacency, limit)
	}
	if g.FailureDomain == "" {
		v.addf(path+".failureDomain", "the failure domain is missing; a guarantee is held in one")
	}
}

func maxCellSize(level api.Adjacency) (int, bool) {
	switch level {
	case api.AdjacencyWorker:
		return MaxWorkerCell, true
	case api.AdjacencyRack:
		return MaxRackCell, true
	case api.AdjacencyDomain:
		return MaxDomainCell, true
	default:
		return 0, false
	}
}

func (v *validator) operator(path, name string, op Operator) {
	v.name(path, name)
	if op.Role.rank() == 0 {
		v.addf(path+".role", "the role %q is unknown; use viewer, operator or admin", op.Role)
	}
	v.tokenHash(path+".tokenHash", op.TokenHash)
}

func (v *validator) tokenHash(path, hash string) {
	if !hashPattern.MatchString(hash) {
		v.addf(path, "this is no SHA-256 hash of a token; use 64 hex digits")
		return
	}
	key := strings.ToLower(hash)
	if first, ok := v.hashPaths[key]; ok {
		v.addf(path, "the same token is used at %s; give each its own", first)
		return
	}
	v.hashPaths[key] = path
}

func (v *validator) drained(drained map[string]Drain) {
	for _, key := range sortedKeys(drained) {
		if strings.TrimPrefix(key, RackPrefix) == "" {
			v.addf("drained."+key, "the name of the worker or rack is missing")
		}
	}
}

func (v *validator) holds(d *Document) {
	for _, key := range sortedKeys(d.Holds) {
		path, h := "holds."+key, d.Holds[key]
		if _, ok := d.Workspaces[key]; !ok && key != HoldAll {
			v.addf(path, "the workspace %q is unknown; name an existing one or %q for the whole system", key, HoldAll)
		}
		if !h.Until.IsZero() && !h.Since.IsZero() && !h.Until.After(h.Since) {
			v.addf(path+".until", "the hold ends before it begins; use a later end or none")
		}
	}
}

// CheckClass returns an error of kind invalid_request that lists the known
// classes if the class is not in the document.
func (d *Document) CheckClass(class string) error {
	if _, ok := d.Classes[class]; ok {
		return nil
	}
	return errkind.New(errkind.InvalidRequest, "the class %q is unknown; use one of %s",
		class, strings.Join(sortedKeys(d.Classes), ", "))
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
