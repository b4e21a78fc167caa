package plan

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

var (
	ann = Actor{Name: "ann", Role: policy.RoleAdmin}
	bob = Actor{Name: "bob", Role: policy.RoleOperator}
	vic = Actor{Name: "vic", Role: policy.RoleViewer}
)

func ptr[T any](v T) *T { return &v }

// intents returns, for each kind, specs that are valid in a new fakeEnv.
func intents() map[Kind][]Spec {
	return map[Kind][]Spec{
		KindWorkspace: {
			&Workspace{Action: ActionCreate, Name: "new", TokenHashes: &[]string{policy.HashToken("n")}, Weight: ptr(2.0)},
			&Workspace{Name: "postbud", Quota: &policy.Quota{Accelerators: 32}},
			&Workspace{Action: ActionDelete, Name: "lautoka"},
		},
		KindGuarantee:  {&Guarantee{Workspace: "postbud"}},
		KindClass:      {&Class{Action: ActionCreate, Name: "fit", Rank: ptr(15), StartWithin: ptr(Duration(time.Minute))}},
		KindPriority:   {&Priority{Class: "long", Rank: ptr(5), Workspace: "postbud", Weight: ptr(3.5)}},
		KindQuota:      {&Quota{Workspace: "lautoka", Queued: ptr(10), RequestsPerSecond: ptr(0.5)}},
		KindOperator:   {&Operator{Action: ActionCreate, Name: "eve", Role: policy.RoleViewer, TokenHash: policy.HashToken("e")}},
		KindDrain:      {&Drain{Worker: "w1", Reason: "fan"}, &Drain{Rack: "r1", Reason: "move"}},
		KindUndrain:    {&Undrain{Worker: "w9"}},
		KindReclaim:    {&Reclaim{Workspace: "postbud", FailureDomain: "r/a"}},
		KindDefragment: {&Defragment{FailureDomain: "r/a"}},
		KindCancel:     {&Cancel{Workspace: "postbud"}, &Cancel{State: api.StateQueued, OlderThan: Duration(time.Hour)}},
		KindHold:       {&Hold{Reason: "weekend"}, &Hold{Workspace: "postbud", Reason: "test", Until: time.Date(2100, 1, 1, 0, 0, 0, 0, time.FixedZone("x", 3600))}},
		KindResume:     {&Resume{Workspace: "lautoka"}},
		KindProposals:  {&Proposals{IDs: []string{"p1"}}, &Proposals{IDs: []string{"p2", "p1", "p2"}}},
	}
}

func drawIntent(t *rapid.T) Intent {
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	return NewIntent(rapid.SampledFrom(intents()[kind]).Draw(t, "spec"))
}

// Guards against an intent of any kind that takes effect before its plan is
// confirmed or more than once, or whose plan cannot be confirmed on another VM.
func TestNothingTakesEffectBeforeConfirmation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeEnv()
		maker, _ := f.newVM(Options{})
		confirmer, _ := f.newVM(Options{})
		before := f.doc.Clone()
		for range rapid.IntRange(0, 3).Draw(t, "other plans") {
			if _, err := maker.Make(t.Context(), ann, drawIntent(t)); err != nil {
				t.Fatal(err)
			}
		}
		plan, err := maker.Make(t.Context(), ann, drawIntent(t))
		if err != nil {
			t.Fatal(err)
		}
		if rev, done := f.appliedEffects(); rev != 7 || done != "" || !cmp.Equal(before, f.doc) {
			t.Fatalf("the plan alone had an effect: revision %d, %q", rev, done)
		}
		if plan.Base != 7 || plan.MadeBy != "ann" || plan.ExpiresAt.Sub(plan.MadeAt) != DefaultLifetime {
			t.Fatalf("plan = %+v", plan)
		}
		first, err := confirmer.Confirm(t.Context(), ann, plan.ID, plan.Hash)
		if err != nil {
			t.Fatal(err)
		}
		rev, done := f.appliedEffects()
		if (rev == 7) == (done == "") {
			t.Fatalf("the confirmed %s plan had the effects %d, %q", plan.Intent.Kind, rev, done)
		}
		if rev == 8 && (f.doc.Plan != plan.ID || f.doc.ChangedBy != "ann") {
			t.Fatalf("audit trail: plan %q by %q", f.doc.Plan, f.doc.ChangedBy)
		}
		for _, p := range []*Planner{maker, confirmer} {
			again, err := p.Confirm(t.Context(), leastPrivileged(ann, plan.Intent.Kind), plan.ID, "")
			if err != nil || !sameJSON(t, first, again) {
				t.Fatalf("second confirmation: %+v, %v; first %+v", again, err, first)
			}
		}
		if rev2, done2 := f.appliedEffects(); rev2 != rev || done2 != done {
			t.Fatalf("the second confirmation had an effect: %d, %q", rev2, done2)
		}
	})
}

