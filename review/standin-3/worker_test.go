//go:build review

package standin3

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the pages (DEPLOY.md, bounds of a small deployment).
const (
	holdMax         = 10 * time.Second
	stopGrace       = 200 * time.Millisecond
	maxHoldWait     = 2 * time.Second
	listedEnds      = 500
	lastingStartup  = 500 * time.Millisecond
	gangTimeout     = 3 * time.Second
	checkpointEvery = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
	workerCPU       = 64000
	workerMemory    = 262144
	workerGPU       = 8
	checkInterval   = 5 * time.Millisecond
	// idleTimeout is when a worker closes a connection without calls, as HTTP servers do.
	idleTimeout = 5 * time.Second
)

// end is an end of a run as a worker lists it.
type end struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// activeRun is a run that has not ended.
type activeRun struct {
	run       int64
	startedAt time.Time
	work      time.Duration
	fails     bool
	group     string // of a gang: its step and run; empty for a task by itself
	size      int    // tasks of the gang
	saved     string // newest checkpoint
	savedWork time.Duration
	lasts     bool // it runs until its job is cancelled, and is at work after a short startup
	saves     bool
	arrivedAt time.Time
	carried   string // checkpoint of its start
	resumed   time.Duration
	demand    demand
	stopping  bool
}

// life is one life of a worker. All of it is lost when the worker crashes.
type life struct {
	number   int
	born     time.Time
	token    int64
	deadline int64 // ms on the clock of this life
	running  map[string]*activeRun
	highest  map[string]int64 // highest run that was stopped or has ended here, by task
	ended    []end
	lastEnd  int64
	over     bool
	expired  bool // the lease has expired and was not extended since
}

func (l *life) clockMS() int64 { return time.Since(l.born).Milliseconds() }

// worker is a stand-in that does what PROTOCOL.md says of workers.
type worker struct {
	s       *scenario
	id      string
	address string
	machine string
	labels  []string

	mu       *sync.Mutex // of all workers, as the members of a gang end together
	life     *life
	lives    int
	powered  bool
	cut      bool // from the store
	conns    map[*wire]struct{}
	sequence int64
	changed  chan struct{}
	// holdArrived is called, without the lock, when a /hold with a wait has arrived.
	holdArrived func()
}

func newWorker(s *scenario, id, address, rack string) *worker {
	w := &worker{mu: &s.workersMu, s: s, id: id, address: address, machine: "m-" + id, labels: []string{"a", rack}, conns: map[*wire]struct{}{}, changed: make(chan struct{})}
	w.begin()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.fail("worker %s cannot listen: %v", id, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	server := &http.Server{Handler: mux, IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(&wireListener{Listener: listener, w: w}) }()
	go w.heartbeats()
	go w.expire()
	return w
}

// begin begins a life: the worker holds and knows nothing of before. The lock is held, or nobody
// else knows the worker.
func (w *worker) begin() {
	w.lives++
	w.life = &life{number: w.lives, born: time.Now(), running: map[string]*activeRun{}, highest: map[string]int64{}}
	w.powered = true
}

// powerOff ends the life without a word: what runs is gone, and open connections carry nothing.
func (w *worker) powerOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life.over, w.powered = true, false
	for _, r := range w.life.running {
		w.endGang(r, "broken")
	}
	w.s.lifeEnds[lifeKey(w.id, w.life.number)] = time.Now()
	for c := range w.conns {
		c.dead = true
	}
	w.conns = map[*wire]struct{}{}
	w.wakeLocked()
	w.s.record("worker %s loses power in life %d", w.id, w.life.number)
}

// powerOn begins another life under the same id and address.
func (w *worker) powerOn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin()
	w.wakeLocked()
	w.s.record("worker %s starts again: life %d", w.id, w.life.number)
}

