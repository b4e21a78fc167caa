package plan

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// clusterVM is a VM that owns one failure domain. It implements Local.
type clusterVM struct {
	*Cluster
	domain   string
	mu       sync.Mutex
	executed []string
	failure  error
}

func (v *clusterVM) Preview(_ context.Context, req PreviewRequest) []DomainPreview {
	if req.Domain != "" && req.Domain != v.domain {
		return nil
	}
	return []DomainPreview{{Domain: v.domain, Effects: []Effect{{Kind: EffectMove, Job: "j1-x", Reason: req.Next.Workspaces["a"].Guarantees[0].FailureDomain}}}}
}

func (v *clusterVM) Reclaim(_ context.Context, plan, workspace, _ string) error {
	return v.execute("reclaim " + plan + " " + workspace)
}

func (v *clusterVM) Defragment(_ context.Context, plan, _ string) error { return v.execute(plan) }

func (v *clusterVM) Perform(_ context.Context, p gate.Proposal) error { return v.execute(p.ID) }

func (v *clusterVM) execute(what string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.failure == nil {
		v.executed = append(v.executed, what)
	}
	return v.failure
}

// fakeNetwork calls VMs with CBOR-encoded bodies, like the peer package.
type fakeNetwork struct {
	vms         map[string]*clusterVM
	unreachable map[string]bool
}

func (n *fakeNetwork) Call(ctx context.Context, address, method string, req, resp any) error {
	if n.unreachable[address] || method != MethodCollect {
		return errkind.New(errkind.Unavailable, "%s is cut off", address)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := n.vms[address].HandleCollect(ctx, func(v any) error { return cbor.Unmarshal(body, v) })
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

type fakeView struct {
	self    string
	network *fakeNetwork
}

func (v fakeView) Self() membership.Member         { return membership.Member{ID: v.self} }
func (v fakeView) LeavingTargets() map[string]bool { return nil }
func (v fakeView) Members() []membership.Member {
	return []membership.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
}

func (v fakeView) Summaries() []sched.Summary {
	return []sched.Summary{{Domain: "r/a"}, {Domain: "r/b"}, {Domain: "r/c"}}
}

// newCluster returns three VMs under a hold on the whole system.
func newCluster() *fakeNetwork {
	f := newFakeEnv()
	f.doc.Holds = map[string]policy.Hold{policy.HoldAll: {}}
	n := &fakeNetwork{vms: map[string]*clusterVM{}, unreachable: map[string]bool{}}
	for _, id := range []string{"a", "b", "c"} {
		v := &clusterVM{domain: "r/" + id}
		v.Cluster = &Cluster{Local: v, Gate: gate.New(gate.Options{Config: &vmSource{env: f, doc: f.doc}}), View: fakeView{id, n}, Caller: n}
		n.vms[id] = v
	}
	return n
}

// Guards against a plan that silently omits the effects of a failure domain whose
// owner does not respond.
func TestClusterPreview(t *testing.T) {
	n := newCluster()
	n.unreachable["c"] = true
	next := policy.Default()
	next.Workspaces["a"] = policy.Workspace{Guarantees: []policy.Guarantee{{FailureDomain: "r/z"}}}
	got, err := n.vms["a"].Cluster.Preview(t.Context(), PreviewRequest{Next: next})
	effects := []Effect{{Kind: EffectMove, Job: "j1-x", Reason: "r/z"}}
	want := []DomainPreview{{Domain: "r/a", Effects: effects}, {Domain: "r/b", Effects: effects}, {Domain: "r/c", Error: "its owner did not answer"}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
	one, err := n.vms["a"].Cluster.Preview(t.Context(), PreviewRequest{Next: next, Domain: "r/b"})
	if err != nil || len(one) != 1 || one[0].Domain != "r/b" {
		t.Errorf("one domain: %+v, %v", one, err)
	}
}

// Guards against a proposal that concurrent confirmations execute twice, that no
// VM executes, or that is lost when its execution fails.
func TestClusterConfirmsAProposalOnce(t *testing.T) {
	n := newCluster()
	n.vms["b"].Gate.Allow(gate.Preempt, "a", gate.Proposal{ID: "p1", Reason: "x"})
	a, c := n.vms["a"].Cluster, n.vms["c"].Cluster
	list, err := a.Proposals(t.Context())
	if err != nil || len(list) != 1 || list[0].ID != "p1" {
		t.Fatalf("proposals = %+v, %v", list, err)
	}
	n.unreachable["b"] = true
	if err := a.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("holder cut off: %v", err)
	}
	n.unreachable["b"], n.vms["b"].failure = false, errkind.New(errkind.Unavailable, "target is gone")
	if err := a.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("failed action: %v", err)
	}
	n.vms["b"].failure = nil
	var wg sync.WaitGroup
	for _, vm := range []*Cluster{a, c, a, c} {
		wg.Go(func() { _ = vm.ConfirmProposal(t.Context(), "p1") })
	}
	wg.Wait()
	if !slices.Equal(n.vms["b"].executed, []string{"p1"}) {
		t.Errorf("done = %v", n.vms["b"].executed)
	}
	if err := c.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("confirmed again: %v", err)
	}
}

// Guards against a reclaim that is reported as successful although the owner of a
// failure domain could not be reached.
func TestClusterReclaim(t *testing.T) {
	n := newCluster()
	n.unreachable["c"] = true
	if err := n.vms["a"].Cluster.Reclaim(t.Context(), "p", "ws", ""); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("one VM is cut off: %v", err)
	}
	n.unreachable["c"] = false
	if err := n.vms["a"].Cluster.Reclaim(t.Context(), "p", "ws", ""); err != nil {
		t.Error(err)
	}
	if err := n.vms["b"].Cluster.Defragment(t.Context(), "d", ""); err != nil {
		t.Error(err)
	}
	for id, vm := range n.vms {
		if !slices.Contains(vm.executed, "reclaim p ws") || !slices.Contains(vm.executed, "d") {
			t.Errorf("VM %s did %v", id, vm.executed)
		}
	}
}
