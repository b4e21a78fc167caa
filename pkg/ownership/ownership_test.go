package ownership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/controlwatch"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/peer/peertest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testShards = func() []Shard {
	var out []Shard
	for p := range 16 {
		out = append(out, PartitionShard(p))
	}
	return append(out, DomainShard("r/a"), DomainShard("r/b"), DomainShard("r/c"))
}()

// cutStore is one VM's way to the store, which can be cut.
type cutStore struct {
	platform.Store
	cut atomic.Bool
}

func (s *cutStore) Put(ctx context.Context, key string, v []byte, expect int64, l platform.LeaseID) (int64, error) {
	if s.cut.Load() {
		return 0, context.DeadlineExceeded
	}
	return s.Store.Put(ctx, key, v, expect, l)
}

func (s *cutStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if s.cut.Load() {
		return context.DeadlineExceeded
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64) ([]platform.Event, error) {
	if s.cut.Load() {
		return nil, context.DeadlineExceeded
	}
	return s.Store.Watch(ctx, prefix, after)
}

// host records what the manager asks for.
type host struct {
	mu     sync.Mutex
	epochs map[Shard]int64
	log    []string
}

func (h *host) StartShard(_ context.Context, s Shard, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epochs[s] = epoch
	h.log = append(h.log, fmt.Sprintf("start %s", s))
}

func (h *host) StopShard(_ context.Context, s Shard, lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.epochs, s)
	h.log = append(h.log, fmt.Sprintf("stop %s lost=%v", s, lost))
}

// calls counts what the log holds with the prefix and suffix.
func (h *host) calls(prefix, suffix string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range h.log {
		if strings.HasPrefix(l, prefix) && strings.HasSuffix(l, suffix) {
			n++
		}
	}
	return n
}

type vm struct {
	*Manager
	members *membership.Membership
	host    *host
	store   *cutStore
	skew    atomic.Int64
	stop    func()
}

type cluster struct {
	t      *testing.T
	net    *peertest.Net
	store  *memory.Store
	vms    map[string]*vm
	frozen atomic.Bool // no rebalancing
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, net: peertest.NewNet(), store: memory.NewStore(memory.Options{}), vms: map[string]*vm{}}
	for i := range n {
		c.start(fmt.Sprint("vm", i))
	}
	return c
}

func (c *cluster) start(id string) *vm {
	v := &vm{host: &host{epochs: map[Shard]int64{}}, store: &cutStore{Store: c.store}}
	end := c.net.Join(id)
	domain := "r/" + string("abc"[int(id[2]-'0')%3])
	v.members = membership.New(membership.Options{
		Self: membership.Member{ID: id, Address: id, FailureDomain: domain}, Seeds: []string{"vm0", "vm1"}, Caller: end, Registry: end,
	})
	v.members.SetReady(true)
	watch := controlwatch.New(controlwatch.Options{Store: v.store})
	v.Manager = New(Options{
		Store: v.store, Watch: watch, Members: v.members, Host: v.host,
		Shards:       func() []Shard { return testShards },
		MayRebalance: func() bool { return !c.frozen.Load() },
		now:          func() time.Time { return time.Now().Add(time.Duration(v.skew.Load())) },
	})
	v.members.SetShards(v.OwnedEpochs)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{v.members.Run, watch.Run, v.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	v.stop = func() { cancel(); wg.Wait() }
	c.t.Cleanup(v.stop)
	c.vms[id] = v
	return v
}

func (c *cluster) kill(id string) {
	c.net.SetDown(id, true)
	c.vms[id].stop()
	delete(c.vms, id)
}

// complete checks that each shard is served by one VM, that all VMs know it, and
// that no VM has more than its share.
func (c *cluster) complete(when string, balanced bool) {
	c.t.Helper()
	served := map[Shard]string{}
	for id, v := range c.vms {
		v.host.mu.Lock()
		if limit := (16+len(c.vms)-1)/len(c.vms) + (3+len(c.vms)-1)/len(c.vms); balanced && len(v.host.epochs) > limit {
			c.t.Errorf("%s: %s serves %d shards, limit %d", when, id, len(v.host.epochs), limit)
		}
		for s := range v.host.epochs {
			if other := served[s]; other != "" {
				c.t.Errorf("%s: %s is served by %s and %s", when, s, other, id)
			}
			served[s] = id
		}
		v.host.mu.Unlock()
	}
	for _, s := range testShards {
		for id, v := range c.vms {
			if o, ok := v.Owner(s); !ok || o.VM != served[s] || o.Self != (id == o.VM) {
				c.t.Errorf("%s: %s is served by %q, %s believes %+v", when, s, served[s], id, o)
			}
		}
	}
}

// TestStartJoinDrainDeath guards against shards without an owner, with two, or
// with the wrong one, and against many moves when all VMs start together.
func TestStartJoinDrainDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9)
		time.Sleep(3 * time.Second)
		c.complete("start", true)
		if n := c.store.Counts().Calls[memory.OpPut]; n > int64(len(testShards))+4 {
			t.Errorf("%d writes of owner keys for %d shards: VMs that start together compete", n, len(testShards))
		}
		c.start("vm9")
		time.Sleep(6 * time.Second)
		c.complete("join", true)
		if c.vms["vm9"].host.calls("start", "") == 0 {
			t.Error("the VM that joined got nothing")
		}
		var reports [][]Shard
		if err := c.vms["vm4"].Drain(t.Context(), func(w []Shard) { reports = append(reports, w) }); err != nil {
			t.Error(err)
		}
		if len(reports) == 0 || len(reports[len(reports)-1]) != 0 {
			t.Errorf("drain reported %v", reports)
		}
		c.kill("vm4")
		time.Sleep(8 * time.Second)
		c.complete("drain", true)
		c.kill("vm2")
		time.Sleep(5 * time.Second)
		c.complete("takeover in 5 s", true)
		for id, v := range c.vms {
			if n := v.host.calls("stop", "lost=true"); n > 0 {
				t.Errorf("%s lost %d shards", id, n)
			}
		}
	})
}

