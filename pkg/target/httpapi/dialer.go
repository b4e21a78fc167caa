// Package httpapi implements the interface of a target over HTTP and JSON: a
// client, which the daemon uses to call workers, and a handler that serves an
// in-memory worker as a stand-in for a real one.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/carawayusher/carawayusher/internal/httpjson"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Defaults of DialerOptions.
const (
	// DefaultMaxConnsPerHost is floor(64 connections of a worker / 9 VMs), so that
	// all VMs together stay within the connection limit of a worker.
	DefaultMaxConnsPerHost = target.DefaultMaxConnections / 9
	DefaultCallTimeout     = 5 * time.Second
	DefaultDialTimeout     = time.Second
)

// maxResponseBytes limits the size of one response: a worker keeps 8 MiB of
// results.
const maxResponseBytes = 32 << 20

// DialerOptions configures a Dialer; a zero field takes its default.
type DialerOptions struct {
	MaxConnsPerHost int
	// CallTimeout limits one call, including its wait for a free connection. The
	// MaxWait of a Sync is added to it.
	CallTimeout time.Duration
	DialTimeout time.Duration
	// DialContext opens connections; nil uses TCP with DialTimeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer implements target.Dialer; all its targets share one HTTP transport.
type Dialer struct {
	timeout time.Duration
	http    *http.Client
}

// NewDialer returns a dialer for targets that serve the routes of NewHandler.
func NewDialer(opts DialerOptions) *Dialer {
	if opts.MaxConnsPerHost <= 0 {
		opts.MaxConnsPerHost = DefaultMaxConnsPerHost
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.DialContext == nil {
		opts.DialContext = (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	}
	return &Dialer{timeout: opts.CallTimeout, http: &http.Client{Transport: &http.Transport{
		DialContext:         opts.DialContext,
		MaxConnsPerHost:     opts.MaxConnsPerHost,
		MaxIdleConnsPerHost: opts.MaxConnsPerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}}}
}

// Dial returns the target at an address (host:port); it opens no connection.
func (d *Dialer) Dial(address string) target.Target { return d.DialClient(address) }

// DialClient is Dial for a stand-in worker: the client also has the calls of the
// admin routes.
func (d *Dialer) DialClient(address string) *Client {
	return &Client{dialer: d, base: "http://" + address}
}

// Close closes the idle connections of all targets.
func (d *Dialer) Close() { d.http.CloseIdleConnections() }

// Client implements target.Target for one address. A call that gets no response
// returns an error of kind unavailable that wraps the cause, such as
// syscall.ECONNREFUSED.
type Client struct {
	dialer *Dialer
	base   string
}

// Reserve reserves a slot and accelerators for a task, see target.Target.
func (c *Client) Reserve(ctx context.Context, req target.ReserveRequest) (target.Reservation, error) {
	var res target.Reservation
	err := c.post(ctx, pathReserve, req, &res, 0)
	return res, err
}

// Start starts a reserved task, see target.Target.
func (c *Client) Start(ctx context.Context, req target.StartRequest) error {
	return c.post(ctx, pathStart, req, nil, 0)
}

// Sync renews leases and waits for changes, see target.Target.
func (c *Client) Sync(ctx context.Context, req target.SyncRequest) (target.SyncResponse, error) {
	var resp target.SyncResponse
	err := c.post(ctx, pathSync, req, &resp, req.MaxWait)
	return resp, err
}

// Fence determines whether the task was ever started, see target.Target.
func (c *Client) Fence(ctx context.Context, task api.TaskID, epoch int64) (target.TaskStatus, error) {
	var status target.TaskStatus
	err := c.post(ctx, pathFence, taskRequest{Task: task, Epoch: epoch}, &status, 0)
	return status, err
}

// Release releases a reservation whose task was not started, see target.Target.
func (c *Client) Release(ctx context.Context, task api.TaskID, epoch int64) error {
	return c.post(ctx, pathRelease, taskRequest{Task: task, Epoch: epoch}, nil, 0)
}

// Checkpoint requests a checkpoint, see target.Target.
func (c *Client) Checkpoint(ctx context.Context, task api.TaskID, epoch int64) error {
	return c.post(ctx, pathCheckpoint, taskRequest{Task: task, Epoch: epoch}, nil, 0)
}

// Throttle limits the task to share (0..1] of its processors.
func (c *Client) Throttle(ctx context.Context, task api.TaskID, epoch int64, share float64) error {
	return c.post(ctx, pathThrottle, taskRequest{Task: task, Epoch: epoch, Share: share}, nil, 0)
}

// Stop stops the task and releases its slot and accelerators.
func (c *Client) Stop(ctx context.Context, task api.TaskID, epoch int64) error {
	return c.post(ctx, pathStop, taskRequest{Task: task, Epoch: epoch}, nil, 0)
}

func (c *Client) post(ctx context.Context, path string, in, out any, wait time.Duration) error {
	return c.call(ctx, http.MethodPost, path, in, out, wait)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any, wait time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "the request cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialer.timeout+max(0, wait))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "the address of the target is not valid")
	}
	resp, err := c.dialer.http.Do(req)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "no answer from the target")
	}
	defer resp.Body.Close()
	return httpjson.ReadAnswer(resp, maxResponseBytes, out, errkind.Unavailable)
}