func leastPrivileged(admin Actor, k Kind) Actor {
	if bob.Role.Includes(k.Role()) {
		return bob
	}
	return admin
}

func sameJSON(t interface{ Fatal(...any) }, a, b any) bool {
	x, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	y, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Equal(x, y)
}

// Guards against a kind that TestNothingTakesEffectBeforeConfirmation does not
// cover.
func TestEveryKindHasAnIntent(t *testing.T) {
	for _, k := range Kinds() {
		if len(intents()[k]) == 0 || newSpec(k) == nil {
			t.Errorf("no intent of kind %s", k)
		}
		for _, s := range intents()[k] {
			if s.kind() != k {
				t.Errorf("%T is listed under %s", s, k)
			}
		}
	}
}

// Guards against two concurrent confirmations of which the second overwrites the
// first, or fails without reporting what changed.
func TestTwoOperatorsRacing(t *testing.T) {
	f := newFakeEnv()
	p1, _ := f.newVM(Options{})
	p2, _ := f.newVM(Options{})
	a, errA := p1.Make(t.Context(), ann, NewIntent(&Quota{Workspace: "postbud", Accelerators: ptr(32)}))
	b, errB := p2.Make(t.Context(), bob, NewIntent(&Hold{Reason: "weekend"}))
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	var wg sync.WaitGroup
	var errs [2]error
	wg.Go(func() { _, errs[0] = p1.Confirm(t.Context(), ann, a.ID, "") })
	wg.Go(func() { _, errs[1] = p2.Confirm(t.Context(), bob, b.ID, "") })
	wg.Wait()
	loser, confirm := errs[1], func(id string) (Record, error) { return p2.Confirm(t.Context(), bob, id, "") }
	if errs[0] != nil {
		loser, confirm = errs[0], func(id string) (Record, error) { return p1.Confirm(t.Context(), ann, id, "") }
	}
	if (errs[0] == nil) == (errs[1] == nil) || f.doc.Revision != 8 {
		t.Fatalf("errors %v, revision %d", errs, f.doc.Revision)
	}
	var outdated *OutdatedError
	if !errors.As(loser, &outdated) || !errkind.Is(loser, errkind.PlanOutdated) {
		t.Fatalf("loser got %v", loser)
	}
	if len(outdated.Changed) != 1 || len(outdated.Changed[0].Changes) == 0 || outdated.Changed[0].ChangedBy == "" {
		t.Errorf("changed = %+v", outdated.Changed)
	}
	if outdated.Fresh == nil || outdated.Fresh.Base != 8 {
		t.Fatalf("fresh plan = %+v (%s)", outdated.Fresh, outdated.FreshError)
	}
	if _, err := confirm(outdated.Fresh.ID); err != nil || f.doc.Revision != 9 {
		t.Errorf("fresh plan: %v, revision %d", err, f.doc.Revision)
	}
	if f.doc.Workspaces["postbud"].Quota.Accelerators != 32 || f.doc.Holds[policy.HoldAll].Reason != "weekend" {
		t.Error("one of the two changes is lost")
	}
}

