package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Manager implements Locator. It keeps the VM's lease, claims the shards that
// this VM should own and hands over those that another VM should own.
type Manager struct {
	opts            Options
	self            Owner // identity of this VM
	reconcileSignal chan struct{}
	renewNow        chan struct{}
	wg              sync.WaitGroup

	mu              sync.Mutex
	runCtx          context.Context // context of Run
	lease           lease
	leaseUnverified bool // set after a pause until the store has answered or is found unreachable
	lastPauseCheck  time.Time
	keysLoaded      bool // the owner keys have been read once
	watchHealthy    bool // the watch is up to date with the store
	// hadOutage is set once the store has been unreachable; outageEnd is when it
	// last became reachable again.
	hadOutage bool
	outageEnd time.Time
	ownerKeys map[Shard]ownerKey
	// deletedRevisions holds the newest revision at which a shard is known to have
	// no key; older versions of the key are ignored.
	deletedRevisions  map[Shard]int64
	served            map[Shard]*servedShard
	claiming          map[Shard]bool
	desired           map[Shard]string
	desiredSince      map[Shard]time.Time // since when a shard has its present desired owner
	draining          bool
	claimsAllowedFrom time.Time
}

// ownerKey is the decoded owner key of a shard.
type ownerKey struct {
	Owner
	lease platform.LeaseID
}

// servedShard is a shard that the host of this VM serves.
type servedShard struct {
	epoch      int64
	stopping   bool
	keyMissing bool // the key was removed, e.g. with the lease; the shard must be claimed again
}

var _ Locator = (*Manager)(nil)

// New returns a Manager and subscribes it to the watch.
func New(opts Options) *Manager {
	m := &Manager{
		opts:             opts.withDefaults(),
		runCtx:           context.Background(),
		reconcileSignal:  make(chan struct{}, 1),
		renewNow:         make(chan struct{}, 1),
		ownerKeys:        map[Shard]ownerKey{},
		deletedRevisions: map[Shard]int64{},
		served:           map[Shard]*servedShard{},
		claiming:         map[Shard]bool{},
		desired:          map[Shard]string{},
		desiredSince:     map[Shard]time.Time{},
	}
	self := opts.Members.Self()
	m.self = Owner{VM: self.ID, Incarnation: self.Incarnation, Address: self.Address}
	if opts.Watch != nil {
		opts.Watch.Subscribe(KeyPrefix, subscriber{m})
	}
	return m
}

// Run keeps the lease and reconciles the shards until ctx ends. It does not stop
// the served shards then; call Drain first for a graceful shutdown.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx, m.lastPauseCheck = ctx, m.opts.now()
	m.claimsAllowedFrom = m.lastPauseCheck.Add(StartupClaimDelay + rand.N(startupClaimJitter))
	m.mu.Unlock()
	m.wg.Go(func() { m.leaseLoop(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return nil
		case <-ticker.C:
		case <-m.reconcileSignal:
		}
	}
}

// TriggerReconcile starts a reconciliation at once, for use when the membership
// changes.
func (m *Manager) TriggerReconcile() { m.signalReconcile() }

func (m *Manager) signalReconcile() {
	select {
	case m.reconcileSignal <- struct{}{}:
	default:
	}
}

// HandlePause handles a pause of this VM: until the store has confirmed the lease,
// or has proved unreachable, this VM does not report itself as an owner.
func (m *Manager) HandlePause(time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseUnverified = true
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

// detectPause detects a pause of the process by a gap in the monotonic clock and
// then requests a renewal of the lease; the caller holds m.mu.
func (m *Manager) detectPause() {
	now := m.opts.now()
	if !m.lastPauseCheck.IsZero() && now.Sub(m.lastPauseCheck) > pauseThreshold {
		m.leaseUnverified = true
		select {
		case m.renewNow <- struct{}{}:
		default:
		}
	}
	m.lastPauseCheck = now
}

// Owner implements Locator.
func (m *Manager) Owner(shard Shard) (Owner, bool) {
	m.mu.Lock()
	m.detectPause()
	o, ok := m.ownerLocked(shard)
	usePeers := m.storeUnreachable()
	m.mu.Unlock()
	if usePeers {
		if p, found := m.ownersFromPeers()[shard]; found && (!ok || p.Epoch > o.Epoch) {
			return p, true
		}
	}
	return o, ok
}

// ownerLocked looks the owner up in the served shards and the owner keys; the
// caller holds m.mu.
func (m *Manager) ownerLocked(shard Shard) (Owner, bool) {
	o, ok := m.ownerKeys[shard]
	if h := m.served[shard]; h != nil && (!ok || h.epoch >= o.Epoch) {
		if m.leaseUnverified {
			return Owner{}, false
		}
		self := m.self
		self.Shard, self.Epoch, self.Self = shard, h.epoch, true
		return self, true
	}
	if ok && m.isSelf(o.Owner) {
		return Owner{}, false // this VM's key, while the host does not serve the shard
	}
	return o.Owner, ok
}

func (m *Manager) isSelf(o Owner) bool {
	return o.VM == m.self.VM && o.Incarnation == m.self.Incarnation
}

// ownersFromPeers returns the shards that the other members report as their own.
// They stand in for the owner keys while the store is unreachable, and show after
// an outage which VM still serves a shard.
func (m *Manager) ownersFromPeers() map[Shard]Owner {
	out := map[Shard]Owner{}
	for _, e := range m.opts.Members.Members() {
		if e.ID == m.self.VM {
			continue
		}
		for name, epoch := range e.Shards {
			s := Shard(name)
			if epoch > out[s].Epoch {
				out[s] = Owner{Shard: s, VM: e.ID, Incarnation: e.Incarnation, Address: e.Address, Epoch: epoch}
			}
		}
	}
	return out
}

// Owners implements Locator.
func (m *Manager) Owners() []Owner {
	found := map[Shard]Owner{}
	m.mu.Lock()
	m.detectPause()
	for s := range m.ownerKeys {
		if o, ok := m.ownerLocked(s); ok {
			found[s] = o
		}
	}
	for s := range m.served {
		if o, ok := m.ownerLocked(s); ok {
			found[s] = o
		}
	}
	usePeers := m.storeUnreachable()
	m.mu.Unlock()
	if usePeers {
		for s, p := range m.ownersFromPeers() {
			if p.Epoch > found[s].Epoch {
				found[s] = p
			}
		}
	}
	out := make([]Owner, 0, len(found))
	for _, o := range found {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Owner) int { return strings.Compare(string(a.Shard), string(b.Shard)) })
	return out
}

