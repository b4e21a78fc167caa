package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Domain is the capacity of a failure domain, in accelerators.
type Domain struct {
	Accelerators  int
	LargestRack   int
	LargestWorker int
}

// Fleet is what is known of the workers. A nil map is unknown and is not checked against.
type Fleet struct {
	Domains map[string]Domain
	Workers map[string]bool // by ID
	Racks   map[string]bool // by name
}

// Document checks the product's configuration document. The document in force may be
// nil: then changes are not reported. Holds that have ended at now are reported.
func Document(next, inForce *policy.Document, fleet Fleet, now time.Time) *Report {
	r := &Report{}
	for _, p := range policy.Validate(next) {
		r.invalidf(p.Path, "%s", p.Message)
	}
	if next == nil {
		return r
	}
	if next.Revision < 0 {
		r.invalidf("revision", "the revision is negative")
	}
	r.checkSubmitters(next)
	r.checkDrains(next, fleet)
	r.checkHolds(next, now)
	r.checkGuarantees(next, inForce, fleet)
	r.checkClasses(next)
	r.compare(next, inForce)
	r.sort()
	return r
}

// compare reports what differs from the document in force. A server sends documents
// without token hashes.
func (r *Report) compare(next, inForce *policy.Document) {
	if inForce == nil {
		r.Notef("changes are not reported: the document in force is not known")
		return
	}
	if _, err := json.Marshal(next); err != nil {
		r.Notef("changes are not reported: the document has a number that JSON cannot express")
		return
	}
	if inForce.IsRedacted() {
		next = next.Redacted()
		r.Notef("tokens are compared by number only: the document in force has no token hashes")
	}
	r.changes(policy.Diff(inForce, next))
}

// checkSubmitters reports workspaces that no caller can use. Without any usable
// workspace, no job can select a class.
func (r *Report) checkSubmitters(d *policy.Document) {
	usable := 0
	for _, name := range sortedKeys(d.Workspaces) {
		ws := d.Workspaces[name]
		path := "workspaces." + name
		switch {
		case len(ws.TokenHashes) > 0:
			usable++
		case len(ws.Guarantees) > 0:
			r.warnf(path+".guarantees", "the workspace has no token, so nobody can use its guarantees")
		default:
			r.warnf(path, "the workspace has no token, so no call can be for it")
		}
	}
	if usable > 0 {
		return
	}
	for _, name := range sortedKeys(d.Classes) {
		r.warnf("classes."+name, "no job can select the class: no workspace has a token")
	}
}

func (r *Report) checkDrains(d *policy.Document, fleet Fleet) {
	for _, key := range sortedKeys(d.Drained) {
		path := "drained." + key
		rack, isRack := strings.CutPrefix(key, policy.RackPrefix)
		name, known, what := key, fleet.Workers, "worker"
		if isRack {
			name, known, what = rack, fleet.Racks, "rack"
		}
		switch {
		case name == "": // an error of the document
		case strings.ContainsFunc(name, func(c rune) bool { return unicode.IsSpace(c) || !unicode.IsPrint(c) }):
			r.warnf(path, "the drain can never match: the name of the %s has white space or control characters", what)
		case !isRack && strings.EqualFold(firstN(key, len(policy.RackPrefix)), policy.RackPrefix):
			r.warnf(path, "the drain is for a worker of that name, not for a rack; the prefix of a rack is %q", policy.RackPrefix)
		case known != nil && !known[name]:
			r.warnf(path, "there is no %s %q now", what, name)
		}
	}
}

func firstN(s string, n int) string { return s[:min(n, len(s))] }

func (r *Report) checkHolds(d *policy.Document, now time.Time) {
	for _, key := range sortedKeys(d.Holds) {
		if until := d.Holds[key].Until; !until.IsZero() && !now.Before(until) {
			r.warnf("holds."+key+".until", "the hold has no effect: it ended at %s", until.UTC().Format(time.RFC3339))
		}
	}
}

// checkGuarantees reports guarantees above the capacity of their failure domain.
func (r *Report) checkGuarantees(next, inForce *policy.Document, fleet Fleet) {
	if fleet.Domains == nil {
		return
	}
	total := map[string]float64{} // in floating point, since the factors are unchecked
	for _, name := range sortedKeys(next.Workspaces) {
		for i, g := range next.Workspaces[name].Guarantees {
			path := fmt.Sprintf("workspaces.%s.guarantees[%d]", name, i)
			domain, known := fleet.Domains[g.FailureDomain]
			largest := domain.Accelerators
			switch g.Adjacency {
			case api.AdjacencyWorker:
				largest = domain.LargestWorker
			case api.AdjacencyRack:
				largest = domain.LargestRack
			}
			switch {
			case g.FailureDomain == "": // an error of the document
			case !known && guaranteedIn(inForce, g.FailureDomain):
				r.warnf(path+".failureDomain", "the failure domain %q has no workers now", g.FailureDomain)
			case !known:
				r.errorf(errkind.GuaranteeUnmeetable, path+".failureDomain", "the failure domain %q is not known; list them with 'carawayctl domains'", g.FailureDomain)
			case g.Accelerators > largest:
				r.errorf(errkind.GuaranteeUnmeetable, path+".accelerators", "a cell has %d accelerators but the largest %s in %s has %d",
					g.Accelerators, g.Adjacency, g.FailureDomain, largest)
			}
			total[g.FailureDomain] += float64(max(g.Cells, 0)) * float64(max(g.Accelerators, 0))
		}
	}
	for _, name := range sortedKeys(total) {
		if domain, ok := fleet.Domains[name]; ok && total[name] > float64(domain.Accelerators) {
			r.errorf(errkind.GuaranteeUnmeetable, "workspaces", "the guarantees in %s sum to %.0f accelerators but its workers have %d",
				name, total[name], domain.Accelerators)
		}
	}
}

func guaranteedIn(d *policy.Document, domain string) bool {
	if d == nil {
		return false
	}
	for _, ws := range d.Workspaces {
		if slices.ContainsFunc(ws.Guarantees, func(g policy.Guarantee) bool { return g.FailureDomain == domain }) {
			return true
		}
	}
	return false
}

// checkClasses reports classes whose fields contradict each other.
func (r *Report) checkClasses(d *policy.Document) {
	for _, name := range sortedKeys(d.Classes) {
		c := d.Classes[name]
		if c.Sheddable && c.StartWithin > 0 {
			r.warnf("classes."+name+".sheddable", "jobs that must start within %s are refused first under overload", c.StartWithin)
		}
		if name == api.ClassUrgent && (c.StartWithin == 0 || c.StartWithin > policy.UrgentStartWithin) {
			r.warnf("classes."+name+".startWithin", "urgent jobs may wait longer than the bound of %s", policy.UrgentStartWithin)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
