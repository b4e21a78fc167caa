package fleet

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Bounds of calls to the advice service.
const (
	// adviceBatch is how many workers one call names at most; a call takes longer
	// with each, and the service's own objective counts 30.
	adviceBatch = 30
	// adviceSpare is how many more workers than needed are asked about, as only
	// some may run a step.
	adviceSpare = 3
	// adviceMargin is added to the time that an answer should take.
	adviceMargin = time.Second
	// ticketMargin is how much earlier than its end a ticket counts as expired.
	ticketMargin = 500 * time.Millisecond
	advicePause  = 200 * time.Millisecond
)

// AdviceClient asks the advice service which workers may run a step. It returns
// the ticket of each that may, by worker, and how long they are valid.
type AdviceClient interface {
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// ticket allows a worker's present life to run a step.
type ticket struct {
	value   string
	born    int64
	expires time.Duration
}

// advice is what is known about the workers that may run a group.
type advice struct {
	asked   map[string]bool // workers that were asked about, by ID and life
	tickets map[string]ticket
	waiting bool // a call is queued or on its way
}

// adviceOf returns the advice settings of a job's queue, or nil.
func (o *Owner) adviceOf(j *job) *catalog.AdvicePolicy {
	if cat := o.opts.Catalog(); cat != nil && o.opts.Advice != nil {
		if q := cat.Queue(j.Queue); q != nil {
			return q.Advice
		}
	}
	return nil
}

// ticketHolders returns the workers with a valid ticket for a group; the lock
// is held.
func (o *Owner) ticketHolders(g *group, now time.Duration) map[string]bool {
	holders := map[string]bool{}
	if g.advice == nil {
		return holders
	}
	for id, t := range g.advice.tickets {
		w := o.workers[id]
		if w != nil && w.Incarnation == t.born && now+ticketMargin < t.expires {
			holders[id] = true
		}
	}
	return holders
}

// askAdvice queues a call about more workers for a group; the lock is held.
func (o *Owner) askAdvice(g *group, p *fleetPlanner, now time.Duration) {
	if g.advice == nil {
		g.advice = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
	}
	a := g.advice
	if a.waiting {
		return
	}
	workers := o.adviceCandidates(g, p, now)
	if len(workers) == 0 {
		return
	}
	a.waiting = true
	select {
	case o.adviceCalls <- adviceCall{group: g, workers: workers}:
	default:
		a.waiting = false // asked again in a later cycle
	}
}

// adviceCandidates chooses the workers to ask about: first those whose ticket
// has expired, then those with the most room; the lock is held.
func (o *Owner) adviceCandidates(g *group, p *fleetPlanner, now time.Duration) []string {
	demand := g.spec().Demand()
	type option struct {
		id      string
		renewal int
		free    int64
	}
	var options []option
	for _, w := range p.workers {
		if !w.listed || w.Draining || w.cordoned || !demand.Fits(w.Capacity) {
			continue
		}
		if requires := g.spec().RequiredLabel; requires != "" && !slices.Contains(w.Labels, requires) {
			continue
		}
		t, known := g.advice.tickets[w.ID]
		renew := known && t.born == w.Incarnation
		if renew && now+ticketMargin < t.expires {
			continue
		}
		if !renew && g.advice.asked[lifeKey(w)] {
			continue
		}
		used, _ := w.used()
		order := 1
		if renew {
			order = 0
		}
		options = append(options, option{w.ID, order, w.Capacity.Sub(used).Accelerators})
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.renewal, b.renewal), cmp.Compare(b.free, a.free), cmp.Compare(a.id, b.id))
	})
	wanted := min(adviceBatch, adviceSpare*g.spec().Tasks+adviceSpare)
	var ids []string
	for _, opt := range options[:min(wanted, len(options))] {
		ids = append(ids, opt.id)
	}
	return ids
}

func lifeKey(w *worker) string { return w.ID + "/" + strconv.FormatInt(w.Incarnation, 10) }

// adviceCall is a question to the advice service.
type adviceCall struct {
	group   *group
	workers []string
}

// adviceQueue bounds the questions that wait; the service takes one at a time
// and refuses beyond 32.
const adviceQueue = 16

// adviceLoop puts the questions one after the other.
func (o *Owner) adviceLoop() {
	if o.opts.Advice == nil {
		return
	}
	for {
		select {
		case <-o.ctx.Done():
			return
		case c := <-o.adviceCalls:
			if !o.advise(c) && !wait.Sleep(o.ctx, advicePause) {
				return
			}
		}
	}
}

func (o *Owner) advise(c adviceCall) bool {
	g := c.group
	step := workload.TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step}.StepName()
	timeout := adviceMargin
	if a := o.adviceOf(g.job); a != nil {
		timeout += a.BaseTimeout + time.Duration(len(c.workers))*a.TimeoutPerWorker
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	sentAt := o.opts.Clock()
	tickets, valid, err := o.opts.Advice.Advise(ctx, step, c.workers)
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	g.advice.waiting = false
	o.triggerCycle()
	if err != nil {
		o.opts.Log.Info("no advice", "step", step, "workers", len(c.workers), "reason", err.Error())
		return false
	}
	for _, id := range c.workers {
		w := o.workers[id]
		if w == nil {
			continue
		}
		g.advice.asked[lifeKey(w)] = true
		if value, good := tickets[id]; good {
			g.advice.tickets[id] = ticket{value: value, born: w.Incarnation, expires: sentAt + valid}
		} else {
			delete(g.advice.tickets, id)
		}
	}
	o.opts.Log.V(1).Info("advice", "step", step, "asked", len(c.workers), "good", len(tickets), "tookMS", (o.opts.Clock() - sentAt).Milliseconds())
	return true
}