// OwnedEpochs returns the epochs of the shards that this VM serves, and whether it
// holds a valid lease; it is the source for Membership.SetShards.
func (m *Manager) OwnedEpochs() (epochs map[string]int64, leased bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epochs = make(map[string]int64, len(m.served))
	for s, h := range m.served {
		epochs[string(s)] = h.epoch
	}
	return epochs, m.hasValidLease()
}

// ObserveEpoch handles an epoch of the shard that a journal or a target has
// reported. If it is newer than the epoch of this VM, the shard is stopped as lost.
func (m *Manager) ObserveEpoch(shard Shard, epoch int64) {
	m.mu.Lock()
	h := m.served[shard]
	lost := h != nil && epoch > h.epoch
	m.mu.Unlock()
	if lost {
		m.releaseShard(shard, true)
	}
}

// Drain hands all shards over and revokes the lease. Report, which may be nil, is
// called with the remaining shards each time their number changes. If ctx ends
// first, the error names the remaining shards.
func (m *Manager) Drain(ctx context.Context, report func(waiting []Shard)) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.signalReconcile()
	ticker := time.NewTicker(reconcileInterval / 5)
	defer ticker.Stop()
	last := -1
	for {
		waiting := m.unreleasedShards()
		if len(waiting) != last && report != nil {
			report(waiting)
		}
		if last = len(waiting); last == 0 {
			return m.revokeLease(ctx)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "shards were not handed over: %v", waiting)
		case <-ticker.C:
		}
	}
}

// unreleasedShards returns the shards that are served or being claimed, sorted.
func (m *Manager) unreleasedShards() []Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Shard, 0, len(m.served))
	for s := range m.served {
		out = append(out, s)
	}
	for s := range m.claiming {
		if m.served[s] == nil {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// revokeLease revokes the lease, so that the store removes any remaining owner key
// at once.
func (m *Manager) revokeLease(ctx context.Context) error {
	m.mu.Lock()
	id := m.lease.id
	m.mu.Unlock()
	if id == 0 {
		return nil
	}
	if err := m.opts.Store.Revoke(ctx, id); err != nil && !errkind.Is(err, errkind.NotFound) {
		m.opts.Log.Info("lease could not be revoked; it will expire", "error", err.Error())
	}
	return nil
}

// claim creates the owner key of a shard. The version of the created key is the
// epoch. If the answer is lost, the watch shows whether the key was created.
func (m *Manager) claim(ctx context.Context, shard Shard) error {
	m.mu.Lock()
	valid, id := m.hasValidLease(), m.lease.id
	m.mu.Unlock()
	if !valid {
		return nil
	}
	own := m.self
	own.Shard = shard
	value, err := json.Marshal(own)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "owner key cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.LeaseTTL)
	defer cancel()
	version, err := m.opts.Store.Put(ctx, KeyPrefix+string(shard), value, 0, id)
	if err != nil {
		return err
	}
	own.Epoch = version
	m.startOrRenew(ctx, shard, ownerKey{Owner: own, lease: id})
	return nil
}

// claimAll claims shards concurrently, each after a short random delay that
// spreads the claims of several VMs.
func (m *Manager) claimAll(ctx context.Context, shards []Shard) {
	g := errgroup.Group{}
	g.SetLimit(maxConcurrentClaims)
	for _, s := range shards {
		g.Go(func() error {
			defer m.finishClaim(s)
			wait.Sleep(ctx, rand.N(claimJitter))
			if err := m.claim(ctx, s); err != nil && !errkind.Is(err, errkind.Conflict) {
				m.opts.Log.V(1).Info("failed to claim the shard", "shard", s, "error", err.Error())
			}
			return nil
		})
	}
	_ = g.Wait()
}

// finishClaim ends a claim and triggers a reconciliation.
func (m *Manager) finishClaim(s Shard) {
	m.mu.Lock()
	delete(m.claiming, s)
	m.mu.Unlock()
	m.signalReconcile()
}

// recordOwnerChange logs a change of ownership and adds it to the timeline.
func (m *Manager) recordOwnerChange(shard Shard, reason string, epoch int64) {
	m.opts.Log.Info("owner changed", "shard", shard, "reason", reason, "epoch", epoch)
	m.opts.Recorder.Record(timeline.Event{
		Type: timeline.OwnerChanged, Reason: fmt.Sprintf("shard %s: %s, epoch %d", shard, reason, epoch),
	})
}
