package fleet

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
	// RuleWorkerSpeed places work by the speeds of workers where these differ materially.
	RuleWorkerSpeed
)

// ruleEnabled reports whether a rule is in force.
func (o *Owner) ruleEnabled(r Rules) bool { return o.opts.DisabledRules&r == 0 }
