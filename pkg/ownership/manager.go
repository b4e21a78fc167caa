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
// this VM should own and hands over those that another should.
type Manager struct {
	opts     Options
	self     Owner // identity of this VM
	wake     chan struct{}
	renewNow chan struct{}
	wg       sync.WaitGroup

	mu        sync.Mutex
	run       context.Context // of Run
	lease     lease
	verify    bool // after a pause, until the store has answered or is out of reach
	lastLook  time.Time
	synced    bool // the owner keys have been read
	following bool // the watch follows the store
	// interrupted says that the store was out of reach before; resumed is when
	// it answered again.
	interrupted bool
	resumed     time.Time
	owners      map[Shard]owned
	// gone is the newest revision at which the shard is known to have no key;
	// older versions of the key are ignored.
	gone     map[Shard]int64
	held     map[Shard]*holding
	claiming map[Shard]bool
	desired  map[Shard]string
	since    map[Shard]time.Time // since when another VM is the desired owner
	draining bool
	settled  time.Time
}

// owned is one owner key.
type owned struct {
	Owner
	lease platform.LeaseID
}

// holding is a shard that the host of this VM serves.
type holding struct {
	epoch    int64
	stopping bool
	keyGone  bool // the key went with the lease; the shard is to be claimed again
}

var _ Locator = (*Manager)(nil)

// New returns a Manager and subscribes it to the watch.
func New(opts Options) *Manager {
	m := &Manager{
		opts:     opts.withDefaults(),
		run:      context.Background(),
		wake:     make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1),
		owners:   map[Shard]owned{},
		gone:     map[Shard]int64{},
		held:     map[Shard]*holding{},
		claiming: map[Shard]bool{},
		desired:  map[Shard]string{},
		since:    map[Shard]time.Time{},
	}
	self := opts.Members.Self()
	m.self = Owner{VM: self.ID, Incarnation: self.Incarnation, Address: self.Address}
	if opts.Watch != nil {
		opts.Watch.Subscribe(KeyPrefix, subscriber{m})
	}
	return m
}

