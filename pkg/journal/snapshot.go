package journal

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// urgentSnapshotEntries is the number of entries since the last snapshot at which
// the next snapshot is written with the priority of job accepts: unless it
// is written soon, the ring fills up and appends wait for it.
const urgentSnapshotEntries = SnapshotInterval + (RingSlots-SnapshotInterval)/2

// writeSnapshot writes the chunks to the generation that the head does not refer
// to, and then the head. After a crash in between the former snapshot is still
// the current one.
func (j *journal) writeSnapshot(ctx context.Context, seq uint64, records [][]byte, headToken writeToken) error {
	parts, err := splitSnapshot(records)
	if err != nil {
		return err
	}
	h := head{
		Seq: seq, Epoch: j.opts.Epoch, Token: headToken,
		Gen: 1 - j.state.head.Gen, Chunks: len(parts), Snapshot: newWriteToken(),
	}
	for i, part := range parts {
		c := chunk{Index: i, Epoch: j.opts.Epoch, Snapshot: h.Snapshot, Data: part}
		if err := j.writeChunk(ctx, h.Gen, c); err != nil {
			return err
		}
	}
	return j.writeHead(j.withSnapshotPriority(ctx), h)
}

// writeChunk writes one chunk by compare-and-swap, because a former owner that was
// paused may still write to the same generation. A chunk of a former owner is
// overwritten; a chunk with a newer epoch fences this owner.
func (j *journal) writeChunk(ctx context.Context, gen int, c chunk) error {
	value, err := cbor.Marshal(c)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "journal chunk cannot be encoded")
	}
	key, versions := j.keys.chunk(gen, c.Index), j.state.chunkVersions[gen]
	for {
		version, err := j.cas.write(j.withSnapshotPriority(ctx), key, value, versions[c.Index])
		var foreign *foreignWriteError
		if errors.As(err, &foreign) {
			var other epochHeader
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

// withSnapshotPriority sets the priority of the next snapshot write in the context.
func (j *journal) withSnapshotPriority(ctx context.Context) context.Context {
	j.mu.Lock()
	urgent := j.state.lastSeq-j.state.head.Seq >= urgentSnapshotEntries
	j.mu.Unlock()
	if urgent {
		return storebudget.WithPriority(ctx, PriorityJobAccept)
	}
	return storebudget.WithPriority(ctx, PrioritySnapshot)
}

// startSnapshotIfDue starts a snapshot if enough entries were written since the
// last one. The writing goroutine calls it between two entries, so that the
// snapshot covers exactly the entries written so far.
func (j *journal) startSnapshotIfDue() {
	j.mu.Lock()
	idle := j.closing && len(j.queue) == 0
	due := !j.snapshotting && !idle && j.state.lastSeq-j.state.head.Seq >= SnapshotInterval
	if due {
		j.snapshotting = true
	}
	seq := j.state.lastSeq
	j.mu.Unlock()
	if !due {
		return
	}
	records := j.snapshotRecords()
	j.wg.Go(func() {
		err := j.writeSnapshot(j.ctx, seq, records, newWriteToken())
		j.mu.Lock()
		j.snapshotting = false
		j.mu.Unlock()
		if err != nil && j.ctx.Err() == nil {
			j.abort(err, nil)
		}
		j.signalWriter()
	})
}

// snapshotRecords returns the records for a new snapshot.
func (j *journal) snapshotRecords() [][]byte {
	if j.opts.Snapshot != nil {
		return j.opts.Snapshot()
	}
	return append([][]byte(nil), j.history...)
}
