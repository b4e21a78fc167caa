//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// fractionalInterval checks ORDER for a job whose interval is no whole number of
// milliseconds. It is no case, since nothing is disturbed.
func fractionalInterval(e *env, _ bool) ([]string, error) {
	if err := e.start(3, newWorkers(8, kindA), config{maxTries: 3, priority: 1, guards: true}); err != nil {
		return nil, err
	}
	const (
		count    = 400
		interval = 100.9 // ms
		early    = 250 * time.Millisecond
	)
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), takes: 50 * time.Millisecond, prefix: prefix, steps: []step{{Count: 1, CPU: 100, Mem: 10, EstimateMS: 50}}}
	e.mu.Lock()
	e.jobs[j.id] = j
	e.mu.Unlock()
	first := time.Now().Add(time.Second)
	body, err := json.Marshal(map[string]any{"spec": "timed", "steps": j.steps, "repeat_count": count, "first_run_ms": first.UnixMilli(), "interval_ms": interval})
	if err != nil {
		return nil, err
	}
	if status, _ := e.call(e.vms[0], http.MethodPost, prefix+j.id, body); status != http.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	time.Sleep(time.Duration(count*interval)*time.Millisecond + 3*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	var broken []string
	for _, s := range j.starts {
		k, _ := strconv.Atoi(strings.Split(s.task, ".")[1])
		due := time.UnixMilli(first.UnixMilli()).Add(time.Duration(float64(k) * interval * float64(time.Millisecond)))
		if before := due.Sub(s.at); before > early {
			broken = append(broken, fmt.Sprintf("%s started %v before its time", s.task, before.Round(time.Millisecond)))
		}
	}
	return broken, nil
}
