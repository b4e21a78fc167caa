// Package peertest simulates a network of VMs in memory, for the tests of packages
// that use pkg/peer. It encodes requests and answers as CBOR, counts their bytes,
// and can disconnect a VM or delay calls to it. It opens no sockets.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/peer"
)

// Net is a network of VMs, by address.
type Net struct {
	mu         sync.Mutex
	vms        map[string]*VM
	callDelays map[string]time.Duration
	bytes      int64
}

// VM is a member of the network. It implements peer.Caller and peer.Registry.
type VM struct {
	net      *Net
	address  string
	handlers map[string]peer.HandlerFunc
	down     bool
}

// NewNet returns a network without VMs.
func NewNet() *Net { return &Net{vms: map[string]*VM{}, callDelays: map[string]time.Duration{}} }

// Join adds a VM, or replaces the VM at the address.
func (n *Net) Join(address string) *VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm := &VM{net: n, address: address, handlers: map[string]peer.HandlerFunc{}}
	n.vms[address] = vm
	return vm
}

// SetDown disconnects the VM at the address from all others, or reconnects it.
func (n *Net) SetDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[address].down = down
}

// SetDelay delays each call to the VM at the address by d, before its handler
// runs.
func (n *Net) SetDelay(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callDelays[address] = d
}

// Bytes returns the total size of all requests and answers so far.
func (n *Net) Bytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// Handle implements peer.Registry.
func (v *VM) Handle(method string, h peer.HandlerFunc) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.handlers[method] = h
}

// Call implements peer.Caller.
func (v *VM) Call(ctx context.Context, address, method string, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "request cannot be encoded")
	}
	n := v.net
	n.mu.Lock()
	to := n.vms[address]
	cut := to == nil || to.down || v.down
	delay := n.callDelays[address]
	var h peer.HandlerFunc
	if !cut {
		h = to.handlers[method]
		n.bytes += int64(len(body))
	}
	n.mu.Unlock()
	if cut {
		return errkind.New(errkind.Unavailable, "peer %s cannot be reached", address)
	}
	if h == nil {
		return errkind.New(errkind.NotFound, "method %q is not known", method)
	}
	if err := sleep(ctx, delay); err != nil {
		return errkind.Wrap(err, errkind.Timeout, "peer %s did not answer in time", address)
	}
	answer, err := h(ctx, func(into any) error { return cbor.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(answer); err != nil {
		return errkind.Wrap(err, errkind.Internal, "answer cannot be encoded")
	}
	n.mu.Lock()
	n.bytes += int64(len(body))
	n.mu.Unlock()
	if resp == nil {
		return nil
	}
	return cbor.Unmarshal(body, resp)
}

// sleep waits for d or until ctx ends. It creates no timer if d is 0, because
// under the race detector go1.26.8 can crash in a select on a timer of a synctest
// bubble that has already expired.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
