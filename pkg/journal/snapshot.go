package journal

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// urgentEntries is the number of entries since the last snapshot from which on
// the next one has the priority of accepts: appends will soon wait for it.
const urgentEntries = SnapshotInterval + (RingSlots-SnapshotInterval)/2

// writeSnapshot writes the chunks of the generation that is not in force, then
// the head. A crash in between leaves the former snapshot in force.
func (j *journal) writeSnapshot(ctx context.Context, seq uint64, records [][]byte, headToken token) error {
	parts, err := split(records)
	if err != nil {
		return err
	}
	h := head{
		Seq: seq, Epoch: j.opts.Epoch, Token: headToken,
		Gen: 1 - j.state.head.Gen, Chunks: len(parts), Snapshot: newToken(),
	}
	for i, part := range parts {
		c := chunk{Index: i, Epoch: j.opts.Epoch, Snapshot: h.Snapshot, Data: part}
		if err := j.writeChunk(ctx, h.Gen, c); err != nil {
			return err
		}
	}
	return j.writeHead(j.snapshotContext(ctx), h)
}

// writeChunk writes one chunk by compare-and-swap, as a former owner that was
// paused may still write to the same generation. Such a write is replaced; one
// with a newer epoch fences this owner.
func (j *journal) writeChunk(ctx context.Context, gen int, c chunk) error {
	value, err := cbor.Marshal(c)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal chunk cannot be encoded")
	}
	key, versions := j.keys.chunk(gen, c.Index), j.state.chunks[gen]
	for {
		version, err := j.cas.write(j.snapshotContext(ctx), key, value, versions[c.Index])
		var foreign *foreignError
		if errors.As(err, &foreign) {
			var other author
			if err := unmarshal(key, foreign.entry.Value, &other); err != nil || other.Epoch > j.opts.Epoch {
				return foreign
			}
			versions[c.Index] = foreign.entry.Version
			continue
		}
		if err != nil {
			return err
		}
		versions[c.Index] = version
		return nil
	}
}

// snapshotContext sets the priority of the next write of a snapshot.
func (j *journal) snapshotContext(ctx context.Context) context.Context {
	j.mu.Lock()
	urgent := j.state.last-j.state.head.Seq >= urgentEntries
	j.mu.Unlock()
	if urgent {
		return storebudget.WithPriority(ctx, PriorityJobAccept)
	}
	return storebudget.WithPriority(ctx, PrioritySnapshot)
}

// maybeSnapshot starts a snapshot if enough entries came since the last one. It
// runs between two entries, so that the snapshot covers exactly those written.
func (j *journal) maybeSnapshot() {
	j.mu.Lock()
	idle := j.closing && len(j.queue) == 0
	due := !j.snapshotting && !idle && j.state.last-j.state.head.Seq >= SnapshotInterval
	if due {
		j.snapshotting = true
	}
	seq := j.state.last
	j.mu.Unlock()
	if !due {
		return
	}
	records := j.snapshotRecords()
	j.wg.Go(func() {
		err := j.writeSnapshot(j.ctx, seq, records, newToken())
		j.mu.Lock()
		j.snapshotting = false
		j.mu.Unlock()
		if err != nil && j.ctx.Err() == nil {
			j.abort(err, nil)
		}
		j.signal()
	})
}

func (j *journal) snapshotRecords() [][]byte {
	if j.opts.Snapshot != nil {
		return j.opts.Snapshot()
	}
	return append([][]byte(nil), j.history...)
}