func (w *worker) wakeLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	w.s.record("worker %s cut off from the store: %v", w.id, cut)
	if !cut {
		w.register()
	}
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	if !w.powered || w.cut {
		w.mu.Unlock()
		return
	}
	w.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": "kit-design", "address": w.address, "zone": "lautoka-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"sequence": w.sequence, "born": w.life.born.UnixMilli(), "machine": w.machine, "labels": w.labels,
		"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": workerGPU},
	})
	w.mu.Unlock()
	w.s.putEntry("servers/"+w.id, value)
}

func (w *worker) heartbeats() {
	missed := 0
	for {
		w.mu.Lock()
		silent := !w.powered || w.cut
		w.mu.Unlock()
		if silent {
			if missed++; missed == 3 { // after three intervals of silence
				w.s.removeEntry("servers/" + w.id)
			}
		} else {
			missed = 0
			w.register()
		}
		time.Sleep(heartbeat)
	}
}

// expire ends runs that are complete, and all runs when the lease has expired.
func (w *worker) expire() {
	for {
		time.Sleep(checkInterval)
		w.mu.Lock()
		l := w.life
		if !l.over {
			lapsed := l.deadline > 0 && l.clockMS() > l.deadline
			if lapsed && !l.expired {
				l.expired = true
				w.s.lapsed(w.id, l.number)
			}
			for task, r := range l.running {
				switch {
				case lapsed:
					w.endLocked(task, r, "lapsed")
				case r.startedAt.IsZero():
					if time.Since(r.arrivedAt) > gangTimeout {
						w.endLocked(task, r, "alone")
					}
				case !r.stopping && r.saves && r.done()-r.savedWork >= checkpointEvery:
					w.saveLocked(task, r)
				case !r.stopping && r.done() >= r.work:
					w.endLocked(task, r, map[bool]string{false: "done", true: "failed"}[r.fails])
				}
			}
		}
		w.mu.Unlock()
	}
}

// done returns how much of its work a run has done.
func (r *activeRun) done() time.Duration {
	if r.startedAt.IsZero() {
		return r.resumed
	}
	return r.resumed + time.Since(r.startedAt)
}

// saveLocked makes a new checkpoint, which every member of a gang may carry.
func (w *worker) saveLocked(task string, r *activeRun) {
	r.savedWork = r.done()
	r.saved = fmt.Sprintf("%08x%s", r.savedWork.Milliseconds(), fmt.Sprintf("%08x", w.s.checkpoints.Add(1)))
	key := task
	if r.group != "" {
		key = stepOfTask(task)
	}
	w.s.knownCheckpoints.Store(key+" "+r.saved, r.savedWork)
}

// stepOfTask returns the name of a task's step.
func stepOfTask(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *worker) endLocked(task string, r *activeRun, how string) {
	l := w.life
	if l.running[task] != r {
		return
	}
	defer w.endGang(r, how)
	if how == "stopped" && r.saves && !r.startedAt.IsZero() {
		w.saveLocked(task, r)
	}
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.run)
	l.lastEnd++
	l.ended = append(l.ended, end{n: l.lastEnd, task: task, run: r.run, how: how, saved: r.saved})
	w.s.ended(w.id, l.number, l.lastEnd, task, r.run, how)
	w.wakeLocked()
}

// endGang ends the other members of a gang: done together, and broken otherwise.
func (w *worker) endGang(r *activeRun, how string) {
	if r.group == "" {
		return
	}
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, x := range w.s.workers {
		if x.life.over {
			continue
		}
		for task, m := range x.life.running {
			if m.group == r.group && m != r {
				x.endLocked(task, m, other)
			}
		}
	}
}

// joinGang lets a gang begin once all members are there.
func (w *worker) joinGang(r *activeRun) {
	var members []*activeRun
	for _, x := range w.s.workers {
		if x.life.over {
			continue
		}
		for _, m := range x.life.running {
			if m.group == r.group {
				members = append(members, m)
			}
		}
	}
	for _, m := range members {
		if m.carried != r.carried {
			w.s.violation("UNASKED", "members of %s carry checkpoints %q and %q", r.group, m.carried, r.carried)
		}
	}
	if len(members) == r.size {
		for _, m := range members {
			m.startedAt = time.Now()
		}
	}
}

