//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the advice policy of a queue.
const (
	decideTime = 50 * time.Millisecond
	periodTime = 5 * time.Millisecond
	ticketTime = 3 * time.Second
)

// ticket lets one life of a worker run a step.
type ticket struct {
	step    string
	worker  *worker
	life    int
	expires time.Time
}

// serveAdvice tells which workers may run a step, one call at a time for each machine.
func (e *env) serveAdvice(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.adviceMu.Lock()
	if e.advising == nil {
		e.advising, e.tickets = map[string]*sync.Mutex{}, map[string]ticket{}
	}
	if e.advising[caller] == nil {
		e.advising[caller] = &sync.Mutex{}
	}
	turn := e.advising[caller]
	e.adviceMu.Unlock()
	turn.Lock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*periodTime)
	turn.Unlock()
	good := [][]string{}
	for _, w := range e.advised {
		w.mu.Lock()
		id, life := w.id, w.life
		w.mu.Unlock()
		for _, asked := range body.Workers {
			if asked == id {
				value := fmt.Sprintf("%016x", rand.Uint64())
				e.adviceMu.Lock()
				e.tickets[value] = ticket{body.Step, w, life, time.Now().Add(ticketTime)}
				e.adviceMu.Unlock()
				good = append(good, []string{id, value})
			}
		}
	}
	e.note("advice: step %s, %d workers asked about, good: %v", body.Step, len(body.Workers), good)
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// needsTicket reports whether a task is of a job of an advised queue.
func (e *env) needsTicket(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return e.jobs[id] != nil && e.jobs[id].advised
}

// validTicket reports whether a start carries a valid ticket; the lock of the worker is held.
func (e *env) validTicket(o orderBody, w *worker) bool {
	e.adviceMu.Lock()
	defer e.adviceMu.Unlock()
	t, ok := e.tickets[o.Ticket]
	return ok && t.worker == w && t.life == w.life && time.Now().Before(t.expires) && t.step == o.Task[:strings.LastIndexByte(o.Task, '.')]
}
