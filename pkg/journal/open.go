package journal

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// Options configures a journal.
type Options struct {
	// Store is the VM's store with its budget; the priority of each call is in
	// its context (storebudget.WithPriority).
	Store     platform.Store
	Partition int
	// Epoch is that of the ownership of the partition.
	Epoch int64
	VM    string
	// Snapshot returns records that restore the present state. It must reflect
	// at least each record that was passed to Append before, or, with Apply set,
	// each that Apply got. It is called between two entries and delays them. Nil
	// makes a snapshot of all records, for tests and tools.
	Snapshot func() [][]byte
	// Apply, if set, gets each record once it is durable, in order, before Append
	// returns. It must not call the log.
	Apply func(record []byte)
	// OnFenced is called once when the store shows another owner, with its epoch
	// if that is known. It must not block.
	OnFenced func(epoch int64)
	Log      logr.Logger
}

// Open takes the partition's journal over: it fences former owners, reads the
// newest snapshot and the entries since, and returns the log. Kinds:
// stale_epoch when a newer owner was here, store_unavailable when ctx ends
// before the store has answered, internal when the content is damaged.
func Open(ctx context.Context, opts Options) (Log, Recovered, error) {
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	j := newJournal(opts)
	ctx = storebudget.WithPriority(ctx, PriorityOwnership)
	recovered, err := j.takeOver(ctx)
	if err != nil {
		j.stop()
		return nil, Recovered{}, err
	}
	if opts.Snapshot == nil {
		j.history = recovered.all()
	}
	j.start()
	return j, recovered, nil
}

// takeOver repeats load and fence until no other writer came in between.
func (j *journal) takeOver(ctx context.Context) (Recovered, error) {
	own := newToken()
	for {
		l, err := load(ctx, j.cas.store, j.keys)
		if err != nil {
			return Recovered{}, err
		}
		if l.epoch > j.opts.Epoch {
			return Recovered{}, errkind.New(errkind.StaleEpoch, "journal of partition %d has epoch %d, newer than %d", j.opts.Partition, l.epoch, j.opts.Epoch)
		}
		recovered, err := l.recovered()
		if err != nil {
			return Recovered{}, err
		}
		j.state = l.state
		done, err := j.fence(ctx, own, recovered)
		var foreign *foreignError
		switch {
		case errors.As(err, &foreign):
			continue
		case err != nil:
			return Recovered{}, err
		case done:
			return recovered, nil
		}
	}
}

// fence stops former owners: first the head, so that the generation in force
// stays as it was read, then the ring by the owner entry. It is not done when
// the state must be read again.
func (j *journal) fence(ctx context.Context, own token, recovered Recovered) (done bool, err error) {
	if j.state.head.Token != own {
		h := j.state.head
		h.Epoch, h.Token = j.opts.Epoch, own
		if err := j.writeHead(ctx, h); err != nil {
			return false, err
		}
	}
	if !j.state.fits(0) {
		// Many takeovers in a row have used the reserved slots. The records that
		// were read are a snapshot too.
		return false, j.writeSnapshot(ctx, j.state.last, recovered.all(), own)
	}
	e := entry{Seq: j.state.last + 1, Epoch: j.opts.Epoch, Token: newToken(), VM: j.opts.VM, Owner: true}
	return true, j.writeEntry(ctx, e)
}

// writeEntry writes the entry after the last one.
func (j *journal) writeEntry(ctx context.Context, e entry) error {
	value, err := cbor.Marshal(e)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal entry cannot be encoded")
	}
	slot := e.Seq % RingSlots
	version, err := j.cas.write(ctx, j.keys.slot(e.Seq), value, j.state.slots[slot])
	if err != nil {
		return err
	}
	j.state.slots[slot] = version
	j.mu.Lock()
	j.state.last = e.Seq
	j.mu.Unlock()
	return nil
}

func (j *journal) writeHead(ctx context.Context, h head) error {
	value, err := cbor.Marshal(h)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal head cannot be encoded")
	}
	version, err := j.cas.write(ctx, j.keys.head(), value, j.state.headVersion)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.state.head, j.state.headVersion = h, version
	j.mu.Unlock()
	return nil
}
