package router

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler handles one method of a fake peer.
type fakeHandler func(decode func(any) error) (any, error)

// cluster is a fake locator of shard owners and a fake caller of peers.
type cluster struct {
	mu     sync.Mutex
	owners map[ownership.Shard]string // address of the owner; empty if there is none
	peers  map[string]map[string]fakeHandler
	calls  []string // called addresses, in order
}

func newCluster() *cluster {
	return &cluster{owners: map[ownership.Shard]string{}, peers: map[string]map[string]fakeHandler{}}
}

func (c *cluster) router(partitions int) *Router { return New(c, c, registry{}, noShard{}, partitions) }

func (c *cluster) setOwner(s ownership.Shard, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[s] = address
}

// setHandler sets the handler of the method at the peer with the address.
func (c *cluster) setHandler(address, method string, h fakeHandler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] == nil {
		c.peers[address] = map[string]fakeHandler{}
	}
	c.peers[address][method] = h
}

func (c *cluster) calledAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// Owner implements ownership.Locator.
func (c *cluster) Owner(s ownership.Shard) (ownership.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.owners[s]
	return ownership.Owner{Shard: s, Address: a}, a != ""
}

// Owners implements ownership.Locator.
func (c *cluster) Owners() []ownership.Owner { return nil }

// Call implements peer.Caller. It encodes bodies as CBOR, as a peer link does.
func (c *cluster) Call(_ context.Context, address, method string, req, resp any) error {
	c.mu.Lock()
	c.calls = append(c.calls, address)
	h := c.peers[address][method]
	c.mu.Unlock()
	if h == nil {
		return errkind.New(errkind.Unavailable, "peer %s cannot be reached", address)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	out, err := h(func(v any) error { return cbor.Unmarshal(body, v) })
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(out); err != nil {
		return err
	}
	return cbor.Unmarshal(body, resp)
}

// registry is a peer.Registry that discards the handlers.
type registry struct{}

func (registry) Handle(string, peer.HandlerFunc) {}

// noShard implements Local for a VM that owns no shard.
type noShard struct{}

func (noShard) Partition(int) (*partition.Partition, bool) { return nil, false }
func (noShard) Domain(string) (*domain.Domain, bool)       { return nil, false }

func failWith(err error) fakeHandler {
	return func(func(any) error) (any, error) { return nil, err }
}

func replyWith(v any) fakeHandler {
	return func(func(any) error) (any, error) { return v, nil }
}

const (
	job   api.JobID = "j1-x"
	shard           = ownership.Shard("p1")
)

var (
	errNotOwner    = errkind.New(errkind.StaleEpoch, "not the owner")
	errUnreachable = errkind.New(errkind.Unavailable, "cannot be reached")
	errReplyLost   = errkind.Wrap(peer.ErrAnswerLost, errkind.Unavailable, "connection closed")
)

// Guards against routing by a malformed job ID or one of a partition that doesn't
// exist.
func TestPartitionOf(t *testing.T) {
	r := newCluster().router(16)
	for id, want := range map[api.JobID]int{
		"j0-a": 0, "j15-a-b": 15, "j16-a": -1, "j-1-a": -1, "jx-a": -1, "j3": -1, "3-a": -1, "": -1, "jj3-a": -1,
	} {
		n, err := r.PartitionOf(id)
		if want < 0 != (err != nil) || err == nil && n != want {
			t.Errorf("%q: %d, %v; want %d", id, n, err, want)
		}
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			t.Errorf("%q: %v, want not_found", id, err)
		}
	}
}

