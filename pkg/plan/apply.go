package plan

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

func (s *Workspace) apply(doc *policy.Document, _ string, _ time.Time) error {
	ws, exists := doc.Workspaces[s.Name]
	if err := checkAction(s.Action, "workspace", s.Name, exists); err != nil {
		return err
	}
	if s.Action == ActionDelete {
		delete(doc.Workspaces, s.Name)
		delete(doc.Holds, s.Name)
		return nil
	}
	setIfPresent(&ws.TokenHashes, s.TokenHashes)
	setIfPresent(&ws.Quota, s.Quota)
	setIfPresent(&ws.Guarantees, s.Guarantees)
	setIfPresent(&ws.Weight, s.Weight)
	doc.Workspaces[s.Name] = ws
	return nil
}

func (s *Guarantee) apply(doc *policy.Document, _ string, _ time.Time) error {
	return updateWorkspace(doc, s.Workspace, func(ws *policy.Workspace) { ws.Guarantees = slices.Clone(s.Guarantees) })
}

func (s *Quota) apply(doc *policy.Document, _ string, _ time.Time) error {
	return updateWorkspace(doc, s.Workspace, func(ws *policy.Workspace) {
		setIfPresent(&ws.Quota.Accelerators, s.Accelerators)
		setIfPresent(&ws.Quota.Slots, s.Slots)
		setIfPresent(&ws.Quota.Queued, s.Queued)
		setIfPresent(&ws.Quota.RequestsPerSecond, s.RequestsPerSecond)
	})
}

func (s *Class) apply(doc *policy.Document, _ string, _ time.Time) error {
	c, exists := doc.Classes[s.Name]
	if err := checkAction(s.Action, "class", s.Name, exists); err != nil {
		return err
	}
	if s.Action == ActionDelete {
		delete(doc.Classes, s.Name)
		return nil
	}
	setIfPresent(&c.Rank, s.Rank)
	setIfPresent(&c.Short, s.Short)
	setIfPresent(&c.StartWithin, (*time.Duration)(s.StartWithin))
	setIfPresent(&c.MaxAttempts, s.MaxAttempts)
	setIfPresent(&c.Sheddable, s.Sheddable)
	doc.Classes[s.Name] = c
	return nil
}

func (s *Priority) apply(doc *policy.Document, _ string, _ time.Time) error {
	if (s.Class == "" || s.Rank == nil) && (s.Workspace == "" || s.Weight == nil) {
		return errkind.New(errkind.InvalidRequest, "the priority intent is empty; give class and rank, or workspace and weight")
	}
	if s.Class != "" {
		c, ok := doc.Classes[s.Class]
		if !ok {
			return unknownError("class", s.Class)
		}
		setIfPresent(&c.Rank, s.Rank)
		doc.Classes[s.Class] = c
	}
	if s.Workspace != "" {
		return updateWorkspace(doc, s.Workspace, func(ws *policy.Workspace) { setIfPresent(&ws.Weight, s.Weight) })
	}
	return nil
}

func (s *Operator) apply(doc *policy.Document, _ string, _ time.Time) error {
	op, exists := doc.Operators[s.Name]
	if err := checkAction(s.Action, "operator", s.Name, exists); err != nil {
		return err
	}
	if s.Action == ActionDelete {
		delete(doc.Operators, s.Name)
	} else {
		if s.Role != "" {
			op.Role = s.Role
		}
		if s.TokenHash != "" {
			op.TokenHash = s.TokenHash
		}
		doc.Operators[s.Name] = op
	}
	if !hasAdmin(doc) {
		return errkind.New(errkind.InvalidConfig, "no operator with the role admin would remain; add another admin first")
	}
	return nil
}

func hasAdmin(doc *policy.Document) bool {
	for _, op := range doc.Operators {
		if op.Role == policy.RoleAdmin {
			return true
		}
	}
	return false
}

func (s *Drain) apply(doc *policy.Document, _ string, at time.Time) error {
	key, err := drainKey(s.Worker, s.Rack)
	if err != nil {
		return err
	}
	if _, ok := doc.Drained[key]; ok {
		return noChangeError("%s is already drained", key)
	}
	doc.Drained[key] = policy.Drain{Reason: s.Reason, Since: at.Truncate(time.Second)}
	return nil
}

func (s *Undrain) apply(doc *policy.Document, _ string, _ time.Time) error {
	key, err := drainKey(s.Worker, s.Rack)
	if err != nil {
		return err
	}
	if _, ok := doc.Drained[key]; !ok {
		return noChangeError("%s is not drained", key)
	}
	delete(doc.Drained, key)
	return nil
}

