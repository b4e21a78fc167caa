package plan

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

func TestMain(m *testing.M) {
	// A fixed seed makes failures reproducible; -rapid.seed on the command line overrides it.
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// fakeEnv implements the dependencies of a Planner: a store with the
// configuration and the plans, jobs, proposals, previews, and a log of the
// executed effects.
type fakeEnv struct {
	mu              sync.Mutex
	doc             *policy.Document
	vms             []*vmSource
	plans           map[string]StoredPlan
	version         int64
	storeDown       bool // the store is unreachable
	failUpdates     bool // updates of stored plans fail
	jobs            []api.JobStatus
	proposals       []gate.Proposal
	previews        []DomainPreview
	currentPreviews []DomainPreview // for the current document; nil: same as previews
	executed        []string        // executed effects, in order
	failingJob      api.JobID
	events          []timeline.Event
}

func newFakeEnv() *fakeEnv {
	d := policy.Default()
	d.Revision = 7
	d.Workspaces["postbud"] = policy.Workspace{
		TokenHashes: []string{policy.HashToken("p")}, Quota: policy.Quota{Accelerators: 64},
		Guarantees: []policy.Guarantee{{Cells: 2, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"}},
	}
	d.Workspaces["lautoka"] = policy.Workspace{}
	d.Operators["ann"] = policy.Operator{Role: policy.RoleAdmin, TokenHash: policy.HashToken("ann")}
	d.Holds = map[string]policy.Hold{"lautoka": {Reason: "audit"}}
	d.Drained = map[string]policy.Drain{"w9": {Reason: "fan"}}
	at := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	return &fakeEnv{
		doc: d, plans: map[string]StoredPlan{},
		jobs: []api.JobStatus{
			{ID: "j0-a", State: api.StateQueued, SubmittedAt: at, Spec: api.JobSpec{Workspace: "postbud", Class: "long"}},
			{ID: "j0-b", State: api.StateRunning, SubmittedAt: at, StartedAt: at, FailureDomain: "r/a", Spec: api.JobSpec{Workspace: "postbud", Class: "long", Accelerators: 4}},
			{ID: "j1-c", State: api.StateSucceeded, SubmittedAt: at, Spec: api.JobSpec{Workspace: "postbud", Class: "long"}},
			{ID: "j1-d", State: api.StateQueued, SubmittedAt: at, Spec: api.JobSpec{Workspace: "lautoka", Class: "short"}},
		},
		proposals: []gate.Proposal{
			{ID: "p1", Kind: gate.Preempt, Job: "j0-b", Workspace: "postbud", Domain: "r/a", Reason: "reclaim for lautoka", LostWork: time.Minute},
			{ID: "p2", Kind: gate.Quarantine, Worker: "w3", Reason: "fails every task"},
		},
	}
}

// vmSource is the configsync.Source of one VM.
type vmSource struct {
	env     *fakeEnv
	doc     *policy.Document // the document that this VM has; may be older than the stored one while lagging
	lagging bool
	subs    []func(*policy.Document)
}

// newVM adds a VM and returns its planner and configuration source.
func (f *fakeEnv) newVM(opts Options) (*Planner, *vmSource) {
	src := &vmSource{env: f, doc: f.doc}
	f.vms = append(f.vms, src)
	opts.Source, opts.Store, opts.Previewer, opts.Jobs, opts.Proposals, opts.Executor, opts.Recorder = src, fakePlanStore{f}, f, fakeJobLister{f}, f, f, f
	return New(opts), src
}

func (s *vmSource) Current() *policy.Document {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	return s.doc
}

func (s *vmSource) Subscribe(fn func(*policy.Document)) {
	s.subs = append(s.subs, fn)
	fn(s.doc)
}

func (s *vmSource) Change(_ context.Context, base int64, next *policy.Document) (*policy.Document, error) {
	f := s.env
	f.mu.Lock()
	if f.storeDown {
		f.mu.Unlock()
		return nil, errkind.New(errkind.StoreUnavailable, "store down")
	}
	if f.doc.Revision != base {
		f.mu.Unlock()
		return nil, errkind.New(errkind.Conflict, "revision %d", f.doc.Revision)
	}
	f.doc = next
	f.mu.Unlock()
	for _, vm := range f.vms {
		if !vm.lagging {
			vm.catchUp()
		}
	}
	return next, nil
}

func (s *vmSource) catchUp() {
	s.env.mu.Lock()
	s.doc = s.env.doc
	doc := s.doc
	s.env.mu.Unlock()
	for _, fn := range s.subs {
		fn(doc)
	}
}

func (f *fakeEnv) Load(_ context.Context, id string) (StoredPlan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.plans[id]
	switch {
	case f.storeDown:
		return p, errkind.New(errkind.StoreUnavailable, "store down")
	case !ok:
		return p, errkind.New(errkind.NotFound, "no key")
	}
	return p, nil
}

func (f *fakeEnv) Save(_ context.Context, p StoredPlan) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown || (f.failUpdates && p.Version != 0) {
		return 0, errkind.New(errkind.StoreUnavailable, "store down")
	}
	if f.plans[p.ID].Version != p.Version {
		return 0, errkind.New(errkind.Conflict, "version")
	}
	f.version++
	p.Version = f.version
	f.plans[p.ID] = p
	return p.Version, nil
}

func (f *fakeEnv) Delete(_ context.Context, id string, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.plans, id)
	return nil
}

// storedPlans returns the plans in unspecified order.
func (f *fakeEnv) storedPlans() []StoredPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []StoredPlan
	for _, p := range f.plans {
		out = append(out, p)
	}
	return out
}

