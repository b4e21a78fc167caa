package membership

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/peer/peertest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// vm is one member under test; skew in nanoseconds is added to its clock.
type vm struct {
	*Membership
	skew   atomic.Int64
	pauses atomic.Int64
	stop   func()
}

// cluster runs members in one synctest bubble, with vm0 as their only seed.
type cluster struct {
	t         *testing.T
	net       *peertest.Net
	store     *memory.Store
	vms       map[string]*vm
	beforeRun func(id string, v *vm) // called before Run
}

func newCluster(t *testing.T, n int) *cluster {
	return newClusterWith(t, n, func(string, *vm) {})
}

func newClusterWith(t *testing.T, n int, setup func(string, *vm)) *cluster {
	c := &cluster{t: t, net: peertest.NewNet(), store: memory.NewStore(memory.Options{}), vms: map[string]*vm{}, beforeRun: setup}
	for i := range n {
		c.start(fmt.Sprint("vm", i))
	}
	return c
}

func (c *cluster) start(id string) *vm {
	v := &vm{}
	endpoint := c.net.Join(id)
	v.Membership = New(Options{
		Self: Member{ID: id, Address: id}, Seeds: []string{"vm0"}, Caller: endpoint, Registry: endpoint, VMs: c.store,
		now: func() time.Time { return time.Now().Add(time.Duration(v.skew.Load())) },
	})
	v.OnPause(func(time.Duration) { v.pauses.Add(1) })
	v.SetReady(true)
	c.beforeRun(id, v)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = v.Run(ctx) }()
	v.stop = func() { cancel(); <-done }
	c.t.Cleanup(v.stop)
	c.vms[id] = v
	return v
}

// kill disconnects and stops a member without notice to the others.
func (c *cluster) kill(id string) {
	c.net.SetDown(id, true)
	c.vms[id].stop()
}

// states returns the states of all members as seen by the given one, itself included.
func (c *cluster) states(of string) map[string]State {
	out := map[string]State{}
	for _, m := range c.vms[of].Members() {
		out[m.ID] = m.State
	}
	return out
}

func (c *cluster) expectStates(when, of string, want map[string]State) {
	c.t.Helper()
	if got := c.states(of); !maps.Equal(got, want) {
		c.t.Errorf("%s: %s sees %v, want %v", when, of, got, want)
	}
}

// expectedStates returns n members that are alive, except for the given states; dead
// members are left out.
func expectedStates(n int, change map[string]State) map[string]State {
	out := map[string]State{}
	for i := range n {
		out[fmt.Sprint("vm", i)] = Alive
	}
	for id, s := range change {
		if out[id] = s; s == Dead {
			delete(out, id)
		}
	}
	return out
}

// TestStates guards against a wrong state of a member that is slow, unreachable,
// draining or leaving, and after a pause of the observing VM.
func TestStates(t *testing.T) {
	const n = 9
	for _, tc := range []struct {
		name  string
		fault func(c *cluster)
		after time.Duration
		want  map[string]State
	}{
		{"joined", func(*cluster) {}, time.Second, nil},
		{"slow peer stays alive", func(c *cluster) { c.net.SetDelay("vm3", 1500*time.Millisecond) }, time.Minute, nil},
		{"unreachable peer is suspect", func(c *cluster) { c.kill("vm3") }, 3500 * time.Millisecond, map[string]State{"vm3": Suspect}},
		{"unreachable peer is dead", func(c *cluster) { c.kill("vm3") }, 7 * time.Second, map[string]State{"vm3": Dead}},
		{"draining", func(c *cluster) { c.vms["vm3"].SetDraining() }, time.Second, map[string]State{"vm3": Draining}},
		{"leaving in the VM list", func(c *cluster) {
			c.store.PutVM(platform.VM{ID: "vm3", Address: "vm3", Role: platform.RoleEntry, State: platform.VMLeaving})
		}, 2 * time.Second, map[string]State{"vm3": Draining}},
		{"VM list does not revive a dead member", func(c *cluster) {
			c.store.PutVM(platform.VM{ID: "vm3", Address: "vm3", Role: platform.RoleEntry, State: platform.VMLive})
			c.kill("vm3")
		}, time.Minute, map[string]State{"vm3": Dead}},
		{"own pause leaves peers alive", func(c *cluster) { c.vms["vm0"].skew.Store(int64(time.Minute)) }, 100 * time.Millisecond, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, n)
				time.Sleep(5 * time.Second)
				c.expectStates("before", "vm0", expectedStates(n, nil))
				tc.fault(c)
				time.Sleep(tc.after)
				c.expectStates("after", "vm0", expectedStates(n, tc.want))
			})
		})
	}
}

// TestPauseIsNoticed guards against an undetected pause of the VM itself. Without the
// detection, which restarts the failure timers, it would see all others as dead.
func TestPauseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(5 * time.Second)
		v := c.vms["vm0"]
		v.skew.Store(int64(10 * time.Second))
		if got := len(v.Members()); got != 3 || v.pauses.Load() != 1 {
			t.Errorf("%d members and %d detected pauses, want 3 and 1", got, v.pauses.Load())
		}
		v.mu.Lock()
		v.running = false // disables the pause detection
		v.mu.Unlock()
		v.skew.Store(int64(20 * time.Second))
		if got := len(v.Members()); got != 1 {
			t.Errorf("without pause detection: %d members, want 1", got)
		}
	})
}

