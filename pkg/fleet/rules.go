package fleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Rules is a set of decision rules.
type Rules uint32

// Decision rules. All are in force unless Options.DisabledRules contains them, which is
// for tests and measurements.
const (
	// RuleHeadroom keeps free capacity for urgent jobs.
	RuleHeadroom Rules = 1 << iota
	// RulePreemption stops lesser work in favor of urgent jobs outside their guarantee.
	RulePreemption
	// RuleGuarantee stops lesser work at any cost in favor of urgent jobs within their
	// workspace's guarantee.
	RuleGuarantee
	// RuleReservation reserves capacity for gangs that have waited.
	RuleReservation
	// RuleSlackOrder places jobs of one priority in order of lateness and slack rather than
	// of acceptance.
	RuleSlackOrder
	// RuleDrainEviction moves runs off draining workers that leave before the runs end.
	RuleDrainEviction
	// RuleStallEviction moves runs that make no progress.
	RuleStallEviction
	// RuleMultiRack places gangs that prefer one rack on several if waiting costs more.
	RuleMultiRack
	// RuleFailedWorkersLast prefers workers without failed runs.
	RuleFailedWorkersLast
	// RuleLearnedRunTimes corrects declared run times by those observed.
	RuleLearnedRunTimes
	// RuleEvacuationMove moves long-running tasks off evacuated failure domains.
	RuleEvacuationMove
	// RuleColdWorkersLast prefers workers that are not cold, and lets workers return in steps
	// after an evacuation.
	RuleColdWorkersLast
	// RulePreemptionWait stops nothing for urgent work while the capacity that it needs
	// becomes free in time by itself, and, within a guarantee, stops work at any cost only
	// where the start would otherwise be too late.
	RulePreemptionWait
	// RuleVictimCost chooses victims by the work lost, the capacity that a stop idles, the
	// number of earlier stops of their jobs and how soon they end anyway.
	RuleVictimCost
	// RuleShortageOrder orders the waiting groups of a priority by what callers lose and by the
	// workspaces' shares while the demand of a service exceeds its capacity.
	RuleShortageOrder
	// RuleAdmission refuses jobs that cannot complete while they are of value, in a lasting
	// shortage.
	RuleAdmission
	// RuleWorkerSpeed places work by the speeds of workers where these differ materially.
	RuleWorkerSpeed
)

// ruleNames are the names by which operators disable rules.
var ruleNames = map[string]Rules{
	"headroom": RuleHeadroom, "preemption": RulePreemption, "guarantee": RuleGuarantee, "reservation": RuleReservation, "slack-order": RuleSlackOrder,
	"drain-eviction": RuleDrainEviction, "stall-eviction": RuleStallEviction, "multi-rack": RuleMultiRack, "failed-workers-last": RuleFailedWorkersLast,
	"learned-run-times": RuleLearnedRunTimes, "evacuation-move": RuleEvacuationMove, "cold-workers-last": RuleColdWorkersLast,
	"preemption-wait": RulePreemptionWait, "victim-cost": RuleVictimCost, "shortage-order": RuleShortageOrder, "admission": RuleAdmission, "worker-speed": RuleWorkerSpeed,
}

// ParseRules returns the rules with the given names; an unknown name has kind invalid_config.
func ParseRules(names []string) (Rules, error) {
	var all Rules
	for _, name := range names {
		r, known := ruleNames[name]
		if !known {
			return 0, errkind.New(errkind.InvalidConfig, "rule %q is not one of %s", name, strings.Join(slices.Sorted(maps.Keys(ruleNames)), ", "))
		}
		all |= r
	}
	return all, nil
}

// OptionalRules are the rules that the node applies only if its command line names them, since no
// gain for callers was shown on every deployment.
const OptionalRules = RulePreemptionWait | RuleVictimCost | RuleShortageOrder | RuleAdmission | RuleWorkerSpeed

// ruleEnabled reports whether a rule is in force.
func (o *Owner) ruleEnabled(r Rules) bool { return o.opts.DisabledRules&r == 0 }
