package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/internal/cluster"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
)

const (
	// shortRun is the run time of the measured requests, at the target and
	// through the system alike.
	shortRun = 5 * time.Millisecond
	// directWait bounds one long poll of a direct call.
	directWait = time.Second
	// directTTL is the lease of a direct call's task.
	directTTL = 15 * time.Second
	goalAdded = 2 * time.Millisecond
)

// rateAndLatency finds the highest rate of short requests, and at half of it the
// latency that the system adds to that of the target.
func (b *bench) rateAndLatency(ctx context.Context) error {
	address, err := b.StartSpareWorker(ctx)
	if err != nil {
		return err
	}
	direct := &directCaller{worker: httpapi.NewDialer(httpapi.DialerOptions{}).DialClient(address)}
	if err := b.atRest(ctx, direct); err != nil {
		return err
	}
	full := b.closedLoop(ctx, b.callers)
	if err := full.err(); err != nil {
		return err
	}
	rate := float64(len(full.took)) / b.latency.Seconds()
	b.print("short_requests_per_second", "%.0f callers=%d p50_ms=%s p99_ms=%s errors=%d", rate, b.callers, full.ms(0.5), full.ms(0.99), full.failed)
	if err := b.steady(ctx, "tenth_load", direct, rate/10); err != nil {
		return err
	}
	return b.over(ctx, "half_load", func() error { return b.steady(ctx, "half_load", direct, rate/2) })
}

// atRest measures one caller without other load.
func (b *bench) atRest(ctx context.Context, direct *directCaller) error {
	ctx, cancel := context.WithTimeout(ctx, b.latency/2)
	defer cancel()
	alone := direct.run(ctx)
	cancel()
	through := b.closedLoop(context.WithoutCancel(ctx), 1)
	b.printAdded("rest", through, alone)
	return errors.WithMessage(alone.err(), "direct calls at rest")
}

// steady sends requests at a steady rate. The direct calls are made at the same
// time, so that both share the machine with the same load.
func (b *bench) steady(ctx context.Context, name string, direct *directCaller, rate float64) error {
	loaded, cancel := context.WithTimeout(ctx, b.latency)
	defer cancel()
	var alone *latencies
	var wg sync.WaitGroup
	wg.Go(func() { alone = direct.run(loaded) })
	through := b.openLoop(loaded, rate)
	wg.Wait()
	b.print(name+"_requests_per_second", "%.0f errors=%d", rate, through.failed)
	b.printAdded(name, through, alone)
	return errors.WithMessage(through.err(), name)
}

func (b *bench) printAdded(name string, through, alone *latencies) {
	b.print(name+"_direct_ms", "p50=%s p99=%s p99.9=%s n=%d", alone.ms(0.5), alone.ms(0.99), alone.ms(0.999), len(alone.took))
	b.print(name+"_system_ms", "p50=%s p99=%s p99.9=%s n=%d", through.ms(0.5), through.ms(0.99), through.ms(0.999), len(through.took))
	for _, q := range []float64{0.5, 0.99, 0.999} {
		goal := ""
		if q == 0.99 {
			goal = fmt.Sprintf(" goal=<%d(half_load)", goalAdded.Milliseconds())
		}
		b.print(fmt.Sprintf("%s_added_ms_p%g", name, q*100), "%s%s", millis(through.quantile(q)-alone.quantile(q)), goal)
	}
}

// latencies are the times of the successful calls; the rest is counted.
type latencies struct {
	mu     sync.Mutex
	took   []time.Duration
	failed int
	last   error
}

func (l *latencies) add(d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed, l.last = l.failed+1, err
		return
	}
	l.took = append(l.took, d)
}

// err reports a load of which nothing succeeded.
func (l *latencies) err() error {
	if len(l.took) > 0 {
		return nil
	}
	return errors.Errorf("no call succeeded, the last error is: %v", l.last)
}

func (l *latencies) quantile(q float64) time.Duration {
	if len(l.took) == 0 {
		return 0
	}
	slices.Sort(l.took)
	return l.took[min(int(q*float64(len(l.took))), len(l.took)-1)]
}

func (l *latencies) ms(q float64) string { return millis(l.quantile(q)) }

func millis(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// quote sends the i-th short request through one VM.
func (b *bench) quote(ctx context.Context, i int) error {
	k := cluster.KindOf("quote check")
	k.Run = shortRun
	all := b.VMs()
	cl, err := b.Client(k.Workspace, all[i%len(all)])
	if err != nil {
		return err
	}
	job := k.Job(i)
	status, err := cl.Submit(ctx, job, client.SubmitOptions{})
	if err == nil && !cluster.Echoes(status.Result, job.Name) {
		err = errors.Errorf("job %s in state %s has the wrong answer", status.ID, status.State)
	}
	return err
}

// closedLoop lets each caller send the next request when the last is answered.
func (b *bench) closedLoop(ctx context.Context, callers int) *latencies {
	l := &latencies{}
	end := time.Now().Add(b.latency)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; time.Now().Before(end) && ctx.Err() == nil; i += callers {
				began := time.Now()
				err := b.quote(ctx, i)
				l.add(time.Since(began), err)
			}
		})
	}
	wg.Wait()
	return l
}

// openLoop sends requests at a steady rate until ctx ends, whether or not the
// earlier ones are answered. Times count from the moment a request was due.
func (b *bench) openLoop(ctx context.Context, rate float64) *latencies {
	l := &latencies{}
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if pause(ctx, time.Until(due)) != nil {
			break
		}
		wg.Go(func() {
			err := b.quote(context.WithoutCancel(ctx), i)
			l.add(time.Since(due), err)
		})
	}
	wg.Wait()
	return l
}

// directCaller calls a worker without the system, one call after the other.
type directCaller struct {
	worker *httpapi.Client
	n      int
	seq    int64
	inc    int64
}

func (d *directCaller) run(ctx context.Context) *latencies {
	l := &latencies{}
	for ctx.Err() == nil {
		began := time.Now()
		err := d.call(context.WithoutCancel(ctx))
		l.add(time.Since(began), err)
	}
	return l
}

// call runs one task and waits for its result.
func (d *directCaller) call(ctx context.Context) error {
	d.n++
	task := api.TaskID(fmt.Sprintf("j0-direct/%d/0", d.n))
	payload := fmt.Appendf(nil, `{"run":%q,"echo":%d}`, shortRun, d.n)
	if _, err := d.worker.Reserve(ctx, target.ReserveRequest{
		Task: task, Epoch: 1, TTL: directTTL, Start: &target.StartRequest{Task: task, Epoch: 1, Payload: payload},
	}); err != nil {
		return err
	}
	for {
		resp, err := d.worker.Sync(ctx, target.SyncRequest{Epoch: 1, TTL: directTTL, SinceSeq: d.seq, Incarnation: d.inc, MaxWait: directWait})
		if err != nil {
			return err
		}
		d.seq, d.inc = resp.Seq, resp.Incarnation
		for _, st := range resp.Tasks {
			if st.Task == task && st.State.Ended() {
				return nil
			}
		}
	}
}