// TestNoRebalanceWhileHeld guards against shards that move during a hold, and
// checks that takeover goes on.
func TestNoRebalanceWhileHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(5 * time.Second)
		c.frozen.Store(true)
		c.start("vm3")
		time.Sleep(10 * time.Second)
		if n := c.vms["vm3"].host.calls("start", ""); n > 0 {
			t.Errorf("%d shards moved during a hold", n)
		}
		c.kill("vm1")
		time.Sleep(5 * time.Second)
		c.complete("takeover during a hold", false)
	})
}

// TestStoreOutage guards against holders that stop, owners that are unknown to
// a VM that starts, and lost memory after the outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(6 * time.Second)
		c.store.SetFaults(memory.Faults{Outage: true})
		time.Sleep(time.Minute)
		c.complete("outage", true)
		fresh := c.start("vm3")
		time.Sleep(3 * time.Second)
		if got := len(fresh.Owners()); got != len(testShards) {
			t.Errorf("VM that started in the outage knows %d owners", got)
		}
		c.store.SetFaults(memory.Faults{})
		time.Sleep(20 * time.Second)
		c.complete("after the outage", true)
		for id, v := range c.vms {
			if n := v.host.calls("stop", "lost=true"); n > 0 {
				t.Errorf("%s lost %d shards although all went on", id, n)
			}
		}
	})
}

// TestCutFromStore guards against a holder that goes on although others have
// taken its shards over, when only this VM is cut from the store.
func TestCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(6 * time.Second)
		v := c.vms["vm1"]
		held := v.host.calls("start", "")
		v.store.cut.Store(true)
		time.Sleep(10 * time.Second)
		c.complete("one VM cut from the store", false)
		if n := v.host.calls("stop", "lost=true"); n != held {
			t.Errorf("%d of %d shards were given up", n, held)
		}
		v.store.cut.Store(false)
		time.Sleep(10 * time.Second)
		c.complete("store reached again", true)
	})
}

// TestPause guards against a VM that acts on shards after a pause in which its
// lease has lapsed, and shows that without the check it would.
func TestPause(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(fmt.Sprint("check=", check), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				time.Sleep(6 * time.Second)
				v := c.vms["vm1"]
				held, _ := v.OwnedEpochs()
				v.skew.Store(int64(time.Minute))
				if !check {
					v.mu.Lock()
					v.lastLook = time.Time{} // hides the gap
					v.mu.Unlock()
				}
				trusted := 0
				for s := range held {
					if _, ok := v.Owner(Shard(s)); ok {
						trusted++
					}
				}
				if check && trusted > 0 || !check && trusted == 0 {
					t.Errorf("%d of %d shards count as owned right after the pause", trusted, len(held))
				}
				time.Sleep(10 * time.Second)
				c.complete("after the pause", true)
			})
		})
	}
}

