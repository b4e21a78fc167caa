//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"
)

// oddJobs hands in jobs with unusual combinations of fields, cancels some of them, and
// checks that no process ends and that plain jobs are still completed. It is no case.
func oddJobs(e *env, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	if err := e.start(3, newWorkers(8, kindA), config{maxTries: 3, priority: random.IntN(2), guards: random.IntN(2) == 0}); err != nil {
		return nil, err
	}
	statuses := map[int]int{}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); {
		id := fmt.Sprintf("%016x", rand.Uint64())
		body := map[string]any{"spec": "odd"}
		var steps []any
		j := &job{id: id, takes: time.Duration(50+random.IntN(3000)) * time.Millisecond, prefix: prefix}
		for n := range 1 + random.IntN(4) {
			s := map[string]any{"count": 1 + random.IntN(12)}
			maybe := func(key string, values ...any) {
				if random.IntN(3) == 0 {
					s[key] = values[random.IntN(len(values))]
				}
			}
			maybe("cpu", 100, 4000, 64000)
			maybe("mem_mb", 1, 1000, 262144)
			maybe("gpu", 1, 8)
			maybe("estimate_ms", 1, 0.5, 1e3, 1e9)
			maybe("checkpointing", true)
			maybe("gang", true)
			maybe("same_rack", true)
			maybe("requires", "a", "r1-1", "nowhere")
			maybe("affinity", "r1-1", "nowhere")
			maybe("max_per_server", 1, 2, 100)
			maybe("speculative", true)
			maybe("long_running", true)
			maybe("image", "i1", "i2")
			maybe("target_ms", 20, 0.5)
			maybe("fills", true)
			maybe("may_miss", 1, 100)
			if n > 0 {
				maybe("after", []int{0}, []int{n - 1}, []int{0, 0})
			}
			steps = append(steps, s)
			data, _ := json.Marshal(s)
			var known step
			_ = json.Unmarshal(data, &known) // the estimate may be a fraction
			known.Gang = false               // gangs are not played here
			j.steps = append(j.steps, known)
		}
		body["steps"] = steps
		if random.IntN(3) == 0 {
			body["repeat_count"], body["first_run_ms"], body["interval_ms"] = 1+random.IntN(20), time.Now().UnixMilli()+int64(random.IntN(4000))-2000, []any{0, 1, 250, 700.5}[random.IntN(4)]
		}
		data, _ := json.Marshal(body)
		e.mu.Lock()
		e.jobs[id] = j
		e.mu.Unlock()
		v := e.vms[random.IntN(len(e.vms))]
		status, _ := e.call(v, http.MethodPost, prefix+id, data)
		statuses[status]++
		if random.IntN(2) == 0 {
			go func() {
				time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
				e.call(v, http.MethodDelete, prefix+id, nil)
			}()
		}
		if trouble && random.IntN(60) == 0 {
			if o := e.owner(); o != nil {
				e.note("FAULT: kill %s", o.name)
				o.kill()
				_ = o.start()
				time.Sleep(time.Second)
			}
		}
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	e.note("statuses of the POSTs: %v", statuses)
	return nil, nil
}
