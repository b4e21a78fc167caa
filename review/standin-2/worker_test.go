//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leaseMax is hold_max_ms, the longest lease of what runs on a worker.
const leaseMax = 10 * time.Second

// outcome is how a run ends by itself.
type outcome struct {
	after time.Duration
	how   string
}

// outcomes decides how a run ends. A gang works from the moment when all its members of a run
// are present.
type outcomes func(worker, task string, run int64) outcome

// task is a run that a worker has begun.
type taskRun struct {
	task       string
	run        int64
	startedAt  time.Time
	workingAt  time.Time // zero while its gang is incomplete
	checkpoint string
	pace       int           // share of full speed in percent
	left       time.Duration // work until its end, at full speed
}

type endRow struct {
	seq        int64
	task       string
	run        int64
	how, saved string
	listedAt   time.Time
}

// worker is a server of the platform, as the page PROTOCOL describes it.
type worker struct {
	id, address, machine, rack string
	kind                       string // its first label
	silent                     bool   // it doesn't reach the store
	gone                       bool   // it has left for good
	born                       int64
	started                    time.Time
	pool                       *pool

	token    int64
	lease    int64 // end of the lease, on its clock
	runs     map[string]*taskRun
	newest   map[string]int64 // by task: highest run that was stopped or has ended here
	ended    []endRow
	seq      int64
	changed  chan struct{}
	server   *http.Server
	cut      bool // no call reaches it and no answer leaves it
	cutBegan chan struct{}
}

// begunRun is a start: a task that a worker of a kind has begun.
type begunRun struct{ task, worker, kind string }

// pool holds the workers of a deployment under one lock; members of a gang need each other.
type pool struct {
	mu       sync.Mutex
	record   *record
	workers  []*worker
	outcome  outcomes
	gangSize map[string]int // by job.occurrence.step; absent: separate tasks
	tail     map[string]int // by job whose tasks last: the tail of their response times, ms

	allEnds, notedEnds []endRow
	begun              []begunRun
}

func newWorker(p *pool, id, ip, rack string) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, address: l.Addr().String(), machine: "m-" + id, rack: rack, kind: "a", born: time.Now().UnixMilli(), started: time.Now(), pool: p,
		runs: map[string]*taskRun{}, newest: map[string]int64{}, changed: make(chan struct{}), cutBegan: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = append(p.workers, w)
	go func() { _ = w.server.Serve(l) }() // ends with the process
	return w, nil
}

// all returns the workers, also those that have left.
func (p *pool) all() []*worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*worker(nil), p.workers...)
}