func drainKey(worker, rack string) (string, error) {
	switch {
	case worker != "" && rack == "":
		return worker, nil
	case rack != "" && worker == "":
		return policy.RackPrefix + rack, nil
	default:
		return "", errkind.New(errkind.InvalidRequest, "name either a worker or a rack")
	}
}

func (s *Hold) apply(doc *policy.Document, by string, at time.Time) error {
	if !s.Until.IsZero() && !s.Until.After(at) {
		return errkind.New(errkind.InvalidRequest, "the hold would end at %s, which has passed; give a later end or none",
			s.Until.Format(time.RFC3339))
	}
	if s.Reason == "" {
		return errkind.New(errkind.InvalidRequest, "the hold has no reason; say why, so that others know when to resume")
	}
	key, err := holdKey(doc, s.Workspace)
	if err != nil {
		return err
	}
	doc.Holds[key] = policy.Hold{Reason: s.Reason, By: by, Since: at.Truncate(time.Second), Until: s.Until}
	return nil
}

func (s *Resume) apply(doc *policy.Document, _ string, _ time.Time) error {
	key, err := holdKey(doc, s.Workspace)
	if err != nil {
		return err
	}
	if _, ok := doc.Holds[key]; !ok {
		return noChangeError("there is no hold on %s", key)
	}
	delete(doc.Holds, key)
	return nil
}

func holdKey(doc *policy.Document, workspace string) (string, error) {
	if workspace == "" || workspace == policy.HoldAll {
		return policy.HoldAll, nil
	}
	if _, ok := doc.Workspaces[workspace]; !ok {
		return "", unknownError("workspace", workspace)
	}
	return workspace, nil
}

func (s *Reclaim) check(doc *policy.Document) error {
	ws, ok := doc.Workspaces[s.Workspace]
	if !ok {
		return unknownError("workspace", s.Workspace)
	}
	for _, g := range ws.Guarantees {
		if s.FailureDomain == "" || g.FailureDomain == s.FailureDomain {
			return nil
		}
	}
	return errkind.New(errkind.InvalidRequest, "the workspace %q has no guarantee to reclaim there; plan a guarantee first", s.Workspace)
}

func (s *Defragment) check(*policy.Document) error { return nil }

func (s *Cancel) check(doc *policy.Document) error {
	if s.Workspace == "" && s.Class == "" && s.State == "" && s.OlderThan == 0 {
		return errkind.New(errkind.InvalidRequest, "the selector is empty and would match every job; set at least one field")
	}
	if _, ok := doc.Workspaces[s.Workspace]; s.Workspace != "" && !ok {
		return unknownError("workspace", s.Workspace)
	}
	if _, ok := doc.Classes[s.Class]; s.Class != "" && !ok {
		return unknownError("class", s.Class)
	}
	if s.State != "" && !slices.Contains(activeStates, s.State) {
		return errkind.New(errkind.InvalidRequest, "jobs in state %q cannot be cancelled; use one of %v", s.State, activeStates)
	}
	if s.OlderThan < 0 {
		return errkind.New(errkind.InvalidRequest, "olderThan is negative; use an age such as 24h")
	}
	return nil
}

// activeStates are the states of jobs that have not ended.
var activeStates = []api.State{api.StateQueued, api.StateReserved, api.StateRunning, api.StateCheckpointing}

func (s *Proposals) check(*policy.Document) error {
	if len(s.IDs) == 0 {
		return errkind.New(errkind.InvalidRequest, "no proposal is named; list the proposals and give their IDs")
	}
	return nil
}

// checkAction verifies that an object to create does not exist yet and that an
// object to change or delete does.
func checkAction(a Action, what, name string, exists bool) error {
	switch a {
	case ActionCreate:
		if exists {
			return errkind.New(errkind.InvalidRequest, "the %s %q exists already; use the action change", what, name)
		}
	case ActionChange, ActionDelete, "":
		if !exists {
			return unknownError(what, name)
		}
	default:
		return errkind.New(errkind.InvalidRequest, "the action %q is unknown; use create, change or delete", a)
	}
	return nil
}

func updateWorkspace(doc *policy.Document, name string, change func(*policy.Workspace)) error {
	ws, ok := doc.Workspaces[name]
	if !ok {
		return unknownError("workspace", name)
	}
	change(&ws)
	doc.Workspaces[name] = ws
	return nil
}

func unknownError(what, name string) error {
	return errkind.New(errkind.NotFound, "the %s %q is unknown; check the name with 'carawayctl config show' or create it first", what, name)
}

func noChangeError(format string, args ...any) error {
	return errkind.New(errkind.InvalidRequest, format+"; there is nothing to change", args...)
}

// setIfPresent copies *src to *dst unless src is nil.
func setIfPresent[T any](dst, src *T) {
	if src != nil {
		*dst = *src
	}
}
