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
)

// CopyRequest asks another VM for its copy.
type CopyRequest struct {
	// Confirm asks that VM to read the store first.
	Confirm bool `cbor:"1,keyasint,omitempty"`
	// Revision is that of the copy of the VM that asks; the value of the same one is not
	// sent.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Copy is the stored configuration of one VM, as it is sent to other VMs.
type Copy struct {
	Revision int64         `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"` // time since the copy was last known to be current
	// Confirmed means that it was current after the request for it had arrived.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
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
	if c.Revision == r.Revision {
		c.Value = nil
	}
	return c, err
}

// askOtherVM installs the copy of another VM. It returns an error unless that shows that
// the copy was current at askedAt or later.
func (s *Source) askOtherVM(ctx context.Context, askedAt time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.mu.Lock()
	revision := s.entry.Version
	s.mu.Unlock()
	other, err := s.opts.Ask(ctx, CopyRequest{Confirm: true, Revision: revision})
	if err != nil {
		s.opts.Log.Info("no copy of the configuration from another VM", "reason", err.Error())
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(other.Value) > 0 && (s.current == nil || other.Revision > s.entry.Version) {
		s.install(platform.Entry{Key: s.opts.Key, Value: other.Value, Version: other.Revision})
	}
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