func (f *fakeEnv) Preview(_ context.Context, req PreviewRequest) ([]DomainPreview, error) {
	if req.Next.Revision == f.doc.Revision && f.currentPreviews != nil {
		return f.currentPreviews, nil
	}
	if req.Action != "" && f.previews == nil {
		return []DomainPreview{{Domain: "r/a", Effects: []Effect{{Kind: EffectPreempt, Job: "j0-b"}}}}, nil
	}
	return f.previews, nil
}

func (f *fakeEnv) Proposals(context.Context) ([]gate.Proposal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.proposals), nil
}

func (f *fakeEnv) Record(e timeline.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// run records an effect and returns not_found if it was executed before, like
// the idempotent executors of the system.
func (f *fakeEnv) run(effect string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingJob != "" && strings.Contains(effect, string(f.failingJob)) {
		return errkind.New(errkind.Unavailable, "owner is gone")
	}
	if slices.Contains(f.executed, effect) {
		return errkind.New(errkind.NotFound, "done before")
	}
	f.executed = append(f.executed, effect)
	return nil
}

func (f *fakeEnv) CancelJob(_ context.Context, job api.JobID, _ string) error {
	return f.run("cancel " + string(job))
}

func (f *fakeEnv) Reclaim(_ context.Context, _, workspace, domain string) error {
	return f.run(fmt.Sprintf("reclaim %s %s", workspace, domain))
}

func (f *fakeEnv) Defragment(_ context.Context, _, domain string) error {
	return f.run("defragment " + domain)
}

func (f *fakeEnv) ConfirmProposal(_ context.Context, id string) error { return f.run("proposal " + id) }

// appliedEffects returns the current revision and the executed effects.
func (f *fakeEnv) appliedEffects() (int64, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc.Revision, strings.Join(f.executed, ", ")
}

// fakePlanStore and fakeJobLister have different List methods on one fakeEnv.
type fakePlanStore struct{ *fakeEnv }

func (s fakePlanStore) List(context.Context) ([]StoredPlan, error) { return s.storedPlans(), nil }

type fakeJobLister struct{ *fakeEnv }

func (l fakeJobLister) List(_ context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	var out []api.JobStatus
	for _, j := range l.jobs {
		if j.ID > req.After && len(out) < 2 { // pages shorter than the limit
			out = append(out, j)
		}
	}
	return out, nil
}
