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
	Nonce   uint64 `cbor:"3,keyasint"` // distinguishes a process from its predecessor at the same address
}

// Timings of the election.
const (
	// ownerPollTimeout bounds a poll of the owner key, and so the time until a
	// dead connection to the store is detected.
	ownerPollTimeout = 2500 * time.Millisecond
	// campaignJitter keeps candidates from writing the owner key all at once.
	campaignJitter = 30 * time.Millisecond
	// lowCPUDelay is the campaign delay of a VM with no CPU share; it falls linearly
	// to zero for a VM with at least one core.
	lowCPUDelay = 100 * time.Millisecond
)

// Elector watches which VM owns the fleet and campaigns for ownership when the
// owner key is free.
type Elector struct {
	opts       Options
	cpuShare   float64
	nonce      uint64
	mu         sync.Mutex
	owner      ownerRecord
	ownerToken int64 // version of the owner key that holds owner
	ownerKnown bool
	hint       OwnerHint // newest from another VM, or of the own ownership
	revision   int64     // of the last answer about the owner key
	// vacantSince is when this VM learned that the owner key is free; 0 while it is not.
	vacantSince time.Duration
	localOwner  *Owner
	resigning   bool

	// Used by Run only.
	nextHintAt   time.Duration
	holdUntil    time.Duration // this VM does not campaign before, as it has handed the fleet over
	handoverFrom time.Duration // nor does it hand it over again before
}

// NewElector returns an Elector; cpuShare is the processor time of this VM in
// cores.
func NewElector(opts Options, cpuShare float64) *Elector {
	return &Elector{opts: opts, cpuShare: cpuShare, nonce: rand.Uint64()}
}

// Owner returns the address of the current owner and, if this VM is the owner, its
// Owner.
func (e *Elector) Owner() (address string, local *Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.localOwner != nil {
		return e.opts.Address, e.localOwner
	}
	if !e.ownerKnown {
		return "", nil
	}
	return e.owner.Address, nil
}

// Resign gives up ownership and prevents this VM from campaigning again.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.resigning = true
	local := e.localOwner
	e.mu.Unlock()
	if local != nil {
		local.resign()
	}
}

// releaseKeyTimeout bounds the calls that free another VM's owner key. It is
// short, so that only a VM with normal access to the store does so.
const releaseKeyTimeout = 200 * time.Millisecond

// ReleaseOwnerKey frees the owner key on behalf of the owner with the given token,
// which cannot reach the store, so that the VMs elect a new owner with their usual
// campaign delays. It returns kind conflict if the key is gone or another VM owns it.
//
// It revokes the lease rather than deleting the key: an owner that does not learn of the
// outcome ends with its next renewal, whenever the store carries out the call.
func (e *Elector) ReleaseOwnerKey(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, releaseKeyTimeout)
	defer cancel()
	entry, err := e.opts.Store.Get(ctx, OwnerKey)
	if errkind.Is(err, errkind.NotFound) || (err == nil && entry.Version != token) {
		return errkind.New(errkind.Conflict, "the owner key no longer has this token")
	}
	if err != nil {
		return err
	}
	err = e.opts.Store.Revoke(ctx, entry.Lease)
	if errkind.Is(err, errkind.NotFound) {
		err = errkind.Wrap(err, errkind.Conflict, "the lease of the owner key has ended")
	}
	e.opts.Log.Info("owner key freed for an owner without the store", "token", token, "outcome", errorText(err))
	return err
}