// Guards against a submission error that says "not run" although an owner may have
// accepted the job, and against an unknown outcome although none can have.
func TestSubmit(t *testing.T) {
	ok := replyWith(api.JobStatus{ID: job, State: api.StateQueued})
	for name, c := range map[string]struct {
		first, second fakeHandler // at the owners before and after 1 s; nil: no owner
		want          errkind.Kind
		ran           errkind.Ran
	}{
		"accepted":                           {ok, ok, "", ""},
		"owner moves":                        {failWith(errNotOwner), ok, "", ""},
		"reply lost, successor has the job":  {failWith(errReplyLost), ok, "", ""},
		"reply lost, no successor":           {failWith(errReplyLost), nil, errkind.Timeout, errkind.Unknown},
		"reply lost, successor overloaded":   {failWith(errReplyLost), failWith(errkind.New(errkind.Overloaded, "full")), errkind.Timeout, errkind.Unknown},
		"reply lost, invalid request":        {failWith(errReplyLost), failWith(errkind.New(errkind.InvalidRequest, "bad")), errkind.InvalidRequest, errkind.NotRun},
		"timeout":                            {failWith(errkind.New(errkind.Timeout, "late")), nil, errkind.Timeout, errkind.Unknown},
		"no owner":                           {nil, nil, errkind.Unavailable, errkind.NotRun},
		"owner unreachable":                  {failWith(errUnreachable), failWith(errUnreachable), errkind.Unavailable, errkind.NotRun},
		"called VM is not the owner":         {failWith(errNotOwner), failWith(errNotOwner), errkind.StaleEpoch, errkind.NotRun},
		"owner overloaded":                   {failWith(errkind.New(errkind.Overloaded, "full")), nil, errkind.Overloaded, errkind.NotRun},
		"owner unreachable, then reply lost": {failWith(errUnreachable), failWith(errReplyLost), errkind.Timeout, errkind.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster()
				if c.first != nil {
					cl.setOwner(shard, "a")
					cl.setHandler("a", methodSubmit, c.first)
				}
				go func() {
					time.Sleep(time.Second)
					cl.setOwner(shard, "")
					if c.second != nil {
						cl.setOwner(shard, "b")
						cl.setHandler("b", methodSubmit, c.second)
					}
				}()
				_, err := cl.router(2).Submit(t.Context(), partition.SubmitRequest{ID: job})
				if errkind.Of(err) != c.want || err != nil && errkind.Lookup(errkind.Of(err)).Ran != c.ran {
					t.Errorf("%v (%s), want kind %q with ran=%s", err, errkind.Of(err), c.want, c.ran)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a read that stays at the previous owner after an ownership change,
// and against one that exceeds its time limit while there is no owner.
func TestGetFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.setOwner(shard, "a")
		cl.setHandler("a", methodGet, func(func(any) error) (any, error) {
			cl.setOwner(shard, "b")
			return nil, errNotOwner
		})
		cl.setHandler("b", methodGet, replyWith(api.JobStatus{ID: job, State: api.StateRunning}))
		r := cl.router(2)
		st, err := r.Get(t.Context(), "ws", job)
		if err != nil || st.State != api.StateRunning || !slices.Equal(cl.calledAddresses(), []string{"a", "b"}) {
			t.Errorf("%+v, %v after calls to %v", st, err, cl.calledAddresses())
		}
		cl.setOwner(shard, "")
		start := time.Now()
		if _, err := r.Get(t.Context(), "ws", job); !errkind.Is(err, errkind.Unavailable) || time.Since(start) > lookupTimeout {
			t.Errorf("Get without an owner: %v after %v, want unavailable within the limit", err, time.Since(start))
		}
	})
}

// Guards against a Wait call that restarts its full time at the new owner after an
// ownership change, and against a refused job whose status or error gets lost on
// the way between VMs.
func TestWaitGoesOnAtSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.setOwner(shard, "a")
		cl.setHandler("a", methodWait, func(func(any) error) (any, error) {
			time.Sleep(4 * time.Second)
			cl.setOwner(shard, "b")
			return nil, errReplyLost
		})
		var remaining time.Duration
		cl.setHandler("b", methodWait, func(decode func(any) error) (any, error) {
			var req jobRequest
			err := decode(&req)
			remaining = req.Wait
			return waitReply{Status: api.JobStatus{ID: job, State: api.StateRefused}, Kind: errkind.Impossible, Message: "too big"}, err
		})
		st, err := cl.router(2).Wait(t.Context(), "ws", job, 10*time.Second)
		if st.State != api.StateRefused || !errkind.Is(err, errkind.Impossible) {
			t.Errorf("%+v, %v; want the refused job with its error", st, err)
		}
		if remaining <= 0 || remaining > 6*time.Second {
			t.Errorf("wait time at the successor: %v, want more than 0 and at most 6 s", remaining)
		}
	})
}

// Guards against pages that skip, repeat or misorder jobs of several partitions,
// and against an unreachable partition that is listed as empty.
func TestListPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		const partitions = 3
		for n := range partitions {
			address := fmt.Sprint("vm", n)
			cl.setOwner(ownership.PartitionShard(n), address)
			cl.setHandler(address, methodList, func(decode func(any) error) (any, error) {
				var req listRequest
				if err := decode(&req); err != nil {
					return nil, err
				}
				var jobs []api.JobStatus
				for i := range 5 {
					if id := api.JobID(fmt.Sprintf("j%d-%d", req.Partition, i)); id > req.List.After && len(jobs) < req.List.Limit {
						jobs = append(jobs, api.JobStatus{ID: id})
					}
				}
				return jobs, nil
			})
		}
		r := cl.router(partitions)
		var got []api.JobID
		after := api.JobID("")
		for {
			page, err := r.List(t.Context(), partition.ListRequest{After: after, Limit: 4})
			if err != nil || len(page) > 4 {
				t.Fatalf("%d jobs, %v", len(page), err)
			}
			if len(page) == 0 {
				break
			}
			for _, st := range page {
				got = append(got, st.ID)
			}
			after = got[len(got)-1]
		}
		if len(got) != 15 || !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != 15 {
			t.Errorf("jobs on all pages: %v, want 15 in order", got)
		}
		cl.setOwner(ownership.PartitionShard(2), "")
		if _, err := r.List(t.Context(), partition.ListRequest{}); !errkind.Is(err, errkind.Unavailable) {
			t.Errorf("List with a partition without owner: %v, want unavailable", err)
		}
	})
}

// Guards against a VM that handles calls for shards that it doesn't own: it must
// reject them with stale_epoch, so that the caller retries at the owner.
func TestLocalCallsWithoutShard(t *testing.T) {
	r := newCluster().router(2)
	_, submit := r.submitLocal(t.Context(), partition.SubmitRequest{ID: job})
	_, offer := r.offerLocal(t.Context(), offerRequest{Domain: "r1/a"})
	_, claim := r.claimLocal(t.Context(), claimRequest{Partition: 1})
	for _, err := range []error{submit, offer, claim} {
		if !errkind.Is(err, errkind.StaleEpoch) {
			t.Errorf("%v, want stale_epoch", err)
		}
	}
}
