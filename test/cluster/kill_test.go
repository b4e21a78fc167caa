package cluster_test

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/ownership"
)

// submit submits a job through one VM without waiting for its end.
func (s *system) submit(vm *cluster.VM, k cluster.Kind, n int, key string) api.JobStatus {
	s.t.Helper()
	cl, err := s.Client(k.Workspace, vm)
	s.must(err)
	now := time.Duration(0)
	status, err := cl.Submit(s.ctx, k.Job(n), client.SubmitOptions{IdempotencyKey: key, Wait: &now})
	s.must(err)
	return status
}

// await waits at one VM until the job has succeeded and checks its answer.
func (s *system) await(vm *cluster.VM, k cluster.Kind, n int, id api.JobID) api.JobStatus {
	s.t.Helper()
	cl, err := s.Client(k.Workspace, vm)
	s.must(err)
	status, err := cl.Await(s.ctx, id, testTime)
	s.must(err)
	if status.State != api.StateSucceeded || !cluster.Echoes(status.Result, k.Job(n).Name) {
		s.t.Errorf("job %s is %s (%s), result %s", id, status.State, status.Reason, status.Result)
	}
	return status
}

// awaitRunning waits until the job runs.
func (s *system) awaitRunning(vm *cluster.VM, k cluster.Kind, id api.JobID) api.JobStatus {
	s.t.Helper()
	cl, err := s.Client(k.Workspace, vm)
	s.must(err)
	for {
		status, err := cl.Status(s.ctx, id)
		s.must(err)
		if status.State == api.StateRunning {
			return status
		}
		if status.State.Terminal() {
			s.t.Fatalf("job %s is %s (%s), want running", id, status.State, status.Reason)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startsOnce checks that each task of the job was started exactly once.
func (s *system) startsOnce(status api.JobStatus) {
	s.t.Helper()
	starts, err := s.Starts(s.ctx)
	s.must(err)
	if got := len(starts.ByJob[status.ID]); got != len(status.Allocations) || got == 0 {
		s.t.Errorf("job %s with %d tasks was started %d times: %+v", status.ID, len(status.Allocations), got, starts.ByJob[status.ID])
	}
}

// G3, kill: an accepted job that is lost with the VM that accepted it, or whose
// result only that VM can return.
func TestKillAcceptingVM(t *testing.T) {
	s := start(t)
	accepting := s.VMs()[0]
	k := cluster.KindOf("full letter")
	k.Run = 2 * time.Second
	// Without a key the job goes to a partition of the VM that takes the call.
	job := s.submit(accepting, k, 1, "")
	shards, err := s.ShardsOf(s.ctx, accepting)
	s.must(err)
	killed := time.Now()
	accepting.Kill()
	s.await(s.others(accepting)[0], k, 1, job.ID)
	s.must(s.AwaitMoved(s.ctx, shards, accepting))
	t.Logf("%d shards and the job's result were at other VMs after %s", len(shards), time.Since(killed).Round(10*time.Millisecond))
}

// G2 and G5, kill: gangs that stop, run partially or run twice when the owner
// of their failure domain dies.
func TestKillDomainOwnerWhileGangsRun(t *testing.T) {
	s := start(t)
	gang := cluster.KindOf("stave-curve fit")
	gang.Run = 8 * time.Second
	once := gang
	once.Spec.AtMostOnce, once.Spec.Accelerators = true, 12
	vm := s.VMs()[0]
	jobs := []api.JobStatus{s.submit(vm, gang, 1, ""), s.submit(vm, once, 2, "once")}
	for i, k := range []cluster.Kind{gang, once} {
		jobs[i] = s.awaitRunning(vm, k, jobs[i].ID)
	}
	owner := s.ownerOf(ownership.DomainShard(jobs[0].FailureDomain))
	if vm = s.ownerOf(ownership.DomainShard(jobs[1].FailureDomain)); vm != owner {
		vm.Kill() // a second failure domain loses its owner, one VM is left
	}
	owner.Kill()
	left := s.VMs()[0]
	for i, k := range []cluster.Kind{gang, once} {
		status := s.await(left, k, i+1, jobs[i].ID)
		if status.Attempt != jobs[i].Attempt {
			t.Errorf("job %s succeeded in attempt %d, want attempt %d to be adopted", status.ID, status.Attempt, jobs[i].Attempt)
		}
		s.startsOnce(status)
	}
}

// G1, kill: guaranteed cells that borrowers keep after the owner of the failure
// domain, which knew what was borrowed, has died.
func TestReclaimAfterOwnerIsKilled(t *testing.T) {
	s := start(t)
	vm := s.VMs()[0]
	letter, gang := cluster.KindOf("full letter"), cluster.KindOf("stave-curve fit")
	letter.Run, letter.Spec.Accelerators = testTime, 8
	var borrowers []api.JobStatus
	for i := range s.Workers() { // all accelerators are taken
		borrowers = append(borrowers, s.submit(vm, letter, i, ""))
	}
	for _, b := range borrowers {
		s.awaitRunning(vm, letter, b.ID)
	}
	owner := s.ownerOf(ownership.DomainShard(domains[1])) // where Lautoka has its guarantee
	owner.Kill()
	vm = s.others(owner)[0]
	job := s.submit(vm, gang, 1, "")
	if got := s.await(vm, gang, 1, job.ID); got.FailureDomain != domains[1] {
		t.Errorf("the gang ran in %s, want its guaranteed cells in %s", got.FailureDomain, domains[1])
	}
}
