package shortage

import (
	"slices"
	"testing"
	"time"
)

// Guards against a shortage that begins with a short burst or ends in a short gap.
func TestDetectorHasHysteresis(t *testing.T) {
	var d Detector
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for _, step := range []struct {
		at      float64
		exceeds bool
		want    bool
	}{
		{1, true, false},
		{2, false, false},
		{2.5, true, false},
		{4.4, true, false},
		{4.5, true, true},
		{5, false, true},
		{7.4, false, true},
		{7.5, false, false},
		{8, true, false},
		{20, true, false},
	} {
		if got := d.Update(at(step.at), step.exceeds); got != step.want {
			t.Errorf("at %v s: %v, want %v", step.at, got, step.want)
		}
	}
}

// Guards against guarantees that go to other workspaces, against a large group that its size
// keeps waiting, and against groups without value that go before others.
func TestOrderByShares(t *testing.T) {
	g := func(workspace string, slack, demand float64, lateness int) Group {
		return Group{Workspace: workspace, Slack: time.Duration(slack * float64(time.Second)), Demand: demand, Lateness: lateness}
	}
	shares := func() map[string]*Share {
		return map[string]*Share{"owed": {Guaranteed: 60, Weight: 60}, "busy": {Used: 100, Weight: 10}, "idle": {Weight: 10}}
	}
	tests := map[string]struct {
		groups []Group
		want   []int
	}{
		"guarantee first":         {[]Group{g("busy", 1, 10, 0), g("owed", 5, 50, 0)}, []int{1, 0}},
		"unused fair part first":  {[]Group{g("busy", 1, 60, 0), g("idle", 5, 10, 0)}, []int{1, 0}},
		"a group beyond its part": {[]Group{g("busy", 1, 60, 0), g("idle", 5, 90, 0)}, []int{1, 0}},
		"by slack within a part":  {[]Group{g("owed", 2, 10, 0), g("owed", 1, 10, 0)}, []int{1, 0}},
		"late after in time":      {[]Group{g("owed", -1, 10, 1), g("owed", 1, 10, 0)}, []int{1, 0}},
		"without value last":      {[]Group{g("owed", -9, 10, 2), g("busy", 1, 10, 0)}, []int{1, 0}},
	}
	for name, tc := range tests {
		if got := Order(tc.groups, 100, shares()); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against large jobs that are served less than half as often as their kind.
func TestStarvedLargeJobs(t *testing.T) {
	k := &Kind{}
	for n := range 100 {
		k.AddSize(float64(n))
	}
	if k.Starved() {
		t.Error("starved without outcomes")
	}
	for n := range 100 {
		k.AddOutcome(float64(n), n < 90)
	}
	if !k.Starved() {
		t.Error("not starved although none of the largest tenth was served")
	}
	for range 10 {
		k.AddOutcome(95, true)
	}
	if k.Starved() {
		t.Error("starved although the largest tenth was served again")
	}
}
