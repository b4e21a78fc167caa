package domain

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1") // a fixed seed makes failures reproducible
	}
	goleak.VerifyTestMain(m)
}

const (
	testName = "r1/a"
	testTTL  = 15 * time.Second
)

// fixtureT is the common subset of testing.T and rapid.T.
type fixtureT interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// world is the test fixture: one failure domain with in-memory workers and a fake partition.
type world struct {
	t       fixtureT
	workers []*memory.Worker
	dialer  memory.Dialer
	part    *fakePartition
	gate    *fakeGate

	mu                sync.Mutex
	vms               []platform.VM
	leaving           map[string]bool
	reportedAsLeaving []string // workers that the domain reported as leaving
	// before and after run around each call to a target. An error is returned to the
	// caller: from before, the call is not made; from after, its answer is lost.
	before, after  func(worker, method string) error
	domains        []*Domain
	maxResultBytes int64
}

func newWorld(t fixtureT, workers int) *world {
	w := &world{t: t, part: newFakePartition(), gate: &fakeGate{}, leaving: map[string]bool{}}
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i), memory.Config{})
	}
	return w
}

func (w *world) addWorker(id string, c memory.Config) {
	c.ID = id
	m := memory.NewWorker(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, m)
	w.dialer.Add(id, &hookedTarget{Target: m, id: id, w: w})
	w.vms = append(w.vms, platform.VM{
		ID: id, Role: platform.RoleTarget, Address: id, State: platform.VMLive,
		FailureDomain: testName, Rack: "k0", Accelerators: memory.DefaultAccelerators, Slots: target.DefaultSlots,
	})
}

// start starts a new domain owner; the epochs are 1, 2, and so on.
func (w *world) start() *Domain {
	d := New(Options{
		Name: testName, Epoch: int64(len(w.domains) + 1), Scheduler: sched.NewDomain(testName, sched.Options{}),
		Dialer: &w.dialer, Reporter: w.part, Gate: w.gate, Recorder: timeline.Discard{}, Log: logr.Discard(),
		VMs: w.listVMs, LeavingTargets: w.listLeaving, ReportLeaving: w.reportLeaving,
		LeaseTTL: testTTL, CallTimeout: time.Second, MaxResultBytes: w.maxResultBytes,
	})
	w.domains = append(w.domains, d)
	d.Start()
	return d
}

func (w *world) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, d := range w.domains {
		d.Stop(ctx, false)
	}
	for _, m := range w.workers {
		m.Close()
	}
}

func (w *world) listVMs() []platform.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.vms)
}

func (w *world) listLeaving() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]bool{}
	for id := range w.leaving {
		out[id] = true
	}
	return out
}

func (w *world) reportLeaving(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportedAsLeaving = append(w.reportedAsLeaving, id)
}

func (w *world) reportedLeaving() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.reportedAsLeaving)
}

func (w *world) inject(before, after func(worker, method string) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before, w.after = before, after
}

// starts returns the tasks of the job that the workers have started.
func (w *world) starts(job api.JobID) []memory.StartRecord {
	var out []memory.StartRecord
	for _, m := range w.workers {
		for _, s := range m.Starts().Starts {
			if job == "" || s.Job == job {
				out = append(out, s)
			}
		}
	}
	return out
}

// live returns the number of live tasks at all workers, reservations included.
func (w *world) live() int {
	n := 0
	for _, m := range w.workers {
		n += m.LiveTasks()
	}
	return n
}

// firstCalls returns a hook that runs then for the first calls of a method at a worker,
// as many as times says; an empty worker means any.
func firstCalls(worker, method string, times int, then func() error) func(string, string) error {
	var mu sync.Mutex
	return func(id, m string) error {
		mu.Lock()
		skip := times == 0 || m != method || worker != "" && id != worker
		if !skip {
			times--
		}
		mu.Unlock()
		if skip {
			return nil
		}
		return then()
	}
}

func lostAnswer() error { return errkind.New(errkind.Unavailable, "the answer was lost") }

// hookedTarget is a worker whose calls run the hooks of the world.
type hookedTarget struct {
	target.Target
	id string
	w  *world
}

func (h *hookedTarget) callWithHooks(method string, call func() error) error {
	h.w.mu.Lock()
	before, after := h.w.before, h.w.after
	h.w.mu.Unlock()
	if before != nil {
		if err := before(h.id, method); err != nil {
			return err
		}
	}
	err := call()
	if err == nil && after != nil {
		err = after(h.id, method)
	}
	return err
}

func (h *hookedTarget) Reserve(ctx context.Context, req target.ReserveRequest) (res target.Reservation, err error) {
	err = h.callWithHooks("reserve", func() error { res, err = h.Target.Reserve(ctx, req); return err })
	return res, err
}

func (h *hookedTarget) Start(ctx context.Context, req target.StartRequest) error {
	return h.callWithHooks("start", func() error { return h.Target.Start(ctx, req) })
}

func (h *hookedTarget) Sync(ctx context.Context, req target.SyncRequest) (resp target.SyncResponse, err error) {
	err = h.callWithHooks("sync", func() error { resp, err = h.Target.Sync(ctx, req); return err })
	return resp, err
}

