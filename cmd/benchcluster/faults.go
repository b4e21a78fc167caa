package main

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/ownership"
)

const (
	goalTakeover = 5 * time.Second
	goalConfig   = 2 * time.Second
	// settleTime lets a VM that has started again get its shards.
	settleTime = 5 * time.Second
	// firstKill is when the first VM is killed under load.
	firstKill = 2 * time.Second
)

// configChanges measures the time from the confirmation of a plan until every VM
// has the revision in force.
func (b *bench) configChanges(ctx context.Context) error {
	var took, seen []time.Duration
	for i := range b.changes {
		at, everywhere, err := b.change(ctx, float64(i+2))
		if err != nil {
			return err
		}
		took, seen = append(took, at), append(seen, everywhere)
	}
	b.printTimes("config_in_force_seconds", took, goalConfig)
	b.printTimes("config_status_complete_seconds", seen, goalConfig)
	return nil
}

// change returns when all VMs had the revision, and when the status at one VM
// showed that.
func (b *bench) change(ctx context.Context, weight float64) (inForce, shown time.Duration, err error) {
	all := b.VMs()
	operator, err := b.Operator(all[0])
	if err != nil {
		return 0, 0, err
	}
	made, err := operator.PlanWeight(ctx, cluster.Lautoka, weight)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	rec, err := operator.Confirm(ctx, made)
	if err != nil {
		return 0, 0, err
	}
	if err := b.AwaitRevision(ctx, rec.Revision, all...); err != nil {
		return 0, 0, err
	}
	inForce = time.Since(began)
	for {
		s, err := operator.ConfigStatus(ctx)
		if err == nil && s.Revision >= rec.Revision && s.InForce == len(all) {
			return inForce, time.Since(began), nil
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return 0, 0, err
		}
	}
}

func (b *bench) printTimes(key string, took []time.Duration, goal time.Duration) {
	slices.Sort(took)
	b.print(key, "max=%.2f median=%.2f n=%d goal=<%.0f",
		took[len(took)-1].Seconds(), took[len(took)/2].Seconds(), len(took), goal.Seconds())
}

// takeovers kills one VM after the other and measures until its shards serve
// again: a job of each of its partitions is answered, and its failure domain
// shows ready workers.
func (b *bench) takeovers(ctx context.Context) error {
	jobs, err := b.jobPerPartition(ctx)
	if err != nil {
		return err
	}
	var took []time.Duration
	for n := range b.kills {
		vm, err := b.victim(ctx, n)
		if err != nil {
			return err
		}
		d, err := b.takeover(ctx, vm, jobs)
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	b.printTimes("takeover_seconds", took, goalTakeover)
	return nil
}

// victim chooses the owner of a failure domain and any other VM in turn.
func (b *bench) victim(ctx context.Context, n int) (*cluster.VM, error) {
	if n%2 == 1 {
		return b.VMs()[(2*n)%vms], nil
	}
	return b.OwnerOf(ctx, ownership.DomainShard(zones[n/2%len(zones)]))
}

// jobPerPartition submits durable jobs until each partition has one.
func (b *bench) jobPerPartition(ctx context.Context) (map[ownership.Shard]api.JobID, error) {
	k := cluster.KindOf("cut list")
	out := map[ownership.Shard]api.JobID{}
	owners, err := b.Owners(ctx)
	if err != nil {
		return nil, err
	}
	partitions := 0
	for s := range owners {
		if _, ok := s.Partition(); ok {
			partitions++
		}
	}
	for i := 0; len(out) < partitions; i++ {
		call := b.Submit(ctx, k, 100_000+i, b.VMs()...)
		if call.Err != nil {
			return nil, call.Err
		}
		out[partitionOf(call.Status.ID)] = call.Status.ID
	}
	return out, nil
}

// partitionOf reads the partition that a job ID begins with: "j<partition>-".
func partitionOf(id api.JobID) ownership.Shard {
	head, _, _ := strings.Cut(string(id), "-")
	return ownership.Shard("p" + strings.TrimPrefix(head, "j"))
}

func (b *bench) takeover(ctx context.Context, vm *cluster.VM, jobs map[ownership.Shard]api.JobID) (time.Duration, error) {
	shards, err := b.ShardsOf(ctx, vm)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	vm.Kill()
	left := b.VMs()
	var wg sync.WaitGroup
	for i, s := range shards {
		wg.Go(func() { b.awaitServed(ctx, left[i%len(left)], s, jobs[s]) })
	}
	wg.Wait()
	took := time.Since(began)
	b.print("takeover_of_"+vm.ID, "%.2f shards=%v", took.Seconds(), shards)
	if _, err := b.StartVM(ctx, vm.ID); err != nil {
		return 0, err
	}
	return took, pause(ctx, settleTime)
}

// awaitServed returns once the shard is served again.
func (b *bench) awaitServed(ctx context.Context, vm *cluster.VM, s ownership.Shard, job api.JobID) {
	cl, err := b.Client(cluster.Lautoka, vm)
	if err != nil {
		return
	}
	for ctx.Err() == nil && !served(ctx, cl, s, job) {
		if pause(ctx, 20*time.Millisecond) != nil {
			return
		}
	}
}

func served(ctx context.Context, cl *client.Client, s ownership.Shard, job api.JobID) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if name, ok := s.Domain(); ok {
		list, err := cl.Workers(ctx)
		return err == nil && slices.ContainsFunc(list, func(w api.WorkerStatus) bool {
			return w.FailureDomain == name && w.State == api.WorkerReady
		})
	}
	_, err := cl.Status(ctx, job)
	return err == nil
}

