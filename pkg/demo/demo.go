package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/embedded"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Limits of the demo.
const (
	timeLimit     = 50 * time.Second
	progressEvery = time.Second
	awaitTime     = 45 * time.Second
	// concurrency bounds the open calls of one workload.
	concurrency = 16
)

// outcome is what became of one job.
type outcome struct {
	load   string
	status api.JobStatus
	err    error
	wrong  bool // the answer is not that of the request
}

// Run carries the demo out and writes progress and a table to w. An error means
// that a job was lost, ran twice or got a wrong answer.
func Run(ctx context.Context, w io.Writer, log logr.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	system, err := embedded.Start(ctx, embedded.Options{Policy: document(), Log: log})
	if err != nil {
		return err
	}
	defer func() {
		stopCtx, stopCancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer stopCancel()
		if err := system.Stop(stopCtx); err != nil {
			log.Error(err, "the embedded system did not stop cleanly")
		}
	}()
	fmt.Fprintf(w, "system at %s: 3 failure domains, %d workers, %d accelerators\n", system.Address(), len(system.Workers), 8*len(system.Workers))
	results := submitAll(ctx, w, system.Address())
	printTable(w, results)
	return check(w, results, system)
}

// submitAll submits every workload at the same time and waits for all answers.
func submitAll(ctx context.Context, w io.Writer, address string) []outcome {
	var mu sync.Mutex
	var results []outcome
	total := 0
	var wg sync.WaitGroup
	for _, load := range loads() {
		total += load.count
		slots := make(chan struct{}, concurrency)
		for n := range load.count {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				r := submitOne(ctx, address, load, n)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			fmt.Fprintf(w, "%d of %d jobs ended\n", total, total)
			return results
		case <-tick.C:
			mu.Lock()
			fmt.Fprintf(w, "%d of %d jobs ended\n", len(results), total)
			mu.Unlock()
		}
	}
}

func submitOne(ctx context.Context, address string, load workload, n int) outcome {
	spec := load.job(n)
	c, err := client.New(client.Options{Servers: []string{address}, Token: token(load.workspace)})
	if err != nil {
		return outcome{load: load.name, err: err}
	}
	status, err := c.Submit(ctx, spec, client.SubmitOptions{IdempotencyKey: strings.ReplaceAll(spec.Name, " ", "-")})
	if err == nil && !status.State.Terminal() {
		status, err = c.Await(ctx, status.ID, awaitTime)
	}
	if err == nil && !status.State.Terminal() {
		err = errkind.New(errkind.Timeout, "job %s is still %s", status.ID, status.State)
	}
	return outcome{load: load.name, status: status, err: err, wrong: err == nil && !echoes(status.Result, spec.Name)}
}
