package cluster_test

import (
	"sync"
	"testing"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

// G8, kill and racing operators: an accepted change that is lost with the VM
// that accepted it, or two changes on the same revision that are both accepted.
func TestConfirmedChangeOutlivesItsVM(t *testing.T) {
	s := start(t)
	vms := s.VMs()
	operators, plans := make([]*cluster.Operator, 2), make([]plan.Plan, 2)
	for i, vm := range vms[:2] {
		var err error
		operators[i], err = s.Operator(vm)
		s.must(err)
		plans[i], err = operators[i].PlanWeight(s.ctx, cluster.Lautoka, float64(2+i))
		s.must(err)
	}
	if plans[0].Base != plans[1].Base {
		t.Fatalf("the plans rest on revisions %d and %d, want one", plans[0].Base, plans[1].Base)
	}
	var wg sync.WaitGroup
	records, errs := make([]plan.Record, 2), make([]error, 2)
	for i, o := range operators {
		wg.Go(func() { records[i], errs[i] = o.Confirm(s.ctx, plans[i]) })
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("confirmations of two plans for one revision: %v, %v", errs[0], errs[1])
	}
	won := 0
	if errs[0] != nil {
		won = 1
	}
	vms[won].Kill()
	s.must(s.AwaitRevision(s.ctx, records[won].Revision, s.VMs()...))
	again, err := s.StartVM(s.ctx, vms[won].ID)
	s.must(err)
	s.must(s.AwaitRevision(s.ctx, records[won].Revision, append(s.VMs(), again)...))
}
