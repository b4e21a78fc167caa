package cluster_test

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/ownership"
)

// leaveBound is that of G6.
const leaveBound = 3 * time.Second

// G6, kill: a worker that is leaving and gets new work later than 3 s after the
// first sign, which here is its own answer. The owner that saw it dies, so that
// its successor must learn of it.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	s := start(t)
	leaving := s.Workers()[0]
	s.must(s.Worker(leaving).SetLeaving(s.ctx, true))
	since := time.Now()
	s.ownerOf(ownership.DomainShard(leaving.FailureDomain)).Kill()
	kinds := cluster.Draw([]cluster.Kind{cluster.KindOf("quote check"), cluster.KindOf("urgent flag"), cluster.KindOf("order")}, 240, 1)
	calls := s.Load(s.ctx, kinds, 40)
	s.audit(calls)
	log, err := s.Worker(leaving).Starts(s.ctx)
	s.must(err)
	for _, r := range log.Starts {
		if after := r.StartedAt.Sub(since); after > leaveBound {
			t.Errorf("task %s was started at the leaving worker after %s", r.Task, after)
		}
	}
}

// G7: a graceful shutdown under load that cuts a request off. The callers use
// the other VMs only where the answer allows a repetition.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	s := start(t)
	leaving := s.VMs()[0]
	kinds := cluster.Draw(cluster.Mix(), 200, 2)
	done := make(chan []cluster.Call)
	go func() { done <- s.Load(s.ctx, kinds, 40) }()
	time.Sleep(1500 * time.Millisecond)
	leaving.Terminate()
	if err := leaving.Wait(s.ctx); err != nil {
		t.Errorf("%s: %v", leaving.ID, err)
	}
	s.audit(<-done)
}
