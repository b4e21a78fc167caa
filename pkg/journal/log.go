package journal

import (
	"context"
	"errors"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// batch is a group of records that are written as one entry. Their callers wait
// for the same channel.
type batch struct {
	records  [][]byte
	bytes    int
	priority Priority
	done     chan struct{}
	err      error // set before done is closed
}

// journal implements Log. One goroutine writes the entries, so that only one
// compare-and-swap is in flight and batches grow under load; a second goroutine
// writes snapshots.
type journal struct {
	opts         Options
	cas          casWriter
	keys         storeKeys
	ctx          context.Context
	stop         context.CancelFunc
	writerSignal chan struct{}
	wg           sync.WaitGroup
	writerDone   chan struct{} // closed when the writing goroutine has returned
	// history holds all records if Options.Snapshot is nil.
	history [][]byte

	mu           sync.Mutex
	state        state // lastSeq, head and headVersion are read under mu
	queue        []*batch
	pendingBytes int
	closing      bool
	snapshotting bool
	err          error // set once the log accepts no more records
}

func newJournal(opts Options) *journal {
	j := &journal{
		opts: opts, cas: casWriter{opts.Store}, keys: partitionKeys(opts.Partition),
		writerSignal: make(chan struct{}, 1), writerDone: make(chan struct{}),
	}
	j.ctx, j.stop = context.WithCancel(context.Background())
	return j
}

func (j *journal) start() {
	j.wg.Go(func() {
		defer close(j.writerDone)
		j.run()
	})
}

// Append implements Log. The record must not be modified afterwards.
func (j *journal) Append(ctx context.Context, priority Priority, record []byte) error {
	if len(record) > MaxRecordBytes {
		return errkind.New(errkind.TooLarge, "journal record of %d bytes exceeds %d bytes", len(record), MaxRecordBytes)
	}
	b, err := j.enqueue(priority, record)
	if err != nil {
		return err
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "journal record is not durable yet")
	}
}

// enqueue adds the record to the newest batch, or to a new one if it does not fit.
func (j *journal) enqueue(priority Priority, record []byte) (*batch, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.err != nil:
		return nil, j.err
	case j.closing:
		return nil, errClosed()
	case j.pendingBytes+len(record) > MaxPendingBytes:
		return nil, errkind.New(errkind.Overloaded, "%d bytes of journal records are pending", j.pendingBytes)
	}
	size := len(record) + maxRecordPrefixBytes
	var b *batch
	if n := len(j.queue); n > 0 && j.queue[n-1].bytes+size <= MaxEntryBytes-maxHeaderBytes+maxRecordPrefixBytes {
		b = j.queue[n-1]
	} else {
		b = &batch{priority: priority, done: make(chan struct{})}
		j.queue = append(j.queue, b)
	}
	b.records = append(b.records, record)
	b.bytes += size
	b.priority = min(b.priority, priority)
	j.pendingBytes += len(record)
	j.signalWriter()
	return b, nil
}

func errClosed() error { return errkind.New(errkind.Unavailable, "journal is closed") }

// signalWriter wakes the writing goroutine.
func (j *journal) signalWriter() {
	select {
	case j.writerSignal <- struct{}{}:
	default:
	}
}

// run writes the batches in order until the log is closed and has no pending
// records, or has failed.
func (j *journal) run() {
	for {
		j.startSnapshotIfDue()
		b, end := j.nextBatch()
		if end {
			return
		}
		if b == nil {
			select {
			case <-j.writerSignal:
			case <-j.ctx.Done():
				return
			}
			continue
		}
		if err := j.commit(b); err != nil {
			j.abort(err, b)
			return
		}
	}
}

// nextBatch removes the oldest batch from the queue, if the ring has a free slot
// for its entry; otherwise it returns nil. End is true if the writer must stop.
func (j *journal) nextBatch() (b *batch, end bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil || j.closing && len(j.queue) == 0 {
		return nil, true
	}
	if len(j.queue) == 0 || !j.state.hasFreeSlot(reservedSlots) {
		return nil, false
	}
	b = j.queue[0]
	j.queue[0] = nil
	j.queue = j.queue[1:]
	return b, false
}

// commit writes the entry of the batch, applies its records and completes it.
func (j *journal) commit(b *batch) error {
	e := entry{Seq: j.state.lastSeq + 1, Epoch: j.opts.Epoch, Token: newWriteToken(), VM: j.opts.VM, Records: b.records}
	if err := j.writeEntry(storebudget.WithPriority(j.ctx, b.priority), e); err != nil {
		return err
	}
	if j.opts.Apply != nil {
		for _, r := range b.records {
			j.opts.Apply(r)
		}
	}
	if j.opts.Snapshot == nil {
		j.history = append(j.history, b.records...)
	}
	j.completeBatch(b, nil)
	return nil
}

// completeBatch returns err to the callers of the batch.
func (j *journal) completeBatch(b *batch, err error) {
	j.mu.Lock()
	for _, r := range b.records {
		j.pendingBytes -= len(r)
	}
	j.mu.Unlock()
	b.err = err
	close(b.done)
}

// abort ends the log with an error; b, which may be nil, is the batch that was
// being written.
func (j *journal) abort(err error, b *batch) {
	var foreign *foreignWriteError
	fenced := errors.As(err, &foreign)
	final := err
	switch {
	case fenced:
		final = errkind.New(errkind.StaleEpoch, "partition %d has another owner", j.opts.Partition)
	case j.ctx.Err() != nil:
		final = errClosed()
	}
	j.mu.Lock()
	first := j.err == nil
	if first {
		j.err = final
	}
	queue := j.queue
	j.queue = nil
	j.mu.Unlock()
	j.signalWriter()
	if b != nil {
		j.completeBatch(b, j.batchError(foreign, final))
	}
	for _, q := range queue {
		j.completeBatch(q, final)
	}
	if first && fenced {
		j.handleFenced(foreign)
	}
}

// batchError returns the error for the batch that was being written when the log
// ended. The batch is known not to be written if its slot holds another entry with
// the same sequence number. An entry with a later number may have replaced the
// batch's entry, so the outcome is then unknown.
func (j *journal) batchError(foreign *foreignWriteError, final error) error {
	if foreign == nil {
		return errkind.Wrap(final, errkind.OutcomeUnknown, "journal was closed while the record was being written")
	}
	if !foreign.maybeWritten {
		return final
	}
	var e entry
	if unmarshal(foreign.entry.Key, foreign.entry.Value, &e) == nil && e.Seq == j.state.lastSeq+1 {
		return final
	}
	return errkind.New(errkind.OutcomeUnknown, "partition %d has another owner, which may have read the record", j.opts.Partition)
}

// handleFenced reports the takeover by another owner to the log and to OnFenced.
func (j *journal) handleFenced(foreign *foreignWriteError) {
	var other epochHeader
	_ = unmarshal(foreign.entry.Key, foreign.entry.Value, &other) // the epoch stays 0 if it cannot be decoded
	j.opts.Log.Info("journal was taken over by another owner", "partition", j.opts.Partition, "epoch", j.opts.Epoch, "newer", other.Epoch)
	if j.opts.OnFenced != nil {
		j.opts.OnFenced(other.Epoch)
	}
}

// Close implements Log. It may be called more than once.
func (j *journal) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	j.signalWriter()
	var err error
	select {
	case <-j.writerDone:
	case <-ctx.Done():
		err = errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "journal of partition %d was closed before all pending records were written", j.opts.Partition)
	}
	j.stop()
	j.wg.Wait()
	j.abort(errClosed(), nil)
	return err
}