func (h *hookedTarget) Fence(ctx context.Context, task api.TaskID, epoch int64) (st target.TaskStatus, err error) {
	err = h.callWithHooks("fence", func() error { st, err = h.Target.Fence(ctx, task, epoch); return err })
	return st, err
}

func (h *hookedTarget) Release(ctx context.Context, task api.TaskID, epoch int64) error {
	return h.callWithHooks("release", func() error { return h.Target.Release(ctx, task, epoch) })
}

// fakePartition accepts reports and claims as a partition's owner does.
type fakePartition struct {
	mu           sync.Mutex
	outcomes     map[string][]Report // by job/attempt
	states       []Report
	claims       map[api.JobID]Claim
	epoch        int64 // newest owner of the domain that the partition knows
	ignoreClaims bool  // permits every start and records no claim
	calls        int
	// report and claim inject errors before a call takes effect, reportAfter and
	// claimAfter after it; nil means no fault.
	report, reportAfter, claim, claimAfter func() error
}

func newFakePartition() *fakePartition {
	return &fakePartition{outcomes: map[string][]Report{}, claims: map[api.JobID]Claim{}}
}

func attemptKey(job api.JobID, attempt int) string { return fmt.Sprintf("%s/%d", job, attempt) }

func callIfSet(fn func() error) error {
	if fn == nil {
		return nil
	}
	return fn()
}

func (p *fakePartition) Report(ctx context.Context, _ int, r Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := callIfSet(p.report); err != nil {
		return err
	}
	ended := len(p.outcomes[attemptKey(r.Job, r.Attempt)]) > 0
	if r.Epoch < p.epoch || ended && r.Outcome == "" {
		return errkind.New(errkind.Conflict, "superseded")
	}
	if ended {
		return nil // retried or late
	}
	if r.Outcome == "" {
		p.states = append(p.states, r)
		return nil
	}
	key := attemptKey(r.Job, r.Attempt)
	p.outcomes[key] = append(p.outcomes[key], r)
	if c, ok := p.claims[r.Job]; ok && r.Outcome == api.OutcomeNotRun {
		if !SameTasks(c.Allocations, r.Allocations) {
			p.outcomes[key] = p.outcomes[key][:len(p.outcomes[key])-1]
			return nil // another owner's claim; it is part of the next offer of the attempt
		}
		delete(p.claims, r.Job)
	}
	return callIfSet(p.reportAfter)
}

func (p *fakePartition) Claim(_ context.Context, _ int, c Claim) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := callIfSet(p.claim); err != nil || p.ignoreClaims {
		return err
	}
	if c.Epoch < p.epoch || len(p.outcomes[attemptKey(c.Job, c.Attempt)]) > 0 {
		return errkind.New(errkind.Conflict, "superseded")
	}
	if _, ok := p.claims[c.Job]; ok {
		return errkind.New(errkind.Conflict, "job %s has a claim", c.Job)
	}
	p.claims[c.Job] = c
	return callIfSet(p.claimAfter)
}

// outcome returns the last outcome report of the job's first attempt, or a zero Report.
func (p *fakePartition) outcome(job api.JobID) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.outcomes[attemptKey(job, 1)]
	if len(all) == 0 {
		return Report{}
	}
	return all[len(all)-1]
}

func (p *fakePartition) claimOf(job api.JobID) Claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims[job]
}

func (p *fakePartition) count(job api.JobID) (outcomes, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.outcomes[attemptKey(job, 1)]), p.calls
}

// fakeGate allows every action unless it is closed.
type fakeGate struct {
	mu        sync.Mutex
	closed    bool
	proposals []gate.Proposal
	allowed   []gate.Kind
}

func (g *fakeGate) Allow(kind gate.Kind, _ string, p gate.Proposal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.proposals = append(g.proposals, p)
		return false
	}
	g.allowed = append(g.allowed, kind)
	return true
}

func (g *fakeGate) recorded() ([]gate.Proposal, []gate.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.proposals), slices.Clone(g.allowed)
}

func (g *fakeGate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

// withWorld runs fn in a synctest bubble with a synced domain of the given number of workers.
func withWorld(t *testing.T, workers int, fn func(t *testing.T, w *world, d *Domain)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers)
		defer w.stop()
		d := w.start()
		time.Sleep(time.Second)
		fn(t, w, d)
	})
}

const testJob api.JobID = "j0-1"

func offerOf(spec api.JobSpec) Offer {
	if spec.Class == "" {
		spec.Class = api.ClassLong
	}
	spec.Workspace = "ws"
	return Offer{Job: testJob, Attempt: 1, Spec: spec, SubmittedAt: time.Now()}
}

func runPayload(d string) []byte { return fmt.Appendf(nil, `{"run":%q}`, d) }

// gang returns the spec of a job with 8 accelerators on each of two workers.
func gang(run string) api.JobSpec {
	return api.JobSpec{Accelerators: 16, Adjacency: api.AdjacencyRack, Payload: runPayload(run)}
}

func mustOffer(t fixtureT, d *Domain, o Offer) {
	t.Helper()
	if err := d.Offer(context.Background(), o); err != nil {
		t.Fatalf("offer: %v", err)
	}
}
