//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["cancelled-before-stored"] = testCase{machines: []machine{smallDeployment, smallDeployment, smallDeployment}, run: cancelledBeforeStored}
}

// Times of the case.
const (
	freeze         = 4 * time.Second        // node_freeze: for_s = 4.0 in the site files
	clientPatience = 500 * time.Millisecond // give_up: half the objective of 1,000 ms
	cancelBound    = 3 * time.Second        // cancel_ms
)

// awaitSilence waits until the machine does not answer the platform's probe, as a signal may take
// effect late beside other load.
func (n *node) awaitSilence() bool {
	probe := http.Client{Timeout: 100 * time.Millisecond}
	for range 10 {
		resp, err := probe.Get("http://" + n.ready() + "/ready")
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// cancelledBeforeStored hands a job in at a machine that stands still, leaves, and cancels the
// job at another machine, which answers 410. Rule UNASKED: no machine in touch starts a task of
// it later than cancel_ms after that answer.
func cancelledBeforeStored(d *deployment) error {
	d.pool.outcome = func(string, string, int64) outcome { return outcome{60 * time.Second, "done"} }
	owner := d.owner()
	if owner == nil {
		return errors.New("no process owns the fleet")
	}
	rest := d.others(owner)
	frozen, other := rest[0], rest[1]
	d.record.linef("owner %s, machine that takes the job %s, machine that takes the cancel %s", owner.name, frozen.name, other.name)
	const id = "00000000000000a1"
	const body = `{"spec":"order 1","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":60000}]}`

	var thaw *time.Timer
	if d.trouble {
		frozen.signal(syscall.SIGSTOP)
		thaw = time.AfterFunc(freeze, func() { frozen.signal(syscall.SIGCONT) })
		defer thaw.Stop()
		if !frozen.awaitSilence() {
			return errors.New("the machine did not stand still")
		}
	}
	status, _ := d.call(frozen, http.MethodPost, id, body, clientPatience)
	if d.trouble && status != 0 {
		return fmt.Errorf("the machine that stands still answered %d", status)
	}
	cancelStatus, _ := d.call(other, http.MethodDelete, id, "", 3*time.Second)
	acked := time.Now()
	if cancelStatus != http.StatusOK && cancelStatus != http.StatusGone {
		return fmt.Errorf("the cancel was answered %d", cancelStatus)
	}
	d.record.linef("the cancel is acknowledged with %d", cancelStatus)

	var began time.Time
	for time.Since(acked) < cancelBound+freeze+8*time.Second {
		if at := d.pool.begunAt(id); at.After(began) {
			began = at
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.state(other, id)
	d.state(owner, id)
	still := d.pool.running(id)
	d.record.linef("running at the end: %v", still)
	if late := began.Sub(acked); !began.IsZero() && late > cancelBound {
		return fmt.Errorf("%w: UNASKED: a task was started %.2f s after the cancelling of its job was acknowledged with %d (cancel_ms is 3,000) and runs %.1f s after that answer",
			errBroken, late.Seconds(), cancelStatus, time.Since(acked).Seconds())
	}
	if len(still) > 0 {
		return fmt.Errorf("%w: UNASKED: %v runs %.1f s after the cancelling of its job was acknowledged with %d", errBroken, still, time.Since(acked).Seconds(), cancelStatus)
	}
	return nil
}
