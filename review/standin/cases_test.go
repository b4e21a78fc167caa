//go:build review

package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// newWorkers returns workers with 64 cores, 256 GB and 8 GPUs, 4 in a rack.
func newWorkers(n int, kind func(i int) string) []*worker {
	var workers []*worker
	for i := range n {
		workers = append(workers, &worker{
			id: fmt.Sprintf("i-%04d", i+1), machine: fmt.Sprintf("m-%04d", i+1), kind: kind(i), rack: fmt.Sprintf("r1-%d", i/4+1),
			capacity: resources{CPU: 64_000, Mem: 262_144, GPU: 8},
		})
	}
	return workers
}

func kindA(int) string { return "a" }

// manyEnds checks TWICE: more than 500 runs end on one worker while the owner is killed and
// its successor is elected.
func manyEnds(e *env, trouble bool) ([]string, error) {
	if err := e.start(3, newWorkers(8, kindA), config{maxTries: 3, priority: 1, guards: true}); err != nil {
		return nil, err
	}
	const (
		jobs         = 62
		tasks        = 10
		clients      = 8 // that hand jobs in at the same time
		takes        = 6 * time.Second
		killBefore   = 300 * time.Millisecond // the kill comes before the first end
		restartAfter = 3 * time.Second
	)
	sent := make([]*job, jobs)
	var group errgroup.Group
	group.SetLimit(clients)
	for i := range sent {
		group.Go(func() (err error) {
			sent[i], err = e.submit(takes, step{Count: tasks, CPU: 100, Mem: 256, EstimateMS: takes.Milliseconds()})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	first := e.firstStart(5 * time.Second)
	if first.IsZero() {
		return nil, errors.New("nothing was started")
	}
	time.Sleep(time.Until(first.Add(takes - killBefore)))
	for _, w := range e.workers {
		w.mu.Lock()
		e.note("%s has %d runs", w.id, len(w.runs))
		w.mu.Unlock()
	}
	if trouble {
		owner := e.owner()
		if owner == nil {
			return nil, errors.New("no owner")
		}
		e.note("TROUBLE: SIGKILL for %s, which owns the fleet", owner.name)
		owner.kill()
		time.Sleep(restartAfter)
		if err := owner.start(); err != nil {
			return nil, err
		}
	}
	if !e.awaitCompletion(sent, 40*time.Second) {
		e.note("not all jobs were completed in time")
	}
	time.Sleep(time.Second)
	return e.twice(), nil
}

// firstStart waits for the first start of a task.
func (e *env) firstStart(limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		e.mu.Lock()
		var first time.Time
		for _, j := range e.jobs {
			for _, s := range j.starts {
				if first.IsZero() || s.at.Before(first) {
					first = s.at
				}
			}
		}
		e.mu.Unlock()
		if !first.IsZero() {
			return first
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Time{}
}

// otherKind checks ROUTE: a worker that is cut off from the store starts anew as another
// kind, and gets a task that requires the kind that it was.
func otherKind(e *env, trouble bool) ([]string, error) {
	workers := newWorkers(8, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	})
	if err := e.start(3, workers, config{maxTries: 4, priority: 1, guards: true}); err != nil {
		return nil, err
	}
	const takes = 12 * time.Second
	j, err := e.submit(takes, step{Count: 2, CPU: 8000, Mem: 8192, GPU: 1, EstimateMS: takes.Milliseconds(), Requires: "b"})
	if err != nil {
		return nil, err
	}
	if e.firstStart(5 * time.Second).IsZero() {
		return nil, errors.New("nothing was started")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := workers[0]
		w.mu.Lock()
		w.cutOff = true
		w.mu.Unlock()
		e.note("TROUBLE: %s is cut off from the store and crashes", w.id)
		w.crash()
		time.Sleep(100 * time.Millisecond)
		w.kind = "a"
		w.begin()
		e.note("%s starts anew, as kind a; its entry in the store still says kind b", w.id)
		time.Sleep(4900 * time.Millisecond)
		w.mu.Lock()
		w.cutOff = false
		w.beat()
		w.mu.Unlock()
		e.note("TROUBLE ends: %s reaches the store again", w.id)
		time.Sleep(5 * time.Second)
	} else if !e.awaitCompletion([]*job{j}, 30*time.Second) {
		e.note("the job was not completed in time")
	}
	var broken []string
	for _, s := range j.starts {
		if s.kind != "b" {
			broken = append(broken, fmt.Sprintf("%s run %d, which requires label b, started on %s, life %d, of kind %s", s.task, s.run, s.worker.id, s.life, s.kind))
		}
	}
	return broken, nil
}

// waitingCount checks MIXED: the number of waiting jobs that a VM shows, while the only
// worker that may run them refuses all starts.
func waitingCount(e *env, trouble bool) ([]string, error) {
	workers := newWorkers(8, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	})
	if err := e.start(3, workers, config{maxTries: 4, priority: 1, guards: true}); err != nil {
		return nil, err
	}
	const (
		jobs  = 4
		calm  = 5500 * time.Millisecond // longer than visible_ms + 2 s
		takes = 2 * time.Second
	)
	if trouble {
		workers[0].mu.Lock()
		workers[0].unhealthy = true
		workers[0].mu.Unlock()
		e.note("TROUBLE: %s answers all starts with 503", workers[0].id)
	}
	var sent []*job
	for range jobs {
		j, err := e.submit(takes, step{Count: 1, CPU: 8000, Mem: 8192, GPU: 2, EstimateMS: takes.Milliseconds(), Requires: "b"})
		if err != nil {
			return nil, err
		}
		sent = append(sent, j)
	}
	time.Sleep(time.Until(sent[jobs-1].accepted.Add(calm)))
	var broken []string
	for _, v := range e.vms {
		status, data := e.call(v, http.MethodGet, prefix, nil)
		var body struct {
			Waiting *int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal(data, &body) != nil || body.Waiting == nil {
			return nil, fmt.Errorf("%s does not tell how many jobs wait", v.name)
		}
		e.mu.Lock()
		notBegun := 0
		for _, j := range sent {
			if len(j.starts) == 0 {
				notBegun++
			}
		}
		e.mu.Unlock()
		e.note("%d jobs have not begun, %s shows %d", notBegun, v.name, *body.Waiting)
		if 2**body.Waiting < notBegun {
			broken = append(broken, fmt.Sprintf("%s shows %d waiting jobs; %d were accepted at least %v before and have not begun", v.name, *body.Waiting, notBegun, calm))
		}
	}
	if trouble {
		workers[0].mu.Lock()
		workers[0].unhealthy = false
		workers[0].mu.Unlock()
		e.note("TROUBLE ends: %s accepts starts", workers[0].id)
	}
	if !e.awaitCompletion(sent, 30*time.Second) {
		e.note("not all jobs were completed in time")
	}
	return broken, nil
}
