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
	cases["gang-failure"] = testCase{machines: []machine{smallDeployment, smallDeployment, smallDeployment}, run: gangFailure}
}

// Times of the case.
const (
	workerCut  = 5500 * time.Millisecond // node_cut servers: for_s = 5.5 in the site files
	gangRunsIn = 2 * time.Second
)

// gangFailure lets a gang of two fail once, on both workers at the same moment, while one of
// them is cut off, and kills the owner before the cut heals. The second run of the gang would
// succeed. Rule LOST: a job is not shown as failed without cause; max_attempts is 2.
func gangFailure(d *deployment) error {
	const id = "00000000000000b1"
	d.pool.gangSize[id+".0.0"] = 2
	d.pool.outcome = func(_, task string, run int64) outcome {
		if strings.HasPrefix(task, id+".") && run == 1 {
			return outcome{gangRunsIn, "failed"}
		}
		return outcome{time.Second, "done"}
	}
	owner := d.owner()
	if owner == nil {
		return errors.New("no process owns the fleet")
	}
	asked := d.others(owner)[0]
	// Each member fills a worker.
	const body = `{"spec":"fit 1","steps":[{"count":2,"cpu":40000,"mem_mb":1024,"gpu":8,"gang":true,"estimate_ms":2000}]}`
	if status, _ := d.call(asked, http.MethodPost, id, body, 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the job was answered %d", status)
	}
	second := d.awaitMember(id + ".0.0.1")
	if second == nil {
		return errors.New("the gang did not start")
	}
	if d.trouble {
		time.Sleep(gangRunsIn / 2)
		second.setCut(true)
		heal := time.AfterFunc(workerCut, func() { second.setCut(false) })
		defer heal.Stop()
		if !d.awaitFailureNoted(id) {
			return errors.New("the failure of the other member was not taken note of")
		}
		owner.kill()
		time.Sleep(500 * time.Millisecond) // the platform starts a killed process again after a short delay
		if err := owner.start(false); err != nil {
			return err
		}
	}
	state := d.awaitState(asked, id, 60*time.Second, "completed", "failed", "cancelled")
	runs := d.pool.failedRuns(id)
	d.record.linef("the job is shown as %q; runs of the gang with a failed end: %v; max_attempts is 2", state, runs)
	switch state {
	case "completed":
		return nil
	case "failed":
		if len(runs) >= 2 {
			return errors.New("the gang failed twice, so the job may be failed")
		}
		return fmt.Errorf("%w: LOST: the job is shown as failed after %d failed run of its gang, though max_attempts is 2", errBroken, len(runs))
	}
	return fmt.Errorf("the job is shown as %q", state)
}

// awaitMember returns the worker that runs a task.
func (d *deployment) awaitMember(task string) *worker {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if w := d.pool.workerOf(task); w != nil {
			return w
		}
	}
	return nil
}

// workerOf returns the worker on which a task works.
func (p *pool) workerOf(task string) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if r := w.runs[task]; r != nil && !r.workingAt.IsZero() {
			return w
		}
	}
	return nil
}

// awaitFailureNoted waits until the owner has taken note of a failed end of a job.
func (d *deployment) awaitFailureNoted(job string) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if d.pool.noted(job, "failed") > 0 {
			return true
		}
	}
	return false
}

// noted returns the number of ends of a job that were taken note of.
func (p *pool) noted(job, how string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.notedEnds {
		if strings.HasPrefix(e.task, job+".") && e.how == how {
			n++
		}
	}
	return n
}

// failedRuns returns the numbers of the runs of a job's gang with a failed end, noted or not.
func (p *pool) failedRuns(job string) map[int64]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[int64]int{}
	for _, e := range p.allEnds {
		if strings.HasPrefix(e.task, job+".") && e.how == "failed" {
			runs[e.run]++
		}
	}
	return runs
}
