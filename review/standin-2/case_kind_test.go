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
	cases["other-kind"] = testCase{machines: []machine{smallDeployment, smallDeployment, smallDeployment}, run: otherKind}
}

// Times of the case.
const (
	storeCut     = 5 * time.Second // srv_cut: for_s (5)
	crashPause   = 100 * time.Millisecond
	submitDelay  = 2 * time.Second // from the crash
	idleTime     = 4 * time.Second // in which the worker runs nothing and gets no call
	neededLabel  = "b"
	otherLabel   = "a"
	beforeID     = "00000000000000f1"
	afterID      = "00000000000000f2"
	labelledBody = `{"spec":"fit","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":300,"requires":"b"}]}`
)

// otherKind runs a task on the only worker of a kind. The worker, which is idle then, is cut off
// from the store, crashes and comes back as another kind; 2 s later another task for the former
// kind is handed in. Rule ROUTE: no start on a worker without the label in `requires`.
func otherKind(d *deployment) error {
	d.pool.outcome = func(string, string, int64) outcome { return outcome{300 * time.Millisecond, "done"} }
	w := d.pool.workers[0]
	d.pool.mu.Lock()
	w.kind = neededLabel
	d.pool.mu.Unlock()
	time.Sleep(3 * time.Second) // two heartbeats
	if status, _ := d.call(d.nodes[0], http.MethodPost, beforeID, labelledBody, 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first job was answered %d", status)
	}
	if s := d.awaitState(d.nodes[0], beforeID, 10*time.Second, "completed"); s != "completed" {
		return fmt.Errorf("the first job is %q", s)
	}
	time.Sleep(idleTime)
	if d.trouble {
		w.setSilent(true)
		heal := time.AfterFunc(storeCut, func() { w.setSilent(false) })
		defer heal.Stop()
		if err := w.crash(crashPause, otherLabel); err != nil {
			return err
		}
	}
	time.Sleep(submitDelay)
	if status, _ := d.call(d.nodes[1], http.MethodPost, afterID, labelledBody, 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the second job was answered %d", status)
	}
	time.Sleep(8 * time.Second)
	d.state(d.nodes[0], afterID)
	return d.pool.judgeLabels()
}

// judgeLabels looks for starts of the case on a worker of the wrong kind.
func (p *pool) judgeLabels() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for _, b := range p.begun {
		if !strings.HasPrefix(b.task, beforeID) && !strings.HasPrefix(b.task, afterID) {
			continue
		}
		seen++
		if b.kind != neededLabel {
			return fmt.Errorf("%w: ROUTE: task %s, which requires %s, was started on %s, which is of kind %s", errBroken, b.task, neededLabel, b.worker, b.kind)
		}
	}
	if seen == 0 {
		return errors.New("nothing was started")
	}
	return nil
}
