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
	// asyncQueueLines is the capacity of the queue in front of the destination.
	asyncQueueLines = 512
	// asyncLinesPerSecond limits the log rate, since a process with a small CPU
	// share cannot afford to write more.
	asyncLinesPerSecond = 2000
)

// AsyncWriter writes lines to a destination in the background, so that Write
// doesn't wait for the destination. Lines that exceed the rate limit or find the
// queue full are dropped; their number is logged before the next written line.
type AsyncWriter struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	done            chan struct{}

	mu           sync.Mutex
	windowSecond int64
	windowLines  int
	closed       bool
}

// NewAsyncWriter starts a writer to out. Call Close to flush and stop it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line or drops it; it never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.windowSecond {
		w.windowSecond, w.windowLines = now, 0
	}
	w.windowLines++
	if w.closed || w.windowLines > asyncLinesPerSecond {
		w.countDrop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDrop()
	}
	return len(line), nil
}

func (w *AsyncWriter) countDrop() {
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
}

// Dropped returns the total number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.totalDrops.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.unreportedDrops.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n) // a failed log write cannot be logged
		}
		_, _ = w.out.Write(line) // a failed log write cannot be logged
	}
}

// Close writes the queued lines and stops the writer. Lines written after Close
// are dropped.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
