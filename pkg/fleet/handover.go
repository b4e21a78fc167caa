package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
)

// An owner with too little processor time for its fleet hands it over to a larger VM. It became
// the owner since the larger ones stood still or were cut off, and would keep the fleet when they
// are back, though it cannot renew the leases of all workers.
const (
	// workersPerCore is the number of workers that an owner with a whole core keeps up with:
	// after takeovers, an owner of 1,100 workers uses 0.28 of a core (docs/CAPACITY.md).
	workersPerCore = 3900
	// largerVMFactor is the ratio of the processor times from which a handover is worth the
	// takeover that it costs. It keeps VMs of about the same size from taking turns.
	largerVMFactor   = 2
	handoverInterval = 500 * time.Millisecond
	// handoverAskTimeout bounds the question whether a VM is there. An owner that is short of
	// processor time reads answers late.
	handoverAskTimeout = time.Second
	// maxHandoverVMs is the number of VMs that are asked at a time.
	maxHandoverVMs = 3
	// handoverHold keeps the former owner from the election, for longer than the others wait.
	handoverHold = 2 * time.Second
	// handoverRetry is the time after a handover until this VM hands the fleet over again, if it
	// got it back since no larger VM took it.
	handoverRetry = 30 * time.Second
)

// handoverLoop hands the fleet over once a larger VM answers, if this one is too small.
func (o *Owner) handoverLoop() {
	if o.opts.AskVM == nil {
		return
	}
	for wait.Sleep(o.ctx, handoverInterval) {
		candidates := o.handoverCandidates()
		if len(candidates) == 0 {
			continue
		}
		if address := o.firstThatKnowsOwner(candidates); address != "" {
			o.handOver(address)
			return
		}
	}
}

// handoverCandidates returns some of the VMs to which this one would hand the fleet over.
func (o *Owner) handoverCandidates() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.opts.Clock() < o.handoverFrom || float64(len(o.workers)) <= workersPerCore*o.cpuShare {
		return nil
	}
	rand.Shuffle(len(o.largerVMs), func(i, j int) { o.largerVMs[i], o.largerVMs[j] = o.largerVMs[j], o.largerVMs[i] })
	return append([]string(nil), o.largerVMs[:min(maxHandoverVMs, len(o.largerVMs))]...)
}

// firstThatKnowsOwner asks VMs for the owner and returns the first that names this one, and so is
// up and has read the store lately; empty if none does.
func (o *Owner) firstThatKnowsOwner(addresses []string) string {
	ctx, cancel := context.WithTimeout(o.ctx, handoverAskTimeout)
	defer cancel()
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			hint, err := o.opts.AskVM(ctx, address)
			if err != nil || hint.Token != o.ownership.token {
				address = ""
			}
			answers <- address
		}()
	}
	for range addresses {
		if address := <-answers; address != "" {
			return address
		}
	}
	return ""
}

// handOver ends ownership, so that a larger VM is elected.
func (o *Owner) handOver(to string) {
	o.mu.Lock()
	workers := len(o.workers)
	o.handedOver = o.ctx.Err() == nil
	o.mu.Unlock()
	o.opts.Log.Info("this VM is too small for the fleet; a larger one is there", "workers", workers, "cores", o.cpuShare, "largerVM", to)
	o.opts.Metrics.Event("ownership_handed_over")
	o.endOwnership("a larger VM takes over")
}
