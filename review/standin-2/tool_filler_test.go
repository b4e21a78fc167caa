//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["filler"] = testCase{machines: []machine{smallDeployment, smallDeployment, smallDeployment}, run: filler}
}

// filler is no case, as no rule names what it shows. A task that fills is paced down to 0 beside a
// service task over its target. The service task fails and starts again on another worker. The
// task that fills stays at 0 for ever. With TROUBLE=0 the service task recovers instead.
func filler(d *deployment) error {
	const service, fills = "00000000000000a7", "00000000000000a8"
	d.pool.outcome = func(_, task string, _ int64) outcome {
		if strings.HasPrefix(task, service) {
			return outcome{} // it lasts
		}
		return outcome{10 * time.Second, "done"}
	}
	d.pool.setTail(service, 10)
	d.call(d.nodes[0], http.MethodPost, service, `{"spec":"s","steps":[{"count":1,"cpu":8000,"mem_mb":256,"long_running":true,"image":"a","target_ms":50}]}`, 3*time.Second)
	time.Sleep(time.Second)
	d.call(d.nodes[0], http.MethodPost, fills, `{"spec":"f","steps":[{"count":1,"cpu":8000,"mem_mb":256,"fills":true,"image":"b","estimate_ms":10000}]}`, 3*time.Second)
	time.Sleep(2 * time.Second)
	d.pool.setTail(service, 100)
	for deadline := time.Now().Add(15 * time.Second); d.pool.paceOf(fills) != 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the task that fills was not paced down to 0: the two run on different workers")
		}
	}
	d.pool.setTail(service, 10)
	if d.trouble {
		d.pool.fail(service)
	}
	if state := d.awaitState(d.nodes[0], fills, 60*time.Second, "completed", "failed"); state != "completed" {
		return fmt.Errorf("%w: no rule: the filling job is %q at pace %d 60 s after the service task beside it has gone: %v", errBroken, state, d.pool.paceOf(fills), d.pool.running(fills))
	}
	return nil
}

// setTail sets the tail of the response times of a job's tasks.
func (p *pool) setTail(job string, ms int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail[job] = ms
}

// paceOf returns the pace of a job's run; -1 if it has none.
func (p *pool) paceOf(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, job+".") {
				return r.pace
			}
		}
	}
	return -1
}

// fail ends the runs of a job as failed.
func (p *pool) fail(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, job+".") {
				w.end(r, "failed")
			}
		}
	}
}
