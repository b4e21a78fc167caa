package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// gateKindOf maps the actions that need the automation gate's permission to their kinds.
var gateKindOf = map[sched.ActionType]gate.Kind{
	sched.ActionPreempt:      gate.Preempt,
	sched.ActionMove:         gate.Move,
	sched.ActionHedge:        gate.Hedge,
	sched.ActionQuarantine:   gate.Quarantine,
	sched.ActionUnquarantine: gate.Quarantine,
	sched.ActionThrottle:     gate.Throttle,
}

func gateKind(a sched.Action) (gate.Kind, bool) {
	if a.Reclaim {
		return gate.Reclaim, true
	}
	kind, ok := gateKindOf[a.Type]
	return kind, ok
}

// handleAction executes one action of the scheduler. An automatic action that the
// gate rejects is kept for a retry: the scheduler assumes that it is executed and does
// not decide it again.
func (d *Domain) handleAction(a sched.Action) {
	kind, automatic := gateKind(a)
	if automatic && !d.allowedByGate(kind, a) {
		if !a.Proposal {
			d.mu.Lock()
			d.deniedActions = append(d.deniedActions, a)
			d.mu.Unlock()
		}
		return
	}
	d.execute(a)
}

// allowedByGate asks the gate for permission; the gate lists the action as a proposal
// while an automation hold is in force.
func (d *Domain) allowedByGate(kind gate.Kind, a sched.Action) bool {
	key := proposalKey(kind, a)
	d.mu.Lock()
	d.proposals[key] = a
	d.mu.Unlock()
	allowed := d.opts.Gate.Allow(kind, a.Workspace, gate.Proposal{
		ID: d.opts.Name + "/" + key, Kind: kind, Workspace: a.Workspace, Job: a.Job, Worker: a.Worker,
		Domain: d.opts.Name, Reason: a.Reason, LostWork: a.LostWork, ProposedAt: time.Now(),
	})
	// The scheduler marks actions of workspaces on hold as proposals. They stay proposals
	// even if the hold has just ended, because the scheduler then decides again.
	allowed = allowed && !a.Proposal
	if allowed {
		d.mu.Lock()
		delete(d.proposals, key)
		d.mu.Unlock()
	}
	return allowed
}

// proposalKey identifies a proposal by the same fields as the gate does.
func proposalKey(kind gate.Kind, a sched.Action) string {
	return string(kind) + "/" + string(a.Job) + "/" + a.Worker
}

// retryDeniedActions retries the actions that the gate rejected and that still
// apply, and drops the proposals of attempts that no longer exist.
func (d *Domain) retryDeniedActions() {
	if d.isStopped() {
		return
	}
	d.mu.Lock()
	due := d.deniedActions
	d.deniedActions = nil
	for key, a := range d.proposals {
		if a.Job != "" && d.attempts[a.Job] == nil {
			delete(d.proposals, key)
		}
	}
	d.mu.Unlock()
	for _, a := range due {
		if d.stillApplies(a) {
			d.handleAction(a)
		}
	}
}

// stillApplies reports whether an earlier decision is still valid for its attempt.
func (d *Domain) stillApplies(act sched.Action) bool {
	if act.Job == "" {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[act.Job]
	return a != nil && !a.ended && a.withdrawReason == "" && a.offer.Attempt == act.Attempt
}

// execute executes one action without asking the gate.
func (d *Domain) execute(a sched.Action) {
	switch a.Type {
	case sched.ActionPlace:
		d.place(a)
	case sched.ActionHedge:
		d.hedge(a)
	case sched.ActionPreempt, sched.ActionMove:
		d.preempt(a)
	case sched.ActionRefuse:
		d.refuse(a)
	case sched.ActionQuarantine:
		d.recordAction(timeline.Quarantined, a, "quarantined: "+a.Reason)
	case sched.ActionUnquarantine:
		d.recordAction(timeline.Quarantined, a, "released on probation: "+a.Reason)
	case sched.ActionThrottle:
		d.throttle(a)
	}
}

// Confirm executes a proposed action that an operator confirmed, if it still applies.
func (d *Domain) Confirm(p gate.Proposal) error {
	key := proposalKey(p.Kind, sched.Action{Job: p.Job, Worker: p.Worker})
	d.mu.Lock()
	a, ok := d.proposals[key]
	delete(d.proposals, key)
	d.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "failure domain %s has no proposal to %s %s%s", d.opts.Name, p.Kind, p.Job, p.Worker)
	}
	if !a.Proposal { // already decided; only the gate rejected it
		if !d.stillApplies(a) {
			return errkind.New(errkind.PlanOutdated, "the proposed action no longer applies")
		}
		d.execute(a)
		return nil
	}
	actions, err := d.opts.Scheduler.Confirm(time.Now(), a)
	if err != nil {
		return err
	}
	for _, next := range actions {
		d.execute(next)
	}
	return nil
}

// moveOffLeavingWorkers checkpoints and stops the attempts on leaving workers, so that
// they run elsewhere. Those that cannot be checkpointed may finish in place.
func (d *Domain) moveOffLeavingWorkers() {
	if d.isStopped() {
		return
	}
	for _, a := range d.movesFromLeaving() {
		if d.allowedByGate(gate.Move, a) {
			d.execute(a)
		}
	}
}

// movesFromLeaving returns a move for each attempt that should leave its worker.
func (d *Domain) movesFromLeaving() []sched.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.anyWorkerLeaving() { // the usual case; avoids the scan of all tasks
		return nil
	}
	var out []sched.Action
	seen := map[*attempt]bool{nil: true}
	for _, t := range d.byTask {
		a := d.attempts[t.job]
		if seen[a] || !t.worker.leaving || t.finished() || a.ended || a.placing || a.preemption != nil || a.withdrawReason != "" {
			continue
		}
		if s := a.offer.Spec; !s.Checkpointable || s.AtMostOnce || len(a.copies) != 1 {
			continue
		}
		seen[a] = true
		out = append(out, sched.Action{
			Type: sched.ActionMove, Job: t.job, Attempt: a.offer.Attempt, Workspace: a.offer.Spec.Workspace,
			Worker: t.worker.id, Reason: "worker " + t.worker.id + " is leaving",
		})
	}
	return out
}

func (d *Domain) anyWorkerLeaving() bool {
	for _, w := range d.workers {
		if w.leaving {
			return true
		}
	}
	return false
}
