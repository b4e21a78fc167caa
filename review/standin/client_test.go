//go:build review

package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// job is a job that a client has sent.
type job struct {
	id       string
	steps    []step
	takes    time.Duration // of each task
	accepted time.Time     // zero until a 2xx was received
	starts   []*startRecord
	prefix   string // of the queue that it was handed in to
	advised  bool   // that queue needs tickets

	cancelled time.Time // when its cancel was acknowledged
	final     string
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends one request of a client to a VM, and returns the status; 0 means no answer.
func (e *env) call(v *vm, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Carawayusher-Key", apiKey)
	req.Header.Set("X-Carawayusher-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		e.note("client: %s %s at %s: no answer: %v", method, path, v.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		e.note("client: %s %s at %s: the answer broke off: %v", method, path, v.name, err)
		return 0, nil
	}
	e.note("client: %s %s at %s: %d %s", method, path, v.name, resp.StatusCode, data)
	return resp.StatusCode, data
}

// submit sends a job until it is accepted, at one VM after the other.
func (e *env) submit(takes time.Duration, steps ...step) (*job, error) {
	return e.submitTo(route{prefix: prefix}, takes, steps...)
}

// submitTo sends a job to a queue.
func (e *env) submitTo(r route, takes time.Duration, steps ...step) (*job, error) {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps, takes: takes, prefix: r.prefix, advised: r.advised}
	e.mu.Lock()
	e.jobs[j.id] = j
	e.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "work of " + j.id, "steps": steps})
	if err != nil {
		return nil, err
	}
	e.note("client: job %s: %s", j.id, body)
	for try := range 5 {
		v := e.vms[(try+int(j.id[0]))%len(e.vms)]
		status, _ := e.call(v, http.MethodPost, j.prefix+j.id, body)
		if status/100 == 2 {
			j.accepted = time.Now()
			return j, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s was not accepted", j.id)
}

// state returns the state of a job as a VM shows it; empty without an answer.
func (e *env) state(v *vm, j *job) string {
	status, data := e.call(v, http.MethodGet, j.prefix+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.State
}

// addStart records a start for the checks.
func (e *env) addStart(s *startRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, j := range e.jobs {
		if len(s.task) > len(id) && s.task[:len(id)] == id {
			j.starts = append(j.starts, s)
		}
	}
}

// awaitCompletion waits until all jobs are shown as completed.
func (e *env) awaitCompletion(jobs []*job, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, j := range jobs {
		for n := 0; ; n++ {
			if s := e.state(e.vms[n%len(e.vms)], j); s == "completed" {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return true
}

// twice returns the violations of TWICE: two runs of a task at the same time, or a start
// after a run has ended done, if that end was taken note of and the lease of its worker did
// not lapse between the two.
func (e *env) twice() []string {
	var broken []string
	for _, starts := range e.startsByTask() {
		for _, first := range starts {
			for _, later := range starts {
				if later == first || later.at.Before(first.at) {
					continue
				}
				first.worker.mu.Lock()
				end := first.end
				crashed := end == nil && first.life <= len(first.worker.lifeEnds) && !first.worker.lifeEnds[first.life-1].After(later.at)
				noted := end != nil && end.noted && !end.lapsedIn
				first.worker.mu.Unlock()
				switch {
				case crashed:
				case end == nil || end.at.After(later.at):
					broken = append(broken, fmt.Sprintf("%s: run %d on %s started while run %d ran on %s", first.task, later.run, later.worker.id, first.run, first.worker.id))
				case end.how == "done" && noted:
					broken = append(broken, fmt.Sprintf("%s: run %d started on %s %d ms after run %d had ended done on %s; that end (number %d) was taken note of",
						first.task, later.run, later.worker.id, later.at.Sub(end.at).Milliseconds(), first.run, first.worker.id, end.n))
				}
			}
		}
	}
	return broken
}

// startsByTask returns the starts of each task.
func (e *env) startsByTask() map[string][]*startRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	byTask := map[string][]*startRecord{}
	for _, j := range e.jobs {
		for _, s := range j.starts {
			byTask[s.task] = append(byTask[s.task], s)
		}
	}
	return byTask
}
