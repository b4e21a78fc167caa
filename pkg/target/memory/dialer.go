package memory

import (
	"context"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Dialer implements target.Dialer over in-memory workers, for the embedded
// mode. Its zero value has no workers.
type Dialer struct {
	mu      sync.RWMutex
	targets map[string]target.Target
}

// Add makes a target reachable at an address; nil removes it.
func (d *Dialer) Add(address string, t target.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets == nil {
		d.targets = map[string]target.Target{}
	}
	if t == nil {
		delete(d.targets, address)
		return
	}
	d.targets[address] = t
}

// Dial returns the target at the address. Each call looks the address up, so a
// target that is added or removed later is seen.
func (d *Dialer) Dial(address string) target.Target { return &dialed{dialer: d, address: address} }

// dialed passes calls to the target that is at the address now.
type dialed struct {
	dialer  *Dialer
	address string
}

func (d *dialed) find() (target.Target, error) {
	d.dialer.mu.RLock()
	defer d.dialer.mu.RUnlock()
	t, ok := d.dialer.targets[d.address]
	if !ok {
		return nil, errkind.New(errkind.Unavailable, "no target at %s", d.address)
	}
	return t, nil
}

// call runs f on the target at the address.
func (d *dialed) call(f func(target.Target) error) error {
	t, err := d.find()
	if err != nil {
		return err
	}
	return f(t)
}

// Reserve passes the call on; without a target at the address it is unavailable.
func (d *dialed) Reserve(ctx context.Context, req target.ReserveRequest) (res target.Reservation, err error) {
	err = d.call(func(t target.Target) error { res, err = t.Reserve(ctx, req); return err })
	return res, err
}

// Start passes the call on; without a target at the address it is unavailable.
func (d *dialed) Start(ctx context.Context, req target.StartRequest) error {
	return d.call(func(t target.Target) error { return t.Start(ctx, req) })
}

// Sync passes the call on; without a target at the address it is unavailable.
func (d *dialed) Sync(ctx context.Context, req target.SyncRequest) (resp target.SyncResponse, err error) {
	err = d.call(func(t target.Target) error { resp, err = t.Sync(ctx, req); return err })
	return resp, err
}

// Fence passes the call on; without a target at the address it is unavailable.
func (d *dialed) Fence(ctx context.Context, task api.TaskID, epoch int64) (status target.TaskStatus, err error) {
	err = d.call(func(t target.Target) error { status, err = t.Fence(ctx, task, epoch); return err })
	return status, err
}

// Release passes the call on; without a target at the address it is unavailable.
func (d *dialed) Release(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Release(ctx, task, epoch) })
}

// Checkpoint passes the call on; without a target at the address it is unavailable.
func (d *dialed) Checkpoint(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Checkpoint(ctx, task, epoch) })
}

// Throttle passes the call on; without a target at the address it is unavailable.
func (d *dialed) Throttle(ctx context.Context, task api.TaskID, epoch int64, share float64) error {
	return d.call(func(t target.Target) error { return t.Throttle(ctx, task, epoch, share) })
}

// Stop passes the call on; without a target at the address it is unavailable.
func (d *dialed) Stop(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Stop(ctx, task, epoch) })
}
