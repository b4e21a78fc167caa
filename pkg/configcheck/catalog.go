package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// maxConfiguredDuration bounds every duration of the operators' configuration: what is
// longer is a wrong unit, and a decoder may clamp it there.
const maxConfiguredDuration = 365 * 24 * time.Hour

// Field names of paths. Terms replaces them by those of the document that was decoded.
const (
	fieldQueues        = "queues"
	fieldServices      = "services"
	fieldWorkspaces    = "workspaces"
	fieldLimits        = "limits"
	fieldVersion       = "version"
	fieldName          = "name"
	fieldHost          = "host"
	fieldPrefix        = "prefix"
	fieldService       = "service"
	fieldPublic        = "public"
	fieldPriority      = "priority"
	fieldMaxAttempts   = "maxAttempts"
	fieldSlackFactor   = "slackFactor"
	fieldTargetRuntime = "targetRuntime"
	fieldAdvice        = "advice"
	fieldBaseTimeout   = "baseTimeout"
	fieldPerWorker     = "timeoutPerWorker"
	fieldTicketTTL     = "ticketTTL"
	fieldEnforce       = "enforceCapacity"
	fieldStandby       = "standby"
	fieldKeys          = "keys"
	fieldGuaranteed    = "guaranteed"
	fieldHeaderBytes   = "headerBytes"
	fieldBodyBytes     = "bodyBytes"
	fieldHeaderTimeout = "headerTimeout"
	fieldIdleTimeout   = "idleTimeout"
)

// Terms maps field names of this package to those of the document that was decoded.
// Names that are absent stay as they are.
type Terms map[string]string

func (t Terms) of(field string) string {
	if name, ok := t[field]; ok {
		return name
	}
	return field
}

// item returns the path of a field of an entry of a list.
func (t Terms) item(list string, i int, fields ...string) string {
	path := fmt.Sprintf("%s[%d]", t.of(list), i)
	for _, f := range fields {
		path += "." + t.of(f)
	}
	return path
}

type catalogChecker struct {
	*Report
	terms Terms
	next  *catalog.Catalog
}

// Catalog checks the operators' configuration on the platform. The configuration in
// force may be nil: then changes are not reported. The accelerators of all workers are 0
// if unknown. API keys never appear in the report.
func Catalog(next, inForce *catalog.Catalog, accelerators int64, terms Terms) *Report {
	c := &catalogChecker{Report: &Report{}, terms: terms, next: next}
	if next.Version < 0 {
		c.invalidf(terms.of(fieldVersion), "the version is negative")
	}
	c.checkQueues()
	c.checkServices()
	c.checkWorkspaces(accelerators)
	c.checkLimits()
	if inForce != nil {
		changes := c.diff(inForce)
		// VMs install only a version above the one that they have.
		if next.Version < inForce.Version || (next.Version == inForce.Version && len(changes) > 0) {
			c.invalidf(terms.of(fieldVersion), "the version %d is not above the version in force, %d; VMs ignore it", next.Version, inForce.Version)
		}
		c.changes(changes)
	}
	c.sort()
	return c.Report
}

func (c *catalogChecker) checkQueues() {
	names, addresses := map[string]int{}, map[string]int{}
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		c.unique(names, q.Name, c.terms.item(fieldQueues, i, fieldName), "queue", i)
		if first, ok := addresses[q.Ref().Address]; ok {
			c.invalidf(c.terms.item(fieldQueues, i, fieldPrefix), "the queue %q can never match: %s has the same host and prefix",
				q.Name, c.terms.item(fieldQueues, first))
		} else {
			addresses[q.Ref().Address] = i
		}
		c.checkAddress(i, q)
		if !slices.ContainsFunc(c.next.Services, func(s catalog.Service) bool { return s.Name == q.Class.Service }) {
			c.invalidf(c.terms.item(fieldQueues, i, fieldService), "the service %q is unknown", q.Class.Service)
		}
		c.checkClass(i, &q.Class)
		c.checkAdvice(i, q)
	}
}

// unique reports a name that is empty or used before.
func (c *catalogChecker) unique(seen map[string]int, name, path, what string, i int) {
	first, used := seen[name]
	switch {
	case name == "":
		c.invalidf(path, "the name of the %s is missing", what)
	case used:
		c.invalidf(path, "the name %q is also that of %s %d", name, what, first)
	default:
		seen[name] = i
	}
}

// checkAddress reports an address that no request can have: requests are compared with
// the host without its port, and a path begins with a slash.
func (c *catalogChecker) checkAddress(i int, q *catalog.Queue) {
	path := c.terms.item(fieldQueues, i, fieldHost)
	switch {
	case q.Host == "":
		c.warnf(path, "the queue %q can never match: it has no host", q.Name)
	case strings.LastIndexByte(q.Host, ':') > 0 && !strings.HasSuffix(q.Host, "]"):
		c.warnf(path, "the queue %q can never match: the port of a request is not compared; remove it", q.Name)
	case strings.ContainsAny(q.Host, "/ \t\r\n"):
		c.warnf(path, "the queue %q can never match: %q is not a host name", q.Name, q.Host)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.warnf(c.terms.item(fieldQueues, i, fieldPrefix), "the queue %q can never match: the prefix does not begin with a slash", q.Name)
	}
}

