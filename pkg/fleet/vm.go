package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// VMPrefix is the prefix of the keys at which the VMs announce their size.
const VMPrefix = "v/"

// Timings of these keys. Sizes change only with the set of VMs, and calls to the store are dear.
const (
	vmLeaseTTL      = 10 * time.Minute
	vmRenewInterval = 3 * time.Minute
	vmReadInterval  = time.Minute
	// vmAnnounceJitter spreads the announcements of VMs that start together.
	vmAnnounceJitter = 4 * time.Second
)

// vmRecord is the value of the key of a VM.
type vmRecord struct {
	MemoryBytes int64   `cbor:"1,keyasint"`
	CPUShare    float64 `cbor:"2,keyasint,omitempty"` // in cores; 0: announced by an earlier version
}

// announceVM keeps the size of this VM in the store until ctx is done, so that an owner does not
// accept more jobs than this VM can take over.
func (e *Elector) announceVM(ctx context.Context) {
	if e.opts.Memory <= 0 {
		return
	}
	wait.Sleep(ctx, rand.N(vmAnnounceJitter))
	var lease platform.LeaseID
	for ctx.Err() == nil {
		err := e.renewVM(ctx, &lease)
		if err == nil {
			wait.Sleep(ctx, vmRenewInterval)
			continue
		}
		e.opts.Log.V(1).Info("could not announce the size of this VM", "reason", err.Error())
		wait.Sleep(ctx, vmAnnounceJitter/2+rand.N(vmAnnounceJitter))
	}
}

// renewVM renews the lease of the key of this VM, or writes the key with a new lease.
func (e *Elector) renewVM(ctx context.Context, lease *platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if *lease != 0 {
		err := e.opts.Store.KeepAlive(ctx, *lease)
		if !errkind.Is(err, errkind.NotFound) {
			return err
		}
		*lease = 0
	}
	granted, err := e.opts.Store.GrantLease(ctx, vmLeaseTTL)
	if err != nil {
		return err
	}
	value, err := cbor.Marshal(vmRecord{MemoryBytes: e.opts.Memory, CPUShare: e.cpuShare})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "record of the VM")
	}
	_, err = e.opts.Store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: VMPrefix + e.opts.Address, Value: value, Lease: granted}}})
	if err == nil {
		*lease = granted
	}
	return err
}

// readVMs reads the sizes of the VMs that may take over.
func (o *Owner) readVMs() error {
	least, vms := int64(math.MaxInt64), 0
	var larger []string
	_, err := o.listPrefix(VMPrefix, func(e platform.Entry) {
		var r vmRecord
		if err := cbor.Unmarshal(e.Value, &r); err != nil || r.MemoryBytes <= 0 {
			o.opts.Log.Info("record of a VM cannot be used", "key", e.Key)
			return
		}
		least = min(least, r.MemoryBytes)
		vms++
		if r.CPUShare > 0 && r.CPUShare >= largerVMFactor*o.cpuShare {
			larger = append(larger, strings.TrimPrefix(e.Key, VMPrefix))
		}
	})
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leastMemory, o.vms, o.largerVMs = least, vms, larger
	return nil
}

// vmLoop reads the sizes of the VMs again from time to time.
func (o *Owner) vmLoop() {
	for wait.Sleep(o.ctx, vmReadInterval) {
		if err := o.readVMs(); err != nil && o.ctx.Err() == nil {
			o.opts.Log.V(1).Info("could not read the sizes of the VMs", "reason", err.Error())
		}
	}
}
