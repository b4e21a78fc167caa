package cluster

import (
	"context"
	"strconv"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// startWorkers starts one process that runs all workers.
func (c *Cluster) startWorkers(ctx context.Context) error {
	p, err := c.launch("workers", c.opts.Binaries.Standin, "workers",
		"--count", strconv.Itoa(c.opts.Workers), "--rack-size", strconv.Itoa(c.opts.RackSize),
		"--failure-domain", strings.Join(c.opts.Domains, ","), "--platform", c.Platform.BaseURL())
	if err != nil {
		return err
	}
	if _, err := p.awaitLines(ctx, listening, c.opts.Workers); err != nil {
		return err
	}
	all, err := c.Platform.ListVMs(ctx)
	if err != nil {
		return err
	}
	for _, vm := range all {
		if vm.Role == platform.RoleTarget {
			c.workers = append(c.workers, vm)
		}
	}
	return nil
}

// StartSpareWorker starts one worker that the system does not know, for calls
// that go to a target directly. It returns the address.
func (c *Cluster) StartSpareWorker(ctx context.Context) (string, error) {
	p, err := c.launch("spare", c.opts.Binaries.Standin, "worker", "--id", "spare")
	if err != nil {
		return "", err
	}
	lines, err := p.awaitLines(ctx, listening, 1)
	if err != nil {
		return "", err
	}
	return lines[0]["address"], nil
}

// Workers returns the platform's rows of the workers.
func (c *Cluster) Workers() []platform.VM { return c.workers }

// Worker reaches one worker, the stand-in's admin route included.
func (c *Cluster) Worker(w platform.VM) *httpapi.Client { return c.dialer.DialClient(w.Address) }

// Starts are the task starts that the workers logged.
type Starts struct {
	ByJob   map[api.JobID][]memory.StartRecord
	ByClass map[string]int
	// Dropped counts starts that the workers no longer kept; checks are void
	// unless it is zero.
	Dropped int64
}

// Starts collects the logs of all workers.
func (c *Cluster) Starts(ctx context.Context) (Starts, error) {
	out := Starts{ByJob: map[api.JobID][]memory.StartRecord{}, ByClass: map[string]int{}}
	for _, w := range c.workers {
		log, err := c.Worker(w).Starts(ctx)
		if err != nil {
			return out, err
		}
		out.Dropped += log.Dropped
		for _, s := range log.Starts {
			out.ByJob[s.Job] = append(out.ByJob[s.Job], s)
			out.ByClass[s.Class]++
		}
	}
	return out, nil
}

// Since returns the starts that are not in an earlier collection.
func (s Starts) Since(before Starts) Starts {
	out := Starts{ByJob: map[api.JobID][]memory.StartRecord{}, ByClass: map[string]int{}, Dropped: s.Dropped}
	for id, records := range s.ByJob {
		if n := len(before.ByJob[id]); n < len(records) {
			out.ByJob[id] = records[n:]
		}
	}
	for class, n := range s.ByClass {
		out.ByClass[class] = n - before.ByClass[class]
	}
	return out
}
