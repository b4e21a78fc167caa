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
	// Store is the VM's store client with its call budget; the context of each call
	// carries its priority (storebudget.WithPriority).
	Store     platform.Store
	Partition int
	// Epoch is the ownership epoch of the partition.
	Epoch int64
	VM    string
	// Snapshot returns records that restore the present state. It must reflect
	// at least every record passed to Append so far or, if Apply is set, every
	// record passed to Apply. It is called between the writes of two entries and
	// delays the second one. If it is nil, a snapshot contains all records; that is
	// meant for tests and tools.
	Snapshot func() [][]byte
	// Apply, if set, is called with each durable record, in order, before Append
	// returns. It must not call the log.
	Apply func(record []byte)
	// OnFenced, if set, is called once when the store shows that another owner has
	// taken over, with its epoch, or 0 if that is not known. It must not block.
	OnFenced func(epoch int64)
	Log      logr.Logger
}

// Open takes over the partition's journal: it fences former owners, reads the
// newest snapshot and the entries since, and returns the log. Error kinds:
// stale_epoch when the journal has a newer epoch, store_unavailable when ctx ends
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
		j.history = recovered.allRecords()
	}
	j.start()
	return j, recovered, nil
}

// takeOver loads the journal and fences former owners. It retries both until no
// other writer has interfered between them.
func (j *journal) takeOver(ctx context.Context) (Recovered, error) {
	own := newWriteToken()
	for {
		l, err := load(ctx, j.cas.store, j.keys)
		if err != nil {
			return Recovered{}, err
		}
		if l.maxEpoch > j.opts.Epoch {
			return Recovered{}, errkind.New(errkind.StaleEpoch, "journal of partition %d has epoch %d, newer than %d", j.opts.Partition, l.maxEpoch, j.opts.Epoch)
		}
		recovered, err := l.assemble()
		if err != nil {
			return Recovered{}, err
		}
		j.state = l.state
		done, err := j.fence(ctx, own, recovered)
		var foreign *foreignWriteError
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

// fence prevents further writes by former owners. It rewrites the head first, so
// that the snapshot stays the one that was read, and then appends the owner entry
// to the ring. Done is false if the state must be loaded again.
func (j *journal) fence(ctx context.Context, own writeToken, recovered Recovered) (done bool, err error) {
	if j.state.head.Token != own {
		h := j.state.head
		h.Epoch, h.Token = j.opts.Epoch, own
		if err := j.writeHead(ctx, h); err != nil {
			return false, err
		}
	}
	if !j.state.hasFreeSlot(0) {
		// Many consecutive takeovers have used up the reserved slots. Writing the
		// recovered records as a snapshot frees them.
		return false, j.writeSnapshot(ctx, j.state.lastSeq, recovered.allRecords(), own)
	}
	e := entry{Seq: j.state.lastSeq + 1, Epoch: j.opts.Epoch, Token: newWriteToken(), VM: j.opts.VM, Owner: true}
	return true, j.writeEntry(ctx, e)
}

// writeEntry writes the entry that follows the newest one.
func (j *journal) writeEntry(ctx context.Context, e entry) error {
	value, err := cbor.Marshal(e)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal entry cannot be encoded")
	}
	slot := e.Seq % RingSlots
	version, err := j.cas.write(ctx, j.keys.slot(e.Seq), value, j.state.slotVersions[slot])
	if err != nil {
		return err
	}
	j.state.slotVersions[slot] = version
	j.mu.Lock()
	j.state.lastSeq = e.Seq
	j.mu.Unlock()
	return nil
}

// writeHead replaces the head by compare-and-swap.
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
