package configsource

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

const (
	// peerTimeout bounds the request to another VM, whose round trip takes a few
	// milliseconds.
	peerTimeout = 300 * time.Millisecond
	// peerReadTimeout bounds the read that another VM makes for it.
	peerReadTimeout = peerTimeout / 2
	// copyBytesPerSecond is the rate at which a VM sends large copies to others, and the least
	// at which one is expected to arrive: a tenth of a link of 10 Mbit/s.
	copyBytesPerSecond = 125_000
)

// CopyRequest asks another VM for its copy.
type CopyRequest struct {
	// Confirm asks that VM to read the store first.
	Confirm bool `cbor:"1,keyasint,omitempty"`
	// Revision is that of the copy of the VM that asks; the value of the same one, or of an older
	// one, is not sent.
	Revision int64 `cbor:"2,keyasint,omitempty"`
	// Brief asks for the size of a large value in place of it; VMs of earlier versions send it.
	Brief bool `cbor:"3,keyasint,omitempty"`
	// From is the VM to ask; empty: any.
	From string `cbor:"-"`
}

// Copy is the stored configuration of one VM, as it is sent to other VMs.
type Copy struct {
	Revision int64         `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"` // time since the copy was last known to be current
	// Confirmed means that it was current after the request for it had arrived.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Bytes is the size of a newer value that was left out.
	Bytes int `cbor:"5,keyasint,omitempty"`
	// From is the VM that has answered.
	From string `cbor:"-"`
}

// Copy returns the configuration for another VM, or an error of kind unavailable
// before the first one was read.
func (s *Source) Copy() (Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return Copy{}, errkind.New(errkind.Unavailable, "no configuration yet")
	}
	return Copy{Revision: s.entry.Version, Value: s.entry.Value, Age: s.opts.Clock() - s.currentAsOf}, nil
}

// CopyFor answers the request of another VM.
func (s *Source) CopyFor(ctx context.Context, r CopyRequest) (Copy, error) {
	confirmed := false
	if r.Confirm {
		ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
		defer cancel()
		confirmed = s.await(ctx, &s.reads, s.opts.Clock()) == nil
	}
	c, err := s.Copy()
	c.Confirmed = confirmed
	switch {
	case c.Revision <= r.Revision:
		c.Value = nil
	case len(c.Value) >= minLargeBytes && (r.Brief || !s.mayTransfer(len(c.Value))):
		c.Value, c.Bytes = nil, len(c.Value)
	}
	return c, err
}

// mayTransfer reports whether this VM sends a value now. Its link would be full for many seconds
// if all others, which lose the store at the same time, got a large one from it at once.
func (s *Source) mayTransfer(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	if now < s.nextTransferAt {
		return false
	}
	s.nextTransferAt = now + transferTime(bytes)
	s.opts.Log.Info("sending the configuration to another VM", "bytes", bytes, "revision", s.entry.Version)
	return true
}

func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / copyBytesPerSecond
}

// askOtherVM installs the copy of another VM. It returns an error unless that shows that
// the copy was current at askedAt or later.
func (s *Source) askOtherVM(ctx context.Context, askedAt time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.mu.Lock()
	revision := s.entry.Version
	s.mu.Unlock()
	other, err := s.opts.Ask(ctx, CopyRequest{Confirm: true, Revision: revision, Brief: true})
	if err == nil && other.Bytes > 0 {
		err = s.awaitTransfer(ctx, other)
	}
	if err != nil {
		s.opts.Log.Info("no copy of the configuration from another VM", "reason", err.Error())
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installCopy(other)
	// A copy that is older or cannot be decoded doesn't show that the current one is
	// up to date.
	if s.current == nil || other.Revision != s.entry.Version {
		return errkind.New(errkind.Unavailable, "another VM has revision %d, this one %d", other.Revision, s.entry.Version)
	}
	asOf := askedAt - other.Age
	if other.Confirmed {
		asOf = askedAt
	}
	s.currentAsOf = max(s.currentAsOf, asOf)
	if s.currentAsOf < askedAt {
		return errkind.New(errkind.Unavailable, "another VM cannot read the store either; its copy is %d ms old", other.Age.Milliseconds())
	}
	return nil
}

// installCopy installs the copy of another VM if it is newer; the lock is held.
func (s *Source) installCopy(c Copy) {
	if len(c.Value) > 0 && (s.current == nil || c.Revision > s.entry.Version) {
		s.install(platform.Entry{Key: s.opts.Key, Value: c.Value, Version: c.Revision})
	}
}

// transfer is the receipt of a large copy.
type transfer struct {
	done chan struct{}
	err  error // set when done is closed
}

// awaitTransfer installs the large value of a copy, unless the store delivers it. The transfer goes on after ctx, as it takes long over a slow link: if each call that waits
// for the configuration began another one, none would arrive, and they would fill the links of
// both VMs.
func (s *Source) awaitTransfer(ctx context.Context, c Copy) error {
	s.mu.Lock()
	if s.storeReached || s.opts.Clock()-s.lastPartAt < peerTimeout {
		s.mu.Unlock()
		return errkind.New(errkind.Unavailable, "the store has not delivered revision %d yet", c.Revision)
	}
	if s.openTransfer == nil {
		s.openTransfer = &transfer{done: make(chan struct{})}
		go s.receive(s.lifetime, s.openTransfer, c)
	}
	t := s.openTransfer
	s.mu.Unlock()
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "revision %d has not arrived from another VM yet", c.Revision)
	}
}

// receive carries out a transfer.
func (s *Source) receive(ctx context.Context, t *transfer, c Copy) {
	startedAt := s.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+transferTime(c.Bytes))
	defer cancel()
	received, err := s.opts.Ask(ctx, CopyRequest{From: c.From})
	if err == nil && received.Bytes > 0 {
		err = errkind.New(errkind.Unavailable, "the other VM sends its copy to others")
	}
	if err == nil {
		s.opts.Log.Info("received the configuration from another VM", "bytes", len(received.Value), "revision", received.Revision, "tookMS", (s.opts.Clock() - startedAt).Milliseconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installCopy(received)
	s.openTransfer, t.err = nil, err
	close(t.done)
}
