package domain

import (
	"context"
	"time"
)

const (
	// adoptWait bounds the wait for the first sync of all workers; it is less
	// than the time that a partition gives to the question.
	adoptWait = 500 * time.Millisecond
	adoptPoll = 10 * time.Millisecond
)

// awaitAdopted waits until every listed worker has answered under this epoch. A
// worker that does not answer ends the wait after adoptWait.
func (d *Domain) awaitAdopted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adoptWait)
	defer cancel()
	for !d.adopted() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(adoptPoll):
		}
	}
}

func (d *Domain) adopted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.started) > d.opts.lostAfter() {
		return true
	}
	for _, w := range d.workers {
		if !w.synced {
			return false
		}
	}
	return len(d.workers) > 0
}
