//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

const (
	upkeepTime   = 2 * time.Second
	soakTime     = 50 * time.Second
	waveMaxCount = 2
)

// serveUpkeep takes a machine down for its upkeep; afterwards a new worker joins.
func (e *env) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Carawayusher-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.waveMu.Lock()
	defer e.waveMu.Unlock()
	i := slices.IndexFunc(e.workers, func(w *worker) bool { return w.machine == body.Machine })
	if i < 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w := e.workers[i]
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		e.note("cloud: upkeep of %s for wave %d by token %d refused: %s", body.Machine, body.Wave, token, reason)
		writeJSON(rw, http.StatusConflict, map[string]any{"reason": reason})
	}
	switch {
	case token < w.cloudFence:
		refuse("fence")
		return
	case w.upkept[body.Wave]:
		w.cloudFence = token
		e.note("cloud: upkeep of %s for wave %d is already done, token %d", body.Machine, body.Wave, token)
		writeJSON(rw, http.StatusOK, map[string]any{})
		return
	case !slices.Contains(e.waves[body.Wave], body.Machine):
		refuse("wave")
		return
	case w.down || w.draining || w.gone || w.inUpkeep:
		refuse("busy")
		return
	}
	w.cloudFence = token
	down := 0
	for _, other := range e.workers {
		if other != w && e.inUpkeep[other.machine] == body.Wave {
			down++
		}
	}
	if down >= waveMaxCount {
		e.waveBroken = append(e.waveBroken, fmt.Sprintf("LIMIT: the upkeep of %s for wave %d begins while %d of its machines are down for theirs", body.Machine, body.Wave, down))
	}
	if w.upkept == nil {
		w.upkept = map[int64]bool{}
	}
	w.upkept[body.Wave], w.inUpkeep = true, true
	e.inUpkeep[w.machine] = body.Wave
	e.note("cloud: upkeep of %s for wave %d begins, token %d, %d runs end", body.Machine, body.Wave, token, len(w.runs))
	w.crashLocked()
	old := w.id
	go e.remove("servers/" + old)
	time.AfterFunc(upkeepTime, func() {
		e.waveMu.Lock()
		delete(e.inUpkeep, w.machine)
		e.waveMu.Unlock()
		w.mu.Lock()
		w.inUpkeep, w.id = false, fmt.Sprintf("%s-%d", w.machine, w.life+1)
		w.mu.Unlock()
		w.begin()
	})
	writeJSON(rw, http.StatusOK, map[string]any{})
}

