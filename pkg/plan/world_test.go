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
	// A fixed seed makes a failure repeatable; -rapid.seed on the command line replaces it.
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// world stands in for the rest of the system: one store with the configuration
// and the plans, jobs, and a record of everything that was carried out.
type world struct {
	mu       sync.Mutex
	doc      *policy.Document
	vms      []*vmSource
	plans    map[string]StoredPlan
	version  int64
	down     bool // the store cannot be reached
	lostSave bool // the next write of a plan is lost after a configuration change
	jobs     []api.JobStatus
	held     []gate.Proposal
	previews []DomainPreview
	present  []DomainPreview // for the document in force, if it differs
	done     []string        // effects, in order
	failJob  api.JobID
	events   []timeline.Event
}

func newWorld() *world {
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
	return &world{
		doc: d, plans: map[string]StoredPlan{},
		jobs: []api.JobStatus{
			{ID: "j0-a", State: api.StateQueued, SubmittedAt: at, Spec: api.JobSpec{Workspace: "postbud", Class: "long"}},
			{ID: "j0-b", State: api.StateRunning, SubmittedAt: at, StartedAt: at, FailureDomain: "r/a", Spec: api.JobSpec{Workspace: "postbud", Class: "long", Accelerators: 4}},
			{ID: "j1-c", State: api.StateSucceeded, SubmittedAt: at, Spec: api.JobSpec{Workspace: "postbud", Class: "long"}},
			{ID: "j1-d", State: api.StateQueued, SubmittedAt: at, Spec: api.JobSpec{Workspace: "lautoka", Class: "short"}},
		},
		held: []gate.Proposal{
			{ID: "p1", Kind: gate.Preempt, Job: "j0-b", Workspace: "postbud", Domain: "r/a", Reason: "reclaim for lautoka", LostWork: time.Minute},
			{ID: "p2", Kind: gate.Quarantine, Worker: "w3", Reason: "fails every task"},
		},
	}
}

// vmSource is the configsync.Source of one VM.
type vmSource struct {
	w    *world
	doc  *policy.Document // what this VM has; behind the store while lagging
	lag  bool
	subs []func(*policy.Document)
}

// vm returns the planner of another VM.
func (w *world) vm(opts Options) (*Planner, *vmSource) {
	src := &vmSource{w: w, doc: w.doc}
	w.vms = append(w.vms, src)
	opts.Source, opts.Store, opts.Previewer, opts.Jobs, opts.Proposals, opts.Executor, opts.Recorder = src, planStore{w}, w, jobLister{w}, w, w, w
	return New(opts), src
}

func (s *vmSource) Current() *policy.Document {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	return s.doc
}

func (s *vmSource) Subscribe(fn func(*policy.Document)) {
	s.subs = append(s.subs, fn)
	fn(s.doc)
}

func (s *vmSource) Change(_ context.Context, base int64, next *policy.Document) (*policy.Document, error) {
	w := s.w
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return nil, errkind.New(errkind.StoreUnavailable, "store down")
	}
	if w.doc.Revision != base {
		w.mu.Unlock()
		return nil, errkind.New(errkind.Conflict, "revision %d", w.doc.Revision)
	}
	w.doc = next
	w.mu.Unlock()
	for _, vm := range w.vms {
		if !vm.lag {
			vm.catchUp()
		}
	}
	return next, nil
}

func (s *vmSource) catchUp() {
	s.w.mu.Lock()
	s.doc = s.w.doc
	doc := s.doc
	s.w.mu.Unlock()
	for _, fn := range s.subs {
		fn(doc)
	}
}

func (w *world) Load(_ context.Context, id string) (StoredPlan, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.plans[id]
	switch {
	case w.down:
		return p, errkind.New(errkind.StoreUnavailable, "store down")
	case !ok:
		return p, errkind.New(errkind.NotFound, "no key")
	}
	return p, nil
}

func (w *world) Save(_ context.Context, p StoredPlan) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || (w.lostSave && p.Version != 0) {
		return 0, errkind.New(errkind.StoreUnavailable, "store down")
	}
	if w.plans[p.ID].Version != p.Version {
		return 0, errkind.New(errkind.Conflict, "version")
	}
	w.version++
	p.Version = w.version
	w.plans[p.ID] = p
	return p.Version, nil
}

func (w *world) Delete(_ context.Context, id string, _ int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.plans, id)
	return nil
}

// storedPlans returns the plans in no order.
func (w *world) storedPlans() []StoredPlan {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []StoredPlan
	for _, p := range w.plans {
		out = append(out, p)
	}
	return out
}

func (w *world) Preview(_ context.Context, req PreviewRequest) ([]DomainPreview, error) {
	if req.Next.Revision == w.doc.Revision && w.present != nil {
		return w.present, nil
	}
	if req.Action != "" && w.previews == nil {
		return []DomainPreview{{Domain: "r/a", Effects: []Effect{{Kind: EffectPreempt, Job: "j0-b"}}}}, nil
	}
	return w.previews, nil
}

func (w *world) Proposals(context.Context) ([]gate.Proposal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.held), nil
}

func (w *world) Record(e timeline.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// do notes an effect once, as the idempotent executors of the system do.
func (w *world) do(effect string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failJob != "" && strings.Contains(effect, string(w.failJob)) {
		return errkind.New(errkind.Unavailable, "owner is gone")
	}
	if slices.Contains(w.done, effect) {
		return errkind.New(errkind.NotFound, "done before")
	}
	w.done = append(w.done, effect)
	return nil
}

func (w *world) CancelJob(_ context.Context, job api.JobID, _ string) error {
	return w.do("cancel " + string(job))
}

func (w *world) Reclaim(_ context.Context, _, workspace, domain string) error {
	return w.do(fmt.Sprintf("reclaim %s %s", workspace, domain))
}

func (w *world) Defragment(_ context.Context, _, domain string) error {
	return w.do("defragment " + domain)
}

func (w *world) ConfirmProposal(_ context.Context, id string) error { return w.do("proposal " + id) }

// effects returns everything that has taken effect.
func (w *world) effects() (int64, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc.Revision, strings.Join(w.done, ", ")
}

// planStore and jobLister split the two List methods.
type planStore struct{ *world }

func (s planStore) List(context.Context) ([]StoredPlan, error) { return s.storedPlans(), nil }

type jobLister struct{ *world }

func (l jobLister) List(_ context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	var out []api.JobStatus
	for _, j := range l.jobs {
		if j.ID > req.After && len(out) < 2 { // shorter pages than asked for
			out = append(out, j)
		}
	}
	return out, nil
}
