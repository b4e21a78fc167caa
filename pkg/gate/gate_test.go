package gate

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

func TestMain(m *testing.M) {
	// A fixed seed makes a failure repeatable; -rapid.seed on the command line replaces it.
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// fakeSource is a configsync.Source with one document.
type fakeSource struct {
	doc  *policy.Document
	subs []func(*policy.Document)
}

func (s *fakeSource) Current() *policy.Document { return s.doc }

func (s *fakeSource) Subscribe(fn func(*policy.Document)) { s.subs = append(s.subs, fn) }

func (s *fakeSource) Change(_ context.Context, _ int64, next *policy.Document) (*policy.Document, error) {
	s.doc = next
	for _, fn := range s.subs {
		fn(next)
	}
	return next, nil
}

// setHolds replaces the automation holds of the document.
func (s *fakeSource) setHolds(t interface{ Fatal(...any) }, holds map[string]policy.Hold) {
	next := s.doc.Clone()
	next.Revision++
	next.Holds = holds
	if _, err := s.Change(context.Background(), s.doc.Revision, next); err != nil {
		t.Fatal(err)
	}
}

func newSource() *fakeSource {
	d := policy.Default()
	d.Workspaces["a"], d.Workspaces["b"] = policy.Workspace{}, policy.Workspace{}
	return &fakeSource{doc: d}
}

// Guards against an automatic action that is allowed during a hold, for any
// combination of holds, and against a resume that enables a different set of kinds
// than before the hold.
func TestHoldStopsTheClosedListAndResumeRestoresIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := newSource()
		g := New(Options{Config: src, ResumeRate: 1e9})
		workspaces := []string{"", "a", "b"}
		before := map[string]map[Kind]bool{}
		for _, ws := range workspaces {
			before[ws] = g.Enabled(ws)
		}
		holds := map[string]policy.Hold{}
		for _, key := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{policy.HoldAll, "a", "b"}), rapid.ID).Draw(t, "holds") {
			holds[key] = policy.Hold{Reason: "weekend"}
		}
		src.setHolds(t, holds)
		for _, ws := range workspaces {
			_, held := holds[ws]
			_, all := holds[policy.HoldAll]
			for _, k := range Kinds() {
				if got := g.Allow(k, ws, Proposal{Job: "j1-x"}); got == (held || all) {
					t.Fatalf("holds %v: Allow(%s, %q) = %v", holds, k, ws, got)
				}
			}
		}
		src.setHolds(t, nil)
		for _, ws := range workspaces {
			if !maps.Equal(before[ws], g.Enabled(ws)) || len(g.Enabled(ws)) != len(Kinds()) {
				t.Fatalf("workspace %q: %v before, %v after", ws, before[ws], g.Enabled(ws))
			}
			for _, k := range Kinds() {
				if !g.Allow(k, ws, Proposal{}) {
					t.Fatalf("%s still not allowed for %q after the resume", k, ws)
				}
			}
		}
		if n := len(g.Proposals()); n != 0 {
			t.Fatalf("%d proposals remain after the resume", n)
		}
	})
}

// Guards against allowing an action of an unknown kind, or any action before the
// hold state is known.
func TestUnknownStateAndKindAreNotAllowed(t *testing.T) {
	src := newSource()
	g := New(Options{Config: src})
	if g.Allow("reboot", "a", Proposal{}) {
		t.Error("unknown kind allowed")
	}
	src.doc = nil
	if g.Allow(Retry, "a", Proposal{}) || g.Enabled("a")[Retry] || len(g.Proposals()) != 0 {
		t.Error("action allowed without a document")
	}
}

// Guards against a list of proposals that grows without bound or lists the same
// action twice, and against confirming a proposal twice.
func TestProposalsAreBoundedAndTakenOnce(t *testing.T) {
	src := newSource()
	g := New(Options{Config: src, MaxProposals: 10})
	src.setHolds(t, map[string]policy.Hold{policy.HoldAll: {}})
	for i := range 50 {
		for range 3 {
			g.Allow(Preempt, "a", Proposal{Job: api.JobID(fmt.Sprint("j1-", i)), Reason: fmt.Sprint("reason ", i)})
		}
	}
	list := g.Proposals()
	if len(list) != 10 || list[9].Job != "j1-49" {
		t.Fatalf("%d proposals, the last one %v; want 10, the last for job j1-49", len(list), list[len(list)-1])
	}
	p, ok := g.Take(list[3].ID)
	if _, again := g.Take(list[3].ID); !ok || again || p.Job != list[3].Job {
		t.Errorf("Take: first %v, second %v", ok, again)
	}
	g.Restore(p)
	if n := len(g.Proposals()); n != 10 {
		t.Errorf("%d proposals after Restore", n)
	}
	for range 2 {
		g.Allow(Move, "a", Proposal{ID: "r/a/move/j1-x", Job: "j1-x"})
	}
	if _, ok := g.Take("r/a/move/j1-x"); !ok {
		t.Error("a proposal with its own ID is not found by this ID")
	}
	if _, ok := g.Take("r/a/move/j1-x"); ok {
		t.Error("a proposal with its own ID is listed twice")
	}
	src.setHolds(t, nil)
	g.Restore(p)
	if n := len(g.Proposals()); n != 0 {
		t.Errorf("Restore after the resume leaves %d proposals", n)
	}
}

// Guards against a burst of actions right after a resume, and against a rate limit
// that outlasts the resume period.
func TestResumeIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		g := New(Options{Config: src, ResumeRate: 2, ResumePeriod: 10 * time.Second})
		src.setHolds(t, map[string]policy.Hold{"a": {}})
		src.setHolds(t, nil)
		count := func(ws string) (n int) {
			for range 100 {
				if g.Allow(Move, ws, Proposal{}) {
					n++
				}
			}
			return n
		}
		if n := count("b"); n != 100 {
			t.Errorf("%d actions for a workspace that was not held", n)
		}
		if n := count("a"); n != 2 {
			t.Errorf("%d actions at once after the resume", n)
		}
		time.Sleep(time.Second)
		if n := count("a"); n != 2 {
			t.Errorf("%d actions in the second after the first ones", n)
		}
		time.Sleep(10 * time.Second)
		if n := count("a"); n != 100 {
			t.Errorf("%d actions after the resume period", n)
		}
	})
}

// Guards against a hold that stays in effect after its expiry, and against
// proposals that remain after the hold.
func TestHoldEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		g := New(Options{Config: src})
		src.setHolds(t, map[string]policy.Hold{policy.HoldAll: {Until: time.Now().Add(time.Hour)}})
		if g.Allow(Hedge, "a", Proposal{}) || len(g.Proposals()) != 1 {
			t.Fatal("hold has no effect")
		}
		time.Sleep(time.Hour)
		if len(g.Proposals()) != 0 || !g.Allow(Hedge, "a", Proposal{}) {
			t.Error("hold still in effect after its expiry")
		}
	})
}

// Guards against losing a hold when a VM is replaced: the hold is stored in the
// policy document, not in the process.
func TestHoldSurvivesRestart(t *testing.T) {
	src := newSource()
	src.setHolds(t, map[string]policy.Hold{policy.HoldAll: {Reason: "weekend"}})
	stored, err := json.Marshal(src.doc)
	if err != nil {
		t.Fatal(err)
	}
	restarted := &fakeSource{doc: &policy.Document{}}
	if err := json.Unmarshal(stored, restarted.doc); err != nil {
		t.Fatal(err)
	}
	if New(Options{Config: restarted}).Allow(Preempt, "a", Proposal{}) {
		t.Error("action allowed after a restart during a hold")
	}
}
