package httpapi

import (
	"context"
	"net/http"

	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// The methods below call the admin routes of the stand-in worker; the daemon does
// not use them.

// Faults returns the faults injected into the worker.
func (c *Client) Faults(ctx context.Context) (memory.Faults, error) {
	var f memory.Faults
	err := c.call(ctx, http.MethodGet, pathAdminFaults, nil, &f, 0)
	return f, err
}

// SetFaults replaces the faults injected into the worker.
func (c *Client) SetFaults(ctx context.Context, f memory.Faults) error {
	return c.call(ctx, http.MethodPut, pathAdminFaults, f, nil, 0)
}

// Starts returns the log of task starts.
func (c *Client) Starts(ctx context.Context) (memory.StartLog, error) {
	var log memory.StartLog
	err := c.call(ctx, http.MethodGet, pathAdminStarts, nil, &log, 0)
	return log, err
}

// SetLeaving sets whether the worker is about to leave.
func (c *Client) SetLeaving(ctx context.Context, leaving bool) error {
	return c.call(ctx, http.MethodPut, pathAdminLeaving, leaving, nil, 0)
}

// Restart simulates a crash and restart of the worker process and returns the new
// incarnation.
func (c *Client) Restart(ctx context.Context) (int64, error) {
	var incarnation int64
	err := c.post(ctx, pathAdminRestart, nil, &incarnation, 0)
	return incarnation, err
}