func (c *catalogChecker) checkClass(i int, class *workload.Class) {
	if class.Priority < 0 {
		c.invalidf(c.terms.item(fieldQueues, i, fieldPriority), "the priority is negative; 0 is the highest")
	}
	if class.MaxAttempts < 0 {
		c.invalidf(c.terms.item(fieldQueues, i, fieldMaxAttempts), "the number of attempts is negative")
	}
	slack, target := c.terms.item(fieldQueues, i, fieldSlackFactor), c.terms.item(fieldQueues, i, fieldTargetRuntime)
	c.duration(target, class.TargetRuntime)
	switch {
	case !(class.SlackFactor >= 0): // also true for NaN
		c.invalidf(slack, "the factor is negative")
	case class.SlackFactor == 0 && class.TargetRuntime == 0:
		c.warnf(target, "the objective of every job is 0 s, which no attempt can meet")
	case class.SlackFactor < 1 && class.TargetRuntime >= 0:
		c.warnf(slack, "a factor below 1 allows less time than one attempt runs: no job with a critical path above %s can meet its objective",
			time.Duration(min(float64(maxConfiguredDuration), float64(class.TargetRuntime)/(1-class.SlackFactor))).Round(time.Millisecond))
	}
}

func (c *catalogChecker) checkAdvice(i int, q *catalog.Queue) {
	a := q.Advice
	if a == nil {
		return
	}
	c.duration(c.terms.item(fieldQueues, i, fieldAdvice, fieldBaseTimeout), a.BaseTimeout)
	c.duration(c.terms.item(fieldQueues, i, fieldAdvice, fieldPerWorker), a.TimeoutPerWorker)
	ttl := c.terms.item(fieldQueues, i, fieldAdvice, fieldTicketTTL)
	c.duration(ttl, a.TicketTTL)
	if a.TicketTTL >= 0 && a.TicketTTL <= a.BaseTimeout {
		c.invalidf(ttl, "tickets are valid for %s but a decision may take %s, so that tickets end before work starts", a.TicketTTL, a.BaseTimeout)
	}
	if target := q.Class.TargetRuntime; target >= 0 && target < a.BaseTimeout && q.Class.SlackFactor <= 1 {
		c.warnf(c.terms.item(fieldQueues, i, fieldTargetRuntime), "a decision on a start may take %s, longer than the objective allows beyond the work", a.BaseTimeout)
	}
}

// duration reports a duration that is negative or beyond maxConfiguredDuration.
func (c *catalogChecker) duration(path string, d time.Duration) {
	switch {
	case d < 0:
		c.invalidf(path, "the time is negative")
	case d > maxConfiguredDuration:
		c.invalidf(path, "the time is longer than a year; check its unit")
	}
}

func (c *catalogChecker) checkServices() {
	names := map[string]int{}
	for i, s := range c.next.Services {
		c.unique(names, s.Name, c.terms.item(fieldServices, i, fieldName), "service", i)
		// The machines of a standby pool serve the queues of other services.
		if !s.Standby && !slices.ContainsFunc(c.next.Queues, func(q catalog.Queue) bool { return q.Class.Service == s.Name }) {
			c.warnf(c.terms.item(fieldServices, i), "no queue uses the service %q", s.Name)
		}
	}
}

func (c *catalogChecker) checkWorkspaces(accelerators int64) {
	names, keys := map[string]int{}, map[string]int{}
	total := 0.0 // in floating point, since the addends are unchecked
	for i, w := range c.next.Workspaces {
		c.unique(names, w.Name, c.terms.item(fieldWorkspaces, i, fieldName), "workspace", i)
		guaranteed := c.terms.item(fieldWorkspaces, i, fieldGuaranteed)
		switch {
		case w.Guaranteed.Accelerators < 0:
			c.invalidf(guaranteed, "the guarantee is negative")
		case len(w.Keys) == 0 && w.Guaranteed.Accelerators > 0:
			c.warnf(guaranteed, "the workspace %q has no key, so nobody can use its guarantee", w.Name)
		case len(w.Keys) == 0:
			c.warnf(c.terms.item(fieldWorkspaces, i), "the workspace %q has no key, so no call can be for it", w.Name)
		}
		for n, key := range w.Keys {
			path := fmt.Sprintf("%s[%d]", c.terms.item(fieldWorkspaces, i, fieldKeys), n)
			first, used := keys[key]
			switch {
			case key == "":
				c.invalidf(path, "the key is empty: callers without a key would be accepted")
			case used && first == i:
				c.warnf(path, "the workspace %q has this key twice", w.Name)
			case used:
				c.invalidf(path, "the key is also one of %s; one key selects one workspace", c.terms.item(fieldWorkspaces, first))
			default:
				keys[key] = i
			}
		}
		total += float64(max(0, w.Guaranteed.Accelerators))
	}
	if accelerators > 0 && total > float64(accelerators) {
		c.errorf(errkind.GuaranteeUnmeetable, c.terms.of(fieldWorkspaces), "the guarantees sum to %.0f accelerators but the workers have %d", total, accelerators)
	}
}