// soak plays random faults and checks several rules. It is no case: it looks for faults
// that the days of the bench cannot show, as its sites have one kind of worker, workers that
// guard their room, and no waves.
func soak(e *env, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := []string{"a", "b", "c"}
	workers := newWorkers(9, func(i int) string { return kinds[i%3] })
	for _, w := range workers {
		w.capacity = resources{CPU: 16_000 + 16_000*random.Int64N(3), Mem: 65_536, GPU: 4 + 4*random.Int64N(2)}
	}
	e.waves, e.inUpkeep = map[int64][]string{}, map[string]int64{}
	guards := random.IntN(3) == 0
	queue := route{name: "r-1", prefix: prefix, advised: seed%3 == 0}
	e.advised = workers[:4]
	if err := e.start(4, workers, config{maxTries: 4, priority: random.IntN(2), guards: guards, routes: []route{queue}}); err != nil {
		return nil, err
	}
	e.note("seed %d, guards %v", seed, guards)
	end := time.Now().Add(soakTime)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			e.soakFaults(random, end)
		}
	}()
	var sent []*job
	waves := int64(0)
	load := rand.New(rand.NewPCG(seed, 2))
	nextWave := time.Now().Add(time.Duration(3+load.IntN(8)) * time.Second)
	for time.Now().Before(end) {
		s := step{Count: 1 + load.IntN(5), CPU: 2000 + 2000*load.Int64N(4), Mem: 1024, GPU: load.Int64N(3), EstimateMS: 1000}
		if load.IntN(2) == 0 && !queue.advised {
			s.Requires = kinds[load.IntN(3)]
		}
		if load.IntN(4) == 0 {
			s.MaxPer = 1 + load.IntN(2)
		}
		s.Gang = load.IntN(4) == 0 && s.Requires == "" && s.MaxPer == 0
		steps := []step{s}
		if load.IntN(4) == 0 {
			steps = append(steps, step{Count: 1 + load.IntN(3), CPU: 3000, Mem: 512, EstimateMS: 1000, After: []int{0}})
		}
		j, err := e.submitTo(queue, time.Duration(300+load.IntN(5000))*time.Millisecond, steps...)
		if err == nil {
			sent = append(sent, j)
			if load.IntN(8) == 0 {
				go e.cancelLater(j, time.Duration(load.IntN(3000))*time.Millisecond)
			}
		}
		if time.Now().After(nextWave) && waves < 4*int64(seed%2) {
			waves++
			nextWave = time.Now().Add(time.Duration(6+load.IntN(8)) * time.Second)
			var machines []string
			for _, i := range load.Perm(len(workers))[:5] {
				machines = append(machines, workers[i].machine)
			}
			e.waveMu.Lock()
			e.waves[waves] = machines
			e.waveMu.Unlock()
			value, _ := json.Marshal(map[string]any{"wave": waves, "machines": machines, "duration_s": 20, "max_count": waveMaxCount})
			e.note("operator: wave %d of %v", waves, machines)
			for e.put("op/wave/"+itoa(waves), value) != nil {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(50+load.IntN(250)) * time.Millisecond)
	}
	<-done
	e.store.SetFaults(memory.Faults{Delay: storeAnswerTime})
	for _, v := range e.vms {
		_ = v.start2()
	}
	time.Sleep(2 * time.Second) // workers that have crashed are back
	for i, w := range workers {
		w.mu.Lock()
		differs := w.kind != kinds[i%3] || w.capacity.CPU < 32_000
		w.mu.Unlock()
		if differs { // each kind exists, so that all jobs can end
			w.crash()
			w.mu.Lock()
			w.kind, w.capacity = kinds[i%3], resources{CPU: 48_000, Mem: 65_536, GPU: 8}
			w.mu.Unlock()
			w.begin()
		}
	}
	deadline := time.Now().Add(35 * time.Second)
	open := 0
	for _, j := range sent {
		for {
			st := e.stateOf(j)
			if st == "completed" || st == "cancelled" || st == "failed" {
				j.final = st
				break
			}
			if time.Now().After(deadline) {
				e.note("LOST? job %s of %v is %q at the end", j.id, j.steps, st)
				open++
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	var broken []string
	if open > 0 {
		broken = append(broken, fmt.Sprintf("LOST?: %d jobs have not ended", open))
	}
	broken = append(broken, e.twice()...)
	broken = append(broken, e.routes()...)
	e.waveMu.Lock()
	broken = append(broken, e.waveBroken...)
	e.waveMu.Unlock()
	for _, j := range sent {
		if j.final == "completed" {
			broken = append(broken, e.incomplete(j)...)
		}
		if j.final == "failed" {
			broken = append(broken, "LOST?: job "+j.id+" is failed")
		}
	}
	return broken, nil
}

func (v *vm) start2() error {
	v.mu.Lock()
	expects := v.cmd == nil || v.expects
	v.mu.Unlock()
	if expects {
		return v.start()
	}
	return nil
}

func (e *env) stateOf(j *job) string {
	for _, v := range e.vms {
		if s := e.state(v, j); s != "" {
			return s
		}
	}
	return ""
}

func (e *env) cancelLater(j *job, d time.Duration) {
	time.Sleep(d)
	for n := range 6 {
		status, _ := e.call(e.vms[n%len(e.vms)], http.MethodDelete, prefix+j.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			e.mu.Lock()
			j.cancelled = time.Now()
			e.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// incomplete returns the tasks of a completed job that have not ended done.
func (e *env) incomplete(j *job) []string {
	byTask := e.startsByTask()
	var broken []string
	for n, s := range j.steps {
		gangDone := false
		for i := range s.Count {
			ended := false
			for _, st := range byTask[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)] {
				st.worker.mu.Lock()
				ended = ended || (st.end != nil && st.end.how == "done")
				st.worker.mu.Unlock()
			}
			gangDone = gangDone || ended
			if !ended && !s.Gang {
				broken = append(broken, fmt.Sprintf("MIXED: job %s is completed, task %d.%d has not ended done", j.id, n, i))
			}
		}
		if s.Gang && !gangDone {
			broken = append(broken, fmt.Sprintf("MIXED: job %s is completed, gang %d has not ended done", j.id, n))
		}
	}
	return broken
}

// routes returns the starts on workers that were not allowed. A life of a worker that the
// store has known for less than a second is left out.
func (e *env) routes() []string {
	var broken []string
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		for _, st := range j.starts {
			s, _, err := e.taskOfLocked(st.task)
			if err != nil {
				continue
			}
			known := !st.entryAt.IsZero() && st.at.Sub(st.entryAt) > time.Second
			what := fmt.Sprintf("%s run %d on %s life %d (kind %s), the entry known for %v", st.task, st.run, st.worker.id, st.life, st.kind, st.at.Sub(st.entryAt))
			if s.Requires != "" && s.Requires != st.kind {
				if known {
					broken = append(broken, "ROUTE: "+what+" requires "+s.Requires)
				} else {
					e.note("soft: ROUTE: %s requires %s", what, s.Requires)
				}
			}
			if s.MaxPer > 0 && st.ofStep > s.MaxPer {
				broken = append(broken, "ROUTE: "+what+" beyond max_per_server")
			}
			if !st.used.fits(st.capacity) {
				if known {
					broken = append(broken, "LIMIT: "+what+fmt.Sprintf(" uses %v of %v", st.used, st.capacity))
				} else {
					e.note("soft: LIMIT: %s uses %v of %v", what, st.used, st.capacity)
				}
			}
			if !j.cancelled.IsZero() && st.at.Sub(j.cancelled) > 3*time.Second {
				e.note("soft: UNASKED: %s started %v after the cancel", what, st.at.Sub(j.cancelled))
			}
		}
	}
	return broken
}

// soakFaults plays one fault after the other.
func (e *env) soakFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		w := e.workers[random.IntN(len(e.workers))]
		v := e.vms[random.IntN(len(e.vms))]
		if o := e.owner(); o != nil && random.IntN(2) == 0 {
			v = o
		}
		long := time.Duration(200+random.IntN(4000)) * time.Millisecond
		switch random.IntN(10) {
		case 0, 1:
			e.note("FAULT: kill %s for %v", v.name, long)
			v.kill()
			go func() {
				time.Sleep(long)
				_ = v.start2()
			}()
		case 2:
			e.note("FAULT: pause %s for %v", v.name, long)
			v.signal(syscall.SIGSTOP)
			time.Sleep(long)
			v.signal(syscall.SIGCONT)
		case 3, 4:
			w.mu.Lock()
			busy := w.down || w.inUpkeep || w.gone
			w.mu.Unlock()
			if busy {
				continue
			}
			kind := []string{"a", "b", "c"}[random.IntN(3)]
			wait := time.Duration(20+random.IntN(1500)) * time.Millisecond
			capacity := resources{CPU: 16_000 + 16_000*random.Int64N(3), Mem: 65_536, GPU: 4 + 4*random.Int64N(2)}
			e.note("FAULT: %s crashes, and starts anew as %s in %v", w.id, kind, wait)
			w.crash()
			go func() {
				time.Sleep(wait)
				w.mu.Lock()
				w.kind, w.capacity = kind, capacity
				w.mu.Unlock()
				w.begin()
			}()
		case 9:
			e.note("FAULT: the store is down for %v", long)
			e.store.SetFaults(memory.Faults{Outage: true, PauseLeases: random.IntN(2) == 0})
			time.Sleep(long)
			e.store.SetFaults(memory.Faults{Delay: storeAnswerTime})
		case 5:
			long *= time.Duration(1 + 2*random.IntN(2))
			e.note("FAULT: %s does not answer for %v", w.id, long)
			silent := make(chan struct{})
			w.mu.Lock()
			if w.silent != nil {
				w.mu.Unlock()
				continue
			}
			w.silent = silent
			w.mu.Unlock()
			go func() {
				time.Sleep(long)
				w.mu.Lock()
				w.silent = nil
				w.mu.Unlock()
				close(silent)
			}()
		case 6:
			share := random.Float64() * 0.5
			e.note("FAULT: orders to %s are carried out late or not answered, %.2f, for %v", w.id, share, long)
			w.mu.Lock()
			w.loseShare, w.lateShare = share, share
			w.mu.Unlock()
			go func() {
				time.Sleep(long)
				w.mu.Lock()
				w.loseShare, w.lateShare = 0, 0
				w.mu.Unlock()
			}()
		case 7:
			e.note("FAULT: answers of the store are lost for %v", long)
			e.store.SetFaults(memory.Faults{Delay: storeAnswerTime, LoseShare: 0.35, Seed: random.Uint64(), LosePrefix: "p/"})
			time.Sleep(long)
			e.store.SetFaults(memory.Faults{Delay: storeAnswerTime})
		case 8:
			e.note("FAULT: the store is slow for %v", long)
			e.store.SetFaults(memory.Faults{Delay: 60 * storeAnswerTime})
			time.Sleep(long)
			e.store.SetFaults(memory.Faults{Delay: storeAnswerTime})
		}
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	}
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && !v.expects {
		_ = v.cmd.Process.Signal(s) // it may have ended
	}
}

// watchWaves checks that a wave is shown as completed only when all its upkeeps have begun.
func (e *env) watchWaves() {
	for {
		select {
		case <-e.stopBeat:
			return
		case <-time.After(50 * time.Millisecond):
		}
		e.waveMu.Lock()
		for n, machines := range e.waves {
			entry, err := e.store.Get(context.Background(), "status/wave/"+itoa(n))
			var body struct {
				State string `json:"state"`
			}
			if err != nil || json.Unmarshal(entry.Value, &body) != nil || body.State != "completed" {
				continue
			}
			for _, w := range e.workers {
				w.mu.Lock()
				if slices.Contains(machines, w.machine) && !w.upkept[n] {
					e.waveBroken = append(e.waveBroken, fmt.Sprintf("MIXED: wave %d is completed, the upkeep of %s has not begun", n, w.machine))
				}
				w.mu.Unlock()
			}
		}
		e.waveMu.Unlock()
	}
}
