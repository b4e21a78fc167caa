package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// ownerRecord is the value of OwnerKey.
type ownerRecord struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Nonce   uint64 `cbor:"3,keyasint"` // tells a process from its predecessor at the same address
}

// Timings of the election.
const (
	// ownerPoll bounds a watch of the owner key, and so the time until a
	// connection that went silent is noticed.
	ownerPoll = 2500 * time.Millisecond
	// candidacySpread keeps candidates from writing all at once.
	candidacySpread = 30 * time.Millisecond
	// smallVMDelay is the head start of a VM with a whole core over one with none.
	smallVMDelay = 100 * time.Millisecond
)

// Elector follows who owns the fleet and takes ownership when nobody does.
type Elector struct {
	opts      Options
	cpuShare  float64
	nonce     uint64
	mu        sync.Mutex
	owner     ownerRecord
	known     bool
	revision  int64 // of the last poll
	mine      *Owner
	resigning bool
}

// NewElector returns an Elector; cpuShare is this VM's share of a core.
func NewElector(opts Options, cpuShare float64) *Elector {
	return &Elector{opts: opts, cpuShare: cpuShare, nonce: rand.Uint64()}
}

// Owner returns the address of the present owner and, on that VM, its Owner.
func (e *Elector) Owner() (address string, mine *Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mine != nil {
		return e.opts.Address, e.mine
	}
	if !e.known {
		return "", nil
	}
	return e.owner.Address, nil
}

// LastOwner returns the address of the VM that was last known as the owner, also
// while the store cannot be asked; empty if none was ever known.
func (e *Elector) LastOwner() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Address
}

// Resign gives up ownership and stops this VM from taking it again.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.resigning = true
	mine := e.mine
	e.mu.Unlock()
	if mine != nil {
		mine.resign()
	}
}

// vacateTry bounds the calls of a VM that frees the owner key: only a VM that the
// store answers as usual does so.
const vacateTry = 200 * time.Millisecond

// ReleaseOwnerKey deletes the owner key on behalf of the owner with the given token,
// which has lost the store, so that the VMs elect another one in their usual order.
// Kind conflict means that there is another owner already.
func (e *Elector) ReleaseOwnerKey(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, vacateTry)
	defer cancel()
	entry, err := e.opts.Store.Get(ctx, OwnerKey)
	if errkind.Is(err, errkind.NotFound) || (err == nil && entry.Version != token) {
		return errkind.New(errkind.Conflict, "the store no longer names that owner")
	}
	if err != nil {
		return err
	}
	_, err = e.opts.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: OwnerKey, Version: token}}, Deletes: []string{OwnerKey},
	})
	e.opts.Log.Info("owner key freed for an owner without the store", "token", token, "outcome", errorText(err))
	return err
}

// Run follows the owner key until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	backoff := storeRetryDelay
	for ctx.Err() == nil {
		vacant, err := e.follow(ctx)
		if err != nil {
			wait.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxStoreRetryDelay)
			continue
		}
		backoff = storeRetryDelay
		if vacant {
			e.campaign(ctx)
		}
	}
}

