package cluster_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// refusedNotRun checks that a new durable job is refused as not run.
func (s *system) refusedNotRun(vm *cluster.VM, k cluster.Kind, n int) {
	s.t.Helper()
	cl, err := s.Client(k.Workspace, vm)
	s.must(err)
	_, err = cl.Submit(s.ctx, k.Job(n), client.SubmitOptions{IdempotencyKey: "refused"})
	var answered *client.Error
	if !errors.As(err, &answered) || answered.Kind != errkind.StoreUnavailable || answered.Ran != errkind.NotRun {
		s.t.Errorf("%s during a store outage: %v", k.Name, err)
	}
}

// G2 to G5, store outage: a running gang that stops, short work that is not
// served, a refusal of work that runs all the same, and a VM that cannot start.
func TestStoreOutage(t *testing.T) {
	s := start(t)
	vms := s.VMs()
	letter, quote, order := cluster.KindOf("full letter"), cluster.KindOf("quote check"), cluster.KindOf("order")
	gang := cluster.KindOf("stave-curve fit")
	gang.Run = 4 * time.Second
	running := s.submit(vms[0], gang, 1, "")
	s.awaitRunning(vms[0], gang, running.ID)
	s.must(s.Platform.SetFaults(s.ctx, memory.Faults{Outage: true}))
	time.Sleep(1500 * time.Millisecond) // longer than a store call, so that the VMs know
	added, err := s.StartVM(s.ctx, "vm-4")
	s.must(err)
	var calls []cluster.Call
	for i, vm := range append(vms, added) {
		calls = append(calls, s.Submit(s.ctx, quote, i, vm))
	}
	s.refusedNotRun(vms[1], order, 1)
	s.refusedNotRun(vms[2], letter, 2)
	s.startsOnce(s.await(vms[1], gang, 1, running.ID))
	s.must(s.Platform.SetFaults(s.ctx, memory.Faults{}))
	calls = append(calls, s.Submit(s.ctx, order, 2, vms...), s.Submit(s.ctx, letter, 3, vms...))
	s.audit(calls)
	s.onlyAcceptedRan(append(calls, cluster.Call{Status: running}))
}

// onlyAcceptedRan checks that every start belongs to an accepted job, that a job
// that may run once has one start, and that the starts of repeatable work are
// attempts of their own. The owners' leases run out during an outage, so a
// repeatable job that ends while its failure domain changes its owner may be
// attempted again.
func (s *system) onlyAcceptedRan(calls []cluster.Call) {
	s.t.Helper()
	starts, err := s.Starts(s.ctx)
	s.must(err)
	accepted := map[api.JobID]cluster.Call{}
	for _, c := range calls {
		accepted[c.Status.ID] = c
	}
	for id, records := range starts.ByJob {
		call, ok := accepted[id]
		if !ok {
			s.t.Errorf("job %s of class %s was refused, but started: %+v", id, records[0].Class, records)
		}
		if call.Job.AtMostOnce && len(records) != 1 {
			s.t.Errorf("job %s may run once, but has the starts %+v", id, records)
		}
		tasks := map[api.TaskID]bool{}
		for _, r := range records {
			if tasks[r.Task] {
				s.t.Errorf("task %s was started twice: %+v", r.Task, records)
			}
			tasks[r.Task] = true
		}
	}
	if order := starts.ByClass[cluster.ClassOrder]; order != 1 {
		s.t.Errorf("%d orders were started, want one", order)
	}
}

// G2, G3 and G5, lost store answers: an accept or a claim that took effect, but whose
// answer did not arrive, and that is lost or carried out twice.
func TestLostStoreAnswers(t *testing.T) {
	s := start(t)
	s.must(s.Platform.SetFaults(s.ctx, memory.Faults{LoseShare: 0.3, Seed: 1, LosePrefix: "jobs/"}))
	kinds := cluster.Draw([]cluster.Kind{
		cluster.KindOf("order"), cluster.KindOf("archive index"), cluster.KindOf("cut list"),
		cluster.KindOf("stave-curve fit"),
	}, 90, 1)
	calls := s.Load(s.ctx, kinds, 30)
	counts, err := s.Platform.Counts(s.ctx)
	s.must(err)
	if counts.LostAnswers == 0 {
		t.Error("no answer was lost; the test shows nothing")
	}
	s.audit(calls)
}

// G2 and G5, two faults at once: the owner of a failure domain dies while the
// store is down, so that nobody can take its work over at first.
func TestKillOwnerDuringStoreOutage(t *testing.T) { killDuringOutage(t, 5*time.Second, 10*time.Second) }

// G5, two faults at once: as above, for longer than the task lease of 15 s. No
// owner can be elected meanwhile, and running work whose lease nobody renews is
// stopped by its worker.
func TestKillOwnerDuringLongStoreOutage(t *testing.T) {
	killDuringOutage(t, 18*time.Second, 24*time.Second)
}

func killDuringOutage(t *testing.T, outage, run time.Duration) {
	s := start(t)
	gang := cluster.KindOf("stave-curve fit")
	gang.Spec.AtMostOnce = true
	gang.Run = run
	vm := s.VMs()[0]
	job := s.awaitRunning(vm, gang, s.submit(vm, gang, 1, "gang").ID)
	s.must(s.Platform.SetFaults(s.ctx, memory.Faults{Outage: true}))
	ended := time.After(outage)
	owner := s.ownerOfDuringOutage(job.FailureDomain)
	owner.Kill()
	s.servedWithin(s.others(owner), outage)
	<-ended
	s.must(s.Platform.SetFaults(s.ctx, memory.Faults{}))
	s.startsOnce(s.await(s.others(owner)[0], gang, 1, job.ID))
}

// servedWithin checks that each VM serves short repeatable work. It has no key,
// because a key may belong to a partition without an owner.
func (s *system) servedWithin(vms []*cluster.VM, limit time.Duration) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	quote := cluster.KindOf("quote check")
	for i, vm := range vms {
		cl, err := s.Client(quote.Workspace, vm)
		s.must(err)
		status, err := cl.Submit(ctx, quote.Job(i), client.SubmitOptions{})
		if err != nil || !cluster.Echoes(status.Result, quote.Job(i).Name) {
			s.t.Errorf("short request at %s during the outage: %v, result %s", vm.ID, err, status.Result)
		}
	}
}

// ownerOfDuringOutage finds the owner in the members' heartbeats.
func (s *system) ownerOfDuringOutage(domain string) *cluster.VM {
	s.t.Helper()
	o, err := s.Operator(s.VMs()[0])
	s.must(err)
	owners, err := o.ShardOwners(s.ctx)
	s.must(err)
	vm := s.VM(owners[ownership.DomainShard(domain)])
	if vm == nil {
		s.t.Fatalf("no member reports to own %s: %v", domain, owners)
	}
	return vm
}