// TestReturnedMember guards against stale entries of a VM's previous incarnation after
// a restart: neither those kept by its peers nor those in late digests may replace
// the entry of the new incarnation.
func TestReturnedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		time.Sleep(3 * time.Second)
		old := c.vms["vm3"].Self()
		c.kill("vm3")
		time.Sleep(time.Second)
		v := c.start("vm3")
		v.SetConfigRevision(7)
		time.Sleep(2 * time.Second)
		for _, m := range c.vms["vm0"].Members() {
			if m.ID == "vm3" && (m.Incarnation <= old.Incarnation || m.ConfigRevision != 7 || m.Counter >= old.Counter) {
				t.Errorf("entry of the previous incarnation %d still present: %+v", old.Incarnation, m)
			}
		}
		c.vms["vm0"].mergeHeartbeat(heartbeat{From: "vm9", Members: []Member{old}})
		for _, m := range c.vms["vm0"].Members() {
			if m.ID == "vm3" && m.Incarnation == old.Incarnation {
				t.Error("a stale digest restored the previous incarnation")
			}
		}
	})
}

// TestDetailsSpread guards against summaries, leaving reports or configuration
// revisions that do not reach the other members in time, and against leaving reports
// that never expire.
func TestDetailsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var free, revisionCalls atomic.Int64
		c := newClusterWith(t, 9, func(id string, v *vm) {
			if id == "vm4" {
				v.SetDomains(func() []sched.Summary {
					return []sched.Summary{{Domain: "r/a", FreeSlots: int(free.Load())}}
				})
			}
			v.OnHigherRevision(func(string, int64) { revisionCalls.Add(1) })
		})
		time.Sleep(3 * time.Second)
		for i := range 5 {
			free.Store(int64(i))
			time.Sleep(4 * time.Second)
			for id, v := range c.vms {
				if s := v.Summaries(); len(s) != 1 || s[0].FreeSlots != i {
					t.Errorf("%s has summaries %v, want %d free", id, s, i)
				}
			}
		}
		c.vms["vm5"].ReportLeaving("w1")
		c.vms["vm5"].SetConfigRevision(3)
		time.Sleep(2 * time.Second)
		c.kill("vm5")
		for id, v := range c.vms {
			if !v.LeavingTargets()["w1"] {
				t.Errorf("%s has no report of the leaving target after 2 s", id)
			}
		}
		if revisionCalls.Load() == 0 {
			t.Error("no OnHigherRevision call for the newer configuration")
		}
		time.Sleep(2 * LeavingTTL)
		if left := c.vms["vm0"].LeavingTargets(); len(left) > 0 {
			t.Errorf("leaving reports did not expire: %v", left)
		}
	})
}

// BenchmarkHeartbeatBytes measures the bytes per second and VM with 9 members and 17
// failure domains, with summaries that stay the same or change every second.
func BenchmarkHeartbeatBytes(b *testing.B) {
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprint("changing=", changing), func(b *testing.B) {
			var perVM float64
			for b.Loop() {
				perVM = heartbeatBytes(b, changing)
			}
			b.ReportMetric(perVM, "bytes/s/VM")
		})
	}
}

// heartbeatBytes returns the bytes per second and VM over 60 simulated seconds.
func heartbeatBytes(b *testing.B, changing bool) float64 {
	const members, domains, seconds = 9, 17, 60
	net := peertest.NewNet()
	tick := 0
	var vms []*Membership
	now := time.Unix(0, 0)
	for i := range members {
		id := fmt.Sprint("vm-", i)
		endpoint := net.Join(id)
		m := New(Options{Self: Member{ID: id, Address: id, FailureDomain: "region/a"}, Seeds: []string{"vm-0"}, Caller: endpoint, Registry: endpoint, now: func() time.Time { return now }})
		m.SetDomains(func() []sched.Summary { return testSummaries(i, members, domains, tick, changing) })
		vms = append(vms, m)
	}
	for tick = range 2 * seconds {
		now = now.Add(DefaultHeartbeatInterval)
		for _, m := range vms {
			m.refreshSelf()
			for _, a := range m.roundPeers() {
				m.sendHeartbeat(context.Background(), a)
			}
		}
	}
	if got := len(vms[0].Summaries()); got != domains {
		b.Fatalf("%d summaries, want 17", got)
	}
	return float64(net.Bytes()) / seconds / members
}

// testSummaries returns the summaries of the domains that member vm owns.
func testSummaries(vm, members, domains, tick int, changing bool) []sched.Summary {
	var out []sched.Summary
	for d := vm; d < domains; d += members {
		s := sched.Summary{
			Domain: fmt.Sprint("region/d", d), Workers: 765, Accelerators: 1470, FreeSlots: 12,
			Free:          sched.FreeCapacity{Worker: 4, Rack: 16, Domain: 40},
			QueuedByClass: map[string]int{"urgent": 1, "short": 20, "long": 300}, UsedByWorkspace: map[string]int{},
		}
		for w := range 27 { // 460 workspaces over 17 domains, about 27 in each
			s.UsedByWorkspace[fmt.Sprint("team-", w)] = 50
		}
		if changing {
			s.FreeSlots = tick
		}
		out = append(out, s)
	}
	return out
}
