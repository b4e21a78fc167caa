package memory

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// OpCommit is the type of a transaction; it counts as one write.
const OpCommit Op = "commit"

var _ platform.Transactor = (*Store)(nil)

// Commit applies a transaction, see platform.Transactor. All its changes get the same
// revision.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if n := len(txn.Conditions) + len(txn.Writes) + len(txn.Deletes); n > platform.MaxTxnEntries {
		return platform.TxnResult{}, errkind.New(errkind.InvalidRequest, "a transaction of %d entries exceeds %d", n, platform.MaxTxnEntries)
	}
	return do(ctx, s, OpCommit, firstKey(txn), func() (platform.TxnResult, error) { return s.commit(txn) })
}

func firstKey(txn platform.Txn) string {
	if len(txn.Writes) > 0 {
		return txn.Writes[0].Key
	}
	return ""
}

func (s *Store) commit(txn platform.Txn) (platform.TxnResult, error) {
	var res platform.TxnResult
	for _, c := range txn.Conditions {
		current := platform.Entry{Key: c.Key}
		if e, ok := s.lookup(c.Key); ok {
			current = cloneEntry(e)
		}
		res.Current = append(res.Current, current)
	}
	for _, c := range txn.Conditions {
		if err := s.checkVersion(c.Key, c.Version); err != nil {
			return res, err
		}
	}
	res.Current = nil
	for _, w := range txn.Writes {
		if w.Lease == 0 {
			continue
		}
		if _, err := s.liveLease(w.Lease); err != nil {
			return res, err
		}
	}
	s.revision++
	s.inTxn = true
	defer func() { s.inTxn = false }()
	for _, w := range txn.Writes {
		if _, err := s.put(w.Key, w.Value, platform.AnyVersion, w.Lease); err != nil {
			return res, err
		}
	}
	for _, key := range txn.Deletes {
		if _, ok := s.lookup(key); ok {
			s.remove(key)
		}
	}
	res.Revision = s.revision
	return res, nil
}

// Poll waits for changes for a bounded time, see platform.Transactor.
func (s *Store) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, err := s.Watch(ctx, prefix, after)
	if err != nil {
		return platform.PollResult{}, err
	}
	next := after
	for _, e := range events {
		next = e.Revision
	}
	return platform.PollResult{Events: events, Revision: next}, nil
}
