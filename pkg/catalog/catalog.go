// Package catalog holds the operators' configuration that is in force: queues,
// services, workspaces with their keys and guarantees, and limits. It routes and
// authenticates client calls; it does not read or store the configuration itself.
package catalog

import (
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Queue accepts jobs at a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Public bool // callers need no key
	Class  workload.Class
	Advice *workload.AdvicePolicy // nil: its starts need no tickets
}

// Ref returns what identifies the queue to callers and in the records of its jobs.
func (q *Queue) Ref() workload.QueueRef {
	return workload.QueueRef{Name: q.Name, Address: strings.ToLower(q.Host) + q.Prefix}
}

// Service is a pool of targets.
type Service struct {
	Name            string
	EnforceCapacity bool // its workers reject tasks that do not fit
	Standby         bool // its machines are off
}

// Workspace is a tenant with guaranteed resources.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed workload.Resources
}

// Limits are the limits of client calls.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It must not be changed after Index.
type Catalog struct {
	Version    int64
	Queues     []Queue
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	workspaceByKey map[string]string
	queueByName    map[string]*Queue
}

// Index builds the lookup tables. It must be called before Queue and Authenticate.
func (c *Catalog) Index() {
	c.workspaceByKey = map[string]string{}
	c.queueByName = map[string]*Queue{}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			c.workspaceByKey[k] = w.Name
		}
	}
	for i := range c.Queues {
		c.queueByName[c.Queues[i].Name] = &c.Queues[i]
	}
}

// Queue returns the queue with a name, or nil if there is none.
func (c *Catalog) Queue(name string) *Queue { return c.queueByName[name] }

// Route returns the queue of a host whose prefix is the longest match for the path,
// and the rest of the path. It returns not_found if no queue matches.
func (c *Catalog) Route(host, path string) (*Queue, string, error) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", errkind.New(errkind.NotFound, "no queue at this host and path")
	}
	return best, path[len(best.Prefix):], nil
}

// Authenticate returns the workspace of a key. A public queue needs no key, but a
// valid key still selects the workspace.
func (c *Catalog) Authenticate(q *Queue, key string) (string, error) {
	workspace, ok := c.workspaceByKey[key]
	if ok || q.Public {
		return workspace, nil
	}
	return "", errkind.New(errkind.Unauthenticated, "the key is missing or not valid")
}
