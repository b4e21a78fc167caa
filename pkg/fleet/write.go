package fleet

import (
	"bytes"
	"context"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// batchJobs is how many jobs fit into one transaction: a condition and a write
// for each, and the condition on the owner key.
const batchJobs = (platform.MaxTxnEntries - 1) / 2

// batch is a set of job records that is written at once.
type batch struct {
	jobs    []*job
	changes []int64
	after   [][]func()
	txn     platform.Txn
}

// maxWrites bounds the batches that are being written. A slow store then delays
// each change by one answer, not by that of the batch before it as well.
const maxWrites = 4

// startWrites begins to write the changed jobs, in batches of their own.
func (o *Owner) startWrites() {
	for o.ctx.Err() == nil {
		select {
		case o.writes <- struct{}{}:
		default:
			return // the end of a write signals the next cycle
		}
		b := o.takeBatch()
		if b == nil {
			<-o.writes
			return
		}
		o.goRun(func() {
			more := o.persist(b)
			<-o.writes
			if more {
				o.signal()
			}
		})
	}
}

// persist writes a batch of changed jobs, and then sends the orders that had to
// wait for it. It returns whether more is to be written.
func (o *Owner) persist(b *batch) (more bool) {
	pause := storeRetryDelay
	for o.awaitValid() {
		res, err := storecall.Hedge(o.ctx, &o.timeout, func(ctx context.Context) (platform.TxnResult, error) {
			return o.opts.Store.Commit(ctx, b.txn)
		})
		switch {
		case err == nil:
			return o.stored(b, res.Revision)
		case errkind.Is(err, errkind.Conflict):
			return o.resolveConflict(b, res.Current)
		}
		if o.ctx.Err() == nil {
			o.opts.Log.Info("progress not stored", "jobs", len(b.jobs), "reason", err.Error())
		}
		if !wait.Sleep(o.ctx, pause) {
			return false
		}
		pause = min(2*pause, maxStoreRetryDelay)
	}
	return false
}

// takeBatch collects changed jobs that are not being written; nil if there are
// none.
func (o *Owner) takeBatch() *batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := &batch{txn: platform.Txn{Conditions: []platform.Condition{{Key: OwnerKey, Version: o.lease.token}}}}
	for j := range o.dirty {
		if j.writeInFlight {
			continue // its next write needs the version of this one
		}
		data, err := j.progress.Encode()
		if err != nil {
			o.opts.Log.Error(err, "progress cannot be encoded", "job", j.ID)
			delete(o.dirty, j)
			continue
		}
		key := ProgressKey(j.ID)
		b.txn.Conditions = append(b.txn.Conditions, platform.Condition{Key: key, Version: j.progressVersion})
		b.txn.Writes = append(b.txn.Writes, platform.Write{Key: key, Value: data})
		b.jobs = append(b.jobs, j)
		b.changes = append(b.changes, j.changeSeq)
		b.after = append(b.after, j.afterCommit)
		j.afterCommit, j.writeInFlight = nil, true
		if len(b.jobs) == batchJobs {
			break
		}
	}
	if len(b.jobs) == 0 {
		return nil
	}
	return b
}

// stored notes that a batch is durable and runs what waited for it.
func (o *Owner) stored(b *batch, revision int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteStored(b, revision)
	return len(o.dirty) > 0
}

// noteStored does the work of stored; the lock is held.
func (o *Owner) noteStored(b *batch, revision int64) {
	for n, j := range b.jobs {
		j.writeInFlight = false
		j.progressVersion, j.committedSeq, j.storedState = revision, b.changes[n], o.durableState(b, n)
		if j.changeSeq == b.changes[n] {
			delete(o.dirty, j)
		}
		for _, f := range b.after[n] {
			f()
		}
	}
	for _, w := range o.sortedWorkers() {
		if len(w.unackedEnds) > 0 {
			o.advanceAck(w)
		}
	}
}

// durableState is the state that a stored record shows.
func (o *Owner) durableState(b *batch, n int) workload.State {
	s, err := workload.DecodeState(b.txn.Writes[n].Value)
	if err != nil {
		o.opts.Log.Error(err, "own progress record cannot be read", "job", b.jobs[n].ID)
	}
	return s
}

// resolveConflict handles a refused batch. If this VM is still the owner, the
// refusal comes from a write of its own whose answer was lost: the versions are
// taken over and the batch is written anew from the present state.
func (o *Owner) resolveConflict(b *batch, current []platform.Entry) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	versions := map[string]int64{}
	for _, e := range current {
		versions[e.Key] = e.Version
	}
	if len(current) == 0 || versions[OwnerKey] != o.lease.token {
		o.lose("the store names another owner")
		return false
	}
	if revision, own := b.writtenAs(current); own {
		o.noteStored(b, revision)
		return len(o.dirty) > 0
	}
	for n, j := range b.jobs {
		j.writeInFlight = false
		j.progressVersion = versions[ProgressKey(j.ID)]
		j.afterCommit = append(b.after[n], j.afterCommit...)
		o.dirty[j] = struct{}{}
	}
	return true
}

// writtenAs reports whether the store holds what the batch has written, and at
// which revision: its answer was lost, or it was sent twice.
func (b *batch) writtenAs(current []platform.Entry) (revision int64, own bool) {
	values := map[string]platform.Entry{}
	for _, e := range current {
		values[e.Key] = e
	}
	for _, w := range b.txn.Writes {
		e, ok := values[w.Key]
		if !ok || !bytes.Equal(e.Value, w.Value) || (revision != 0 && e.Version != revision) {
			return 0, false
		}
		revision = e.Version
	}
	return revision, true
}
