package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// gateKinds lists the actions that pass the automation gate.
var gateKinds = map[sched.ActionType]gate.Kind{
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
	kind, ok := gateKinds[a.Type]
	return kind, ok
}

// act carries out one decision of the scheduler. An automatic action that the
// gate refuses is kept: the scheduler counts on it and does not decide it again.
func (d *Domain) act(a sched.Action) {
	kind, automatic := gateKind(a)
	if automatic && !d.permit(kind, a) {
		if !a.Proposal {
			d.mu.Lock()
			d.postponed = append(d.postponed, a)
			d.mu.Unlock()
		}
		return
	}
	d.carryOut(a)
}

// permit asks the gate, which lists the action as a proposal while automation is held.
func (d *Domain) permit(kind gate.Kind, a sched.Action) bool {
	key := proposalKey(kind, a)
	d.mu.Lock()
	d.proposals[key] = a
	d.mu.Unlock()
	allowed := d.opts.Gate.Allow(kind, a.Workspace, gate.Proposal{
		ID: d.opts.Name + "/" + key, Kind: kind, Workspace: a.Workspace, Job: a.Job, Worker: a.Worker,
		Domain: d.opts.Name, Reason: a.Reason, LostWork: a.LostWork, ProposedAt: time.Now(),
	})
	// The scheduler marks what it saw held; that stays a proposal even if the
	// hold has just ended, because it decides anew then.
	allowed = allowed && !a.Proposal
	if allowed {
		d.mu.Lock()
		delete(d.proposals, key)
		d.mu.Unlock()
	}
	return allowed
}

// proposalKey tells proposals apart as the gate does.
func proposalKey(kind gate.Kind, a sched.Action) string {
	return string(kind) + "/" + string(a.Job) + "/" + a.Worker
}

// retryPostponed asks the gate again for the actions that it refused and that
// still apply, and forgets proposals about attempts that are over.
func (d *Domain) retryPostponed() {
	if d.isStopped() {
		return
	}
	d.mu.Lock()
	due := d.postponed
	d.postponed = nil
	for key, a := range d.proposals {
		if a.Job != "" && d.attempts[a.Job] == nil {
			delete(d.proposals, key)
		}
	}
	d.mu.Unlock()
	for _, a := range due {
		if d.applies(a) {
			d.act(a)
		}
	}
}

// applies reports whether an earlier decision still makes sense.
func (d *Domain) applies(act sched.Action) bool {
	if act.Job == "" {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[act.Job]
	return a != nil && !a.ended && a.withdrawn == "" && a.offer.Attempt == act.Attempt
}

// carryOut does one action.
func (d *Domain) carryOut(a sched.Action) {
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
		d.record(timeline.Quarantined, a, "quarantined: "+a.Reason)
	case sched.ActionUnquarantine:
		d.record(timeline.Quarantined, a, "released on probation: "+a.Reason)
	case sched.ActionThrottle:
		d.throttle(a)
	}
}

// Confirm carries out a held action that an operator confirmed, if it still applies.
func (d *Domain) Confirm(p gate.Proposal) error {
	key := proposalKey(p.Kind, sched.Action{Job: p.Job, Worker: p.Worker})
	d.mu.Lock()
	a, ok := d.proposals[key]
	delete(d.proposals, key)
	d.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "failure domain %s has no proposal to %s %s%s", d.opts.Name, p.Kind, p.Job, p.Worker)
	}
	if !a.Proposal { // decided already and kept back by the gate only
		if !d.applies(a) {
			return errkind.New(errkind.PlanOutdated, "the proposed action no longer applies")
		}
		d.carryOut(a)
		return nil
	}
	actions, err := d.opts.Scheduler.Confirm(time.Now(), a)
	if err != nil {
		return err
	}
	for _, next := range actions {
		d.carryOut(next)
	}
	return nil
}

// moveFromLeaving checkpoints the attempts on leaving workers and queues them
// again. Those that cannot be checkpointed may finish where they are.
func (d *Domain) moveFromLeaving() {
	if d.isStopped() {
		return
	}
	for _, a := range d.movable() {
		if d.permit(gate.Move, a) {
			d.carryOut(a)
		}
	}
}

// movable returns a move for each attempt that should leave its worker.
func (d *Domain) movable() []sched.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.anyLeaving() { // most of the time: spares the tasks
		return nil
	}
	var out []sched.Action
	seen := map[*attempt]bool{nil: true}
	for _, t := range d.byTask {
		a := d.attempts[t.job]
		if seen[a] || !t.worker.leaving || t.over() || a.ended || a.placing || a.preempt != nil || a.withdrawn != "" {
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

func (d *Domain) anyLeaving() bool {
	for _, w := range d.workers {
		if w.leaving {
			return true
		}
	}
	return false
}
