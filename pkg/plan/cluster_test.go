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

// clusterVM is one VM of a small cluster: it owns one failure domain.
type clusterVM struct {
	*Cluster
	domain string
	mu     sync.Mutex
	done   []string
	fail   error
}

func (v *clusterVM) Preview(_ context.Context, req PreviewRequest) []DomainPreview {
	if req.Domain != "" && req.Domain != v.domain {
		return nil
	}
	return []DomainPreview{{Domain: v.domain, Effects: []Effect{{Kind: EffectMove, Job: "j1-x", Reason: req.Next.Workspaces["a"].Guarantees[0].FailureDomain}}}}
}

func (v *clusterVM) Reclaim(_ context.Context, plan, workspace, _ string) error {
	return v.did("reclaim " + plan + " " + workspace)
}

func (v *clusterVM) Defragment(_ context.Context, plan, _ string) error { return v.did(plan) }

func (v *clusterVM) Perform(_ context.Context, p gate.Proposal) error { return v.did(p.ID) }

func (v *clusterVM) did(what string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fail == nil {
		v.done = append(v.done, what)
	}
	return v.fail
}

// net connects the VMs by encoded bodies, as the peer package does.
type net struct {
	vms map[string]*clusterVM
	cut map[string]bool
}

func (n *net) Call(ctx context.Context, address, method string, req, resp any) error {
	if n.cut[address] || method != MethodCollect {
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

type view struct {
	self string
	net  *net
}

func (v view) Self() membership.Member         { return membership.Member{ID: v.self} }
func (v view) LeavingTargets() map[string]bool { return nil }
func (v view) Members() []membership.Member {
	return []membership.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
}

func (v view) Summaries() []sched.Summary {
	return []sched.Summary{{Domain: "r/a"}, {Domain: "r/b"}, {Domain: "r/c"}}
}

// newCluster returns three VMs under a hold on the whole system.
func newCluster() *net {
	w := newWorld()
	w.doc.Holds = map[string]policy.Hold{policy.HoldAll: {}}
	n := &net{vms: map[string]*clusterVM{}, cut: map[string]bool{}}
	for _, id := range []string{"a", "b", "c"} {
		v := &clusterVM{domain: "r/" + id}
		v.Cluster = &Cluster{Local: v, Gate: gate.New(gate.Options{Config: &vmSource{w: w, doc: w.doc}}), View: view{id, n}, Caller: n}
		n.vms[id] = v
	}
	return n
}

// Guards against the effects of a domain that are silently missing from a plan.
func TestClusterPreview(t *testing.T) {
	n := newCluster()
	n.cut["c"] = true
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

// Guards against a proposal that is done twice or by no VM, or that is lost
// when it could not be done.
func TestClusterConfirmsAProposalOnce(t *testing.T) {
	n := newCluster()
	n.vms["b"].Gate.Allow(gate.Preempt, "a", gate.Proposal{ID: "p1", Reason: "x"})
	a, c := n.vms["a"].Cluster, n.vms["c"].Cluster
	list, err := a.Proposals(t.Context())
	if err != nil || len(list) != 1 || list[0].ID != "p1" {
		t.Fatalf("proposals = %+v, %v", list, err)
	}
	n.cut["b"] = true
	if err := a.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("holder cut off: %v", err)
	}
	n.cut["b"], n.vms["b"].fail = false, errkind.New(errkind.Unavailable, "target is gone")
	if err := a.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("failed action: %v", err)
	}
	n.vms["b"].fail = nil
	var wg sync.WaitGroup
	for _, vm := range []*Cluster{a, c, a, c} {
		wg.Go(func() { _ = vm.ConfirmProposal(t.Context(), "p1") })
	}
	wg.Wait()
	if !slices.Equal(n.vms["b"].done, []string{"p1"}) {
		t.Errorf("done = %v", n.vms["b"].done)
	}
	if err := c.ConfirmProposal(t.Context(), "p1"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("confirmed again: %v", err)
	}
}

// Guards against a reclaim that reaches only some failure domains and is
// reported as done.
func TestClusterReclaim(t *testing.T) {
	n := newCluster()
	n.cut["c"] = true
	if err := n.vms["a"].Cluster.Reclaim(t.Context(), "p", "ws", ""); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("one VM is cut off: %v", err)
	}
	n.cut["c"] = false
	if err := n.vms["a"].Cluster.Reclaim(t.Context(), "p", "ws", ""); err != nil {
		t.Error(err)
	}
	if err := n.vms["b"].Cluster.Defragment(t.Context(), "d", ""); err != nil {
		t.Error(err)
	}
	for id, vm := range n.vms {
		if !slices.Contains(vm.done, "reclaim p ws") || !slices.Contains(vm.done, "d") {
			t.Errorf("VM %s did %v", id, vm.done)
		}
	}
}