// lossDuringKills sends the mixes of both deployments while VMs are killed and
// started again, and compares the answers with the workers' logs.
func (b *bench) lossDuringKills(ctx context.Context) error {
	before, err := b.Starts(ctx)
	if err != nil {
		return err
	}
	var calls []cluster.Call
	killed := 0
	if err := b.over(ctx, "kills", func() error {
		kinds := cluster.Draw(cluster.Mix(), b.requests, b.seed)
		loaded, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { killed = b.killInTurn(loaded) })
		calls = b.Load(ctx, kinds, b.rate)
		stop()
		wg.Wait()
		return ctx.Err()
	}); err != nil {
		return err
	}
	starts, err := b.Starts(ctx)
	if err != nil {
		return err
	}
	b.printAudit(cluster.Check(calls, starts.Since(before)), len(calls), killed)
	return nil
}

// killInTurn kills a VM and starts it again until ctx ends.
func (b *bench) killInTurn(ctx context.Context) int {
	n := 0
	for wait := firstKill; pause(ctx, wait) == nil; wait = settleTime {
		vm := b.VMs()[n%len(b.VMs())]
		vm.Kill()
		n++
		if pause(ctx, settleTime) != nil {
			_, _ = b.StartVM(context.WithoutCancel(ctx), vm.ID) // the load has ended
			return n
		}
		if _, err := b.StartVM(ctx, vm.ID); err != nil {
			return n
		}
	}
	return n
}

func (b *bench) printAudit(a cluster.Audit, requests, killed int) {
	b.print("kill_requests", "%d kills=%d complete=%d refused_not_run=%d unclear=%d repeats_by_callers=%d restarts_of_repeatable=%d",
		requests, killed, a.Calls[cluster.Complete], a.Calls[cluster.Refused], a.Calls[cluster.Unclear], a.Repeats, a.Restarts)
	b.print("kill_lost", "%d goal=0", a.Calls[cluster.Lost])
	b.print("kill_wrong_answers", "%d goal=0", a.Calls[cluster.Wrong])
	b.print("kill_duplicates", "%d goal=0", a.Twice)
	b.print("kill_false_refusals", "%d goal=0", a.FalseRefusals)
	b.print("kill_partial_gangs", "%d goal=0", a.PartialGangs)
	for i, f := range a.Faults {
		b.print("kill_fault", "%d %s", i+1, f)
	}
}
