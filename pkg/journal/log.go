package journal

import (
	"context"
	"errors"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/storebudget"
)

// group is the records that share one entry. Their callers wait for one channel.
type group struct {
	records  [][]byte
	bytes    int
	priority Priority
	done     chan struct{}
	err      error // set before done is closed
}

// journal implements Log. One goroutine writes the entries, so that one
// compare-and-swap is in flight and groups grow under load; a second one writes
// snapshots.
type journal struct {
	opts   Options
	cas    casWriter
	keys   keys
	ctx    context.Context
	stop   context.CancelFunc
	wake   chan struct{}
	wg     sync.WaitGroup
	writer chan struct{} // closed when the writer has ended
	// history holds all records when Options.Snapshot is nil.
	history [][]byte

	mu           sync.Mutex
	state        state // last, head and headVersion are read under mu
	queue        []*group
	pendingBytes int
	closing      bool
	snapshotting bool
	err          error // set once the log takes nothing more
}

func newJournal(opts Options) *journal {
	j := &journal{
		opts: opts, cas: casWriter{opts.Store}, keys: keysOf(opts.Partition),
		wake: make(chan struct{}, 1), writer: make(chan struct{}),
	}
	j.ctx, j.stop = context.WithCancel(context.Background())
	return j
}

func (j *journal) start() {
	j.wg.Go(func() {
		defer close(j.writer)
		j.run()
	})
}

// Append implements Log. The record must not be modified afterwards.
func (j *journal) Append(ctx context.Context, priority Priority, record []byte) error {
	if len(record) > MaxRecordBytes {
		return errkind.New(errkind.TooLarge, "journal record of %d bytes exceeds %d bytes", len(record), MaxRecordBytes)
	}
	g, err := j.enqueue(priority, record)
	if err != nil {
		return err
	}
	select {
	case <-g.done:
		return g.err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "journal record is not durable yet")
	}
}

func (j *journal) enqueue(priority Priority, record []byte) (*group, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.err != nil:
		return nil, j.err
	case j.closing:
		return nil, errClosed()
	case j.pendingBytes+len(record) > MaxPendingBytes:
		return nil, errkind.New(errkind.Overloaded, "%d bytes of journal records wait for the store", j.pendingBytes)
	}
	size := len(record) + recordBytes
	var g *group
	if n := len(j.queue); n > 0 && j.queue[n-1].bytes+size <= MaxEntryBytes-headerBytes+recordBytes {
		g = j.queue[n-1]
	} else {
		g = &group{priority: priority, done: make(chan struct{})}
		j.queue = append(j.queue, g)
	}
	g.records = append(g.records, record)
	g.bytes += size
	g.priority = min(g.priority, priority)
	j.pendingBytes += len(record)
	j.signal()
	return g, nil
}

func errClosed() error { return errkind.New(errkind.Unavailable, "journal is closed") }

func (j *journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// run writes one group after the other until the log is closed and empty, or
// has failed.
func (j *journal) run() {
	for {
		j.maybeSnapshot()
		g, end := j.next()
		if end {
			return
		}
		if g == nil {
			select {
			case <-j.wake:
			case <-j.ctx.Done():
				return
			}
			continue
		}
		if err := j.commit(g); err != nil {
			j.abort(err, g)
			return
		}
	}
}

// next takes the oldest group, if the ring has room for its entry. End says
// that nothing more will come.
func (j *journal) next() (g *group, end bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil || j.closing && len(j.queue) == 0 {
		return nil, true
	}
	if len(j.queue) == 0 || !j.state.fits(reservedSlots) {
		return nil, false
	}
	g = j.queue[0]
	j.queue[0] = nil
	j.queue = j.queue[1:]
	return g, false
}

// commit writes the group's entry and tells its callers.
func (j *journal) commit(g *group) error {
	e := entry{Seq: j.state.last + 1, Epoch: j.opts.Epoch, Token: newToken(), VM: j.opts.VM, Records: g.records}
	if err := j.writeEntry(storebudget.WithPriority(j.ctx, g.priority), e); err != nil {
		return err
	}
	if j.opts.Apply != nil {
		for _, r := range g.records {
			j.opts.Apply(r)
		}
	}
	if j.opts.Snapshot == nil {
		j.history = append(j.history, g.records...)
	}
	j.release(g, nil)
	return nil
}

func (j *journal) release(g *group, err error) {
	j.mu.Lock()
	for _, r := range g.records {
		j.pendingBytes -= len(r)
	}
	j.mu.Unlock()
	g.err = err
	close(g.done)
}

// abort ends the log after an error; g is the group that was being written.
func (j *journal) abort(err error, g *group) {
	var foreign *foreignError
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
	j.signal()
	if g != nil {
		j.release(g, j.groupError(foreign, final))
	}
	for _, q := range queue {
		j.release(q, final)
	}
	if first && fenced {
		j.fenced(foreign)
	}
}

// groupError is the error of the group that was being written when the log
// ended. The group is known not to be written if the slot holds another entry
// with its sequence number; a later one may have replaced it.
func (j *journal) groupError(foreign *foreignError, final error) error {
	if foreign == nil {
		return errkind.Wrap(final, errkind.OutcomeUnknown, "journal was closed while the record was being written")
	}
	if !foreign.maybeWritten {
		return final
	}
	var e entry
	if unmarshal(foreign.entry.Key, foreign.entry.Value, &e) == nil && e.Seq == j.state.last+1 {
		return final
	}
	return errkind.New(errkind.OutcomeUnknown, "partition %d has another owner, which may have read the record", j.opts.Partition)
}

func (j *journal) fenced(foreign *foreignError) {
	var other author
	_ = unmarshal(foreign.entry.Key, foreign.entry.Value, &other) // zero: not known
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
	j.signal()
	var err error
	select {
	case <-j.writer:
	case <-ctx.Done():
		err = errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "journal of partition %d was closed before all was written", j.opts.Partition)
	}
	j.stop()
	j.wg.Wait()
	j.abort(errClosed(), nil)
	return err
}
