// Package client is the Go client of the callers' HTTP interface. Errors have
// the kinds of package errkind; an *Error among them holds the whole problem
// document.
package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Options say how to reach the system.
type Options struct {
	// Servers are base URLs of VMs or of a load balancer, tried in order from
	// the last one that answered.
	Servers []string
	Token   string
	// HTTP sends the requests; nil means a client without a timeout of its own,
	// so that the context of each call bounds it.
	HTTP *http.Client
}

// Client calls the system. It may be used by several goroutines.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// preferred is the index of the server that answered last.
	preferred atomic.Int64
}

// New checks the options and returns a client; no connection is opened. Errors
// have the kind invalid_request.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "no server is set")
	}
	c := &Client{token: o.Token, http: o.HTTP}
	if c.http == nil {
		c.http = &http.Client{}
	}
	for _, s := range o.Servers {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errkind.New(errkind.InvalidRequest, "server %q is not an http or https URL", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// SubmitOptions refine a submission.
type SubmitOptions struct {
	// IdempotencyKey makes the submission repeatable without a second job; an
	// at-most-once job needs one.
	IdempotencyKey string
	// Wait is the time to wait for the end of the job; nil leaves it to the
	// job's class. Whole seconds are sent; a part of a second counts as one.
	Wait *time.Duration
}

// Submit submits a job. A status that is not terminal means that the job goes
// on. A job that ended without success is an *Error with the job's status.
func (c *Client) Submit(ctx context.Context, spec api.JobSpec, o SubmitOptions) (api.JobStatus, error) {
	r := Request{Method: http.MethodPost, Path: "/v1/jobs", Body: spec, Header: http.Header{}}
	if o.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", o.IdempotencyKey)
		r.Idempotent = true
	}
	if o.Wait != nil {
		r.Header.Set("Prefer", "wait="+strconv.FormatInt(int64((*o.Wait+time.Second-1)/time.Second), 10))
	}
	var status api.JobStatus
	err := c.Do(ctx, r, &status)
	return status, err
}

// Status returns the present status of a job.
func (c *Client) Status(ctx context.Context, id api.JobID) (api.JobStatus, error) {
	return c.job(ctx, http.MethodGet, id, "", nil)
}

// Result returns the status of a job once it is terminal or the wait is over.
// The server bounds the wait.
func (c *Client) Result(ctx context.Context, id api.JobID, wait time.Duration) (api.JobStatus, error) {
	return c.job(ctx, http.MethodGet, id, "/result", url.Values{"wait": {wait.String()}})
}

// Await asks for the result until the job is terminal or the wait is over,
// also when the wait is longer than the server permits for one call.
func (c *Client) Await(ctx context.Context, id api.JobID, wait time.Duration) (api.JobStatus, error) {
	until := time.Now().Add(wait)
	for {
		began := time.Now()
		status, err := c.Result(ctx, id, max(0, time.Until(until)))
		if err != nil || status.State.Terminal() || time.Now().After(until) {
			return status, err
		}
		// A draining server ends the wait early; do not ask it in a tight loop.
		if err := sleep(ctx, minAskInterval-time.Since(began)); err != nil {
			return status, err
		}
	}
}

// minAskInterval bounds how often Await asks.
const minAskInterval = time.Second

// Cancel cancels a job and returns its status. Durable is false in it while
// the cancellation is not yet kept in the store.
func (c *Client) Cancel(ctx context.Context, id api.JobID) (api.JobStatus, error) {
	return c.job(ctx, http.MethodDelete, id, "", nil)
}

func (c *Client) job(ctx context.Context, method string, id api.JobID, suffix string, query url.Values) (api.JobStatus, error) {
	var status api.JobStatus
	r := Request{Method: method, Path: "/v1/jobs/" + url.PathEscape(string(id)) + suffix, Query: query, Idempotent: true}
	if err := c.Do(ctx, r, &status); err != nil {
		return api.JobStatus{}, err
	}
	if status.ID != id {
		return api.JobStatus{}, errkind.New(errkind.Internal, "asked for job %s, got an answer about %s", id, status.ID)
	}
	return status, nil
}

// ListOptions select jobs; empty fields match everything.
type ListOptions struct {
	Class string
	State api.State
	After api.JobID // JobList.Next of the page before
	Limit int       // jobs per page; zero leaves it to the server
}

// List returns one page of the workspace's jobs.
func (c *Client) List(ctx context.Context, o ListOptions) (api.JobList, error) {
	query := url.Values{}
	for name, value := range map[string]string{"class": o.Class, "state": string(o.State), "after": string(o.After)} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if o.Limit > 0 {
		query.Set("limit", strconv.Itoa(o.Limit))
	}
	var list api.JobList
	err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/v1/jobs", Query: query, Idempotent: true}, &list)
	return list, err
}

// Workers returns the workers of all failure domains.
func (c *Client) Workers(ctx context.Context) ([]api.WorkerStatus, error) {
	var list api.WorkerList
	err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/v1/workers", Idempotent: true}, &list)
	return list.Workers, err
}
