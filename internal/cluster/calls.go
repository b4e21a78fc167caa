package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Limits of a caller.
const (
	// callTime is how long a caller repeats a request that the answer allows to
	// repeat, and waits for the end of an accepted job.
	callTime = 60 * time.Second
	// repeatPause is the pause before a repetition.
	repeatPause = 100 * time.Millisecond
)

// Call is one request of a caller and what became of it.
type Call struct {
	Kind    Kind
	Job     api.JobSpec
	Status  api.JobStatus
	Err     error
	Repeats int
	Began   time.Time
	Took    time.Duration
}

// Outcome says what a caller knows in the end.
type Outcome string

// Outcomes of a call.
const (
	Complete Outcome = "complete" // the whole answer to this request
	Refused  Outcome = "refused"  // an answer that says that nothing ran
	Unclear  Outcome = "unclear"  // at-most-once work whose outcome is reported as unknown
	Wrong    Outcome = "wrong"    // the answer to another request
	Lost     Outcome = "lost"     // anything else
)

// Outcome classifies the call.
func (c Call) Outcome() Outcome {
	var answered *client.Error
	switch {
	case c.Err == nil && c.Status.State == api.StateSucceeded && Echoes(c.Status.Result, c.Job.Name):
		return Complete
	case c.Err == nil && c.Status.State == api.StateSucceeded:
		return Wrong
	case errors.As(c.Err, &answered) && answered.Ran == errkind.NotRun:
		return Refused
	case errkind.Is(c.Err, errkind.OutcomeUnknown) && c.Job.AtMostOnce:
		return Unclear
	default:
		return Lost
	}
}

// Submit sends one request with an idempotency key through the VMs, in the given
// order, repeats it as long as an answer allows that, and waits for the end.
func (c *Cluster) Submit(ctx context.Context, k Kind, n int, vms ...*VM) Call {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	call := Call{Kind: k, Job: k.Job(n), Began: time.Now()}
	key := fmt.Sprintf("%s-%d", k.Spec.Class, n)
	for {
		call.Status, call.Err = c.once(ctx, k.Workspace, call.Job, key, vms)
		if !mayRepeat(call.Err) || ctx.Err() != nil {
			break
		}
		call.Repeats++
		if waitFor(ctx, repeatPause) != nil {
			break
		}
	}
	call.Took = time.Since(call.Began)
	return call
}

func (c *Cluster) once(ctx context.Context, workspace string, job api.JobSpec, key string, vms []*VM) (api.JobStatus, error) {
	cl, err := c.Client(workspace, vms...)
	if err != nil {
		return api.JobStatus{}, err
	}
	status, err := cl.Submit(ctx, job, client.SubmitOptions{IdempotencyKey: key})
	if err == nil && !status.State.Terminal() {
		status, err = cl.Await(ctx, status.ID, callTime)
	}
	var answered *client.Error
	if errors.As(err, &answered) && answered.Job != nil {
		status = *answered.Job
	}
	return status, err
}

// mayRepeat reports whether the same request may be sent again under the same
// idempotency key. Refusals for which the caller must act first are final.
func mayRepeat(err error) bool {
	switch errkind.Of(err) {
	case errkind.Unavailable, errkind.Timeout, errkind.StaleEpoch, errkind.Overloaded, errkind.StoreUnavailable:
		return err != nil
	default:
		return false
	}
}

func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Load sends the kinds as requests at a steady rate through the VMs in turn and
// returns all calls once they have ended. A VM that has ended is left out.
func (c *Cluster) Load(ctx context.Context, kinds []Kind, perSecond float64) []Call {
	calls := make([]Call, len(kinds))
	var wg sync.WaitGroup
	began := time.Now()
	for i, k := range kinds {
		due := began.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if waitFor(ctx, time.Until(due)) != nil {
			break
		}
		wg.Go(func() { calls[i] = c.Submit(ctx, k, i, c.from(i)...) })
	}
	wg.Wait()
	return calls
}

// from returns the running VMs, beginning with another one for each i.
func (c *Cluster) from(i int) []*VM {
	vms := c.VMs()
	if len(vms) == 0 {
		return nil
	}
	i %= len(vms)
	return append(vms[i:len(vms):len(vms)], vms[:i]...)
}
