package shortage

import (
	"testing"
	"time"
)

// Guards against victims whose loss is larger than that of others: long work, jobs that were
// stopped before, and runs that are about to end.
func TestStopCostOrdersVictims(t *testing.T) {
	base := Victim{Lost: 10, Cores: 9, EndsIn: 5 * time.Second, EndKnown: true}
	with := func(change func(*Victim)) Victim {
		v := base
		change(&v)
		return v
	}
	tests := map[string]struct {
		dearer     Victim
		lastResort bool
	}{
		"more work is lost":           {with(func(v *Victim) { v.Lost = 11 }), false},
		"the same work on more cores": {with(func(v *Victim) { v.Cores = 72 }), false},
		"stopped once before":         {with(func(v *Victim) { v.Stops = 1 }), false},
		"stopped three times before":  {with(func(v *Victim) { v.Stops = 3 }), true},
		"about to end":                {with(func(v *Victim) { v.EndsIn = time.Second }), true},
	}
	for name, tc := range tests {
		if !tc.lastResort && tc.dearer.StopCost() <= base.StopCost() {
			t.Errorf("%s: costs %v, not more than %v", name, tc.dearer.StopCost(), base.StopCost())
		}
		if last := tc.dearer.LastResort(); last != tc.lastResort {
			t.Errorf("%s: last resort is %v", name, last)
		}
	}
	if overdue := with(func(v *Victim) { v.EndsIn, v.EndKnown = 0, false }); overdue.LastResort() {
		t.Error("an overdue run is spared as if it was about to end")
	}
}

// Guards against a wait that costs the target of a job or the start within its guarantee, and
// against stops at any cost while there is time.
func TestUrgency(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		u    Urgency
		wait time.Duration
		must bool
	}{
		"half of the slack":              {Urgency{Slack: s, LateSlack: 5 * s}, s / 2, false},
		"no slack":                       {Urgency{Slack: 0, LateSlack: 5 * s}, 0, false},
		"late: half until it is useless": {Urgency{Slack: -s, LateSlack: 4 * s}, 2 * s, false},
		"bound of the guarantee":         {Urgency{Slack: 9 * s, LateSlack: 30 * s, Guaranteed: true, StartWithin: 2400 * time.Millisecond}, s, false},
		"slack before the bound":         {Urgency{Slack: s, LateSlack: 5 * s, Guaranteed: true, StartWithin: 3 * s}, s / 2, false},
		"bound reached":                  {Urgency{Slack: 9 * s, LateSlack: 30 * s, Guaranteed: true, StartWithin: 1400 * time.Millisecond}, 0, true},
		"bound passed":                   {Urgency{Slack: -9 * s, LateSlack: -s, Guaranteed: true, StartWithin: -s}, 0, true},
	}
	for name, tc := range tests {
		if got := tc.u.MayWait(); got != tc.wait {
			t.Errorf("%s: may wait %v, want %v", name, got, tc.wait)
		}
		if got := tc.u.MustStart(); got != tc.must {
			t.Errorf("%s: must start: %v", name, got)
		}
	}
}
