//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["narrow-link"] = testCase{machines: []machine{grownLarge, grownSmall, grownSmall}, run: narrowLink}
}

// Load and times of the case.
const (
	specBytes      = 3000 // PROTOCOL: up to 4,000
	jobsPerSecond  = 15
	trafficSeconds = 30
	replaceAfter   = 2 * time.Second // replace_core: x = 2.0 in the site files
	lastJobs       = 4
	watchTime      = 24 * time.Second // finish_s is 14
)

// narrowLink serves ordinary jobs for half a minute, removes the machine that owns the fleet for
// good while a new one of its size comes at another address, and hands a few more jobs in. Rule
// LOST: no job may have nothing running for 3 s while its turn has come and the workers are idle.
func narrowLink(d *deployment) error {
	d.pool.outcome = func(string, string, int64) outcome { return outcome{300 * time.Millisecond, "done"} }
	large := d.nodes[0]
	if d.owner() != large {
		return errors.New("the large machine does not own the fleet")
	}
	small := d.nodes[1:3]
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":300}]}`, strings.Repeat("s", specBytes))
	accepted := d.traffic(d.nodes[:3], body)
	d.record.linef("%d jobs accepted in %d s", accepted, trafficSeconds)
	if accepted < jobsPerSecond*trafficSeconds*9/10 {
		return fmt.Errorf("only %d jobs were accepted", accepted)
	}
	for deadline := time.Now().Add(10 * time.Second); !d.pool.idle(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the jobs of the traffic did not end")
		}
	}
	if d.trouble {
		large.signal(syscall.SIGKILL)
		time.Sleep(replaceAfter)
		if _, err := d.addNode(grownLarge, false); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range lastJobs {
		id := fmt.Sprintf("00000000000000c%d", i)
		if status, _ := d.call(small[i%len(small)], http.MethodPost, id, body, 3*time.Second); status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return errors.New("none of the last jobs was accepted")
	}
	handedIn := time.Now()
	var idleSince time.Time
	idleFor := time.Duration(0)
	for time.Since(handedIn) < watchTime {
		if !d.pool.idle() {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if !idleSince.IsZero() {
			idleFor = max(idleFor, time.Since(idleSince))
		}
		time.Sleep(20 * time.Millisecond)
	}
	unfinished := 0
	for _, id := range ids {
		if s := d.state(small[0], id); s != "completed" {
			unfinished++
		}
	}
	if o := d.owner(); o != nil {
		d.record.linef("%s owns the fleet", o.name)
	}
	d.record.linef("%d of %d accepted jobs are not completed %.0f s after they were handed in; the workers ran nothing for %.1f s on end",
		unfinished, len(ids), time.Since(handedIn).Seconds(), idleFor.Seconds())
	if unfinished > 0 && d.pool.idle() && !idleSince.IsZero() && time.Since(idleSince) > 3*time.Second {
		return fmt.Errorf("%w: LOST: %d accepted jobs have had nothing running for %.1f s, with all workers idle", errBroken, unfinished, time.Since(idleSince).Seconds())
	}
	if unfinished > 0 {
		return errors.New("jobs are unfinished though the workers work")
	}
	return nil
}

// traffic hands jobs in at some machines in turn and returns how many were accepted.
func (d *deployment) traffic(nodes []*node, body string) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	tick := time.NewTicker(time.Second / jobsPerSecond)
	defer tick.Stop()
	for i := range jobsPerSecond * trafficSeconds {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			if status, _ := d.call(nodes[i%len(nodes)], http.MethodPost, fmt.Sprintf("%016x", 0xd00000+i), body, 3*time.Second); status == http.StatusOK {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return accepted
}
