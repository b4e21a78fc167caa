//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// playSoak plays a random mix; it is no case but a search for one. SEED selects it, KINDS the
// disruptions.
func playSoak(s *scenario) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := rand.New(rand.NewPCG(uint64(seed), 3))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	s.serve()
	s.configure(1)
	s.addWorkers(8)
	s.startVMs(3, "")
	time.Sleep(2 * time.Second)
	end := time.Now().Add(38 * time.Second)
	var wg sync.WaitGroup
	type sent struct {
		queue, id string
		attempts  int
		cancelled time.Time
	}
	var mu sync.Mutex
	var jobs []sent
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Now().Before(end) {
			q := r.IntN(3)
			queue, attempts := []string{"quote", "stave", "cut"}[q], []int{2, 4, 3}[q]
			spec, cancel := "", r.IntN(8) == 0
			cancelAfter := time.Duration(r.IntN(3000)) * time.Millisecond
			if r.IntN(4) == 0 {
				spec = fmt.Sprintf(" fails=%d", 20+r.IntN(60))
			}
			work := []int{100, 200, 400, 800, 1500, 3000, 6000}[r.IntN(7)]
			steps := []step{{"count": 1 + r.IntN(5), "cpu": 2000 + 1000*r.IntN(8), "mem_mb": 512, "gpu": 1 + r.IntN(3), "estimate_ms": work}}
			if r.IntN(3) == 0 {
				steps = append(steps, step{"count": 1 + r.IntN(3), "cpu": 2000, "mem_mb": 512, "gpu": 1, "estimate_ms": work, "after": []int{0}})
			}
			if r.IntN(3) == 0 {
				steps[0]["gang"] = true
			}
			if r.IntN(2) == 0 {
				steps[0]["checkpointing"] = true
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := s.trySubmit(queue, fmt.Sprintf("work=%d%s", work, spec), steps...)
				if id == "" {
					return
				}
				j := sent{queue: queue, id: id, attempts: attempts}
				if cancel {
					time.Sleep(cancelAfter)
					s.awaits(20*time.Second, func() bool {
						status, _ := s.call(http.MethodDelete, s.vms[r2(len(s.vms))], "/"+queue+"/"+id, nil)
						s.record("DELETE /%s/%s -> %d", queue, id, status)
						return status == 200 || status == 410
					})
					j.cancelled = time.Now()
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}()
			time.Sleep(time.Duration(80+r.IntN(240)) * time.Millisecond)
		}
	}()
	for s.trouble && time.Now().Before(end.Add(-8*time.Second)) {
		kind := kinds[r.IntN(len(kinds))]
		w := s.workers[r.IntN(len(s.workers))]
		switch kind {
		case "kill":
			v := s.vms[r.IntN(len(s.vms))]
			if o := s.owner(); o != nil && r.IntN(2) == 0 {
				v = o
			}
			s.record("kill %s", v.ip)
			v.kill()
			time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
			s.restart(v)
		case "term":
			v := s.vms[r.IntN(len(s.vms))]
			s.record("term %s", v.ip)
			_ = v.cmd.Process.Signal(syscall.SIGTERM)
			<-v.ended
			s.restart(v)
		case "freeze":
			v := s.vms[r.IntN(len(s.vms))]
			if o := s.owner(); o != nil && r.IntN(3) > 0 {
				v = o
			}
			s.record("freeze %s", v.ip)
			_ = v.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			s.record("thaw %s", v.ip)
		case "crash", "crashcut":
			cut := kind == "crashcut"
			if cut {
				w.setCut(true)
			}
			w.powerOff()
			time.Sleep(time.Duration(100+r.IntN(1400)) * time.Millisecond)
			w.powerOn()
			if cut {
				time.AfterFunc(5*time.Second, func() { w.setCut(false) })
			} else {
				w.register()
			}
		case "isolate":
			w.setIsolated(true)
			time.AfterFunc(time.Duration(500+r.IntN(11000))*time.Millisecond, func() { w.setIsolated(false) })
		case "lost":
			s.record("a third of the writes get no answer")
			s.store.UpdateFaults(func(f *memory.Faults) { f.LoseShare, f.Seed = 0.35, r.Uint64() })
			time.Sleep(4500 * time.Millisecond)
			s.store.UpdateFaults(func(f *memory.Faults) { f.LoseShare = 0 })
		case "slow":
			s.record("the store is slow")
			s.store.UpdateFaults(func(f *memory.Faults) { f.Delay = 240 * time.Millisecond })
			time.Sleep(4500 * time.Millisecond)
			s.store.UpdateFaults(func(f *memory.Faults) { f.Delay = 0 })
		case "down":
			s.record("the store is down")
			s.store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
			time.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
			s.store.UpdateFaults(func(f *memory.Faults) { f.Outage = false })
			s.record("the store is back")
		}
		time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(14 * time.Second)
	for _, j := range jobs {
		var state string
		final := s.awaits(30*time.Second, func() bool {
			state = s.state(j.queue, j.id)
			return state == "completed" || state == "failed" || state == "cancelled"
		})
		failures, late := s.look(j.id, j.attempts, j.cancelled)
		switch {
		case !final:
			s.violation("LOST", "job %s is shown as %s", j.id, state)
		case state == "failed" && failures < j.attempts:
			s.violation("LOST", "job %s is shown as failed after %d failed runs of a task, of %d", j.id, failures, j.attempts)
		case state == "cancelled" && j.cancelled.IsZero():
			s.violation("LOST", "job %s is shown as cancelled, which nobody asked for", j.id)
		case state == "completed" && !s.allDone(j.id):
			s.violation("MIXED", "job %s is shown as completed, and a task has not ended so", j.id)
		}
		if late != "" {
			s.violation("BUDGET/UNASKED", "%s", late)
		}
	}
	s.checkTwice()
	s.checkTogether()
}