// Guards against an action plan that is executed although the configuration
// changed after it was made, and one that two VMs execute twice.
func TestActionPlanRacesAndOvertaking(t *testing.T) {
	f := newFakeEnv()
	p1, _ := f.newVM(Options{})
	p2, _ := f.newVM(Options{})
	plan, err := p1.Make(t.Context(), bob, NewIntent(&Cancel{Workspace: "postbud"}))
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var recs [2]Record
	var errs [2]error
	for i, p := range []*Planner{p1, p2} {
		wg.Go(func() { recs[i], errs[i] = p.Confirm(t.Context(), bob, plan.ID, plan.Hash) })
	}
	wg.Wait()
	if errs[0] != nil || errs[1] != nil || recs[0].State != StateApplied || recs[1].State != StateApplied {
		t.Fatalf("states %s and %s, errors %v", recs[0].State, recs[1].State, errs)
	}
	if _, done := f.appliedEffects(); done != "cancel j0-a, cancel j0-b" {
		t.Errorf("effects = %q", done)
	}
	late, err := p1.Make(t.Context(), bob, NewIntent(&Cancel{Class: "short"}))
	if err != nil {
		t.Fatal(err)
	}
	hold, err := p1.Make(t.Context(), bob, NewIntent(&Hold{Reason: "x"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p1.Confirm(t.Context(), bob, hold.ID, ""); err != nil {
		t.Fatal(err)
	}
	if _, err := p2.Confirm(t.Context(), bob, late.ID, ""); !errkind.Is(err, errkind.PlanOutdated) {
		t.Errorf("outdated cancel plan: %v", err)
	}
	if _, done := f.appliedEffects(); strings.Contains(done, "j1-d") {
		t.Errorf("the outdated plan had effects: %q", done)
	}
}

// Guards against a reclaim that preempts a job which the plan does not list, and
// against one that is rejected because fewer jobs are affected than planned.
func TestReclaimActsOnListedJobsOnly(t *testing.T) {
	f := newFakeEnv()
	p, _ := f.newVM(Options{})
	plan, err := p.Make(t.Context(), bob, NewIntent(&Reclaim{Workspace: "postbud"}))
	if err != nil {
		t.Fatal(err)
	}
	f.previews = []DomainPreview{{Domain: "r/a", Effects: []Effect{{Kind: EffectPreempt, Job: "j0-b"}, {Kind: EffectPreempt, Job: "j0-a"}}}}
	var outdated *OutdatedError
	if _, err := p.Confirm(t.Context(), bob, plan.ID, ""); !errors.As(err, &outdated) || outdated.Fresh == nil || len(outdated.Fresh.Effects) != 2 {
		t.Fatalf("err = %v", err)
	}
	if _, done := f.appliedEffects(); done != "" {
		t.Fatalf("effects = %q", done)
	}
	f.previews = []DomainPreview{{Domain: "r/a", Effects: []Effect{{Kind: EffectPreempt, Job: "j0-a"}}}}
	if rec, err := p.Confirm(t.Context(), bob, outdated.Fresh.ID, ""); err != nil || rec.State != StateApplied {
		t.Errorf("less to do: %+v, %v", rec, err)
	}
	f.previews = []DomainPreview{{Domain: "r/a"}}
	if _, err := p.Make(t.Context(), bob, NewIntent(&Defragment{})); !errkind.Is(err, errkind.InvalidRequest) {
		t.Errorf("nothing to do: %v", err)
	}
}

// Guards against a confirmation that cannot be completed later when one of its
// effects fails, or when the store fails after the configuration change.
func TestConfirmationResumesAfterFailures(t *testing.T) {
	f := newFakeEnv()
	p, _ := f.newVM(Options{})
	plan, err := p.Make(t.Context(), bob, NewIntent(&Cancel{Workspace: "postbud"}))
	if err != nil {
		t.Fatal(err)
	}
	f.failingJob = "j0-b"
	rec, err := p.Confirm(t.Context(), bob, plan.ID, "")
	if err != nil || rec.State != StateConfirmed || len(rec.Failures) != 1 {
		t.Fatalf("record %+v, %v", rec, err)
	}
	f.failingJob = ""
	if rec, err = p.Confirm(t.Context(), bob, plan.ID, ""); err != nil || rec.State != StateApplied {
		t.Fatalf("repeated: %+v, %v", rec, err)
	}
	if _, done := f.appliedEffects(); done != "cancel j0-a, cancel j0-b" {
		t.Errorf("effects = %q", done)
	}

	hold, err := p.Make(t.Context(), bob, NewIntent(&Hold{Reason: "x"}))
	if err != nil {
		t.Fatal(err)
	}
	f.failUpdates = true
	first, err := p.Confirm(t.Context(), bob, hold.ID, "")
	if err != nil || first.State != StateApplied {
		t.Fatalf("change without a note: %+v, %v", first, err)
	}
	f.failUpdates = false
	other, err := p.Make(t.Context(), bob, NewIntent(&Drain{Worker: "w1"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Confirm(t.Context(), bob, other.ID, ""); err != nil {
		t.Fatal(err)
	}
	again, err := p.Confirm(t.Context(), bob, hold.ID, "")
	if err != nil || !sameJSON(t, first, again) || f.doc.Revision != 9 {
		t.Errorf("after a later change: %+v, %v, revision %d", again, err, f.doc.Revision)
	}
}

// Guards against a change during a store outage, and a VM that confirms a plan
// with a configuration older than the plan's base revision.
func TestOutageAndLaggingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEnv()
		p, _ := f.newVM(Options{})
		lagging, src := f.newVM(Options{})
		src.lagging = true
		confirm := func(p *Planner, spec Spec) (string, error) {
			plan, err := p.Make(t.Context(), ann, NewIntent(spec))
			if err != nil {
				t.Fatal(err)
			}
			_, err = p.Confirm(t.Context(), ann, plan.ID, "")
			return plan.ID, err
		}
		if _, err := confirm(p, &Drain{Worker: "w1"}); err != nil {
			t.Fatal(err)
		}
		plan, err := p.Make(t.Context(), ann, NewIntent(&Drain{Worker: "w2"}))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := lagging.Confirm(t.Context(), ann, plan.ID, ""); !errkind.Is(err, errkind.Unavailable) {
			t.Errorf("lagging VM: %v", err)
		}
		go func() { time.Sleep(time.Second); src.catchUp() }()
		if _, err := lagging.Confirm(t.Context(), ann, plan.ID, ""); err != nil || f.doc.Revision != 9 {
			t.Errorf("VM that catches up: %v, revision %d", err, f.doc.Revision)
		}
		f.storeDown = true
		if _, err := p.Make(t.Context(), ann, NewIntent(&Drain{Worker: "w3"})); !errkind.Is(err, errkind.StoreUnavailable) {
			t.Errorf("plan in an outage: %v", err)
		}
		if _, err := p.Confirm(t.Context(), ann, plan.ID, ""); !errkind.Is(err, errkind.StoreUnavailable) || f.doc.Revision != 9 {
			t.Errorf("confirmation in an outage: %v", err)
		}
	})
}

// Guards against accepting the confirmation of a plan that is expired, tampered
// with or removed, or by an operator without the required role.
func TestRefusedConfirmations(t *testing.T) {
	tamper := func(f *fakeEnv, id, old, with string) {
		p := f.plans[id]
		p.Data = bytes.ReplaceAll(p.Data, []byte(old), []byte(with))
		f.plans[id] = p
	}
	for name, c := range map[string]struct {
		prepare func(f *fakeEnv, id string)
		actor   Actor
		hash    string
		want    errkind.Kind
	}{
		"expired":           {func(*fakeEnv, string) { time.Sleep(DefaultLifetime) }, bob, "", errkind.PlanExpired},
		"tampered intent":   {func(f *fakeEnv, id string) { tamper(f, id, `"worker":"w1"`, `"worker":"w2"`) }, bob, "", errkind.PlanTampered},
		"tampered expiry":   {func(f *fakeEnv, id string) { tamper(f, id, `"expiresAt":"2`, `"expiresAt":"3`) }, bob, "", errkind.PlanTampered},
		"unreadable":        {func(f *fakeEnv, id string) { tamper(f, id, `"drain"`, `"dance"`) }, bob, "", errkind.PlanTampered},
		"other than seen":   {func(*fakeEnv, string) {}, bob, "0123", errkind.PlanTampered},
		"viewer":            {func(*fakeEnv, string) {}, vic, "", errkind.Forbidden},
		"nobody":            {func(*fakeEnv, string) {}, Actor{Name: "x"}, "", errkind.Forbidden},
		"removed":           {func(f *fakeEnv, id string) { delete(f.plans, id) }, bob, "", errkind.NotFound},
		"store unreachable": {func(f *fakeEnv, _ string) { f.storeDown = true }, bob, "", errkind.StoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEnv()
				p, _ := f.newVM(Options{})
				plan, err := p.Make(t.Context(), bob, NewIntent(&Drain{Worker: "w1", Reason: "fan"}))
				if err != nil {
					t.Fatal(err)
				}
				c.prepare(f, plan.ID)
				if _, err := p.Confirm(t.Context(), c.actor, plan.ID, c.hash); !errkind.Is(err, c.want) {
					t.Errorf("err = %v, want %s", err, c.want)
				}
				if rev, done := f.appliedEffects(); rev != 7 || done != "" {
					t.Errorf("something changed: %d, %q", rev, done)
				}
			})
		})
	}
}

