package httpapi

import (
	"context"
	"net/http"

	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// The methods below call the admin routes of the stand-in, the in-memory platform for
// tests and demonstrations. The daemon does not use them.

// PutVM adds a VM to the stand-in's list or replaces its row.
func (c *Client) PutVM(ctx context.Context, vm platform.VM) error {
	body, err := encode(vm)
	if err != nil {
		return err
	}
	return c.call(ctx, request{method: http.MethodPost, path: pathAdminVMs, body: body}, nil)
}

// SetVMs replaces the stand-in's list.
func (c *Client) SetVMs(ctx context.Context, vms []platform.VM) error {
	body, err := encode(vms)
	if err != nil {
		return err
	}
	return c.call(ctx, request{method: http.MethodPut, path: pathAdminVMs, body: body}, nil)
}

// RemoveVM removes a VM from the stand-in's list.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	return c.call(ctx, request{method: http.MethodDelete, path: pathAdminVMs, query: query("id", id)}, nil)
}

// Faults returns the injected faults of the stand-in.
func (c *Client) Faults(ctx context.Context) (memory.Faults, error) {
	var f memory.Faults
	err := c.call(ctx, request{method: http.MethodGet, path: pathAdminFaults}, &f)
	return f, err
}

// SetFaults replaces the injected faults of the stand-in.
func (c *Client) SetFaults(ctx context.Context, f memory.Faults) error {
	body, err := encode(f)
	if err != nil {
		return err
	}
	return c.call(ctx, request{method: http.MethodPut, path: pathAdminFaults, body: body}, nil)
}

// Counts returns the counters of the stand-in.
func (c *Client) Counts(ctx context.Context) (memory.Counts, error) {
	var counts memory.Counts
	err := c.call(ctx, request{method: http.MethodGet, path: pathAdminCounts}, &counts)
	return counts, err
}

// ResetCounts sets the counters of the stand-in to zero.
func (c *Client) ResetCounts(ctx context.Context) error {
	return c.call(ctx, request{method: http.MethodDelete, path: pathAdminCounts}, nil)
}
