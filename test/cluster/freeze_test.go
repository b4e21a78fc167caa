package cluster_test

import (
	"sync"
	"testing"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/ownership"
)

// G2, G3 and G5, freeze past the lease: a VM that continues as an owner after
// others took its shards over, and starts or reports work a second time.
func TestFreezeOwnerPastItsLease(t *testing.T) {
	s := start(t)
	frozen := s.ownerOf(ownership.DomainShard(domains[0]))
	shards, err := s.ShardsOf(s.ctx, frozen)
	s.must(err)
	kinds := cluster.Draw([]cluster.Kind{
		cluster.KindOf("order"), cluster.KindOf("archive index"), cluster.KindOf("full letter"),
		cluster.KindOf("stave-curve fit"),
	}, 120, 1)
	calls := make([]cluster.Call, len(kinds))
	var wg sync.WaitGroup
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			wg.Go(func() { calls[i] = s.Submit(s.ctx, kinds[i], i, s.others(frozen)...) })
		}
	}
	submit(0, 60) // in progress when the owner stops
	frozen.Freeze()
	submit(60, 90)
	s.must(s.AwaitMoved(s.ctx, shards, frozen))
	submit(90, 120)
	frozen.Thaw()
	wg.Wait()
	s.audit(calls)
}
