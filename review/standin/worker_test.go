//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax      = 10 * time.Second
	stopTime     = 50 * time.Millisecond // at most stop_grace_ms, 200 ms
	endsPerReply = 500
	heartbeat    = 1500 * time.Millisecond
	maxWait      = 2 * time.Second
)

// resources of a worker or of a task.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

func (r resources) fits(o resources) bool { return r.CPU <= o.CPU && r.Mem <= o.Mem && r.GPU <= o.GPU }

// worker is one worker of the platform, through all its lives under one ID.
type worker struct {
	id, machine string
	kind, rack  string
	capacity    resources
	env         *env
	address     string

	mu         sync.Mutex
	life       int
	down       bool // no process
	cutOff     bool // it does not reach the store
	unhealthy  bool // it answers starts with 503
	inUpkeep   bool
	upkept     map[int64]bool // waves whose upkeep has begun
	cloudFence int64
	lifeEnds   []time.Time // of the lives before this one
	draining   bool
	gone       bool          // it has left for good
	loseShare  float64       // share of the orders that are carried out and not answered
	lateShare  float64       // share of the orders that are carried out 2 to 12 s later and not answered
	entryAt    time.Time     // when the store accepted the first entry of this life
	silent     chan struct{} // if not nil: calls wait until it is closed
	born       int64
	bornAt     time.Time
	sequence   int64
	lastBeat   time.Time
	token      int64
	leaseEnd   int64 // on its clock, ms
	lapsedAt   int64 // the latest lapse of its lease, on its clock
	runs       map[string]*taskRun
	barred     map[string]int64 // highest run that was stopped or has ended, by task
	ended      []*taskEnd
	lastEnd    int64
	changed    chan struct{}
}

type taskRun struct {
	task     string
	run      int64
	demand   resources
	stopping bool
	started  time.Time
	takes    time.Duration
	entry    *startRecord
	gang     *gang
}

type taskEnd struct {
	n        int64
	task     string
	run      int64
	how      string
	at       time.Time
	clockMS  int64
	noted    bool // an acked_upto has reached it
	record   *startRecord
	lapsedIn bool // the lease has lapsed between the end and the note
}

// startRecord is a task that a worker has begun, for the checks.
type startRecord struct {
	worker *worker
	life   int
	kind   string
	task   string
	run    int64
	at     time.Time
	end    *taskEnd // nil while it runs

	used, capacity resources // with it, and of the worker
	ofStep         int       // runs of its step on the worker, with it
	entryAt        time.Time // since when the store knew this life of the worker
}

// begin starts a new life; the lock is not held.
func (w *worker) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.down = false
	w.born, w.bornAt = time.Now().UnixMilli(), time.Now()
	w.token, w.leaseEnd, w.lapsedAt, w.lastEnd, w.sequence = 0, 0, 0, 0, 0
	w.entryAt, w.draining = time.Time{}, false
	w.runs, w.barred, w.ended, w.changed = map[string]*taskRun{}, map[string]int64{}, nil, make(chan struct{})
	w.beat()
	go w.watchLease(w.life)
}

// crash ends the process; nothing of it remains.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashLocked()
}

func (w *worker) crashLocked() {
	for _, r := range w.runs {
		if r.gang != nil {
			go r.gang.memberEnded(r, "crashed")
		}
	}
	w.down = true
	w.lifeEnds = append(w.lifeEnds, time.Now())
	w.runs = map[string]*taskRun{}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clockMS() int64 { return time.Since(w.bornAt).Milliseconds() }

// beat writes the entry; the lock is held.
func (w *worker) beat() {
	if w.down || w.cutOff {
		return
	}
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": w.capacity, "labels": []string{w.kind, w.rack}, "machine": w.machine, "clock_ms": w.clockMS(), "sequence": w.sequence, "born": w.born,
	}
	if w.draining {
		entry["remaining_ms"] = 2000
	}
	value, _ := json.Marshal(entry) // plain data
	if w.env.put("servers/"+w.id, value) == nil {
		w.lastBeat = time.Now()
		if w.entryAt.IsZero() {
			w.entryAt = time.Now()
		}
	}
}