func (s *scenario) trySubmit(queue, spec string, steps ...step) string {
	defer func() { _ = recover() }()
	return s.submitWithin(15*time.Second, queue, spec, steps...)
}

func (s *scenario) restart(v *vm) {
	path := strings.TrimPrefix(v.cmd0.Env[3], "CARAWAYUSHER_CONFIG=")
	s.launch(v, path)
}

// checkTogether finds two runs of a task at the same time, on workers that are up.
func (s *scenario) checkTogether() {
	s.mu.Lock()
	var broken []string
	for task, starts := range s.starts {
		for i, a := range starts {
			aEnd := s.endOf(task, a)
			for _, b := range starts[i+1:] {
				if b.at.Before(aEnd) && (a.worker != b.worker || a.life == b.life) {
					broken = append(broken, fmt.Sprintf("%s run %d on %s life %d and run %d on %s life %d: %.2f s together", task, a.run, a.worker, a.life, b.run, b.worker, b.life, aEnd.Sub(b.at).Seconds()))
				}
			}
		}
	}
	s.mu.Unlock()
	for _, b := range broken {
		s.violation("TWICE", "two runs at the same time: %s", b)
	}
}

// endOf returns when a run ended, also by the end of its life.
func (s *scenario) endOf(task string, f fact) time.Time {
	for _, e := range s.ends[task] {
		if e.worker == f.worker && e.life == f.life && e.run == f.run {
			return e.at
		}
	}
	if at, over := s.lifeEnds[lifeKey(f.worker, f.life)]; over {
		return at
	}
	return time.Now()
}

func r2(n int) int { return rand.IntN(n) }

// look returns the most failed runs of a task of a job, and what breaks BUDGET or UNASKED.
func (s *scenario) look(id string, attempts int, cancelled time.Time) (failures int, late string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed := s.gangFailures(id); failed > 0 {
		failures = failed
	}
	for task, starts := range s.starts {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		var failed []fact
		seen := 0
		for _, e := range s.ends[task] {
			if e.how == "failed" { // of a gang one end represents all
				seen++
				failures = max(failures, seen)
				lapsed := false
				for _, x := range s.lapses {
					lapsed = lapsed || (x.worker == e.worker && x.life == e.life && !x.at.Before(e.at) && !x.at.After(e.ackedAt))
				}
				if !e.ackedAt.IsZero() && !lapsed {
					failed = append(failed, e)
				}
			}
		}
		for _, st := range starts {
			n := 0
			for _, e := range failed {
				if e.at.Before(st.at) {
					n++
				}
			}
			if n >= attempts {
				late = fmt.Sprintf("%s run %d starts after %d failed runs that were taken note of, of %d", task, st.run, n, attempts)
			}
			if !cancelled.IsZero() && st.at.Sub(cancelled) > 3*time.Second {
				late = fmt.Sprintf("%s run %d starts %v after the cancel was acknowledged", task, st.run, st.at.Sub(cancelled))
			}
		}
	}
	return failures, late
}

func (s *scenario) allDone(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	for n, st := range j.steps {
		for i := range int(st.number("count")) {
			done := false
			for _, e := range s.ends[fmt.Sprintf("%s.0.%d.%d", id, n, i)] {
				done = done || e.how == "done"
			}
			if !done {
				return false
			}
		}
	}
	return true
}

// gangFailures returns how many runs of a gang of the job have failed; s.mu is held.
func (s *scenario) gangFailures(id string) int {
	most := 0
	for n, st := range s.jobs[id].steps {
		if gang, _ := st["gang"].(bool); !gang {
			continue
		}
		runs := map[int64]bool{}
		for i := range int(st.number("count")) {
			for _, e := range s.ends[fmt.Sprintf("%s.0.%d.%d", id, n, i)] {
				if e.how == "failed" {
					runs[e.run] = true
				}
			}
		}
		most = max(most, len(runs))
	}
	return most
}