// Guards against planning an invalid or unauthorized intent, and against an error
// that does not tell the operator how to correct it.
func TestRefusedIntents(t *testing.T) {
	guarantee := func(g policy.Guarantee) Spec {
		return &Guarantee{Workspace: "postbud", Guarantees: []policy.Guarantee{g}}
	}
	for name, c := range map[string]struct {
		spec   Spec
		actor  Actor
		want   errkind.Kind
		advice string
	}{
		"unknown workspace":   {&Quota{Workspace: "nobody"}, ann, errkind.NotFound, "check the name"},
		"hold on nobody":      {&Hold{Workspace: "nobody", Reason: "x"}, ann, errkind.NotFound, "check the name"},
		"cancel for nobody":   {&Cancel{Workspace: "nobody"}, ann, errkind.NotFound, "check the name"},
		"contradiction":       {guarantee(policy.Guarantee{Cells: 9, Accelerators: 8, Adjacency: "worker", FailureDomain: "r/a"}), ann, errkind.InvalidConfig, "raise the quota"},
		"no power of two":     {guarantee(policy.Guarantee{Cells: 1, Accelerators: 6, Adjacency: "worker", FailureDomain: "r/a"}), ann, errkind.InvalidConfig, "use a power of two"},
		"impossible":          {guarantee(policy.Guarantee{Cells: 1, Accelerators: 64, Adjacency: "rack", FailureDomain: "r/a"}), ann, errkind.GuaranteeUnmeetable, "add workers"},
		"unknown domain":      {guarantee(policy.Guarantee{Cells: 1, Accelerators: 8, Adjacency: "rack", FailureDomain: "r/z"}), ann, errkind.GuaranteeUnmeetable, "carawayctl domains"},
		"hold in the past":    {&Hold{Reason: "x", Until: time.Unix(1, 0)}, ann, errkind.InvalidRequest, "give a later end"},
		"hold without reason": {&Hold{}, ann, errkind.InvalidRequest, "say why"},
		"nothing to resume":   {&Resume{}, ann, errkind.InvalidRequest, "nothing to change"},
		"no change":           {&Quota{Workspace: "lautoka"}, ann, errkind.InvalidRequest, "nothing"},
		"existing workspace":  {&Workspace{Action: ActionCreate, Name: "postbud"}, ann, errkind.InvalidRequest, "use the action change"},
		"unknown action":      {&Class{Action: "drop", Name: "long"}, ann, errkind.InvalidRequest, "use create"},
		"built-in class":      {&Class{Action: ActionDelete, Name: "long"}, ann, errkind.InvalidConfig, "keep it"},
		"last admin":          {&Operator{Action: ActionDelete, Name: "ann"}, ann, errkind.InvalidConfig, "add another admin"},
		"unknown role":        {&Operator{Name: "ann", Role: "root"}, ann, errkind.InvalidConfig, "add another admin"},
		"drain of nothing":    {&Drain{}, ann, errkind.InvalidRequest, "name either"},
		"drained already":     {&Drain{Worker: "w9"}, ann, errkind.InvalidRequest, "already"},
		"empty selector":      {&Cancel{}, ann, errkind.InvalidRequest, "set at least one"},
		"no such job":         {&Cancel{Class: "archive"}, ann, errkind.InvalidRequest, "nothing to change"},
		"ended jobs":          {&Cancel{State: api.StateFailed}, ann, errkind.InvalidRequest, "use one of"},
		"no such proposal":    {&Proposals{IDs: []string{"p9"}}, ann, errkind.NotFound, "list the proposals"},
		"nothing to reclaim":  {&Reclaim{Workspace: "lautoka"}, ann, errkind.InvalidRequest, "plan a guarantee"},
		"empty priority":      {&Priority{Class: "long"}, ann, errkind.InvalidRequest, "give class and rank"},
		"operator for admin":  {&Quota{Workspace: "postbud"}, bob, errkind.Forbidden, "needs the role admin"},
		"viewer":              {&Hold{Reason: "x"}, vic, errkind.Forbidden, "needs the role operator"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeEnv()
			if c.want == errkind.GuaranteeUnmeetable {
				f.previews = []DomainPreview{{Domain: "r/a", Impossible: []string{"postbud: 64 in one rack"}}}
				f.currentPreviews = []DomainPreview{{Domain: "r/a"}}
			}
			p, _ := f.newVM(Options{})
			_, err := p.Make(t.Context(), c.actor, NewIntent(c.spec))
			if !errkind.Is(err, c.want) || !strings.Contains(err.Error(), c.advice) {
				t.Errorf("err = %v, want %s with %q", err, c.want, c.advice)
			}
			if rev, done := f.appliedEffects(); rev != 7 || done != "" || len(f.plans) != 0 {
				t.Errorf("something changed: %d, %q, %d plans", rev, done, len(f.plans))
			}
		})
	}
}

