package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of an AsyncWriter.
const (
	// asyncLines is how many lines wait for a slow destination.
	asyncLines = 512
	// asyncRate bounds the lines of a second; a process with a small share of a
	// core cannot afford more.
	asyncRate = 2000
)

// AsyncWriter writes lines to a destination without ever blocking the caller.
// Lines beyond the rate, or for which a slow destination leaves no room, are
// dropped; a line with their number follows.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

// NewAsyncWriter starts a writer; Close writes out what waits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.count = now, 0
	}
	w.count++
	if w.closed || w.count > asyncRate {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *AsyncWriter) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns the number of lines that were dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.total.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n) // nowhere to report to
		}
		_, _ = w.out.Write(line) // nowhere to report to
	}
}

// Close writes out the lines that wait and ends the writer.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