// heartbeats writes the entry every heartbeat, and removes it after three silent ones, as
// the platform does.
func (w *worker) heartbeats() {
	tick := time.NewTicker(heartbeat / 15)
	defer tick.Stop()
	listed := true
	for {
		select {
		case <-w.env.stopBeat:
			return
		case <-tick.C:
		}
		w.mu.Lock()
		switch {
		case w.gone:
		case !w.down && !w.cutOff && time.Since(w.lastBeat) >= heartbeat:
			w.beat()
			listed = true
		case listed && time.Since(w.lastBeat) >= 3*heartbeat:
			listed = false
			w.env.note("the platform removes the entry of %s after three silent heartbeats", w.id)
			w.env.remove("servers/" + w.id)
		}
		w.mu.Unlock()
	}
}

func (w *worker) machineRow() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "up"
	if w.down {
		state = "down"
	}
	if w.inUpkeep {
		state = "upkeep"
	}
	return map[string]any{"machine": w.machine, "pool": service, "state": state, "zone": "zone-a", "labels": []string{w.kind, w.rack}, "capacity": w.capacity, "id": w.id}
}

// watchLease ends all runs when the lease has run out.
func (w *worker) watchLease(life int) {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if len(w.runs) > 0 && w.clockMS() > w.leaseEnd {
			w.noteLapse()
			w.env.note("%s: the lease has run out, %d runs end", w.id, len(w.runs))
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end records the end of a run; the lock is held.
func (w *worker) end(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.lastEnd++
	end := &taskEnd{n: w.lastEnd, task: r.task, run: r.run, how: how, at: time.Now(), clockMS: w.clockMS(), record: r.entry}
	r.entry.end = end
	w.ended = append(w.ended, end)
	w.env.note("%s: run ended: %s run %d %s, number %d", w.id, r.task, r.run, how, end.n)
	if r.gang != nil {
		go r.gang.memberEnded(r, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	AckedUpto  int64  `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP serves the calls to the worker.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	down, silent, life := w.down || w.gone, w.silent, w.life
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler) // there is no process: the connection is reset
	}
	if silent != nil {
		<-silent
		w.mu.Lock()
		changed := w.life != life || w.down
		w.mu.Unlock()
		if changed {
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Carawayusher-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path != "/hold" {
		w.mu.Lock()
		lose, late := rand.Float64() < w.loseShare, rand.Float64() < w.lateShare
		w.mu.Unlock()
		if lose || late {
			w.carryOutUnanswered(r.URL.Path, o, life, late)
			panic(http.ErrAbortHandler)
		}
	}
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, o)
	case "/run-stop":
		w.serveStop(rw, o)
	case "/hold":
		w.serveHold(rw, r, o)
	case "/pace":
		w.serveStop(rw, orderBody{Token: o.Token})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// carryOutUnanswered carries out an order at once or 2 to 12 s later in the same life.
func (w *worker) carryOutUnanswered(path string, o orderBody, life int, late bool) {
	serve := func() {
		w.mu.Lock()
		same := w.life == life && !w.down && !w.gone
		w.mu.Unlock()
		if !same {
			return
		}
		switch path {
		case "/run-start":
			w.serveStart(discard{http.Header{}}, o)
		case "/run-stop":
			w.serveStop(discard{http.Header{}}, o)
		}
	}
	w.env.note("%s: %s of %s run %d is not answered, late %v", w.id, path, o.Task, o.Run, late)
	if late {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), serve)
		return
	}
	serve()
}

// checkToken refuses a lower token; the lock is held.
func (w *worker) checkToken(o orderBody) bool {
	if o.Token < w.token {
		return false
	}
	w.token = o.Token
	return true
}

// noteLapse records that the lease has run out, with or without runs; the lock is held.
func (w *worker) noteLapse() {
	if now := w.clockMS(); w.leaseEnd < now {
		w.lapsedAt = now
	}
}

// extend extends the lease; the lock is held.
func (w *worker) extend(deadline int64) {
	w.noteLapse()
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clockMS()+holdMax.Milliseconds()))
}

func (w *worker) refuse(rw http.ResponseWriter, o orderBody, reason string) {
	w.env.note("%s: start of %s run %d refused: %s", w.id, o.Task, o.Run, reason)
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, o orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unhealthy {
		w.env.note("%s: start of %s run %d answered with 503, nothing is done", w.id, o.Task, o.Run)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !w.checkToken(o) {
		w.refuse(rw, o, "fence")
		return
	}
	present := w.runs[o.Task]
	if present != nil && present.run == o.Run {
		w.extend(o.Deadline)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
		return
	}
	if o.Deadline < w.clockMS() {
		w.refuse(rw, o, "late")
		return
	}
	w.extend(o.Deadline)
	if present != nil || o.Run <= w.barred[o.Task] {
		w.refuse(rw, o, "old")
		return
	}
	step, takes, err := w.env.taskOf(o.Task)
	if err != nil {
		w.env.note("%s: start of a task that nobody submitted: %s", w.id, o.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	used := step.demand()
	for _, r := range w.runs {
		used = used.plus(r.demand)
	}
	if w.env.needsTicket(o.Task) && !w.env.validTicket(o, w) {
		w.refuse(rw, o, "ticket")
		return
	}
	if w.env.config.guards && !used.fits(w.capacity) {
		w.refuse(rw, o, "room")
		return
	}
	r := &taskRun{task: o.Task, run: o.Run, demand: step.demand(), started: time.Now(), takes: takes}
	r.entry = &startRecord{worker: w, life: w.life, kind: w.kind, task: o.Task, run: o.Run, at: r.started}
	w.env.addStart(r.entry)
	w.runs[o.Task] = r
	w.env.note("%s (kind %s, life %d): run started: %s run %d, token %d", w.id, w.kind, w.life, o.Task, o.Run, o.Token)
	r.entry.used, r.entry.capacity, r.entry.entryAt = used, w.capacity, w.entryAt
	for _, other := range w.runs {
		if other.task[:strings.LastIndexByte(other.task, '.')] == o.Task[:strings.LastIndexByte(o.Task, '.')] {
			r.entry.ofStep++
		}
	}
	switch {
	case step.Gang:
		w.env.joinGang(w, r, step)
	case !step.LongRunning:
		time.AfterFunc(takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !r.stopping {
				w.end(r, "done")
			}
		})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) serveStop(rw http.ResponseWriter, o orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkToken(o) {
		w.refuse(rw, o, "fence")
		return
	}
	if o.Task != "" {
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		w.env.note("%s: stop of %s run %d", w.id, o.Task, o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(r, "stopped")
			})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, o orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkToken(o) {
		w.refuse(rw, o, "fence")
		return
	}
	w.noteLapse()
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	kept := w.ended[:0:0]
	for _, end := range w.ended {
		if end.n > o.AckedUpto {
			kept = append(kept, end)
			continue
		}
		end.noted, end.lapsedIn = true, w.lapsedAt > end.clockMS
	}
	w.ended = kept
	life := w.life
	until := time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond))
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0 && w.life == life && !w.down; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.life != life || w.down {
		panic(http.ErrAbortHandler) // the process has crashed
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent := 0
		if t.takes > 0 {
			percent = min(99, int(100*time.Since(t.started)/t.takes))
		}
		running = append(running, []any{t.task, t.run, "", percent, 0})
	}
	for _, end := range w.ended[:min(endsPerReply, len(w.ended))] {
		ended = append(ended, []any{end.n, end.task, end.run, end.how, ""})
	}
	if len(w.ended) > endsPerReply {
		w.env.note("%s: %d ends are not taken note of, the first %d are returned", w.id, len(w.ended), endsPerReply)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.born, "running": running, "ended": ended})
}

// step of a job, in the wire format.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	Mem         int64  `json:"mem_mb,omitempty"`
	GPU         int64  `json:"gpu,omitempty"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	Requires    string `json:"requires,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	After       []int  `json:"after,omitempty"`
	MaxPer      int    `json:"max_per_server,omitempty"`
}

func (s step) demand() resources { return resources{s.CPU, s.Mem, s.GPU} }

// taskOf returns the step of a task and how long the task takes.
func (e *env) taskOf(task string) (step, time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taskOfLocked(task)
}

func (e *env) taskOfLocked(task string) (step, time.Duration, error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, 0, fmt.Errorf("not a task: %q", task)
	}
	j := e.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.steps) {
		return step{}, 0, fmt.Errorf("no such task: %q", task)
	}
	return j.steps[n], j.takes, nil
}
