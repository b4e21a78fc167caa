package configsource

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// minReadInterval and maxReadBytesPerSecond bound the reads that callers cause by
	// requests that are refused.
	minReadInterval       = 100 * time.Millisecond
	maxReadBytesPerSecond = 2 << 20
	// maxReordering is how long a request may wait for a newer version while later ones
	// are served from the current one.
	maxReordering = 150 * time.Millisecond
	// failureTTL is how long a failed attempt answers for further requests.
	failureTTL = 300 * time.Millisecond
	// maxConfirmTime bounds the wait of a request for Confirm.
	maxConfirmTime = 600 * time.Millisecond
)

// View is the configuration from which a request is handled.
type View struct {
	*catalog.Catalog
	// Unconfirmed is why it may be outdated: neither the store nor another VM could tell.
	// It is nil if it is up to date.
	Unconfirmed error
	takenAt     time.Duration // when the request asked for it
}

// Acquire returns the configuration from which to handle a request that has just arrived.
// If the copy may lack a version that has to be in force, or the process stood still since
// it was known to be current, the request waits for one attempt to confirm it. If that fails,
// the copy is used as long as its keys are certain. The error has kind unavailable.
func (s *Source) Acquire(ctx context.Context) (View, error) {
	resumedAt := s.opts.ResumedAt()
	s.mu.Lock()
	now := s.opts.Clock()
	s.requiredAsOf = max(s.requiredAsOf, resumedAt)
	need := max(s.requiredAsOf, now-s.maxAge())
	known := s.current != nil
	s.mu.Unlock()
	if !known {
		return View{}, errkind.New(errkind.Unavailable, "no configuration yet")
	}
	err := s.await(ctx, &s.confirmations, need)
	if err != nil && !s.KeysCertain() {
		return View{}, errkind.Wrap(err, errkind.Unavailable, "the configuration may be out of date")
	}
	return View{Catalog: s.Catalog(), Unconfirmed: err, takenAt: now}, nil
}

// Confirm returns the configuration that is in force after a view was taken. A refusal that
// a caller takes for final must come from it. The error has kind unavailable and means that
// this VM cannot know what is in force.
func (s *Source) Confirm(ctx context.Context, v View) (View, error) {
	s.mu.Lock()
	timeout := maxConfirmTime
	if s.confirmations.failing {
		timeout = maxReordering
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Later requests wait as well, since they must not be handled by an older version.
	hold := time.AfterFunc(maxReordering, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.requiredAsOf = max(s.requiredAsOf, v.takenAt)
	})
	defer hold.Stop()
	if err := s.await(ctx, &s.confirmations, v.takenAt); err != nil {
		return View{}, errkind.Wrap(err, errkind.Unavailable, "the configuration may be out of date")
	}
	return View{Catalog: s.Catalog(), takenAt: v.takenAt}, nil
}

// Observe records that another VM has used a version. If this VM has an older one, its copy is
// outdated, and calls wait for an attempt to read the new one.
func (s *Source) Observe(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || version <= max(s.current.Version, s.observed) {
		return
	}
	s.observed = version
	s.requiredAsOf = max(s.requiredAsOf, s.opts.Clock())
	s.opts.Log.Info("another VM has a newer configuration", "version", version, "here", s.current.Version)
}

// attempts are the tries to learn that the copy is current, one at a time. Calls that wait
// share them.
type attempts struct {
	run      func(ctx context.Context) error
	interval func() time.Duration // minimum time between two attempts
	open     *attempt             // nil if there is none
	sentAt   time.Duration        // of the latest one
	failing  bool                 // the latest one failed
	failedAt time.Duration        // when the latest one that failed was sent
	failedBy time.Duration        // when it had failed
	err      error                // of the latest one that failed
}

// failedFor reports whether a failed attempt answers a request, at time now, for a copy that
// was current at asOf.
func (a *attempts) failedFor(asOf, now time.Duration) bool {
	return a.failing && (a.failedAt >= asOf || now-a.failedBy < failureTTL)
}

type attempt struct {
	done chan struct{}
	err  error // set when done is closed
}

// await waits until the copy is known to be current at a time that is not in the future. It
// returns the error of the first attempt that fails meanwhile, or has failed just before or
// since that time.
func (s *Source) await(ctx context.Context, a *attempts, asOf time.Duration) error {
	for {
		s.mu.Lock()
		if s.currentAsOf >= asOf {
			s.mu.Unlock()
			return nil
		}
		if a.failedFor(asOf, s.opts.Clock()) {
			defer s.mu.Unlock()
			return a.err
		}
		if a.open == nil {
			s.start(a)
		}
		open := a.open
		s.mu.Unlock()
		select {
		case <-open.done:
			if open.err != nil {
				return open.err
			}
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Timeout, "no answer about the configuration in time")
		}
	}
}

// start begins an attempt; the lock is held.
func (s *Source) start(a *attempts) {
	current := &attempt{done: make(chan struct{})}
	a.open = current
	pause, ctx := a.sentAt+a.interval()-s.opts.Clock(), s.lifetime
	go func() {
		if pause > 0 {
			wait.Sleep(ctx, pause)
		}
		s.mu.Lock()
		a.sentAt = s.opts.Clock()
		s.mu.Unlock()
		err := a.run(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		a.open, a.failing = nil, err != nil
		if err != nil {
			a.failedAt, a.failedBy, a.err = a.sentAt, s.opts.Clock(), err
		}
		current.err = err
		close(current.done)
	}()
}

// readInterval returns the minimum time between two reads; the lock is held.
func (s *Source) readInterval() time.Duration {
	return max(minReadInterval, time.Duration(s.lastReadBytes)*time.Second/maxReadBytesPerSecond)
}

// confirmOnce reads the store and, if that takes long or fails, also asks another VM.
func (s *Source) confirmOnce(ctx context.Context) error {
	sentAt := s.opts.Clock()
	read := make(chan error, 1)
	go func() { read <- s.await(ctx, &s.reads, sentAt) }()
	if s.opts.Ask == nil {
		return <-read
	}
	late := time.NewTimer(s.readTimeout.HedgeAfter())
	defer late.Stop()
	asked := make(chan error, 1)
	ask := func() { asked <- s.askOtherVM(ctx, sentAt) }
	var readErr error
	for answers, started := 0, false; answers < 2; {
		select {
		case <-late.C:
		case readErr = <-read:
			if readErr == nil {
				return nil
			}
			answers++
		case err := <-asked:
			if err == nil {
				return nil
			}
			answers++
		}
		if !started {
			started = true
			go ask()
		}
	}
	return readErr
}
