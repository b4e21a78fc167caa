//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

const maintenance = 2 * time.Second

// machineState is what the platform knows of a machine; the lock of the workers guards it.
type machineState struct {
	w     *worker
	state string
	token int64
	began map[int64]time.Time // by wave
	limit map[int64]int
}

// playWave plays a wave of upkeeps beside lasting and other tasks, with random disruptions of the
// machines of the system. It is no case but a search for one.
func playWave(s *scenario) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := rand.New(rand.NewPCG(uint64(seed), 5))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	machines := map[string]*machineState{}
	s.machines = func() []map[string]any {
		s.workersMu.Lock()
		defer s.workersMu.Unlock()
		list := []map[string]any{}
		for _, w := range s.workers {
			m := machines[w.machine]
			id := w.id
			if m.state != "up" {
				id = ""
			}
			list = append(list, s.machineRow(w, m.state, id))
		}
		return list
	}
	waves := map[int64]struct {
		machines []string
		max      int
	}{}
	s.cloudOp = func(rw http.ResponseWriter, req *http.Request, path string, body map[string]any) {
		s.workersMu.Lock()
		defer s.workersMu.Unlock()
		token, _ := strconv.ParseInt(req.Header.Get("X-Carawayusher-Fencing-Token"), 10, 64)
		name, _ := body["machine"].(string)
		number, _ := body["wave"].(float64)
		m, wave := machines[name], waves[int64(number)]
		refuse := func(reason string) { respond(rw, http.StatusConflict, map[string]any{"reason": reason}) }
		switch {
		case m == nil || path != "/machine-upkeep":
			rw.WriteHeader(http.StatusBadRequest)
			return
		case token < m.token:
			refuse("fence")
			return
		}
		m.token = token
		member := false
		for _, x := range wave.machines {
			member = member || x == name
		}
		switch {
		case !member:
			refuse("wave")
			return
		case !m.began[int64(number)].IsZero():
			respond(rw, http.StatusOK, map[string]any{})
			return
		case m.state != "up":
			refuse("busy")
			return
		}
		down := 0
		for _, x := range wave.machines {
			if machines[x].state == "upkeep" {
				down++
			}
		}
		if down >= wave.max {
			s.violation("LIMIT", "upkeep of %s begins while %d machines of wave %v are down, of %d", name, down, number, wave.max)
		}
		m.state, m.began[int64(number)] = "upkeep", time.Now()
		s.leave(m.w)
		time.AfterFunc(maintenance, func() {
			s.workersMu.Lock()
			m.state = "up"
			s.rejoin(m.w)
			s.workersMu.Unlock()
			m.w.register()
		})
		respond(rw, http.StatusOK, map[string]any{})
	}
	s.addWorkers(8)
	for _, w := range s.workers {
		machines[w.machine] = &machineState{w: w, state: "up", began: map[int64]time.Time{}}
	}
	s.serve()
	s.configure(1)
	s.startVMs(3, "")
	time.Sleep(2 * time.Second)
	lasting := s.submit("stave", "work=999999 lasts", step{"count": 4, "cpu": 16000, "mem_mb": 1024, "gpu": 2, "estimate_ms": 1000, "long_running": true, "may_miss": 1})
	s.until(5*time.Second, "the lasting tasks run", func() bool { return s.runningNow(lasting) == 4 })
	var names []string
	for _, w := range s.workers[:5] {
		names = append(names, w.machine)
	}
	s.workersMu.Lock()
	waves[1] = struct {
		machines []string
		max      int
	}{names, 1 + r.IntN(2)}
	s.workersMu.Unlock()
	value, _ := json.Marshal(map[string]any{"wave": 1, "machines": names, "duration_s": 20, "max_count": waves[1].max})
	s.putEntry("op/wave/1", value)
	s.record("wave %s", value)
	end := time.Now().Add(50 * time.Second)
	type sent struct{ queue, id string }
	var jobs []sent
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			queue := []string{"quote", "stave", "cut"}[rand.IntN(3)]
			id := s.submitWithin(8*time.Second, queue, fmt.Sprintf("work=%d", 200+rand.IntN(3000)), step{"count": 1 + rand.IntN(4), "cpu": 4000, "mem_mb": 512, "gpu": 1, "estimate_ms": 1000})
			if id != "" {
				jobs = append(jobs, sent{queue, id})
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	completed := time.Time{}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			e, err := s.store.Get(context.Background(), "status/wave/1")
			if err != nil {
				continue
			}
			if strings.Contains(string(e.Value), "completed") != !completed.IsZero() {
				s.record("status/wave/1 is %s", e.Value)
				if completed.IsZero() {
					completed = time.Now()
					s.workersMu.Lock()
					for _, n := range names {
						if machines[n].began[1].IsZero() {
							s.violation("MIXED", "wave 1 is said to be completed, and %s has not begun its upkeep", n)
						}
					}
					s.workersMu.Unlock()
				} else {
					completed = time.Time{}
				}
			}
		}
	}()
	for s.trouble && time.Now().Before(end.Add(-6*time.Second)) {
		v := s.vms[r.IntN(len(s.vms))]
		if o := s.owner(); o != nil && r.IntN(3) > 0 {
			v = o
		}
		switch kinds[r.IntN(len(kinds))] {
		case "kill":
			s.record("kill %s", v.ip)
			v.kill()
			time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
			s.restart(v)
		case "freeze":
			s.record("freeze %s", v.ip)
			_ = v.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			s.record("thaw %s", v.ip)
		}
		time.Sleep(time.Duration(2000+r.IntN(8000)) * time.Millisecond)
	}
	<-done
	time.Sleep(8 * time.Second)
	if completed.IsZero() {
		s.record("wave 1 is not completed")
	}
	for _, j := range jobs {
		var state string
		if !s.awaits(12*time.Second, func() bool { state = s.state(j.queue, j.id); return state == "completed" }) {
			s.violation("LOST", "job %s is shown as %s", j.id, state)
		}
	}
	if n := s.runningNow(lasting); n != 4 {
		s.violation("LOST", "%d of 4 lasting tasks run at the end", n)
	}
	s.checkTwice()
	s.checkTogether()
}

// runningNow returns how many tasks of a job run.
func (s *scenario) runningNow(id string) int {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	n := 0
	for _, w := range s.workers {
		for task := range w.life.running {
			if strings.HasPrefix(task, id+".") && !w.life.over {
				n++
			}
		}
	}
	return n
}

// leave ends a worker: everything that runs on it terminates, and its entry goes. The lock of the
// workers is held.
func (s *scenario) leave(w *worker) {
	s.record("worker %s leaves with %d runs", w.id, len(w.life.running))
	for task := range w.life.running {
		s.record("  %s ends with it", task)
	}
	w.life.over, w.powered = true, false
	s.lifeEnds[lifeKey(w.id, w.life.number)] = time.Now()
	for c := range w.conns {
		_ = c.Conn.Close()
	}
	w.conns = map[*wire]struct{}{}
	w.wakeLocked()
	_ = s.store.Delete(context.Background(), "servers/"+w.id, platform.AnyVersion)
}

// rejoin starts a new worker on the machine, under another id.
func (s *scenario) rejoin(w *worker) {
	w.id = fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff)
	w.begin()
	w.wakeLocked()
	s.record("machine %s has worker %s", w.machine, w.id)
}
