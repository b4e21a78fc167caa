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
	tests := map[string]time.Duration{"no stall": 0, "stall of 1 s": time.Second, "stall of 2 s": 2 * time.Second, "stall of 4 s": 4 * time.Second}
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

// recordingClient records when starts are accepted and polls answered.
type recordingClient struct {
	fleet.WorkerClient

	mu            sync.Mutex
	startedAt     map[workload.TaskID]time.Time
	polledAt      map[string]time.Time // latest answer by worker
	firstPolledAt map[string]time.Time // first answer by worker
	lapsed        map[string]int       // reported ends of runs with an expired lease, by worker
	calls         int                  // starts, stops and polls
}

func newRecordingClient(client fleet.WorkerClient) *recordingClient {
	return &recordingClient{WorkerClient: client, startedAt: map[workload.TaskID]time.Time{}, polledAt: map[string]time.Time{}, firstPolledAt: map[string]time.Time{}, lapsed: map[string]int{}}
}

func (c *recordingClient) countCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
}

func (c *recordingClient) callsSoFar() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *recordingClient) Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (fleet.OrderReply, error) {
	c.countCall()
	return c.WorkerClient.Stop(ctx, address, instance, task, run, token)
}

func (c *recordingClient) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	c.countCall()
	reply, err := c.WorkerClient.Start(ctx, address, instance, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.startedAt[o.Task]; !known && reply.Verdict == fleet.Accepted {
		c.startedAt[o.Task] = time.Now()
	}
	return reply, err
}

func (c *recordingClient) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	c.countCall()
	reply, verdict, err := c.WorkerClient.RenewLease(ctx, address, instance, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if verdict == fleet.Accepted {
		c.polledAt[instance] = time.Now()
		if _, polled := c.firstPolledAt[instance]; !polled {
			c.firstPolledAt[instance] = time.Now()
		}
		for _, end := range reply.Ended {
			if end.Reason == fleet.EndLeaseExpired {
				c.lapsed[instance]++
			}
		}
	}
	return reply, verdict, err
}

// Guards against stops and polls that are repeated for each run of a worker that does not
// answer: one poll after the other finds out when it answers again.
func TestSilentWorkerGetsNoRetriesForEachRun(t *testing.T) {
	const (
		runs     = 8
		settling = 5 * time.Second // the starts are given up one after the other
		silence  = 3 * time.Second
		maxCalls = int(silence / time.Second * 2)
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 1)
		c := newRecordingClient(b.workers)
		b.adjustOptions = func(o *fleet.Options) { o.Workers = c }
		b.startVM()
		b.sleep(2 * time.Second)
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.LoseAnswers = 1000 })
		j := b.submit(smallStep(runs))
		b.sleep(100 * time.Millisecond)
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.Unreachable = true })
		b.sleep(settling)
		before := c.callsSoFar()
		b.sleep(silence)
		if n := c.callsSoFar() - before; n > maxCalls {
			t.Errorf("%d calls in %v, want at most %d", n, silence, maxCalls)
		}
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { *f = fleettest.Faults{ClockRate: 1} })
		b.sleep(10 * time.Second)
		if state := b.state(j); state != workload.Completed {
			t.Errorf("the job is %s after the worker has answered again", state)
		}
	})
}

// Guards against starts on workers that answer waiting for starts on workers that do not.
func TestSilentWorkersDelayNoStartsOnOthers(t *testing.T) {
	const (
		workers  = 200
		maxDelay = time.Second
	)
	for _, silent := range []int{1, workers / 2, workers * 9 / 10} {
		t.Run(fmt.Sprint(silent, " silent workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, workers)
				c := newRecordingClient(b.workers)
				b.adjustOptions = func(o *fleet.Options) { o.Workers = c }
				b.startVM()
				b.sleep(2 * time.Second)
				b.submit(smallStep(8 * workers))
				b.sleep(5 * time.Second)
				for i := range silent {
					b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
				}
				j := b.submit(smallStep(8 * workers))
				b.sleep(maxDelay)
				c.mu.Lock()
				defer c.mu.Unlock()
				started := 0
				for task := range c.startedAt {
					if task.Job == j.ID {
						started++
					}
				}
				if want := 8 * (workers - silent); started < want {
					t.Errorf("%d tasks started within %v, want %d", started, maxDelay, want)
				}
			})
		})
	}
}

// Guards against a worker that misses an answer losing its runs because the polls of many
// workers that have been silent for longer go first.
func TestShortCutBesideManySilentWorkersLosesNoRun(t *testing.T) {
	const (
		workers  = 200
		silent   = workers * 9 / 10
		cutFor   = 2500 * time.Millisecond
		maxDelay = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, workers)
		c := newRecordingClient(b.workers)
		b.adjustOptions = func(o *fleet.Options) { o.Workers = c }
		b.startVM()
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
		b.sleep(2 * time.Second)
		b.submit(smallStep(8 * workers))
		b.sleep(3 * time.Second)
		for i := range silent {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
		}
		b.sleep(30 * time.Second)
		setCut := func(cut bool) {
			for i := silent; i < workers; i++ {
				b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = cut })
			}
		}
		setCut(true)
		b.sleep(cutFor)
		setCut(false)
		healedAt := time.Now()
		b.sleep(maxDelay)
		c.mu.Lock()
		for i := silent; i < workers; i++ {
			if id := fmt.Sprintf("w%02d", i); c.polledAt[id].Before(healedAt) {
				t.Errorf("%s is not polled within %v", id, maxDelay)
			}
		}
		c.mu.Unlock()
		b.sleep(30 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		for i := silent; i < workers; i++ {
			if id := fmt.Sprintf("w%02d", i); c.lapsed[id] > 0 {
				t.Errorf("%d runs on %s have lapsed", c.lapsed[id], id)
			}
		}
	})
}
