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

// vm is one member under test; skew lets its clock jump.
type vm struct {
	*Membership
	skew   atomic.Int64
	pauses atomic.Int64
	stop   func()
}

// cluster runs members in one bubble, found through the first one's address.
type cluster struct {
	t     *testing.T
	net   *peertest.Net
	store *memory.Store
	vms   map[string]*vm
	setup func(id string, v *vm) // called before Run
}

func newCluster(t *testing.T, n int) *cluster {
	return newClusterWith(t, n, func(string, *vm) {})
}

func newClusterWith(t *testing.T, n int, setup func(string, *vm)) *cluster {
	c := &cluster{t: t, net: peertest.NewNet(), store: memory.NewStore(memory.Options{}), vms: map[string]*vm{}, setup: setup}
	for i := range n {
		c.start(fmt.Sprint("vm", i))
	}
	return c
}

func (c *cluster) start(id string) *vm {
	v := &vm{}
	end := c.net.Join(id)
	v.Membership = New(Options{
		Self: Member{ID: id, Address: id}, Seeds: []string{"vm0"}, Caller: end, Registry: end, VMs: c.store,
		now: func() time.Time { return time.Now().Add(time.Duration(v.skew.Load())) },
	})
	v.OnPause(func(time.Duration) { v.pauses.Add(1) })
	v.SetReady(true)
	c.setup(id, v)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = v.Run(ctx) }()
	v.stop = func() { cancel(); <-done }
	c.t.Cleanup(v.stop)
	c.vms[id] = v
	return v
}

// kill stops a member without a word to the others.
func (c *cluster) kill(id string) {
	c.net.SetDown(id, true)
	c.vms[id].stop()
}

// states returns what the member sees of the others.
func (c *cluster) states(of string) map[string]State {
	out := map[string]State{}
	for _, m := range c.vms[of].Members() {
		out[m.ID] = m.State
	}
	return out
}

func (c *cluster) expect(when, of string, want map[string]State) {
	c.t.Helper()
	if got := c.states(of); !maps.Equal(got, want) {
		c.t.Errorf("%s: %s sees %v, want %v", when, of, got, want)
	}
}

func all(n int, change map[string]State) map[string]State {
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

// TestStates guards against a wrong verdict on a member: slow, dead, paused,
// leaving, returned.
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
		{"cut peer is suspect", func(c *cluster) { c.kill("vm3") }, 3500 * time.Millisecond, map[string]State{"vm3": Suspect}},
		{"cut peer is dead", func(c *cluster) { c.kill("vm3") }, 7 * time.Second, map[string]State{"vm3": Dead}},
		{"draining", func(c *cluster) { c.vms["vm3"].SetDraining() }, time.Second, map[string]State{"vm3": Draining}},
		{"leaving by the list", func(c *cluster) {
			c.store.PutVM(platform.VM{ID: "vm3", Address: "vm3", Role: platform.RoleEntry, State: platform.VMLeaving})
		}, 2 * time.Second, map[string]State{"vm3": Draining}},
		{"the list does not revive the dead", func(c *cluster) {
			c.store.PutVM(platform.VM{ID: "vm3", Address: "vm3", Role: platform.RoleEntry, State: platform.VMLive})
			c.kill("vm3")
		}, time.Minute, map[string]State{"vm3": Dead}},
		{"own pause blames nobody", func(c *cluster) { c.vms["vm0"].skew.Store(int64(time.Minute)) }, 100 * time.Millisecond, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, n)
				time.Sleep(5 * time.Second)
				c.expect("before", "vm0", all(n, nil))
				tc.fault(c)
				time.Sleep(tc.after)
				c.expect("after", "vm0", all(n, tc.want))
			})
		})
	}
}