// Run works until ctx ends. It does not stop the held shards then; call Drain
// before for a graceful end.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.run, m.lastLook = ctx, m.opts.now()
	m.settled = m.lastLook.Add(StartupClaimDelay + rand.N(settleJitter))
	m.mu.Unlock()
	m.wg.Go(func() { m.leaseLoop(ctx) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// TriggerReconcile starts a reconciliation at once; it is called when the membership changes.
func (m *Manager) TriggerReconcile() { m.wakeStep() }

func (m *Manager) wakeStep() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// HandlePause handles a pause of this VM: until the store has confirmed the lease,
// or cannot be reached, this VM counts as owner of nothing.
func (m *Manager) HandlePause(time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.verify = true
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

// look notices a pause by the monotonic clock; m.mu is held.
func (m *Manager) look() {
	now := m.opts.now()
	if !m.lastLook.IsZero() && now.Sub(m.lastLook) > pauseLimit {
		m.verify = true
		select {
		case m.renewNow <- struct{}{}:
		default:
		}
	}
	m.lastLook = now
}

// Owner implements Locator.
func (m *Manager) Owner(shard Shard) (Owner, bool) {
	m.mu.Lock()
	m.look()
	o, ok := m.ownerLocked(shard)
	ask := m.outOfReach()
	m.mu.Unlock()
	if ask {
		if p, found := m.fromPeers()[shard]; found && (!ok || p.Epoch > o.Epoch) {
			return p, true
		}
	}
	return o, ok
}

// ownerLocked looks in the held shards and the owner keys; m.mu is held.
func (m *Manager) ownerLocked(shard Shard) (Owner, bool) {
	o, ok := m.owners[shard]
	if h := m.held[shard]; h != nil && (!ok || h.epoch >= o.Epoch) {
		if m.verify {
			return Owner{}, false
		}
		self := m.self
		self.Shard, self.Epoch, self.Self = shard, h.epoch, true
		return self, true
	}
	if ok && m.isSelf(o.Owner) {
		return Owner{}, false // the own key, before the host has started or after it has stopped
	}
	return o.Owner, ok
}

func (m *Manager) isSelf(o Owner) bool {
	return o.VM == m.self.VM && o.Incarnation == m.self.Incarnation
}

// fromPeers returns the owners that the members report of themselves, for the
// time in which the store does not tell.
func (m *Manager) fromPeers() map[Shard]Owner {
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
	m.look()
	for s := range m.owners {
		if o, ok := m.ownerLocked(s); ok {
			found[s] = o
		}
	}
	for s := range m.held {
		if o, ok := m.ownerLocked(s); ok {
			found[s] = o
		}
	}
	ask := m.outOfReach()
	m.mu.Unlock()
	if ask {
		for s, p := range m.fromPeers() {
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
	epochs = make(map[string]int64, len(m.held))
	for s, h := range m.held {
		epochs[string(s)] = h.epoch
	}
	return epochs, m.leased()
}

// ObserveEpoch records that a journal or a target showed an epoch of the shard. If it
// is newer than the own one, the shard is stopped as lost.
func (m *Manager) ObserveEpoch(shard Shard, epoch int64) {
	m.mu.Lock()
	h := m.held[shard]
	lost := h != nil && epoch > h.epoch
	m.mu.Unlock()
	if lost {
		m.releaseShard(shard, true)
	}
}

// Drain hands all shards over and returns the lease. Report, which may be nil,
// is called with the shards that are still waited for, each time one is done.
// When ctx ends first, the error names them.
func (m *Manager) Drain(ctx context.Context, report func(waiting []Shard)) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.wakeStep()
	ticker := time.NewTicker(stepInterval / 5)
	defer ticker.Stop()
	last := -1
	for {
		waiting := m.waiting()
		if len(waiting) != last && report != nil {
			report(waiting)
		}
		if last = len(waiting); last == 0 {
			return m.revoke(ctx)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "shards were not handed over: %v", waiting)
		case <-ticker.C:
		}
	}
}

func (m *Manager) waiting() []Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Shard, 0, len(m.held))
	for s := range m.held {
		out = append(out, s)
	}
	for s := range m.claiming {
		if m.held[s] == nil {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// revoke ends the lease, so that a key that was left behind goes at once.
func (m *Manager) revoke(ctx context.Context) error {
	m.mu.Lock()
	id := m.lease.id
	m.mu.Unlock()
	if id == 0 {
		return nil
	}
	if err := m.opts.Store.Revoke(ctx, id); err != nil && !errkind.Is(err, errkind.NotFound) {
		m.opts.Log.Info("lease was not revoked and lapses by itself", "error", err.Error())
	}
	return nil
}

// claim creates the owner key of a shard. The version of the created key is the
// epoch. A lost answer is left to the watch, which shows the key if it is there.
func (m *Manager) claim(ctx context.Context, shard Shard) error {
	m.mu.Lock()
	valid, id := m.leased(), m.lease.id
	m.mu.Unlock()
	if !valid {
		return nil
	}
	own := m.self
	own.Shard = shard
	value, err := json.Marshal(own)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "owner cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.LeaseTTL)
	defer cancel()
	version, err := m.opts.Store.Put(ctx, KeyPrefix+string(shard), value, 0, id)
	if err != nil {
		return err
	}
	own.Epoch = version
	m.acquired(ctx, shard, owned{Owner: own, lease: id})
	return nil
}

// claimAll claims shards in parallel, after a short random wait that keeps the
// VMs apart.
func (m *Manager) claimAll(ctx context.Context, shards []Shard) {
	g := errgroup.Group{}
	g.SetLimit(createWorkers)
	for _, s := range shards {
		g.Go(func() error {
			defer m.claimDone(s)
			wait.Sleep(ctx, rand.N(claimJitter))
			if err := m.claim(ctx, s); err != nil && !errkind.Is(err, errkind.Conflict) {
				m.opts.Log.V(1).Info("shard was not claimed", "shard", s, "error", err.Error())
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (m *Manager) claimDone(s Shard) {
	m.mu.Lock()
	delete(m.claiming, s)
	m.mu.Unlock()
	m.wakeStep()
}

func (m *Manager) record(shard Shard, reason string, epoch int64) {
	m.opts.Log.Info("owner changed", "shard", shard, "reason", reason, "epoch", epoch)
	m.opts.Recorder.Record(timeline.Event{
		Type: timeline.OwnerChanged, Reason: fmt.Sprintf("shard %s: %s, epoch %d", shard, reason, epoch),
	})
}