// follow returns true when nobody owns the fleet; otherwise it waits for a
// change of the owner key.
func (e *Elector) follow(ctx context.Context) (vacant bool, err error) {
	e.mu.Lock()
	known, after := e.known, e.revision
	e.mu.Unlock()
	if !known {
		return e.read(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerPoll+storeTimeout)
	defer cancel()
	changes, err := e.opts.Store.Poll(callCtx, OwnerKey, after, ownerPoll)
	if err != nil {
		e.forget()
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision = changes.Revision
	for _, event := range changes.Events {
		if event.Entry.Key != OwnerKey {
			continue
		}
		if event.Deleted {
			e.known = false
			continue
		}
		e.learn(event.Entry.Value)
	}
	return !e.known, nil
}

func (e *Elector) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = false
}

// read looks the owner key up.
func (e *Elector) read(ctx context.Context) (vacant bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := e.opts.Store.List(callCtx, OwnerKey, "", 1)
	if err != nil {
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision = list.Revision
	if len(list.Entries) == 0 {
		return true, nil
	}
	e.learn(list.Entries[0].Value)
	if e.owner.Address == e.opts.Address && e.owner.Nonce != e.nonce {
		go e.endPredecessor(ctx, list.Entries[0].Lease)
	}
	return false, nil
}

// endPredecessor ends the lease of the process that had this VM's address
// before: as this one listens there, that one is gone.
func (e *Elector) endPredecessor(ctx context.Context, lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := e.opts.Store.Revoke(ctx, lease)
	e.opts.Log.Info("lease of the former process at this address ended", "outcome", errorText(err))
}

// learn takes over the value of the owner key; the lock is held.
func (e *Elector) learn(value []byte) {
	var r ownerRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		e.opts.Log.Error(err, "owner record cannot be read")
	}
	if !e.known || r != e.owner {
		e.opts.Log.Info("owner of the fleet", "owner", r.Name, "address", r.Address, "self", r.Nonce == e.nonce)
	}
	e.owner, e.known = r, true
}

// campaign tries to become the owner and, when it succeeds, runs the Owner
// until ownership is lost.
func (e *Elector) campaign(ctx context.Context) {
	e.mu.Lock()
	resigning := e.resigning
	e.mu.Unlock()
	if resigning {
		wait.Sleep(ctx, LeaseTTL)
		return
	}
	if taken, err := e.standBack(ctx); err != nil || taken {
		return
	}
	claim, err := e.claim(ctx)
	if err != nil {
		e.opts.Log.Info("ownership not taken", "reason", err.Error())
		return
	}
	owner := newOwner(e.opts, claim)
	e.mu.Lock()
	e.mine = owner
	resigning = e.resigning
	e.mu.Unlock()
	if !resigning {
		owner.run(ctx)
	}
	e.mu.Lock()
	e.mine, e.known = nil, false
	e.mu.Unlock()
	owner.release()
}

// standBack waits so that VMs with more processor time come first, and reports
// whether one of them has taken ownership.
func (e *Elector) standBack(ctx context.Context) (taken bool, err error) {
	delay := time.Duration(float64(smallVMDelay)*max(0, 1-e.cpuShare)) + rand.N(candidacySpread)
	e.mu.Lock()
	after := e.revision
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, delay+storeTimeout)
	defer cancel()
	changes, err := e.opts.Store.Poll(ctx, OwnerKey, after, delay)
	if err != nil {
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision = changes.Revision
	for _, event := range changes.Events {
		if event.Entry.Key == OwnerKey && !event.Deleted {
			e.learn(event.Entry.Value)
			taken = true
		}
	}
	return taken, nil
}

// ownership is a held owner key. Its version is the fencing token.
type ownership struct {
	lease      platform.LeaseID
	token      int64
	validUntil time.Duration
}

// claim writes the owner key under a fresh lease.
func (e *Elector) claim(ctx context.Context) (ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, LeaseTTL)
	defer cancel()
	sentAt := e.opts.Clock()
	lease, err := e.opts.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return ownership{}, err
	}
	value, err := cbor.Marshal(ownerRecord{Name: e.opts.Name, Address: e.opts.Address, Nonce: e.nonce})
	if err != nil {
		return ownership{}, errkind.Wrap(err, errkind.Internal, "owner record")
	}
	res, err := e.opts.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: OwnerKey}},
		Writes:     []platform.Write{{Key: OwnerKey, Value: value, Lease: lease}},
	})
	validUntil := sentAt + LeaseTTL - ownershipMargin
	if err == nil {
		return ownership{lease: lease, token: res.Revision, validUntil: validUntil}, nil
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		return ownership{}, err
	}
	// The answer was lost; the key tells whether the write was done.
	entry, err := e.opts.Store.Get(ctx, OwnerKey)
	if err != nil {
		return ownership{}, err
	}
	var r ownerRecord
	if err := cbor.Unmarshal(entry.Value, &r); err != nil || r.Nonce != e.nonce || entry.Lease != lease {
		return ownership{}, errkind.New(errkind.Conflict, "%s was faster", r.Name)
	}
	return ownership{lease: lease, token: entry.Version, validUntil: validUntil}, nil
}
