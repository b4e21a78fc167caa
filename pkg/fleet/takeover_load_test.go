package fleet_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// processorStore makes the lease renewals of a VM on its processor.
type processorStore struct {
	platform.Transactor
	p *processor
}

func (s processorStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := callOnProcessor(ctx, s.p, func() (struct{}, error) { return struct{}{}, s.Transactor.KeepAlive(ctx, id) })
	return err
}

// connectingClient makes the first call to a worker dearer, by the cost of a connection.
type connectingClient struct {
	processorClient
	costPerConnection time.Duration
	connected         *sync.Map // by address
}

func (c connectingClient) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	if _, connected := c.connected.LoadOrStore(address, true); !connected {
		c.p.occupy(c.costPerConnection)
	}
	return c.processorClient.RenewLease(ctx, address, instance, r)
}

// countTakeovers returns how often a VM has become the owner.
func (b *testbed) countTakeovers() int {
	b.logLock.Lock()
	defer b.logLock.Unlock()
	n := 0
	for _, line := range b.logLines {
		if strings.Contains(line, "took ownership") {
			n++
		}
	}
	return n
}

// Guards against takeovers that follow each other because the calls of each to all workers
// keep its lease from being renewed, while no job runs on.
func TestTakeoverOfManyRunsKeepsItsLease(t *testing.T) {
	const (
		workers           = 400
		runsOnEach        = 8
		costPerConnection = 4 * time.Millisecond
		// maxUsedShare is the share of the processor that the load may use without a takeover.
		maxUsedShare = 0.5
		costPerCall  = 2 * time.Millisecond
		measured     = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, workers)
		var processors []*processor
		b.adjustOptions = func(o *fleet.Options) {
			p := &processor{costPerCall: costPerCall}
			processors = append(processors, p)
			o.Workers = connectingClient{processorClient{b.workers, p}, costPerConnection, &sync.Map{}}
			o.Store = processorStore{o.Store, p}
		}
		for range 3 {
			b.startVM()
		}
		b.sleep(2 * time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
		for range workers {
			b.submit(smallStep(runsOnEach))
			b.sleep(80 * time.Millisecond)
		}
		b.sleep(10 * time.Second)
		used := make([]time.Duration, len(processors))
		for i, p := range processors {
			used[i] = p.usedTime()
		}
		b.sleep(measured)
		for i, p := range processors {
			if share := (p.usedTime() - used[i]).Seconds() / measured.Seconds(); share > maxUsedShare {
				t.Errorf("the load uses %.0f%% of the processor", 100*share)
			}
		}
		before := b.countTakeovers()
		b.killVM(b.ownerIndex())
		b.sleep(20 * time.Second)
		if n := b.countTakeovers() - before; n != 1 {
			t.Errorf("%d takeovers after one owner was killed", n)
		}
	})
}
