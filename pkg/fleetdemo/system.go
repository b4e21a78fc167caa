// Package fleetdemo runs the scheduler as on the users' platform, in one process
// with emulated VMs, store and workers. It submits a mixed load, kills the owner
// of the fleet, makes the store and some workers unavailable for a while, and
// checks that no job was lost or run twice.
package fleetdemo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/gateway"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Size of the emulated deployment.
const (
	vmCount       = 3
	workerCount   = 12
	workersByRack = 4
)

// capacity is the capacity of each worker, as in the users' data sheets.
var capacity = workload.Resources{MilliCPU: 64_000, MemoryMiB: 256_000, Accelerators: 8}

// system is an emulated deployment. It implements gateway.Owner by forwarding to
// the VM that owns the fleet.
type system struct {
	store   *memory.Store
	workers *fleettest.Fleet
	gateway *gateway.Gateway
	log     logr.Logger
	started time.Time

	mu     sync.Mutex
	vms    []*vm
	nextVM int
}

// vm is a VM that takes part in the leader election.
type vm struct {
	name    string
	elector *fleet.Elector
	cancel  context.CancelFunc
	done    chan struct{}
}

func newSystem(log logr.Logger) *system {
	s := &system{store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1}), log: log, started: time.Now()}
	s.workers = fleettest.New(s.store, workerCount, workersByRack, capacity)
	s.gateway = gateway.New(gateway.Options{Store: s.store, Owner: s, Now: time.Now, Log: log})
	for range vmCount {
		s.startVM()
	}
	return s
}

func (s *system) startVM() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVM++
	v := &vm{name: fmt.Sprintf("vm-%d", s.nextVM), done: make(chan struct{})}
	v.elector = fleet.NewElector(fleet.Options{
		Store: s.store, Workers: s.workers, DecodeWorker: fleettest.Decode, WorkerPrefix: fleettest.WorkerPrefix,
		Catalog: func() *catalog.Catalog { return nil }, Clock: s.clock, Now: time.Now, Log: s.log.WithName(v.name),
		Address: v.name, Name: v.name, EndedJobRetention: time.Hour, CheckpointIntervalS: 1, RemoteSlowdown: 3,
	}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() {
		defer close(v.done)
		v.elector.Run(ctx)
	}()
	s.vms = append(s.vms, v)
}

func (s *system) clock() time.Duration { return time.Since(s.started) }

// killOwner stops the VM that owns the fleet by canceling its context, and returns
// its name. The owner still revokes its ownership lease as it stops.
func (s *system) killOwner() string {
	for _, v := range s.runningVMs() {
		if _, owner := v.elector.Owner(); owner == nil {
			continue
		}
		s.stopVM(v)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.vms = slices.DeleteFunc(s.vms, func(other *vm) bool { return other == v })
		return v.name
	}
	return "none"
}

func (s *system) stopVM(v *vm) {
	v.cancel()
	<-v.done
}

func (s *system) stop() {
	for _, v := range s.runningVMs() {
		s.stopVM(v)
	}
}

func (s *system) runningVMs() []*vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms)
}

// owner returns the current owner of the fleet, or nil.
func (s *system) owner() *fleet.Owner {
	for _, v := range s.runningVMs() {
		if _, owner := v.elector.Owner(); owner != nil {
			return owner
		}
	}
	return nil
}

var errNoOwner = errkind.New(errkind.Unavailable, "no VM owns the fleet")

// State implements gateway.Owner.
func (s *system) State(_ context.Context, id string, queue workload.QueueRef) (workload.State, error) {
	if o := s.owner(); o != nil {
		if state, known := o.State(id, queue); known {
			return state, nil
		}
	}
	return "", errNoOwner
}

// QueueLength implements gateway.Owner.
func (s *system) QueueLength(_ context.Context, queue workload.QueueRef) (int, error) {
	if o := s.owner(); o != nil {
		if n, known := o.QueueLength(queue); known {
			return n, nil
		}
	}
	return 0, errNoOwner
}

// MaximalCapacities implements gateway.Owner.
func (s *system) MaximalCapacities(service string) []workload.Resources {
	if o := s.owner(); o != nil {
		return o.MaximalCapacities()[service]
	}
	return nil
}

// CurrentCapacities implements gateway.Owner.
func (s *system) CurrentCapacities(_ context.Context, service string) []workload.Resources {
	return s.MaximalCapacities(service)
}

// NotifySubmitted implements gateway.Owner.
func (s *system) NotifySubmitted(j *workload.Job) {
	if o := s.owner(); o != nil {
		o.NotifySubmitted(j)
	}
}

// NotifyCancelRequested implements gateway.Owner.
func (s *system) NotifyCancelRequested(id string) {
	if o := s.owner(); o != nil {
		o.NotifyCancelRequested(id)
	}
}

// Fault settings of the store.
var (
	storeOutage   = memory.Faults{Outage: true}
	noStoreFaults = memory.Faults{}
)