type orderBody struct {
	Checkpoint string `json:"checkpoint"`

	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	AckedTo  int64  `json:"acked_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

// open reads a call and checks for whom it is. It returns with the lock held, or false.
func (w *worker) open(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if expected := r.Header.Get("X-Carawayusher-Expect-Instance"); expected != "" && expected != w.id {
		w.reply(rw, http.StatusMisdirectedRequest, "")
		w.mu.Unlock()
		return o, false
	}
	if o.Token < w.life.token {
		w.s.record("worker %s refuses a call with token %d, highest %d", w.id, o.Token, w.life.token)
		w.reply(rw, http.StatusConflict, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.life.token = o.Token
	return o, true
}

func (w *worker) reply(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.life.clockMS(), "born": w.life.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	respond(rw, status, body)
}

func respond(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// extend extends the lease: a longer one than hold_max_ms is shortened, and it never shortens.
func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clockMS()+holdMax.Milliseconds()))
	l.expired = l.expired && l.clockMS() > l.deadline
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.open(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	l := w.life
	if active := l.running[o.Task]; active != nil && active.run == o.Run {
		l.extend(o.Deadline)
		w.reply(rw, http.StatusOK, "")
		return
	}
	if o.Deadline <= l.clockMS() {
		w.s.record("worker %s: start of %s run %d is late by %d ms", w.id, o.Task, o.Run, l.clockMS()-o.Deadline)
		w.reply(rw, http.StatusConflict, "late")
		return
	}
	l.extend(o.Deadline)
	if o.Run <= l.highest[o.Task] || l.running[o.Task] != nil {
		w.reply(rw, http.StatusConflict, "old")
		return
	}
	need, known := w.s.demandOf(o.Task)
	if !known {
		w.s.violation("UNASKED", "worker %s is told to start %s, which nobody sent", w.id, o.Task)
		w.reply(rw, http.StatusBadRequest, "")
		return
	}
	used := need
	for _, a := range l.running {
		used.cpu, used.mem, used.gpu = used.cpu+a.demand.cpu, used.mem+a.demand.mem, used.gpu+a.demand.gpu
	}
	if used.cpu > workerCPU || used.mem > workerMemory || used.gpu > workerGPU {
		w.reply(rw, http.StatusConflict, "room")
		return
	}
	a := &activeRun{run: o.Run, arrivedAt: time.Now(), startedAt: time.Now(), work: workOf(o.Spec), fails: failsRun(o.Spec, o.Task, o.Run), demand: need, lasts: strings.HasSuffix(o.Spec, " lasts"), saves: need.saves, carried: o.Checkpoint, saved: o.Checkpoint}
	key := o.Task
	if need.gang > 1 {
		key = stepOfTask(o.Task)
		a.group, a.size, a.startedAt = fmt.Sprintf("%s run %d", key, o.Run), need.gang, time.Time{}
	}
	if o.Checkpoint != "" {
		if work, known := w.s.knownCheckpoints.Load(key + " " + o.Checkpoint); known {
			a.resumed, a.savedWork = work.(time.Duration), work.(time.Duration)
		} else {
			w.s.violation("UNASKED", "%s run %d starts with checkpoint %s, which is not the task's", o.Task, o.Run, o.Checkpoint)
		}
	}
	l.running[o.Task] = a
	if a.group != "" {
		w.joinGang(a)
	}
	w.s.started(w.id, l.number, o.Task, o.Run, o.Spec)
	w.reply(rw, http.StatusOK, "")
}

// failsRun reports whether a run fails: "fails=PERCENT" of the runs of a job do.
func failsRun(spec, task string, run int64) bool {
	for _, word := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(word, "fails="); ok {
			percent, _ := strconv.Atoi(text)
			h := fnv.New32a()
			fmt.Fprint(h, task, run)
			return int(h.Sum32()%100) < percent
		}
	}
	return false
}

// workOf returns the work that the text of a job names: "work=MS ...".
func workOf(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(word, "work="); ok {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.open(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	l := w.life
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if active := l.running[o.Task]; active != nil && active.run <= o.Run && !active.stopping {
		active.stopping = true
		w.s.record("worker %s life %d: stop of %s run %d", w.id, l.number, o.Task, active.run)
		time.AfterFunc(stopGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == l && !l.over {
				w.endLocked(o.Task, active, "stopped")
			}
		})
	}
	w.reply(rw, http.StatusOK, "")
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.open(rw, r); ok {
		w.reply(rw, http.StatusOK, "")
		w.mu.Unlock()
	}
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.open(rw, r)
	if !ok {
		return
	}
	l := w.life
	if o.Deadline > 0 {
		l.extend(o.Deadline)
	}
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if e.n > o.AckedTo {
			kept = append(kept, e)
			continue
		}
		w.s.acked(w.id, l.number, e.n, o.AckedTo)
	}
	l.ended = kept
	until := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
	arrived := w.holdArrived
	if o.WaitMS > 0 && arrived != nil {
		w.mu.Unlock()
		arrived()
		w.mu.Lock()
	}
	for len(l.ended) == 0 && !l.over {
		left := time.Until(until)
		if left <= 0 {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	if l.over || r.Context().Err() != nil {
		w.mu.Unlock()
		return // what is written now is lost
	}
	running, ended := [][]any{}, [][]any{}
	for _, task := range sortedKeys(l.running) {
		a := l.running[task]
		percent := 0
		if a.work > 0 {
			percent = min(100, int(100*a.done()/a.work))
			if a.lasts && a.done() > lastingStartup {
				percent = 100
			}
		}
		running = append(running, []any{task, a.run, a.saved, percent, a.demand.cpu})
	}
	for i, e := range l.ended {
		if i == listedEnds {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
		w.s.listed(w.id, l.number, e.n)
	}
	body := map[string]any{"clock_ms": l.clockMS(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	respond(rw, http.StatusOK, body)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// wireListener accepts connections while the worker has power.
type wireListener struct {
	net.Listener
	w *worker
}

// Accept implements net.Listener.
func (l *wireListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		l.w.mu.Lock()
		if l.w.powered {
			c := &wire{Conn: inner, w: l.w}
			l.w.conns[c] = struct{}{}
			l.w.mu.Unlock()
			return c, nil
		}
		changed := l.w.changed
		l.w.mu.Unlock()
		<-changed
	}
}

// wire is a connection to a worker. Once the worker has lost power it carries nothing more; data
// that arrives when the machine is back is answered with a reset, as by any machine that does not
// know the connection.
type wire struct {
	net.Conn
	w    *worker
	dead bool // guarded by w.mu
}

func (c *wire) isDead() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.dead
}

// Read implements net.Conn.
func (c *wire) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.isDead() {
		return n, err
	}
	if n > 0 {
		for {
			c.w.mu.Lock()
			powered, changed := c.w.powered, c.w.changed
			c.w.mu.Unlock()
			if powered {
				break
			}
			<-changed
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *wire) Write(b []byte) (int, error) {
	if c.isDead() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A machine without power does not close its connections.
func (c *wire) Close() error {
	if c.isDead() {
		go func() { // it still answers data with a reset
			b := make([]byte, 1)
			_, _ = c.Read(b)
		}()
		return nil
	}
	c.w.mu.Lock()
	delete(c.w.conns, c)
	c.w.mu.Unlock()
	return c.Conn.Close()
}

func lifeKey(worker string, life int) string { return worker + "/" + strconv.Itoa(life) }