// replace ends a worker with all that it runs; a new worker of its machine joins after a pause.
func (p *pool) replace(old *worker, pause time.Duration) {
	p.mu.Lock()
	old.gone, old.runs = true, map[string]*taskRun{}
	p.mu.Unlock()
	_ = old.server.Close() // resets the connections
	time.AfterFunc(pause, func() {
		host, _, _ := net.SplitHostPort(old.address) // it is an address
		w, err := newWorker(p, old.id+"n", host, old.rack)
		if err != nil {
			p.record.linef("machine %s: no new worker: %v", old.machine, err)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		w.machine, w.kind = old.machine, old.kind
		p.record.linef("machine %s: worker %s joins", w.machine, w.id)
	})
}

// entry is what the worker writes below servers/.
func (w *worker) entry(sequence int) []byte {
	data, _ := json.Marshal(map[string]any{ // plain data
		"service": serviceName, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "labels": []string{w.kind, w.rack},
		"clock_ms": w.clock(), "sequence": sequence, "born": w.born, "machine": w.machine,
	})
	return data
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// crash ends the worker with all that it runs and knows, and starts it again under its id and
// address after a pause, as a worker of a kind.
func (w *worker) crash(pause time.Duration, kind string) error {
	p := w.pool
	p.mu.Lock()
	p.record.linef("worker %s: crashes; what ran there: %d", w.id, len(w.runs))
	w.runs, w.newest, w.ended, w.seq, w.token, w.lease = map[string]*taskRun{}, map[string]int64{}, nil, 0, 0, 0
	server := w.server
	p.mu.Unlock()
	_ = server.Close() // resets the connections
	time.Sleep(pause)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.kind, w.born, w.started, w.server = kind, time.Now().UnixMilli(), time.Now(), &http.Server{Handler: w}
	p.record.linef("worker %s: starts again at %s as kind %s, born %d", w.id, w.address, kind, w.born)
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // ends with the process
	return nil
}

// setSilent cuts the worker off from the store, or heals that cut.
func (w *worker) setSilent(on bool) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.record.linef("worker %s: cut off from the store: %v", w.id, on)
	w.silent = on
}

// setCut cuts the worker off from all machines of the system, or heals the cut. It runs on.
func (w *worker) setCut(on bool) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.record.linef("worker %s: cut off: %v", w.id, on)
	w.cut = on
	if on {
		close(w.cutBegan)
	} else {
		w.cutBegan = make(chan struct{})
	}
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Acked      int64  `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP serves the calls of the machines of the system.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o orderBody
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	p := w.pool
	p.mu.Lock()
	cut, cutBegan := w.cut, w.cutBegan
	p.mu.Unlock()
	if cut {
		// Nothing reaches it, and nothing tells the caller.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Carawayusher-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/run-start":
		w.answer(rw, w.start(o))
	case "/run-stop":
		w.answer(rw, w.stop(o))
	case "/pace":
		w.answer(rw, w.setPace(o))
	case "/hold":
		w.hold(rw, r, o, cutBegan)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": w.clock()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// extend extends the lease; the lock is held.
func (w *worker) extend(deadline int64) {
	if deadline > 0 {
		w.lease = max(w.lease, min(deadline, w.clock()+leaseMax.Milliseconds()))
	}
}

func (w *worker) start(o orderBody) string {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r := w.runs[o.Task]; {
	case o.Token < w.token:
		return "fence"
	case r != nil && r.run == o.Run:
		w.extend(o.Deadline)
		return ""
	case o.Deadline <= w.clock():
		return "late"
	case r != nil || o.Run <= w.newest[o.Task]:
		w.token = o.Token
		w.extend(o.Deadline)
		return "old"
	}
	w.token = o.Token
	w.extend(o.Deadline)
	r := &taskRun{task: o.Task, run: o.Run, startedAt: time.Now(), checkpoint: o.Checkpoint, pace: 100}
	w.runs[o.Task] = r
	p.begun = append(p.begun, begunRun{o.Task, w.id, w.kind})
	p.record.linef("worker %s (kind %s): RUN BEGINS task %s run %d token %d", w.id, w.kind, o.Task, o.Run, o.Token)
	p.beginWork(w, r)
	time.AfterFunc(time.Duration(w.lease-w.clock()+1)*time.Millisecond, w.checkLease)
	return ""
}

// beginWork begins the work of a run, or of its gang if it is complete; the lock is held.
func (p *pool) beginWork(w *worker, r *taskRun) {
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	size := p.gangSize[step]
	if size <= 1 {
		p.work(w, r)
		return
	}
	present := 0
	for _, other := range p.workers {
		for _, m := range other.runs {
			if strings.HasPrefix(m.task, step+".") && m.run == r.run {
				present++
			}
		}
	}
	if present < size {
		return
	}
	p.record.linef("gang %s run %d is complete and works", step, r.run)
	for _, other := range p.workers {
		for _, m := range other.runs {
			if strings.HasPrefix(m.task, step+".") && m.run == r.run {
				p.work(other, m)
			}
		}
	}
}

// work lets a run work until its outcome; the lock is held.
func (p *pool) work(w *worker, r *taskRun) {
	r.workingAt = time.Now()
	o := p.outcome(w.id, r.task, r.run)
	if o.how == "" {
		return // until it is stopped
	}
	r.left = o.after
	p.workOn(w, r, o.how, time.Now())
}

// workStep is the time between two looks at a run whose pace may change.
const workStep = 100 * time.Millisecond

// workOn ends a run once its work is done at its pace; the lock is held.
func (p *pool) workOn(w *worker, r *taskRun, how string, since time.Time) {
	time.AfterFunc(min(workStep, r.left), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		r.left -= now.Sub(since) * time.Duration(r.pace) / 100
		switch {
		case w.runs[r.task] != r:
		case r.left <= 0:
			w.end(r, how)
		default:
			p.workOn(w, r, how, now)
		}
	})
}

// setPace lets a run work at a share of its speed.
func (w *worker) setPace(o orderBody) string {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		r.pace = o.Percent
		p.record.linef("worker %s: pace of task %s run %d is %d", w.id, o.Task, o.Run, o.Percent)
	}
	return ""
}

// end ends a run and lists its end; the lock is held.
func (w *worker) end(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.newest[r.task] = max(w.newest[r.task], r.run)
	w.seq++
	e := endRow{seq: w.seq, task: r.task, run: r.run, how: how, saved: r.checkpoint}
	w.ended = append(w.ended, e)
	w.pool.allEnds = append(w.pool.allEnds, e)
	w.pool.record.linef("worker %s: RUN ENDS %s task %s run %d (end %d)", w.id, how, r.task, r.run, w.seq)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(o orderBody) string {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	w.newest[o.Task] = max(w.newest[o.Task], o.Run)
	p.record.linef("worker %s: stop of task %s run %d", w.id, o.Task, o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		time.AfterFunc(50*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return ""
}

// checkLease ends everything once the lease has lapsed.
func (w *worker) checkLease() {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := w.lease - w.clock(); left >= 0 {
		if len(w.runs) > 0 {
			time.AfterFunc(time.Duration(left+1)*time.Millisecond, w.checkLease)
		}
		return
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
}

// hold renews the lease, takes note of ends and lists what runs and what has ended.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o orderBody, cutBegan <-chan struct{}) {
	p := w.pool
	p.mu.Lock()
	if o.Token < w.token {
		p.mu.Unlock()
		w.answer(rw, "fence")
		return
	}
	w.token = o.Token
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0].seq <= o.Acked {
		e := w.ended[0]
		p.record.linef("worker %s: end %d is taken note of (task %s run %d %s, token %d)", w.id, e.seq, e.task, e.run, e.how, o.Token)
		p.notedEnds = append(p.notedEnds, e)
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		case <-cutBegan:
		}
		p.mu.Lock()
	}
	if w.cut {
		p.mu.Unlock()
		<-r.Context().Done() // the answer is lost in the cut
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent := 0
		if !t.workingAt.IsZero() {
			percent = min(99, 1+int(time.Since(t.workingAt).Milliseconds()/600))
		}
		load := 1
		if tail, lasts := p.tail[t.task[:strings.IndexByte(t.task, '.')]]; lasts {
			percent, load = 100, tail
		}
		running = append(running, []any{t.task, t.run, t.checkpoint, percent, load})
	}
	for i := range w.ended {
		e := &w.ended[i]
		if e.listedAt.IsZero() {
			e.listedAt = time.Now()
			p.record.linef("worker %s: end %d is listed (task %s run %d %s, token %d)", w.id, e.seq, e.task, e.run, e.how, o.Token)
		}
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended": ended}
	p.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// running returns the runs of a job on all workers, as worker/task/run.
func (p *pool) running(job string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, w := range p.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, job+".") {
				found = append(found, fmt.Sprintf("%s on %s, run %s", r.task, w.id, strconv.FormatInt(r.run, 10)))
			}
		}
	}
	return found
}

// begunAt returns when the newest run of a job that is still there began; zero if none is.
func (p *pool) begunAt(job string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var at time.Time
	for _, w := range p.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, job+".") && r.startedAt.After(at) {
				at = r.startedAt
			}
		}
	}
	return at
}