func (c *catalogChecker) limit(field string) string {
	return c.terms.of(fieldLimits) + "." + c.terms.of(field)
}

// checkLimits reports limits that contradict each other. A limit of 0 is the default.
func (c *catalogChecker) checkLimits() {
	l := c.next.Limits
	if l.HeaderBytes < 0 {
		c.invalidf(c.limit(fieldHeaderBytes), "the limit is negative; use 0 for the default")
	}
	switch {
	case l.BodyBytes < 0:
		c.invalidf(c.limit(fieldBodyBytes), "the limit is negative; use 0 for the default")
	case l.BodyBytes > 0 && l.BodyBytes < workload.MaxPayloadBytes:
		c.invalidf(c.limit(fieldBodyBytes), "the limit of %d bytes refuses jobs whose spec is legal, of up to %d bytes", l.BodyBytes, workload.MaxPayloadBytes)
	}
	c.duration(c.limit(fieldHeaderTimeout), l.HeaderTimeout)
	c.duration(c.limit(fieldIdleTimeout), l.IdleTimeout)
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.invalidf(c.limit(fieldHeaderTimeout), "the header timeout of %s is above the idle timeout of %s, which ends the connection first", l.HeaderTimeout, l.IdleTimeout)
	}
}

// diff returns the changes from the configuration in force. Entries are compared by
// name, so that their order does not matter.
func (c *catalogChecker) diff(inForce *catalog.Catalog) []policy.Change {
	changes := policy.DiffValues(c.tree(inForce), c.tree(c.next))
	before, after := keysByWorkspace(inForce), keysByWorkspace(c.next)
	for _, name := range sortedKeys(after) {
		old, existed := before[name]
		if !existed {
			continue // reported with the workspace
		}
		added, removed := without(after[name], old), without(old, after[name])
		if added+removed > 0 {
			changes = append(changes, policy.Change{
				Path: c.terms.of(fieldWorkspaces) + "." + name + "." + c.terms.of(fieldKeys),
				Old:  fmt.Sprintf("%d keys", len(old)), New: fmt.Sprintf("%d keys, %d added and %d removed", len(after[name]), added, removed),
			})
		}
	}
	return changes
}

func keysByWorkspace(cat *catalog.Catalog) map[string][]string {
	keys := map[string][]string{}
	for _, w := range cat.Workspaces {
		keys[w.Name] = w.Keys
	}
	return keys
}

// without returns how many of the keys are not among the others.
func without(keys, others []string) (n int) {
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

// tree returns the configuration without API keys as an object for policy.DiffValues,
// with entries by name.
func (c *catalogChecker) tree(cat *catalog.Catalog) map[string]any {
	object := func(fields map[string]any) map[string]any {
		out := make(map[string]any, len(fields))
		for name, value := range fields {
			out[c.terms.of(name)] = value
		}
		return out
	}
	queues, services, workspaces := map[string]any{}, map[string]any{}, map[string]any{}
	for i := range cat.Queues {
		q := &cat.Queues[i]
		fields := map[string]any{
			fieldHost: q.Host, fieldPrefix: q.Prefix, fieldPublic: q.Public, fieldService: q.Class.Service, fieldPriority: q.Class.Priority,
			fieldMaxAttempts: max(1, q.Class.MaxAttempts), fieldSlackFactor: fmt.Sprint(q.Class.SlackFactor), fieldTargetRuntime: q.Class.TargetRuntime.String(),
		}
		if a := q.Advice; a != nil {
			fields[fieldAdvice] = object(map[string]any{
				fieldBaseTimeout: a.BaseTimeout.String(), fieldPerWorker: a.TimeoutPerWorker.String(), fieldTicketTTL: a.TicketTTL.String(),
			})
		}
		queues[q.Name] = object(fields)
	}
	for _, s := range cat.Services {
		services[s.Name] = object(map[string]any{fieldEnforce: s.EnforceCapacity, fieldStandby: s.Standby})
	}
	for _, w := range cat.Workspaces {
		workspaces[w.Name] = object(map[string]any{fieldGuaranteed: w.Guaranteed.Accelerators})
	}
	l := cat.Limits
	return object(map[string]any{
		fieldQueues: queues, fieldServices: services, fieldWorkspaces: workspaces,
		fieldLimits: object(map[string]any{
			fieldHeaderBytes: l.HeaderBytes, fieldBodyBytes: l.BodyBytes,
			fieldHeaderTimeout: l.HeaderTimeout.String(), fieldIdleTimeout: l.IdleTimeout.String(),
		}),
	})
}
