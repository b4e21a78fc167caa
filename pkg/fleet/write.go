package fleet

import (
	"bytes"
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

const (
	// entriesPerJob is the largest number of entries of a job in a transaction: a condition and a
	// write for its progress, and a write for its record.
	entriesPerJob = 3
	// minDroppedPayload is the size from which the payload of an ended job is dropped from its
	// record. A smaller one costs more to write than to load.
	minDroppedPayload = 512
)

// progressBatch is a set of progress records that one transaction writes.
type progressBatch struct {
	jobs       []*job
	jobRecords []platform.Write // of ended jobs, without their payload; they follow the progress in txn
	changeSeqs []int64
	afterWrite [][]func()
	txn        platform.Txn
	settles    bool // it holds one job, only for what is known of its starts
	takenAt    time.Duration
	attempts   int    // failed attempts to write it
	lastError  string // of the latest attempt
}

// maxOpenWrites is the maximum number of batches that are written concurrently. With
// one at a time, a change in a slow store would also wait for the answer to the
// batch before it.
const maxOpenWrites = 4

// startWrites starts to write the progress of changed jobs in concurrent batches.
func (o *Owner) startWrites() {
	for o.ctx.Err() == nil {
		select {
		case o.writeSlots <- struct{}{}:
		default:
			return // no free slot; the end of a write triggers the next cycle
		}
		b := o.takeBatch()
		if b == nil {
			<-o.writeSlots
			return
		}
		o.goRun(func() {
			remaining := o.commitBatch(b)
			<-o.writeSlots
			if remaining {
				o.triggerCycle()
			}
		})
	}
}

// commitBatch writes a batch of progress records with retries, and then sends the
// orders that depend on it. It returns whether there are more changes to write.
func (o *Owner) commitBatch(b *progressBatch) (remaining bool) {
	pause := storeRetryDelay
	for o.awaitOwnership() {
		res, err := storecall.Hedge(o.ctx, &o.adaptiveWriteTimeout, func(ctx context.Context) (platform.TxnResult, error) {
			return o.opts.Store.Commit(ctx, b.txn)
		})
		switch {
		case err == nil:
			return o.recordStored(b, res.Revision)
		case errkind.Is(err, errkind.Conflict):
			return o.resolveConflict(b, res.Current)
		}
		if o.ctx.Err() == nil {
			o.opts.Log.Info("could not store job progress; retrying", "jobs", len(b.jobs), "reason", err.Error())
			o.recordFailedWrite(b, err)
		}
		if !wait.Sleep(o.ctx, pause) {
			return false
		}
		pause = min(2*pause, maxStoreRetryDelay)
	}
	return false
}

// takeBatch collects changed jobs that have no open write, first those with orders that
// wait for it; without changes, a job with news of its starts. It returns nil if there are none.
func (o *Owner) takeBatch() *progressBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := &progressBatch{txn: platform.Txn{Conditions: []platform.Condition{{Key: OwnerKey, Version: o.ownership.token}}}}
	for _, ordersWait := range []bool{true, false} {
		for j := range o.dirty {
			if !b.hasRoom() {
				break
			}
			// The next write of a job is conditional on the version of the open one.
			if !j.writeInFlight && (len(j.afterCommit) > 0) == ordersWait {
				o.addToBatch(b, j)
			}
		}
	}
	if len(b.jobs) == 0 {
		if j := o.jobToSettle(); j != nil {
			b.settles = true
			o.addToBatch(b, j)
		}
	}
	if len(b.jobs) == 0 {
		return nil
	}
	b.txn.Writes = append(b.txn.Writes, b.jobRecords...)
	b.takenAt = o.opts.Clock()
	o.batches[b] = struct{}{}
	return b
}

// hasRoom reports whether another job fits into the transaction of the batch.
func (b *progressBatch) hasRoom() bool {
	entries := len(b.txn.Conditions) + len(b.txn.Writes) + len(b.jobRecords)
	return entries+entriesPerJob <= platform.MaxTxnEntries
}

const (
	// settledWriteDelay lets the settled starts of a job, and their ages, share one write.
	settledWriteDelay = 300 * time.Millisecond
	// minRunAfterSettle is how long a run of the job must still last for that write, in
	// multiples of a late answer of the store. The write is put off meanwhile, for at most
	// maxSettleDeferral in the same unit.
	minRunAfterSettle = 2
	maxSettleDeferral = 4
)

// jobToSettle returns the job whose news of starts has waited longest for its write, if
// no such write is open; the lock is held. One job at a time leaves the other writes to
// changes, which callers and orders wait for.
func (o *Owner) jobToSettle() *job {
	for b := range o.batches {
		if b.settles {
			return nil
		}
	}
	var oldest *job
	now, lateAnswer := o.opts.Clock(), o.adaptiveWriteTimeout.HedgeAfter()
	for _, j := range o.active {
		if j.unsavedSince == 0 || j.writeInFlight || now-j.unsavedSince < settledWriteDelay {
			continue
		}
		if now-j.unsavedSince < settledWriteDelay+maxSettleDeferral*lateAnswer && o.endsWithin(j, minRunAfterSettle*lateAnswer, now) {
			continue // the write of the end holds this news too, and would have to wait
		}
		if oldest == nil || j.unsavedSince < oldest.unsavedSince {
			oldest = j
		}
	}
	return oldest
}