// Guards against a lost rack that blocks every later change because a guarantee
// is already impossible.
func TestImpossibleGuaranteeDoesNotStopOtherChanges(t *testing.T) {
	f := newFakeEnv()
	f.previews = []DomainPreview{{Domain: "r/a", Impossible: []string{"postbud: 2 x 8"}}}
	p, _ := f.newVM(Options{})
	plan, err := p.Make(t.Context(), bob, NewIntent(&Drain{Worker: "w1"}))
	if err != nil || len(plan.Unmeetable) != 1 {
		t.Errorf("plan = %+v, %v", plan, err)
	}
}

// Guards against an unbounded number of stored plans, and against deleting an
// open plan to make room.
func TestPlansAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEnv()
		p, _ := f.newVM(Options{MaxPlans: 3})
		hold := NewIntent(&Hold{Reason: "x"})
		for range 3 {
			if _, err := p.Make(t.Context(), bob, hold); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := p.Make(t.Context(), bob, hold); !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("fourth open plan: %v", err)
		}
		time.Sleep(DefaultLifetime)
		for range 10 {
			plan, err := p.Make(t.Context(), bob, hold)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := p.Confirm(t.Context(), bob, plan.ID, ""); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // a hold in the same second would not change the document
		}
		if list, err := p.List(t.Context()); err != nil || len(list) > 3 {
			t.Errorf("%d plans, %v", len(list), err)
		}
	})
}

