package sched

import "time"

// Rules switches the rules of the scheduler one by one, so that measurements
// can show what each is worth.
type Rules struct {
	// Lend lets other workspaces use idle guaranteed cells.
	Lend bool
	// Reclaim preempts borrowers when the owner of a guarantee needs its cells.
	Reclaim bool
	// ReclaimOwnCells lets work with a start bound take back cells that its own
	// workspace fills with work of a later class.
	ReclaimOwnCells bool
	// DelayPreemption waits a little for capacity that becomes free before it preempts.
	DelayPreemption bool
	// PackRacks fills racks before it looks for the smallest block.
	PackRacks bool
	// KeepWarmSlots does not lend the slots that the owner's short work used lately.
	KeepWarmSlots bool
	// Aging orders by waiting time, deadline slack and attained service instead
	// of strictly by class.
	Aging bool
	// Reserve keeps accelerators for a gang that waits; Backfill uses them until then.
	Reserve  bool
	Backfill bool
	// Move restarts jobs elsewhere when a waiting gang gains more than that costs.
	Move bool
	// LearnRunTimes estimates run times by learned quantiles instead of declared times.
	LearnRunTimes bool
	// Hedge starts a second copy of stragglers.
	Hedge bool
	// ShedLoad refuses work that can wait before the queue is full.
	ShedLoad bool
	// Quarantine takes workers out that fail everything.
	Quarantine bool
}

// DefaultRules returns the rules in use.
func DefaultRules() Rules {
	return Rules{
		Lend: true, Reclaim: true, ReclaimOwnCells: true, DelayPreemption: true, PackRacks: true, KeepWarmSlots: true, Aging: true,
		Reserve: true, Backfill: true, Move: true, LearnRunTimes: true, Hedge: true, ShedLoad: true, Quarantine: true,
	}
}

// Options configures a Domain. The zero value of each field selects its default.
type Options struct {
	Rules Rules
	// PreemptionGrace is the longest time between a preemption and the stop of its victim.
	PreemptionGrace time.Duration
	// MaxQueued bounds the jobs that wait in the domain.
	MaxQueued int
	// ReclaimPerSecond bounds the preemptions a second; the burst is as large.
	ReclaimPerSecond float64
}

// Defaults of Options.
const (
	// DefaultPreemptionGrace leaves two seconds of the urgent bound of 6.1 s for the
	// decision, the stop itself and the start of the urgent work.
	DefaultPreemptionGrace  = 4 * time.Second
	DefaultMaxQueued        = 20_000
	DefaultReclaimPerSecond = 512
)

// urgentBound is the start bound that applies when a class names none.
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

// FirstRules returns the rules of the first version, for comparison.
func FirstRules() Rules { return Rules{Lend: true, Reclaim: true, ReclaimOwnCells: true} }

// ruleFields lists the switches by name.
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

// Disable switches the named rule off and reports whether it exists.
func (r *Rules) Disable(name string) bool {
	for _, f := range r.ruleFields() {
		if f.name == name {
			*f.field = false
			return true
		}
	}
	return false
}
