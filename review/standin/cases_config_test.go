//go:build review

package standin

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the deployment.
const (
	finishTime   = 14 * time.Second // finish_s
	standingTime = 3 * time.Second  // how long a job may have nothing running while its turn has come
	visibleTime  = 3 * time.Second  // visible_ms
	cancelTime   = 3 * time.Second  // cancel_ms
)

// droppedQueue checks LOST: a queue whose starts need tickets is removed by a new version
// of the configuration while a job of it is at work on its first step.
func droppedQueue(e *env, trouble bool) ([]string, error) {
	workers := newWorkers(8, kindA)
	e.advised = workers[2:4]
	advised, other := route{name: "r-1", prefix: prefix, advised: true}, route{name: "r-2", prefix: "/other/"}
	if err := e.start(3, workers, config{maxTries: 4, priority: 1, guards: true, routes: []route{advised, other}}); err != nil {
		return nil, err
	}
	const takes = 4 * time.Second
	s := step{Count: 2, CPU: 8000, Mem: 8192, GPU: 1, EstimateMS: takes.Milliseconds()}
	second := s
	second.After = []int{0}
	j, err := e.submitTo(advised, takes, s, second)
	if err != nil {
		return nil, err
	}
	trafficEnd := time.Now()
	if e.firstStart(10 * time.Second).IsZero() {
		return nil, errors.New("nothing was started")
	}
	time.Sleep(time.Second)
	if trouble {
		e.note("TROUBLE: a new version of the configuration removes the queue r-1")
		e.config.routes = []route{other}
		if err := e.putConfig(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	return e.standing(j), nil
}

// standing watches a job for standingTime. It is lost if it has no task running all the
// while, though the turn of a task has come and the other workers are idle.
func (e *env) standing(j *job) []string {
	ended, running := e.progress(j)
	e.note("finish_s after the traffic: %d tasks of %d ended done, %d run", ended, tasksOf(j), running)
	if ended == tasksOf(j) {
		return nil
	}
	for end := time.Now().Add(standingTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, running := e.progress(j); running > 0 {
			return nil
		}
	}
	ended, _ = e.progress(j)
	return []string{fmt.Sprintf("job %s has had nothing running for %v; %d of its %d tasks have ended done, its next step waits, all workers are idle", j.id, standingTime, ended, tasksOf(j))}
}

func tasksOf(j *job) int {
	n := 0
	for _, s := range j.steps {
		n += s.Count
	}
	return n
}

// progress returns how many tasks of a job have ended done, and how many runs it has.
func (e *env) progress(j *job) (ended, running int) {
	e.mu.Lock()
	starts := append([]*startRecord(nil), j.starts...)
	e.mu.Unlock()
	done := map[string]bool{}
	for _, s := range starts {
		s.worker.mu.Lock()
		switch {
		case s.end == nil:
			running++
		case s.end.how == "done":
			done[s.task] = true
		}
		s.worker.mu.Unlock()
	}
	return len(done), running
}

// renamedQueue checks LOST: a new version of the configuration gives the route at a host and
// prefix another name; callers ask for the job at the same address.
func renamedQueue(e *env, trouble bool) ([]string, error) {
	if err := e.start(3, newWorkers(8, kindA), config{maxTries: 4, priority: 1, guards: true, routes: []route{{name: "r-1", prefix: prefix}}}); err != nil {
		return nil, err
	}
	const takes = 12 * time.Second
	j, err := e.submit(takes, step{Count: 2, CPU: 8000, Mem: 8192, GPU: 1, EstimateMS: takes.Milliseconds()})
	if err != nil {
		return nil, err
	}
	if e.firstStart(10 * time.Second).IsZero() {
		return nil, errors.New("nothing was started")
	}
	if trouble {
		e.note("TROUBLE: a new version of the configuration removes the route r-1 and adds r-2 at the same host and prefix")
		e.config.routes = []route{{name: "r-2", prefix: prefix}}
		if err := e.putConfig(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(j.accepted.Add(visibleTime + time.Second)))
	var broken []string
	for _, v := range e.vms {
		if status, _ := e.call(v, http.MethodGet, j.prefix+j.id, nil); status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("%s answers 410 to the GET of job %s, which was accepted %v before and is running", v.name, j.id, time.Since(j.accepted).Round(time.Millisecond)))
		}
	}
	// For the record only: a DELETE at the same address.
	e.call(e.vms[0], http.MethodDelete, j.prefix+j.id, nil)
	time.Sleep(cancelTime + time.Second)
	_, running := e.progress(j)
	e.note("%v after the DELETE %d tasks of the job run", cancelTime+time.Second, running)
	return broken, nil
}
