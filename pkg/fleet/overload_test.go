package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// processor is the processor of a VM, which its calls to workers use one after the other.
type processor struct {
	costPerCall time.Duration // half for the request and half for the answer

	mu     sync.Mutex
	freeAt time.Time
	used   time.Duration
}

// occupy uses the processor for a time, once it is free.
func (p *processor) occupy(d time.Duration) {
	p.mu.Lock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(d)
	p.used += d
	wait := p.freeAt.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// usedTime returns the time for which the processor was used so far.
func (p *processor) usedTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// processorClient makes the calls of a VM with a processor.
type processorClient struct {
	fleet.WorkerClient
	p *processor
}

// callOnProcessor makes a call. It fails if the answer is processed after its timeout.
func callOnProcessor[T any](ctx context.Context, p *processor, call func() (T, error)) (T, error) {
	p.occupy(p.costPerCall / 2)
	reply, err := call()
	p.occupy(p.costPerCall / 2)
	if err == nil {
		err = ctx.Err()
	}
	return reply, err
}

type leaseAnswer struct {
	reply   fleet.RenewLeaseReply
	verdict fleet.Verdict
}

func (c processorClient) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	a, err := callOnProcessor(ctx, c.p, func() (a leaseAnswer, err error) {
		a.reply, a.verdict, err = c.WorkerClient.RenewLease(ctx, address, instance, r)
		return a, err
	})
	if err != nil {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, err
	}
	return a.reply, a.verdict, nil
}

func (c processorClient) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	reply, err := callOnProcessor(ctx, c.p, func() (fleet.OrderReply, error) { return c.WorkerClient.Start(ctx, address, instance, o) })
	if err != nil {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, err
	}
	return reply, nil
}

func (c processorClient) Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (fleet.OrderReply, error) {
	reply, err := callOnProcessor(ctx, c.p, func() (fleet.OrderReply, error) {
		return c.WorkerClient.Stop(ctx, address, instance, task, run, token)
	})
	if err != nil {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, err
	}
	return reply, nil
}

// Guards against an owner that its own retries keep saturated after a stall of its
// processor: all calls time out, so that no job starts although the workers are idle.
func TestStallOfTheProcessorLeavesNoJobStanding(t *testing.T) {
	const (
		workers     = 100
		costPerCall = 9 * time.Millisecond
		jobInterval = 300 * time.Millisecond
		warmUp      = 15 * time.Second
		loadAfter   = 20 * time.Second
		idleAfter   = 25 * time.Second
		// calm is the time after a disruption from which the users' rule holds.
		calm = 4 * time.Second
		// maxUsedShare is the share of the processor that the load may use without a stall.
		maxUsedShare = 0.5
	)
	tests := map[string]time.Duration{"no stall": 0, "stall of 1 s": time.Second, "stall of 2 s": 2 * time.Second}
	for name, stall := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, workers)
				p := &processor{costPerCall: costPerCall}
				b.adjustOptions = func(o *fleet.Options) { o.Workers = processorClient{b.workers, p} }
				b.startVM()
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 2 * time.Second} })
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				play := func(length time.Duration, load bool) {
					for end := time.Now().Add(length); time.Now().Before(end); {
						if load {
							b.workers.Accepted(b.submit(gangStep(8, 4)).ID)
						}
						b.sleep(jobInterval)
						d.Observe()
					}
				}
				play(warmUp, true)
				share := p.usedTime().Seconds() / warmUp.Seconds()
				if share > maxUsedShare {
					t.Errorf("the load uses %.0f%% of the processor", 100*share)
				}
				stalledAt := time.Now()
				go p.occupy(stall)
				play(loadAfter, true)
				before := p.usedTime()
				play(idleAfter, false)
				t.Logf("processor in use: %.0f%% before the stall, %.0f%% after the load", 100*share, 100*(p.usedTime()-before).Seconds()/idleAfter.Seconds())
				ruleFrom, broken := stalledAt.Add(stall+calm), 0
				for _, s := range d.Standstills() {
					if s.From.Before(ruleFrom) {
						s.From = ruleFrom
					}
					if s.Duration() >= fleettest.StandstillThreshold {
						if broken++; broken <= 3 {
							t.Error(s)
						}
					}
				}
				if broken > 0 {
					t.Errorf("%d jobs stood still", broken)
				}
			})
		})
	}
}

// Guards against jobs that always fail keeping all workers from other jobs: each worker is
// avoided for a while once two of them have failed there.
func TestFailingJobsLeaveWorkersToOthers(t *testing.T) {
	const (
		workers = 16
		tasks   = 8 * workers // of a failing job: one for each accelerator
	)
	for _, failing := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(failing, " failing jobs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 1, workers)
				hopeless := map[string]bool{}
				b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
					return fleettest.Outcome{Duration: 300 * time.Millisecond, Fails: hopeless[task.Job]}
				})
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				for range failing {
					j := b.buildJob(smallStep(tasks))
					j.Class.MaxAttempts = 4
					hopeless[j.ID] = true
					b.storeJob(j)
				}
				for range 10 {
					b.workers.Accepted(b.submit(smallStep(4)).ID)
					b.workers.Accepted(b.submit(gangStep(3, 8)).ID)
					b.observe(d, time.Second)
				}
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
			})
		})
	}
}
