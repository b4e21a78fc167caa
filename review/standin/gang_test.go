//go:build review

package standin

import (
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second

// gang is one run of a step whose tasks work only together.
type gang struct {
	mu      sync.Mutex
	size    int
	members map[*taskRun]*worker
	working bool
	over    bool
}

// joinGang adds a run to the gang of its step; the lock of the worker is held.
func (e *env) joinGang(w *worker, r *taskRun, s step) {
	key := r.task[:strings.LastIndexByte(r.task, '.')] + "/" + itoa(r.run)
	e.mu.Lock()
	if e.gangs == nil {
		e.gangs = map[string]*gang{}
	}
	g := e.gangs[key]
	if g == nil {
		g = &gang{size: s.Count, members: map[*taskRun]*worker{}}
		e.gangs[key] = g
	}
	e.mu.Unlock()
	r.gang = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[r] = w
	switch {
	case g.over:
		go func() { w.endRun(r, "broken") }()
	case len(g.members) == g.size:
		g.working = true
		time.AfterFunc(r.takes, func() { g.finish("done") })
	default:
		time.AfterFunc(gangTimeout, func() {
			g.mu.Lock()
			alone := !g.working && !g.over
			g.mu.Unlock()
			if alone {
				w.endRun(r, "alone")
			}
		})
	}
}

// finish ends all members together.
func (g *gang) finish(how string) {
	g.mu.Lock()
	if g.over {
		g.mu.Unlock()
		return
	}
	g.over = true
	members := g.members
	g.members = map[*taskRun]*worker{}
	g.mu.Unlock()
	for r, w := range members {
		w.endRun(r, how)
	}
}

// memberEnded breaks the gang when one of its members has ended otherwise than done.
func (g *gang) memberEnded(r *taskRun, how string) {
	if how != "done" {
		g.mu.Lock()
		delete(g.members, r)
		g.mu.Unlock()
		g.finish("broken")
	}
}

func (w *worker) endRun(r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(r, how)
}
