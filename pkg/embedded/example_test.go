package embedded_test

import (
	"context"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/embedded"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// A program runs a whole system in its own process and submits a gang of 16
// accelerators in one rack.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()

	doc := policy.Default()
	doc.Workspaces["lautoka"] = policy.Workspace{TokenHashes: []string{policy.HashToken("example-token")}}
	system, err := embedded.Start(ctx, embedded.Options{Policy: doc})
	if err != nil {
		fmt.Println("start:", err)
		return
	}
	defer func() { _ = system.Stop(ctx) }()

	c, err := client.New(client.Options{Servers: []string{system.Address()}, Token: "example-token"})
	if err != nil {
		fmt.Println("client:", err)
		return
	}
	job, err := c.Submit(ctx, api.JobSpec{
		Class: api.ClassLong, Accelerators: 16, Adjacency: api.AdjacencyRack,
		Payload: []byte(`{"run": "200ms", "echo": "stave curve"}`),
	}, client.SubmitOptions{IdempotencyKey: "fit-1"})
	if err != nil {
		fmt.Println("submit:", err)
		return
	}
	job, err = c.Await(ctx, job.ID, 20*time.Second)
	if err != nil {
		fmt.Println("result:", err)
		return
	}
	fmt.Println(job.State, len(job.Allocations), "workers")
	// Output: succeeded 2 workers
}
