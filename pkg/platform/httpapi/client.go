// Package httpapi implements the platform's interfaces over HTTP and JSON: a client,
// used by the daemon and tools, and a handler, which serves an in-memory store as
// stand-in for the platform.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/internal/httpjson"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Defaults of ClientOptions.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = time.Second
	DefaultWatchWait   = 30 * time.Second
	DefaultConnections = 16
)

// maxAnswerBytes bounds one response: 1 MiB of values in base64, keys of 1000 entries
// and JSON overhead; a VM list of 13,000 rows is 3 MB.
const maxAnswerBytes = 16 << 20

// ClientOptions configures a Client; a zero field takes its default.
type ClientOptions struct {
	CallTimeout time.Duration // of a call other than Watch
	DialTimeout time.Duration
	// WatchWait bounds one long-poll request of a Watch; the client then sends the
	// next. Each request counts as one call.
	WatchWait   time.Duration
	Connections int // maximum, including waiting watches
	// DialContext opens connections; nil uses TCP with DialTimeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client implements platform.Store and platform.VMLister. Transport errors and
// timeouts have kind store_unavailable, for ListVMs kind unavailable.
type Client struct {
	base string
	opts ClientOptions
	http *http.Client
}

// NewClient returns a client of the service at baseURL ("http://host:port").
func NewClient(baseURL string, opts ClientOptions) *Client {
	opts = opts.withDefaults()
	return &Client{
		base: strings.TrimRight(baseURL, "/"),
		opts: opts,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         opts.DialContext,
			MaxConnsPerHost:     opts.Connections,
			MaxIdleConnsPerHost: opts.Connections,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		}},
	}
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// BaseURL returns the base URL of the service.
func (c *Client) BaseURL() string { return c.base }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the entry at key, or not_found.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := c.call(ctx, request{method: http.MethodGet, path: pathKey, query: query("key", key)}, &e)
	return e, err
}

// List returns the entries with the prefix in key order, see platform.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	var res platform.ListResult
	q := query("prefix", prefix, "after", after, "limit", strconv.Itoa(limit))
	err := c.call(ctx, request{method: http.MethodGet, path: pathList, query: q}, &res)
	return res, err
}

// Put writes value with compare-and-swap, see platform.Store. A value that is too
// large is refused without a call.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (int64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, errkind.New(errkind.TooLarge, "value of %d bytes at %q exceeds %d", len(value), key, platform.MaxValueBytes)
	}
	q := query("key", key, "expect", strconv.FormatInt(expect, 10), "lease", leaseString(lease))
	var res putResult
	err := c.call(ctx, request{method: http.MethodPut, path: pathKey, query: q, body: value}, &res)
	return res.Version, err
}

// Delete removes the key if its version equals expect.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	q := query("key", key, "expect", strconv.FormatInt(expect, 10))
	return c.call(ctx, request{method: http.MethodDelete, path: pathKey, query: q}, nil)
}

// Watch waits for changes, see platform.Store. When ctx ends first it returns
// no changes and no error.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]platform.Event, error) {
	for ctx.Err() == nil {
		q := query("prefix", prefix, "after", strconv.FormatInt(after, 10), "wait", c.opts.WatchWait.String())
		var res watchResult
		err := c.call(ctx, request{method: http.MethodGet, path: pathWatch, query: q, wait: c.opts.WatchWait}, &res)
		if ctx.Err() != nil && len(res.Events) == 0 {
			break
		}
		if err != nil || len(res.Events) > 0 {
			return res.Events, err
		}
	}
	return nil, nil
}

// GrantLease creates a lease with the given time to live.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var res leaseResult
	err := c.call(ctx, request{method: http.MethodPost, path: pathLeases, query: query("ttl", ttl.String())}, &res)
	return res.Lease, err
}

// KeepAlive renews the lease, or returns not_found if it has expired.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, request{method: http.MethodPut, path: pathLeases, query: query("lease", leaseString(id))}, nil)
}

// Revoke ends the lease and deletes the keys bound to it.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, request{method: http.MethodDelete, path: pathLeases, query: query("lease", leaseString(id))}, nil)
}

// ListVMs returns the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	err := c.call(ctx, request{method: http.MethodGet, path: pathVMs, unansweredKind: errkind.Unavailable}, &vms)
	return vms, err
}

// request describes one call. wait is the time for which the server may delay the
// response, and unansweredKind the error kind of a call without one (default
// store_unavailable).
type request struct {
	method, path   string
	query          url.Values
	body           []byte
	wait           time.Duration
	unansweredKind errkind.Kind
}

func (c *Client) call(ctx context.Context, r request, out any) error {
	if r.unansweredKind == "" {
		r.unansweredKind = errkind.StoreUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout+r.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path+"?"+r.query.Encode(), bodyReader(r.body))
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "the request cannot be made")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errkind.Wrap(err, r.unansweredKind, "no answer from the platform")
	}
	defer resp.Body.Close()
	return httpjson.ReadAnswer(resp, maxAnswerBytes, out, r.unansweredKind)
}

func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}

func query(pairs ...string) url.Values {
	q := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		q.Set(pairs[i], pairs[i+1])
	}
	return q
}

func leaseString(id platform.LeaseID) string { return strconv.FormatInt(int64(id), 10) }

func encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "the request cannot be encoded")
	}
	return body, nil
}
