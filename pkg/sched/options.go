package sched

import "time"

// Rules enables the rules of the scheduler one by one, so that the effect of each
// can be measured.
type Rules struct {
	// Lend lets other workspaces use idle guaranteed cells.
	Lend bool
	// Reclaim preempts borrowers when the owner of a guarantee needs its cells.
	Reclaim bool
	// ReclaimOwnCells lets jobs with a start bound preempt jobs of a lower class in the
	// cells of their own workspace.
	ReclaimOwnCells bool
	// DelayPreemption waits a short time for capacity to become free before it preempts.
	DelayPreemption bool
	// PackRacks prefers the fullest rack over the smallest sufficient block.
	PackRacks bool
	// KeepWarmSlots does not lend capacity that the owner's short jobs used recently.
	KeepWarmSlots bool
	// Aging orders jobs by waiting time, deadline slack and attained service instead
	// of strictly by class.
	Aging bool
	// Reserve reserves accelerators for a waiting gang. Backfill runs other jobs on
	// them until the gang can start.
	Reserve  bool
	Backfill bool
	// Move restarts jobs elsewhere when a waiting gang gains more than the moves cost.
	Move bool
	// LearnRunTimes estimates run times from recorded quantiles instead of declared ones.
	LearnRunTimes bool
	// Hedge starts second copies of stragglers.
	Hedge bool
	// ShedLoad refuses jobs of less urgent classes before the queue is full.
	ShedLoad bool
	// Quarantine removes workers from service on which several jobs failed in a row.
	Quarantine bool
}

// DefaultRules returns the rules used in production, all enabled.
func DefaultRules() Rules {
	return Rules{
		Lend: true, Reclaim: true, ReclaimOwnCells: true, DelayPreemption: true, PackRacks: true, KeepWarmSlots: true, Aging: true,
		Reserve: true, Backfill: true, Move: true, LearnRunTimes: true, Hedge: true, ShedLoad: true, Quarantine: true,
	}
}

// Options configures a Domain. The zero value of each field selects its default.
type Options struct {
	Rules Rules
	// PreemptionGrace is the maximum time between a preemption and the stop of its victim.
	PreemptionGrace time.Duration
	// MaxQueued is the maximum number of queued jobs of the domain.
	MaxQueued int
	// ReclaimPerSecond limits the preemptions per second; the burst has the same size.
	ReclaimPerSecond float64
}

// Defaults of Options.
const (
	// DefaultPreemptionGrace leaves about two seconds of the urgent start bound of 6.1 s
	// for the decision, the stop and the start of the urgent job.
	DefaultPreemptionGrace  = 4 * time.Second
	DefaultMaxQueued        = 20_000
	DefaultReclaimPerSecond = 512
)

// defaultUrgentStartBound is the start bound of the built-in urgent class.
const defaultUrgentStartBound = 6100 * time.Millisecond

func (o Options) withDefaults() Options {
	if o.Rules == (Rules{}) {
		o.Rules = DefaultRules()
	}
	if o.PreemptionGrace <= 0 {
		o.PreemptionGrace = DefaultPreemptionGrace
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.ReclaimPerSecond <= 0 {
		o.ReclaimPerSecond = DefaultReclaimPerSecond
	}
	return o
}

// FirstRules returns the rules of the first version, as a baseline for comparisons.
func FirstRules() Rules { return Rules{Lend: true, Reclaim: true, ReclaimOwnCells: true} }

// ruleFields returns the name and the field of each rule.
func (r *Rules) ruleFields() []struct {
	name  string
	field *bool
} {
	return []struct {
		name  string
		field *bool
	}{
		{"lend", &r.Lend},
		{"reclaim", &r.Reclaim},
		{"own_reclaim", &r.ReclaimOwnCells},
		{"patience", &r.DelayPreemption},
		{"pack_racks", &r.PackRacks},
		{"keep_warm", &r.KeepWarmSlots},
		{"aging", &r.Aging},
		{"reserve", &r.Reserve},
		{"backfill", &r.Backfill},
		{"move", &r.Move},
		{"learn", &r.LearnRunTimes},
		{"hedge", &r.Hedge},
		{"shed", &r.ShedLoad},
		{"quarantine", &r.Quarantine},
	}
}

// RuleNames returns the names of all rules.
func RuleNames() []string {
	var out []string
	for _, f := range new(Rules).ruleFields() {
		out = append(out, f.name)
	}
	return out
}

// Disable disables the named rule and reports whether such a rule exists.
func (r *Rules) Disable(name string) bool {
	for _, f := range r.ruleFields() {
		if f.name == name {
			*f.field = false
			return true
		}
	}
	return false
}