// Guards against a plan whose hash changes when it is encoded and decoded, so that
// its confirmation fails as tampered, and against a token hash in Redacted.
func TestHashSurvivesTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{ID: "x", Intent: drawIntent(t), MadeAt: time.Unix(0, rapid.Int64().Draw(t, "at")).UTC()}
		var err error
		if p.Hash, err = p.hash(); err != nil {
			t.Skip("the time has no JSON form")
		}
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var back Plan
		if err := json.Unmarshal(data, &back); err != nil {
			t.Fatal(err)
		}
		if err := back.verifyHash(p.Hash); err != nil {
			t.Fatal(err)
		}
		if text, err := json.Marshal(p.Redacted()); err != nil || bytes.Contains(text, []byte(policy.HashToken("n"))) || bytes.Contains(text, []byte(policy.HashToken("e"))) {
			t.Fatalf("token hash shows: %s, %v", text, err)
		}
	})
}

// Guards against missing audit events for who made and who confirmed a plan.
func TestAuditEvents(t *testing.T) {
	f := newFakeEnv()
	p, _ := f.newVM(Options{})
	plan, err := p.Make(t.Context(), ann, NewIntent(&Hold{Reason: "weekend"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Confirm(t.Context(), bob, plan.ID, ""); err != nil {
		t.Fatal(err)
	}
	var got []timeline.Event
	for _, e := range f.events {
		e.Reason = strings.ReplaceAll(e.Reason, plan.ID, "ID")
		got = append(got, e)
	}
	want := []timeline.Event{
		{Type: timeline.PlanMade, By: "ann", Reason: "hold plan ID made by ann"},
		{Type: timeline.PlanConfirmed, By: "bob", Reason: "hold plan ID made by ann"},
		{Type: timeline.HoldChanged, By: "bob", Reason: "hold: weekend"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against rendered plans that omit changes. The cases show the output for
// intents in YAML.
func TestPlanOutput(t *testing.T) {
	datadriven.RunTest(t, "testdata/plans", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = renderIntent(t.Context(), d) })
		return out
	})
}

func renderIntent(ctx context.Context, d *datadriven.TestData) string {
	f := newFakeEnv()
	if d.HasArg("preview") {
		f.previews = []DomainPreview{
			{Domain: "r/a", Effects: []Effect{{Kind: EffectPreempt, Job: "j0-b", Workspace: "postbud", Domain: "r/a", Reason: "above the guarantee", LostWork: 90 * time.Second}}},
			{Domain: "r/b", Unmeetable: []string{"lautoka: 1 x 8 in one worker"}, Error: "its owner did not answer"},
		}
	}
	p, _ := f.newVM(Options{})
	intent, err := ParseIntent([]byte(d.Input))
	if err != nil {
		return err.Error() + "\n"
	}
	plan, err := p.Make(ctx, ann, intent)
	if err != nil {
		return err.Error() + "\n"
	}
	rec, err := p.Get(ctx, plan.ID)
	if d.Cmd == "confirm" && err == nil {
		rec, err = p.Confirm(ctx, ann, plan.ID, plan.Hash)
	}
	var b strings.Builder
	if err != nil || Render(&b, rec) != nil {
		return "error\n"
	}
	return strings.ReplaceAll(b.String(), plan.ID, "ID")
}