// TestLeaseLapsedWhilePaused guards against a VM that goes on with shards which
// others took over while it was paused.
func TestLeaseLapsedWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(6 * time.Second)
		v := c.vms["vm1"]
		held, _ := v.OwnedEpochs()
		v.store.cut.Store(true) // nothing of a paused VM reaches the others
		c.net.SetDown("vm1", true)
		time.Sleep(10 * time.Second)
		v.skew.Store(int64(10 * time.Second))
		v.store.cut.Store(false)
		c.net.SetDown("vm1", false)
		for s := range held {
			if o, ok := v.Owner(Shard(s)); ok && o.Self {
				t.Errorf("%s counts as owned right after the pause", s)
			}
		}
		time.Sleep(3 * time.Second)
		if n := v.host.calls("stop", "lost=true"); n != len(held) {
			t.Errorf("%d of %d shards were given up", n, len(held))
		}
		time.Sleep(10 * time.Second)
		c.complete("after the pause", true)
	})
}

// TestLostAnswersOfClaims guards against a shard that has a key but no server
// because the answer to its creation or deletion was lost.
func TestLostAnswersOfClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.store.SetFaults(memory.Faults{LoseShare: 0.5, Seed: 1, LosePrefix: KeyPrefix})
		time.Sleep(8 * time.Second)
		c.complete("half of the answers lost", true)
		c.start("vm3")
		time.Sleep(10 * time.Second)
		c.complete("hand-over with lost answers", true)
		if c.store.Counts().LostAnswers == 0 {
			t.Error("no answer was lost")
		}
	})
}

// TestReturnedVM guards against the keys of a VM's former incarnation being
// taken for its own.
func TestReturnedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(6 * time.Second)
		c.kill("vm1")
		v := c.start("vm1")
		time.Sleep(time.Second)
		for _, o := range v.Owners() {
			if o.Self {
				t.Errorf("%s counts as owned by the new incarnation", o.Shard)
			}
		}
		time.Sleep(12 * time.Second)
		c.complete("returned", true)
	})
}

// TestSawEpoch guards against a holder that goes on after a target or the
// journal has shown a newer epoch.
func TestSawEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(4 * time.Second)
		v := c.vms["vm0"]
		o, _ := v.Owner("p0")
		v.ObserveEpoch("p0", o.Epoch)
		synctest.Wait()
		if n := v.host.calls("stop p0", ""); n != 0 {
			t.Error("the own epoch stopped the shard")
		}
		v.ObserveEpoch("p0", o.Epoch+1)
		synctest.Wait()
		if n := v.host.calls("stop p0", "lost=true"); n != 1 {
			t.Errorf("%d stops after a newer epoch", n)
		}
	})
}

// TestDesired guards against a desired owner that cannot own, a share above the
// limit, and domains that leave their own VMs without need.
func TestDesired(t *testing.T) {
	var members []membership.Member
	for i := range 9 {
		members = append(members, membership.Member{
			ID: fmt.Sprint("vm", i), FailureDomain: "r/" + string("abc"[i%3]), State: membership.Alive, Ready: true,
		})
	}
	members[1].State = membership.Suspect
	members[2].Ready = false
	members[3].NoLease = true
	members[4].State = membership.Draining
	want := desired(testShards, members)
	load := map[string]int{}
	for _, s := range testShards {
		id := want[s]
		if !slices.Contains([]string{"vm0", "vm5", "vm6", "vm7", "vm8"}, id) {
			t.Errorf("%s has the desired owner %q", s, id)
		}
		if d, ok := s.Domain(); ok {
			if i := id[2] - '0'; members[i].FailureDomain != d {
				t.Errorf("%s is outside its failure domain at %s", s, id)
			}
			continue
		}
		if load[id]++; load[id] > 4 {
			t.Errorf("%s has more than its share", id)
		}
	}
	if len(desired(testShards, nil)) != 0 {
		t.Error("a desired owner without members")
	}
}

// BenchmarkIdleStoreCalls reports the store calls of one VM per second when
// nothing happens, in virtual time.
func BenchmarkIdleStoreCalls(b *testing.B) {
	var perSecond float64
	for b.Loop() {
		t := &testing.T{}
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 9)
			time.Sleep(10 * time.Second)
			c.store.ResetCounts()
			time.Sleep(10 * time.Minute)
			calls := int64(0)
			for op, n := range c.store.Counts().Calls {
				if op != memory.OpListVMs {
					calls += n
				}
			}
			perSecond = float64(calls) / 600 / 9
		})
	}
	b.ReportMetric(perSecond, "calls/s/VM")
}
