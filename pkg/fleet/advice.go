package fleet

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Limits of requests to the advice service.
const (
	// maxWorkersPerAdvice bounds the workers named in one request: each makes it slower,
	// and the service states its own objective for 30.
	maxWorkersPerAdvice = 30
	// adviceWorkerFactor is how many workers are named for each task of a group, and how
	// many are added to that total, as only some of them may run a step.
	adviceWorkerFactor = 3
	// adviceTimeoutMargin is added to the expected duration of a request.
	adviceTimeoutMargin = time.Second
	// ticketExpiryMargin is how long before its expiry a ticket counts as expired.
	ticketExpiryMargin = 500 * time.Millisecond
	adviceRetryDelay   = 200 * time.Millisecond
)

// AdviceClient asks the advice service which workers may run a step. Advise returns the
// tickets of those that may, by worker ID, and for how long the tickets are valid.
type AdviceClient interface {
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// ticket permits one incarnation of a worker to run a step.
type ticket struct {
	value       string
	incarnation int64
	expires     time.Duration
}

// adviceState holds the answers of the advice service for one task group.
type adviceState struct {
	checkedWorkers map[string]bool // workers that the advice service has already answered for, by incarnationKey
	tickets        map[string]ticket
	inFlight       bool // a request is queued or being answered
}

// adviceOf returns the advice policy of a job: the one of its queue in the current
// configuration, or the one at its acceptance if the queue no longer exists; nil if there is
// none.
func (o *Owner) adviceOf(j *job) *workload.AdvicePolicy {
	if cat := o.opts.Catalog(); cat != nil {
		if q := cat.Queue(j.Queue); q != nil {
			return q.Advice
		}
	}
	return j.Advice
}

// needsTickets reports whether the starts of a group need tickets: by its policy, or because
// a worker has refused one without a ticket, as the policy may have changed since the job was
// accepted. Without an advice service there are none.
func (o *Owner) needsTickets(g *taskGroup) bool {
	return o.opts.Advice != nil && (g.ticketRefused || o.adviceOf(g.job) != nil)
}

// ticketHolders returns the IDs of the workers with a valid ticket for a group; the lock
// is held.
func (o *Owner) ticketHolders(g *taskGroup, now time.Duration) map[string]bool {
	holders := map[string]bool{}
	if g.advice == nil {
		return holders
	}
	for id, t := range g.advice.tickets {
		w := o.workers[id]
		if w != nil && w.Incarnation == t.incarnation && now+ticketExpiryMargin < t.expires {
			holders[id] = true
		}
	}
	return holders
}

// requestAdvice queues a request about more workers for a group, unless one is pending;
// the lock is held.
func (o *Owner) requestAdvice(g *taskGroup, p *servicePlanner, now time.Duration) {
	if g.advice == nil {
		g.advice = &adviceState{checkedWorkers: map[string]bool{}, tickets: map[string]ticket{}}
	}
	a := g.advice
	if a.inFlight {
		return
	}
	workers := o.adviceCandidates(g, p, now)
	if len(workers) == 0 {
		return
	}
	a.inFlight = true
	select {
	case o.adviceRequests <- adviceRequest{group: g, workers: workers}:
	default:
		a.inFlight = false // the queue is full; a later cycle tries again
	}
}

// adviceCandidates selects the workers to ask about: first those whose ticket has
// expired, then those with the most free accelerators; the lock is held.
func (o *Owner) adviceCandidates(g *taskGroup, p *servicePlanner, now time.Duration) []string {
	demand := g.spec().Demand()
	type candidate struct {
		id   string
		rank int
		free int64
	}
	var candidates []candidate
	for _, w := range p.workers {
		if !w.listed || w.Draining || o.cordoned[w.Machine] || o.evacuated(w) || !demand.Fits(w.Capacity) {
			continue
		}
		if requires := g.spec().RequiredLabel; requires != "" && !slices.Contains(w.Labels, requires) {
			continue
		}
		t, known := g.advice.tickets[w.ID]
		renew := known && t.incarnation == w.Incarnation
		if renew && now+ticketExpiryMargin < t.expires {
			continue
		}
		if !renew && g.advice.checkedWorkers[incarnationKey(w)] {
			continue
		}
		used, _ := w.usage()
		rank := 1
		if renew {
			rank = 0 // its ticket has expired
		}
		candidates = append(candidates, candidate{w.ID, rank, w.Capacity.Sub(used).Accelerators})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.free, a.free), cmp.Compare(a.id, b.id))
	})
	wanted := min(maxWorkersPerAdvice, adviceWorkerFactor*g.spec().Tasks+adviceWorkerFactor)
	var ids []string
	for _, c := range candidates[:min(wanted, len(candidates))] {
		ids = append(ids, c.id)
	}
	return ids
}

// incarnationKey identifies one incarnation of a worker.
func incarnationKey(w *worker) string { return w.ID + "/" + strconv.FormatInt(w.Incarnation, 10) }

// adviceRequest asks the advice service about workers for a group.
type adviceRequest struct {
	group   *taskGroup
	workers []string
}

// adviceQueueSize bounds the queued requests; the service handles one at a time and
// refuses requests beyond 32.
const adviceQueueSize = 16

// adviceLoop sends the queued requests one at a time.
func (o *Owner) adviceLoop() {
	if o.opts.Advice == nil {
		return
	}
	for {
		select {
		case <-o.ctx.Done():
			return
		case c := <-o.adviceRequests:
			if !o.sendAdviceRequest(c) && !wait.Sleep(o.ctx, adviceRetryDelay) {
				return
			}
		}
	}
}

// sendAdviceRequest sends one request and records the tickets in the answer.
func (o *Owner) sendAdviceRequest(c adviceRequest) bool {
	g := c.group
	step := workload.TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step}.StepName()
	timeout := adviceTimeoutMargin
	if a := cmp.Or(o.adviceOf(g.job), g.job.Advice); a != nil {
		timeout += a.BaseTimeout + time.Duration(len(c.workers))*a.TimeoutPerWorker
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	sentAt := o.opts.Clock()
	tickets, valid, err := o.opts.Advice.Advise(ctx, step, c.workers)
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	g.advice.inFlight = false
	o.triggerCycle()
	if err != nil {
		o.opts.Log.Info("advice request failed", "step", step, "workers", len(c.workers), "reason", err.Error())
		return false
	}
	for _, id := range c.workers {
		w := o.workers[id]
		if w == nil {
			continue
		}
		g.advice.checkedWorkers[incarnationKey(w)] = true
		if value, good := tickets[id]; good {
			g.advice.tickets[id] = ticket{value: value, incarnation: w.Incarnation, expires: sentAt + valid}
		} else {
			delete(g.advice.tickets, id)
		}
	}
	o.opts.Log.V(1).Info("advice", "step", step, "asked", len(c.workers), "good", len(tickets), "tookMS", (o.opts.Clock() - sentAt).Milliseconds())
	return true
}