// TestPauseIsNoticed guards against a pause that goes unnoticed, and shows that
// without the restart of the timers all others would be taken for dead.
func TestPauseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(5 * time.Second)
		v := c.vms["vm0"]
		v.skew.Store(int64(10 * time.Second))
		if got := len(v.Members()); got != 3 || v.pauses.Load() != 1 {
			t.Errorf("%d members and %d pauses noticed", got, v.pauses.Load())
		}
		v.mu.Lock()
		v.running = false // switches the detection off
		v.mu.Unlock()
		v.skew.Store(int64(20 * time.Second))
		if got := len(v.Members()); got != 1 {
			t.Errorf("without the detection %d members are left", got)
		}
	})
}

// TestReturnedMember guards against the old incarnation of a VM standing for
// the new one.
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
				t.Errorf("old incarnation %d still seen: %+v", old.Incarnation, m)
			}
		}
		c.vms["vm0"].receive(heartbeat{From: "vm9", Members: []Member{old}})
		for _, m := range c.vms["vm0"].Members() {
			if m.ID == "vm3" && m.Incarnation == old.Incarnation {
				t.Error("an old digest brought the old incarnation back")
			}
		}
	})
}

// TestDetailsSpread guards against summaries, leaving targets or epochs that do
// not reach every member in time, or that stay for ever.
func TestDetailsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var free, asked atomic.Int64
		c := newClusterWith(t, 9, func(id string, v *vm) {
			if id == "vm4" {
				v.SetDomains(func() []sched.Summary {
					return []sched.Summary{{Domain: "r/a", FreeSlots: int(free.Load())}}
				})
			}
			v.OnHigherRevision(func(string, int64) { asked.Add(1) })
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
				t.Errorf("%s does not know the leaving target after 2 s", id)
			}
		}
		if asked.Load() == 0 {
			t.Error("the newer configuration was not noticed")
		}
		time.Sleep(2 * LeavingTTL)
		if left := c.vms["vm0"].LeavingTargets(); len(left) > 0 {
			t.Errorf("reports did not expire: %v", left)
		}
	})
}

// BenchmarkHeartbeatBytes reports bytes per second and VM at 9 members and 17
// domains whose summaries change every second.
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

func heartbeatBytes(b *testing.B, changing bool) float64 {
	const members, domains, seconds = 9, 17, 60
	net := peertest.NewNet()
	tick := 0
	var vms []*Membership
	now := time.Unix(0, 0)
	for i := range members {
		id := fmt.Sprint("vm-", i)
		end := net.Join(id)
		m := New(Options{Self: Member{ID: id, Address: id, FailureDomain: "region/a"}, Seeds: []string{"vm-0"}, Caller: end, Registry: end, now: func() time.Time { return now }})
		m.SetDomains(func() []sched.Summary { return summaries(i, members, domains, tick, changing) })
		vms = append(vms, m)
	}
	for tick = range 2 * seconds {
		now = now.Add(DefaultHeartbeatInterval)
		for _, m := range vms {
			m.refreshSelf()
			for _, a := range m.targets() {
				m.sendHeartbeat(context.Background(), a)
			}
		}
	}
	if got := len(vms[0].Summaries()); got != domains {
		b.Fatalf("%d summaries", got)
	}
	return float64(net.Bytes()) / seconds / members
}

func summaries(vm, members, domains, tick int, changing bool) []sched.Summary {
	var out []sched.Summary
	for d := vm; d < domains; d += members {
		s := sched.Summary{
			Domain: fmt.Sprint("region/d", d), Workers: 765, Accelerators: 1470, FreeSlots: 12,
			Free:          sched.FreeCapacity{Worker: 4, Rack: 16, Domain: 40},
			QueuedByClass: map[string]int{"urgent": 1, "short": 20, "long": 300}, UsedByWorkspace: map[string]int{},
		}
		for w := range 27 { // 460 teams over 17 domains
			s.UsedByWorkspace[fmt.Sprint("team-", w)] = 50
		}
		if changing {
			s.FreeSlots = tick
		}
		out = append(out, s)
	}
	return out
}
