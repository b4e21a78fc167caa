package memory

import (
	"context"
	"sync"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Dialer implements target.Dialer with in-memory targets, for the embedded mode.
// The zero value has no targets.
type Dialer struct {
	mu      sync.RWMutex
	targets map[string]target.Target
}

// Add registers a target at an address; nil removes the one that is there.
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

// Dial returns a target that resolves the address at each call, so that targets
// added or removed later are taken into account.
func (d *Dialer) Dial(address string) target.Target { return &proxy{dialer: d, address: address} }

// proxy forwards calls to the target currently registered at the address.
type proxy struct {
	dialer  *Dialer
	address string
}

func (d *proxy) find() (target.Target, error) {
	d.dialer.mu.RLock()
	defer d.dialer.mu.RUnlock()
	t, ok := d.dialer.targets[d.address]
	if !ok {
		return nil, errkind.New(errkind.Unavailable, "no target at %s", d.address)
	}
	return t, nil
}

// call runs f on the target at the address.
func (d *proxy) call(f func(target.Target) error) error {
	t, err := d.find()
	if err != nil {
		return err
	}
	return f(t)
}

// Reserve forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Reserve(ctx context.Context, req target.ReserveRequest) (res target.Reservation, err error) {
	err = d.call(func(t target.Target) error { res, err = t.Reserve(ctx, req); return err })
	return res, err
}

// Start forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Start(ctx context.Context, req target.StartRequest) error {
	return d.call(func(t target.Target) error { return t.Start(ctx, req) })
}

// Sync forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Sync(ctx context.Context, req target.SyncRequest) (resp target.SyncResponse, err error) {
	err = d.call(func(t target.Target) error { resp, err = t.Sync(ctx, req); return err })
	return resp, err
}

// Fence forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Fence(ctx context.Context, task api.TaskID, epoch int64) (status target.TaskStatus, err error) {
	err = d.call(func(t target.Target) error { status, err = t.Fence(ctx, task, epoch); return err })
	return status, err
}

// Release forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Release(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Release(ctx, task, epoch) })
}

// Checkpoint forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Checkpoint(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Checkpoint(ctx, task, epoch) })
}

// Throttle forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Throttle(ctx context.Context, task api.TaskID, epoch int64, share float64) error {
	return d.call(func(t target.Target) error { return t.Throttle(ctx, task, epoch, share) })
}

// Stop forwards the call; it fails with kind unavailable without a target at the address.
func (d *proxy) Stop(ctx context.Context, task api.TaskID, epoch int64) error {
	return d.call(func(t target.Target) error { return t.Stop(ctx, task, epoch) })
}
