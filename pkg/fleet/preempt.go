package fleet

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/shortage"
)

// startBy returns when a group must have started if it is within a guarantee: first steps
// within the bound from the acceptance or due time of the job, later ones from when they may
// run; 0 if there is no bound.
func (o *Owner) startBy(g *taskGroup, start time.Duration) time.Duration {
	if o.opts.ReclaimBound == 0 {
		return 0
	}
	if len(g.spec().After) > 0 {
		start = g.readySince
	}
	return start + o.opts.ReclaimBound
}

// mayAwaitEnds reports whether a group may wait for runs to end instead of preempting. Where
// the platform has no bound for reclaims, urgent work preempts at once.
func (o *Owner) mayAwaitEnds(c pendingGroup) bool {
	return o.opts.ReclaimBound > 0 && c.priority == 0 && o.ruleEnabled(RulePreemptionWait)
}

func (c *pendingGroup) urgency(now time.Duration) shortage.Urgency {
	return shortage.Urgency{Slack: c.slack, LateSlack: c.lateSlack, Guaranteed: c.withinGuarantee, StartWithin: c.startBy - now}
}

// reclaimDue reports whether a group within its guarantee has to stop other work at any cost
// now.
func (o *Owner) reclaimDue(c pendingGroup, now time.Duration) bool {
	return !o.mayAwaitEnds(c) || c.urgency(now).MustStart()
}

// expectedEnd estimates the time until a run ends and whether that is reliable. A run that is
// overdue or has not been confirmed may end at any time.
func (o *Owner) expectedEnd(r *run, now time.Duration) (endsIn time.Duration, known bool) {
	endsIn = o.remainingRunTime(r, now)
	known = r.phase == phaseRunning && !r.group.spec().LongRunning && r.worker.unansweredCalls == 0 &&
		(endsIn > 0 || r.progressPercent >= completePercent)
	return endsIn, known
}

// setStopCosts sets the costs of stopping the victims of a planner; the lock is held.
func (o *Owner) setStopCosts(p *servicePlanner) {
	for i, v := range p.victims {
		cost := v.cost
		cost.Stops = v.group.job.preemptions
		if o.ruleEnabled(RuleVictimCost) {
			p.snapshot.Groups[i].StopCost, p.snapshot.Groups[i].LastResort = cost.StopCost(), cost.LastResort()
		} else {
			p.snapshot.Groups[i].StopCost = cost.Lost
		}
	}
}

// stopVictims stops the victims of a preemption. A job that has several of them counts it as
// one preemption; the lock is held.
func (o *Owner) stopVictims(p *servicePlanner, c pendingGroup, victims []int, waited time.Duration) {
	counted := map[*job]bool{}
	for _, n := range victims {
		v := p.victims[n]
		if j := v.group.job; !counted[j] {
			counted[j] = true
			j.preemptions++
		}
		o.opts.Metrics.Event("preemption")
		o.opts.Log.Info("preempted for urgent work", "job", v.group.job.ID, "for", c.group.job.ID, "entitled", c.withinGuarantee,
			"waitedMS", waited.Milliseconds(), "slackMS", c.slack.Milliseconds(), "lostCoreSeconds", int(v.cost.Lost), "preemptionsOfJob", v.group.job.preemptions)
		v.stop(o, "preempted")
	}
}
