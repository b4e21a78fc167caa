//go:build review

package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// secondWave asks for another upkeep of the only machine of a kind while its first one goes
// on, and hands in a job for that kind. It is no case: the job is started and stopped over
// and over, which no rule names.
func secondWave(e *env, trouble bool) ([]string, error) {
	workers := newWorkers(8, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	})
	e.waves, e.inUpkeep = map[int64][]string{1: {workers[0].machine}}, map[string]int64{}
	if err := e.start(3, workers, config{maxTries: 4, priority: 1, guards: true}); err != nil {
		return nil, err
	}
	const takes = 12 * time.Second
	value, err := json.Marshal(map[string]any{"wave": 1, "machines": e.waves[1], "duration_s": 10, "max_count": 1})
	if err != nil {
		return nil, err
	}
	if err := e.put("op/wave/1", value); err != nil {
		return nil, err
	}
	e.note("operator: wave 1 of %v within 10 s", e.waves[1])
	begun := func() bool {
		e.waveMu.Lock()
		defer e.waveMu.Unlock()
		return len(e.inUpkeep) > 0
	}
	for deadline := time.Now().Add(10 * time.Second); !begun(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, errors.New("the upkeep has not begun")
		}
	}
	if trouble {
		e.waveMu.Lock()
		e.waves[2] = e.waves[1]
		e.waveMu.Unlock()
		if err := e.put("op/wave/2", []byte(fmt.Sprintf(`{"wave":2,"machines":[%q],"duration_s":10,"max_count":1}`, workers[0].machine))); err != nil {
			return nil, err
		}
		e.note("TROUBLE: wave 2 of the same machine within 10 s")
	}
	var j *job
	for range 5 {
		if j, err = e.submit(takes, step{Count: 1, CPU: 8000, Mem: 8192, GPU: 1, EstimateMS: takes.Milliseconds(), Requires: "b"}); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(60 * time.Second)
	ended, _ := e.progress(j)
	e.mu.Lock()
	starts := len(j.starts)
	e.mu.Unlock()
	e.note("60 s after its acceptance: %d starts, %d tasks ended done", starts, ended)
	if ended == 0 {
		return []string{fmt.Sprintf("job %s, a task of %v, has not ended after 60 s; it was started %d times", j.id, takes, starts)}, nil
	}
	return nil, nil
}
