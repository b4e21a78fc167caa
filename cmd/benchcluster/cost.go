package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// Goals and limits of the design page.
const (
	goalCPU       = 1.2 // percent of a core
	goalMemory    = 256 // MiB
	goalBytes     = 18  // KB a second
	budgetWrites  = 300 // store calls a second of all VMs
	budgetReads   = 2000
	waitingJobRun = 5 * time.Minute
)

// sample is the cost of the VMs and of the store at one moment.
type sample struct {
	at     time.Time
	vms    map[string]cluster.Usage
	counts memory.Counts
}

func (b *bench) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now(), vms: map[string]cluster.Usage{}}
	for _, vm := range b.VMs() {
		u, err := vm.Usage(ctx)
		if err != nil {
			return s, err
		}
		s.vms[vm.ID] = u
	}
	var err error
	s.counts, err = b.Platform.Counts(ctx)
	return s, err
}

// printCost prints what the VMs and the store spent between two samples. VMs
// that were not there at both are left out.
func (b *bench) printCost(name string, from, to sample) {
	var cpu, memoryMiB, peer, io []float64
	for id, u := range to.vms {
		f, ok := from.vms[id]
		if !ok || u.CPU < f.CPU {
			continue
		}
		seconds := u.At.Sub(f.At).Seconds()
		cpu = append(cpu, 100*(u.CPU-f.CPU).Seconds()/seconds)
		memoryMiB = append(memoryMiB, float64(u.Resident)/(1<<20))
		peer = append(peer, float64(u.Peer-f.Peer)/seconds/1000)
		io = append(io, float64(u.IO-f.IO)/seconds/1000)
	}
	b.print(name+"_cpu_percent_per_vm", "%s goal=<=%.1f(idle)", spread(cpu), goalCPU)
	b.print(name+"_resident_mib_per_vm", "%s goal=<=%d", spread(memoryMiB), goalMemory)
	b.print(name+"_peer_kb_per_second_per_vm", "%s goal=<=%d(idle)", spread(peer), goalBytes)
	b.print(name+"_all_io_kb_per_second_per_vm", "%s", spread(io))
	b.printStore(name, from, to)
}

// spread renders mean and maximum over the VMs.
func spread(v []float64) string {
	if len(v) == 0 {
		return "none"
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return fmt.Sprintf("%.2f max=%.2f", sum/float64(len(v)), slices.Max(v))
}

// reading are the calls that the stand-in counts as reads.
var reading = []memory.Op{memory.OpGet, memory.OpList, memory.OpWatch, memory.OpListVMs}

func (b *bench) printStore(name string, from, to sample) {
	seconds := to.at.Sub(from.at).Seconds()
	var reads, writes float64
	var detail []string
	for op, n := range to.counts.Calls {
		rate := float64(n-from.counts.Calls[op]) / seconds
		if op == memory.OpListVMs || rate == 0 {
			continue // the VM list is another service
		}
		detail = append(detail, fmt.Sprintf("%s:%.2f", op, rate))
		if slices.Contains(reading, op) {
			reads += rate
		} else {
			writes += rate
		}
	}
	slices.Sort(detail)
	b.print(name+"_store_writes_per_second", "%.2f per_vm=%.2f goal=<=%d", writes, writes/vms, budgetWrites)
	b.print(name+"_store_reads_per_second", "%.2f per_vm=%.2f pending_watches=%d goal=<=%d by_call=%s",
		reads, reads/vms, to.counts.PendingWatch, budgetReads, strings.Join(detail, ","))
}

// over measures the cost while work runs.
func (b *bench) over(ctx context.Context, name string, work func() error) error {
	from, err := b.sample(ctx)
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	to, err := b.sample(ctx)
	if err != nil {
		return err
	}
	b.printCost(name, from, to)
	return nil
}

// idleCost measures without jobs, and again with many accepted jobs that run or
// wait: the store calls must not grow with them.
func (b *bench) idleCost(ctx context.Context) error {
	rest := func() error { return pause(ctx, b.idle) }
	if err := rest(); err != nil { // the shards settle after the start
		return err
	}
	if err := b.over(ctx, "idle", rest); err != nil {
		return err
	}
	jobs, err := b.submitWaiting(ctx)
	if err != nil {
		return err
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	b.print("idle_with_jobs_count", "%d", len(jobs))
	if err := b.over(ctx, "idle_with_jobs", rest); err != nil {
		return err
	}
	return b.cancelAll(ctx, jobs)
}

func (b *bench) submitWaiting(ctx context.Context) ([]api.JobID, error) {
	k := cluster.KindOf("full letter")
	k.Run = waitingJobRun
	return inParallel(b.waiting, func(i int) (api.JobID, error) {
		cl, err := b.Client(k.Workspace, b.VMs()[i%vms])
		if err != nil {
			return "", err
		}
		now := time.Duration(0)
		status, err := cl.Submit(ctx, k.Job(i), client.SubmitOptions{IdempotencyKey: fmt.Sprintf("waiting-%d", i), Wait: &now})
		return status.ID, err
	})
}

func (b *bench) cancelAll(ctx context.Context, jobs []api.JobID) error {
	cl, err := b.Client(cluster.Postbud)
	if err != nil {
		return err
	}
	_, err = inParallel(len(jobs), func(i int) (struct{}, error) {
		_, err := cl.Cancel(ctx, jobs[i])
		return struct{}{}, err
	})
	return err
}

// parallelCalls bounds the calls of inParallel at a time.
const parallelCalls = 32

// inParallel calls fn for 0..n-1 and returns the results in order, or one error.
func inParallel[T any](n int, fn func(i int) (T, error)) ([]T, error) {
	out, errs := make([]T, n), make([]error, n)
	slots := make(chan struct{}, parallelCalls)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i], errs[i] = fn(i)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