// endsWithin reports whether a run of a job is expected to end within a time; the lock is held.
func (o *Owner) endsWithin(j *job, within, now time.Duration) bool {
	for g := range j.groups() {
		for _, r := range g.runs {
			if r.phase == phaseRunning && o.remainingRunTime(r, now) < within {
				return true
			}
		}
	}
	return false
}

// addToBatch adds the progress of a job to a batch; the lock is held.
func (o *Owner) addToBatch(b *progressBatch, j *job) {
	data, err := j.progress.Encode()
	if err != nil {
		o.opts.Log.Error(err, "cannot encode job progress", "job", j.ID)
		delete(o.dirty, j)
		return
	}
	key := ProgressKey(j.ID)
	b.txn.Conditions = append(b.txn.Conditions, platform.Condition{Key: key, Version: j.progressVersion})
	b.txn.Writes = append(b.txn.Writes, platform.Write{Key: key, Value: data})
	b.jobs = append(b.jobs, j)
	b.changeSeqs = append(b.changeSeqs, j.changeSeq)
	b.afterWrite = append(b.afterWrite, j.afterCommit)
	j.afterCommit, j.writeInFlight, j.unwrittenSince, j.unsavedSince = nil, true, 0, 0
	o.dropPayload(b, j)
}

// dropPayload adds the record of a job without its payload to the batch that ends the job. The
// record is kept for as long as clients may ask for the job, and a successor loads it; only starts
// need the payload. The lock is held.
func (o *Owner) dropPayload(b *progressBatch, j *job) {
	if !j.progress.State.Final() || j.storedState.Final() || len(j.Payload) < minDroppedPayload {
		return
	}
	ended := *j.Job
	ended.Payload = ""
	record, err := workload.EncodeJob(&ended)
	if err != nil {
		o.opts.Log.Error(err, "cannot encode the record of an ended job", "job", j.ID)
		return
	}
	b.jobRecords = append(b.jobRecords, platform.Write{Key: JobKey(j.ID), Value: record})
}

// recordStored records that a batch is durable and runs the actions that depend on
// it. It returns whether there are more changes to write.
func (o *Owner) recordStored(b *progressBatch, revision int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordStoredLocked(b, func(*job) int64 { return revision })
	return len(o.dirty) > 0 || b.settles
}

// recordStoredLocked is recordStored for callers that hold the lock; versionOf returns the
// version of a job's progress key.
func (o *Owner) recordStoredLocked(b *progressBatch, versionOf func(*job) int64) {
	delete(o.batches, b)
	for n, j := range b.jobs {
		j.writeInFlight, j.conflicts = false, 0
		j.progressVersion, j.committedSeq, j.storedState = versionOf(j), b.changeSeqs[n], o.storedState(b, n)
		if j.changeSeq == b.changeSeqs[n] {
			delete(o.dirty, j)
		} else {
			j.unstoredSince = j.unwrittenSince
		}
		for _, f := range b.afterWrite[n] {
			f()
		}
	}
	for _, w := range o.sortedWorkers() {
		if len(w.unackedEnds) > 0 {
			o.advanceAck(w)
		}
	}
}

// storedState returns the job state in record n of a stored batch.
func (o *Owner) storedState(b *progressBatch, n int) workload.State {
	s, err := workload.DecodeState(b.txn.Writes[n].Value)
	if err != nil {
		o.opts.Log.Error(err, "cannot decode a stored progress record", "job", b.jobs[n].ID)
	}
	return s
}

// resolveConflict handles a batch that failed on a version conflict. If this VM is
// still the owner, the conflict is with a write of its own whose answer was lost:
// the jobs take the stored versions, and their current progress is written again.
// It returns whether there are more changes to write.
func (o *Owner) resolveConflict(b *progressBatch, current []platform.Entry) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	versions := map[string]int64{}
	for _, e := range current {
		versions[e.Key] = e.Version
	}
	if len(current) == 0 || versions[OwnerKey] != o.ownership.token {
		o.endOwnership("the owner key no longer has the token of this VM")
		return false
	}
	if b.storedIn(current) {
		o.recordStoredLocked(b, func(j *job) int64 { return versions[ProgressKey(j.ID)] })
		return len(o.dirty) > 0
	}
	delete(o.batches, b)
	o.reportConflict(b)
	for n, j := range b.jobs {
		j.writeInFlight = false
		j.progressVersion = versions[ProgressKey(j.ID)]
		j.afterCommit = append(b.afterWrite[n], j.afterCommit...)
		o.dirty[j] = struct{}{}
	}
	return true
}

// storedIn reports whether the store holds exactly the progress of the batch: its answer
// was lost, or it was sent twice.
func (b *progressBatch) storedIn(current []platform.Entry) bool {
	values := map[string][]byte{}
	for _, e := range current {
		values[e.Key] = e.Value
	}
	for _, w := range b.txn.Writes[:len(b.jobs)] {
		if value, ok := values[w.Key]; !ok || !bytes.Equal(value, w.Value) {
			return false
		}
	}
	return true
}
