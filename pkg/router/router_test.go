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

// handler answers one method of a fake peer.
type handler func(decode func(any) error) (any, error)

// cluster fakes the owners of the shards and the links to them.
type cluster struct {
	mu     sync.Mutex
	owners map[ownership.Shard]string // address; empty: no owner
	peers  map[string]map[string]handler
	calls  []string // addresses, in order
}

func newCluster() *cluster {
	return &cluster{owners: map[ownership.Shard]string{}, peers: map[string]map[string]handler{}}
}

func (c *cluster) router(partitions int) *Router { return New(c, c, registry{}, nobody{}, partitions) }

func (c *cluster) own(s ownership.Shard, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[s] = address
}

// on sets what the peer at the address answers to the method.
func (c *cluster) on(address, method string, h handler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] == nil {
		c.peers[address] = map[string]handler{}
	}
	c.peers[address][method] = h
}

func (c *cluster) called() []string {
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

// Call implements peer.Caller; bodies go through CBOR as on a link.
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

type registry struct{}

func (registry) Handle(string, peer.HandlerFunc) {}

type nobody struct{}

func (nobody) Partition(int) (*partition.Partition, bool) { return nil, false }
func (nobody) Domain(string) (*domain.Domain, bool)       { return nil, false }

func fails(err error) handler {
	return func(func(any) error) (any, error) { return nil, err }
}

func answers(v any) handler {
	return func(func(any) error) (any, error) { return v, nil }
}

const (
	job   api.JobID = "j1-x"
	shard           = ownership.Shard("p1")
)

var (
	stale      = errkind.New(errkind.StaleEpoch, "not the owner")
	down       = errkind.New(errkind.Unavailable, "cannot be reached")
	answerLost = errkind.Wrap(peer.ErrAnswerLost, errkind.Unavailable, "connection closed")
)

// A job's partition must be read from its ID only if the ID is well formed.
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

// The error of a submission must not say "not run" once an owner may have taken
// it, and must say so as long as none can have.
func TestSubmit(t *testing.T) {
	ok := answers(api.JobStatus{ID: job, State: api.StateQueued})
	for name, c := range map[string]struct {
		first, second handler // of the owner before and after 1 s; nil: no owner
		want          errkind.Kind
		ran           errkind.Ran
	}{
		"taken":                              {ok, ok, "", ""},
		"owner moves":                        {fails(stale), ok, "", ""},
		"answer lost, successor knows":       {fails(answerLost), ok, "", ""},
		"answer lost, no successor":          {fails(answerLost), nil, errkind.Timeout, errkind.Unknown},
		"answer lost, successor refuses":     {fails(answerLost), fails(errkind.New(errkind.Overloaded, "full")), errkind.Timeout, errkind.Unknown},
		"answer lost, request is wrong":      {fails(answerLost), fails(errkind.New(errkind.InvalidRequest, "bad")), errkind.InvalidRequest, errkind.NotRun},
		"no answer in time":                  {fails(errkind.New(errkind.Timeout, "late")), nil, errkind.Timeout, errkind.Unknown},
		"no owner":                           {nil, nil, errkind.Unavailable, errkind.NotRun},
		"owner cannot be reached":            {fails(down), fails(down), errkind.Unavailable, errkind.NotRun},
		"nobody is the owner":                {fails(stale), fails(stale), errkind.StaleEpoch, errkind.NotRun},
		"refused":                            {fails(errkind.New(errkind.Overloaded, "full")), nil, errkind.Overloaded, errkind.NotRun},
		"first cannot be reached, then lost": {fails(down), fails(answerLost), errkind.Timeout, errkind.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster()
				if c.first != nil {
					cl.own(shard, "a")
					cl.on("a", methodSubmit, c.first)
				}
				go func() {
					time.Sleep(time.Second)
					cl.own(shard, "")
					if c.second != nil {
						cl.own(shard, "b")
						cl.on("b", methodSubmit, c.second)
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

// Reads follow the owner, and end with a refusal when there is none.
func TestGetFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.own(shard, "a")
		cl.on("a", methodGet, func(func(any) error) (any, error) {
			cl.own(shard, "b")
			return nil, stale
		})
		cl.on("b", methodGet, answers(api.JobStatus{ID: job, State: api.StateRunning}))
		r := cl.router(2)
		st, err := r.Get(t.Context(), "ws", job)
		if err != nil || st.State != api.StateRunning || !slices.Equal(cl.called(), []string{"a", "b"}) {
			t.Errorf("%+v, %v after calls to %v", st, err, cl.called())
		}
		cl.own(shard, "")
		began := time.Now()
		if _, err := r.Get(t.Context(), "ws", job); !errkind.Is(err, errkind.Unavailable) || time.Since(began) > lookupTime {
			t.Errorf("without an owner: %v after %v", err, time.Since(began))
		}
	})
}

// A wait goes on at the successor for the rest of its time, and a job that was
// refused answers with both its status and the error.
func TestWaitGoesOnAtSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.own(shard, "a")
		cl.on("a", methodWait, func(func(any) error) (any, error) {
			time.Sleep(4 * time.Second)
			cl.own(shard, "b")
			return nil, answerLost
		})
		var left time.Duration
		cl.on("b", methodWait, func(decode func(any) error) (any, error) {
			var req jobRequest
			err := decode(&req)
			left = req.Wait
			return waitReply{Status: api.JobStatus{ID: job, State: api.StateRefused}, Kind: errkind.Impossible, Message: "too big"}, err
		})
		st, err := cl.router(2).Wait(t.Context(), "ws", job, 10*time.Second)
		if st.State != api.StateRefused || !errkind.Is(err, errkind.Impossible) {
			t.Errorf("%+v, %v; want the refused job with its error", st, err)
		}
		if left <= 0 || left > 6*time.Second {
			t.Errorf("the successor was asked to wait %v, want at most 6 s", left)
		}
	})
}

// Pages must be complete and in order over all partitions, and an unreachable
// partition must not look like an empty one.
func TestListPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		const partitions = 3
		for n := range partitions {
			address := fmt.Sprint("vm", n)
			cl.own(ownership.PartitionShard(n), address)
			cl.on(address, methodList, func(decode func(any) error) (any, error) {
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
			t.Errorf("pages hold %v", got)
		}
		cl.own(ownership.PartitionShard(2), "")
		if _, err := r.List(t.Context(), partition.ListRequest{}); !errkind.Is(err, errkind.Unavailable) {
			t.Errorf("with a partition out of reach: %v, want unavailable", err)
		}
	})
}

// A call that reaches a VM that is not the owner must be refused as such.
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
