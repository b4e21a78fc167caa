package domain

import (
	"context"
	"time"
)

const (
	// maxAdoptionWait bounds the wait for the first sync of all workers; it is shorter
	// than a partition's timeout for the request.
	maxAdoptionWait      = 500 * time.Millisecond
	adoptionPollInterval = 10 * time.Millisecond
)

// awaitAdoption waits until every listed worker has answered under this epoch, for
// at most maxAdoptionWait.
func (d *Domain) awaitAdoption(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAdoptionWait)
	defer cancel()
	for !d.adoptionComplete() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(adoptionPollInterval):
		}
	}
}

func (d *Domain) adoptionComplete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.started) > d.opts.lostTimeout() {
		return true
	}
	for _, w := range d.workers {
		if !w.synced {
			return false
		}
	}
	return len(d.workers) > 0
}