// Run watches the owner key and campaigns whenever it is free, until ctx is done.
func (e *Elector) Run(ctx context.Context) {
	var announcing sync.WaitGroup
	announcing.Go(func() { e.announceVM(ctx) })
	defer announcing.Wait()
	backoff := storeRetryDelay
	for ctx.Err() == nil {
		vacant, err := e.watchOwnerKey(ctx)
		if err != nil {
			e.askForOwner(ctx)
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

// watchOwnerKey returns true if no VM owns the fleet. Otherwise it waits for a change
// of the owner key, for at most ownerPollTimeout.
func (e *Elector) watchOwnerKey(ctx context.Context) (vacant bool, err error) {
	e.mu.Lock()
	known, after := e.ownerKnown, e.revision
	e.mu.Unlock()
	if !known {
		return e.readOwnerKey(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerPollTimeout+storeTimeout)
	defer cancel()
	changes, err := e.opts.Store.Poll(callCtx, OwnerKey, after, ownerPollTimeout)
	if err != nil {
		e.invalidateOwner()
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
			e.ownerKnown = false
			e.noteVacancy()
			continue
		}
		e.setOwner(event.Entry)
	}
	return !e.ownerKnown, nil
}

func (e *Elector) invalidateOwner() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownerKnown = false
}

// readOwnerKey reads the owner key and the revision from which to watch it.
func (e *Elector) readOwnerKey(ctx context.Context) (vacant bool, err error) {
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
		e.noteVacancy()
		return true, nil
	}
	e.setOwner(list.Entries[0])
	if e.owner.Address == e.opts.Address && e.owner.Nonce != e.nonce {
		go e.revokePredecessorLease(ctx, list.Entries[0].Lease)
	}
	return false, nil
}

// revokePredecessorLease revokes the lease of the previous process at this VM's
// address. That process has ended, since this one listens on the address.
func (e *Elector) revokePredecessorLease(ctx context.Context, lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := e.opts.Store.Revoke(ctx, lease)
	e.opts.Log.Info("revoked the lease of the previous process at this address", "outcome", errorText(err))
}

// setOwner applies the entry of the owner key. The caller holds the lock.
func (e *Elector) setOwner(entry platform.Entry) {
	var r ownerRecord
	if err := cbor.Unmarshal(entry.Value, &r); err != nil {
		e.opts.Log.Error(err, "cannot decode the owner record")
	}
	if !e.ownerKnown || r != e.owner {
		e.opts.Log.Info("observed the owner of the fleet", "owner", r.Name, "address", r.Address, "self", r.Nonce == e.nonce)
	}
	e.owner, e.ownerToken, e.ownerKnown, e.vacantSince = r, entry.Version, true, 0
}

// noteVacancy records that the owner key is free. The caller holds the lock.
func (e *Elector) noteVacancy() {
	if e.vacantSince == 0 {
		e.vacantSince = e.opts.Clock()
	}
}

// campaign tries to become the owner and, if it succeeds, runs the Owner until
// ownership ends.
func (e *Elector) campaign(ctx context.Context) {
	e.mu.Lock()
	resigning := e.resigning
	e.mu.Unlock()
	if resigning {
		wait.Sleep(ctx, LeaseTTL)
		return
	}
	if taken, err := e.delayCampaign(ctx); err != nil || taken {
		return
	}
	acquired, err := e.claimOwnership(ctx)
	if err != nil {
		e.opts.Log.Info("could not acquire ownership", "reason", err.Error())
		return
	}
	e.mu.Lock()
	acquired.vacantSince, e.vacantSince = e.vacantSince, 0
	owner := newOwner(e.opts, acquired)
	owner.cpuShare, owner.handoverFrom = e.cpuShare, e.handoverFrom
	e.localOwner, e.hint = owner, OwnerHint{Address: e.opts.Address, Token: acquired.token}
	resigning = e.resigning
	e.mu.Unlock()
	if !resigning {
		owner.run(ctx)
	}
	if owner.handedOver {
		now := e.opts.Clock()
		e.holdUntil, e.handoverFrom = now+handoverHold, now+handoverRetry
	}
	e.mu.Lock()
	e.localOwner, e.ownerKnown = nil, false
	e.mu.Unlock()
	owner.revokeLease()
}

// delayCampaign waits, so that VMs with a larger CPU share campaign first, and all others before
// one that has handed the fleet over. It reports whether another VM has become the owner meanwhile.
func (e *Elector) delayCampaign(ctx context.Context) (taken bool, err error) {
	delay := time.Duration(float64(lowCPUDelay)*max(0, 1-e.cpuShare)) + rand.N(campaignJitter)
	delay = max(delay, e.holdUntil-e.opts.Clock())
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
			e.setOwner(event.Entry)
			taken = true
		}
	}
	return taken, nil
}

// ownershipLease is the lease of an owner key that this VM has written. The version
// of the key is the fencing token.
type ownershipLease struct {
	id         platform.LeaseID
	token      int64
	validUntil time.Duration
	// vacantSince is when this VM learned that there was no owner.
	vacantSince time.Duration
}

// claimOwnership writes the owner key with a new lease, if the key doesn't exist.
func (e *Elector) claimOwnership(ctx context.Context) (ownershipLease, error) {
	ctx, cancel := context.WithTimeout(ctx, LeaseTTL)
	defer cancel()
	sentAt := e.opts.Clock()
	lease, err := e.opts.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return ownershipLease{}, err
	}
	value, err := cbor.Marshal(ownerRecord{Name: e.opts.Name, Address: e.opts.Address, Nonce: e.nonce})
	if err != nil {
		return ownershipLease{}, errkind.Wrap(err, errkind.Internal, "cannot encode the owner record")
	}
	res, err := e.opts.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: OwnerKey}},
		Writes:     []platform.Write{{Key: OwnerKey, Value: value, Lease: lease}},
	})
	validUntil := sentAt + LeaseTTL - ownershipMargin
	if err == nil {
		return ownershipLease{id: lease, token: res.Revision, validUntil: validUntil}, nil
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		return ownershipLease{}, err
	}
	// The answer was lost; the owner key shows whether the write was applied.
	entry, err := e.opts.Store.Get(ctx, OwnerKey)
	if err != nil {
		return ownershipLease{}, err
	}
	var r ownerRecord
	if err := cbor.Unmarshal(entry.Value, &r); err != nil || r.Nonce != e.nonce || entry.Lease != lease {
		return ownershipLease{}, errkind.New(errkind.Conflict, "%s became the owner first", r.Name)
	}
	return ownershipLease{id: lease, token: entry.Version, validUntil: validUntil}, nil
}
