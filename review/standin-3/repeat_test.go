//go:build review

package standin3

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// Figures of the case.
const (
	memoryMB     = 284 // of a machine
	restartDelay = 500 * time.Millisecond
	recurring    = 110  // jobs
	yearOfHours  = 8760 // repeat_count of each
	fewTimes     = 4    // the same without the trouble, as at the site
	finishS      = 14 * time.Second
	// betweenJobs gives 2 jobs a second at most; the site has 4 in all.
	betweenJobs = 500 * time.Millisecond
	// standingFor is how long LOST lets a job have nothing running from finish_s on.
	standingFor = 3 * time.Second
	leadTime    = 10 * time.Second // traffic starts so long after the machines
)

// restart starts the process of a VM again.
func (s *scenario) restart(v *vm) {
	path := strings.TrimPrefix(v.cmd0.Env[3], "CARAWAYUSHER_CONFIG=")
	if data, err := os.ReadFile(path); err == nil {
		_ = os.WriteFile(path, []byte(strings.Replace(string(data), "bootstrap = true", "bootstrap = false", 1)), 0o600)
	}
	s.launch(v, path)
}

// limitMemory does what DEPLOY.md says: a process that exceeds memory_mb is killed, and one that
// ended is started again after a short delay.
func (s *scenario) limitMemory(v *vm, done chan struct{}, kills *atomic.Int64) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if mb := rss(v.cmd0.Process.Pid); mb > memoryMB {
			s.record("%s has %d MB, of %d: killed", v.ip, mb, memoryMB)
			kills.Add(1)
			_ = v.cmd0.Process.Kill()
			<-v.ended
		}
		select {
		case <-v.ended:
			s.record("%s has ended; starting it again", v.ip)
			time.Sleep(restartDelay)
			s.restart(v)
		default:
		}
	}
}

// playRepeat hands in jobs that repeat every hour of a year, the first time in an hour, and small
// urgent jobs beside them.
func playRepeat(s *scenario) {
	times := yearOfHours
	if !s.trouble {
		times = fewTimes
	}
	s.serve()
	s.configure(1)
	s.addWorkers(6)
	s.startVMs(3, "")
	time.Sleep(leadTime)
	done, watched := make(chan struct{}), sync.WaitGroup{}
	var kills atomic.Int64
	for _, v := range s.vms {
		watched.Go(func() { s.limitMemory(v, done, &kills) })
	}
	first := time.Now().Add(time.Hour).UnixMilli()
	urgent := map[string]time.Time{} // when each was accepted
	for n := range recurring {
		st := step{"count": 1, "cpu": 1000, "mem_mb": 64, "gpu": 1, "estimate_ms": 500}
		s.submitBody("cut", "work=500", map[string]any{"repeat_count": times, "interval_ms": 3_600_000, "first_run_ms": first}, st)
		time.Sleep(betweenJobs)
		if n%10 == 9 {
			memory := ""
			for _, v := range s.vms {
				memory += fmt.Sprintf(" %d", rss(v.cmd0.Process.Pid))
			}
			s.record("%d jobs that repeat %d times; MB of the machines:%s", n+1, times, memory)
		}
	}
	for range 10 {
		id := s.submitBody("quote", "work=300", nil, step{"count": 1, "cpu": 2000, "mem_mb": 256, "gpu": 1, "estimate_ms": 300})
		if id != "" {
			urgent[id] = time.Now()
		}
		time.Sleep(time.Second)
	}
	// The rule holds from finish_s after the end of the traffic on: a job that has not begun by then
	// and does not begin within the next 3 s, while all workers are idle.
	time.Sleep(finishS)
	judgedFrom := time.Now()
	time.Sleep(standingFor + 500*time.Millisecond)
	idle := s.idleSince(judgedFrom)
	for id, at := range urgent {
		s.mu.Lock()
		starts := len(s.starts[id+".0.0.0"])
		s.mu.Unlock()
		if starts > 0 || !idle {
			continue
		}
		s.violation("LOST", "urgent job %s was accepted %.0f s before, is shown as %s and nothing of it has started; all %d workers have been idle for 3.5 s",
			id, time.Since(at).Seconds(), s.state("quote", id), len(s.workers))
	}
	close(done)
	watched.Wait()
	s.record("%d urgent jobs accepted; %d processes killed for their memory", len(urgent), kills.Load())
	fmt.Printf("%d processes killed for their memory\n", kills.Load())
}

// idleSince reports whether no worker has run or begun anything since a time.
func (s *scenario) idleSince(t time.Time) bool {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	for _, w := range s.workers {
		if len(w.life.running) > 0 {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, all := range s.starts {
		for _, f := range all {
			if f.at.After(t) {
				return false
			}
		}
	}
	return true
}
