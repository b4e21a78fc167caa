// Package demo submits a small mixed load of both kinds of deployments to an
// embedded system, shows the progress and checks that no job was lost or run
// twice.
package demo

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// workload is one kind of work in the demo's load.
type workload struct {
	name      string
	workspace string
	count     int
	run       time.Duration
	spec      api.JobSpec
}

// Workspaces of the demo.
const (
	postbud = "postbud"
	lautoka = "lautoka"
)

// loads returns the load: long work first, so that short work has to pass it.
func loads() []workload {
	deadline := time.Now().Add(time.Hour)
	return []workload{
		{"full letter", postbud, 40, 1500 * time.Millisecond, api.JobSpec{Class: api.ClassLong, Accelerators: 2, Adjacency: api.AdjacencyWorker, Checkpointable: true}},
		{"archive index", postbud, 20, time.Second, api.JobSpec{Class: api.ClassArchive, AtMostOnce: true, Accelerators: 1, Adjacency: api.AdjacencyWorker}},
		{"stave-curve fit", lautoka, 3, 3 * time.Second, api.JobSpec{Class: api.ClassLong, Accelerators: 32, Adjacency: api.AdjacencyRack, Checkpointable: true, Deadline: deadline}},
		{"cut list", lautoka, 15, 500 * time.Millisecond, api.JobSpec{Class: api.ClassLong}},
		{"order", lautoka, 20, 50 * time.Millisecond, api.JobSpec{Class: api.ClassShort, AtMostOnce: true}},
		{"quote check", lautoka, 40, 80 * time.Millisecond, api.JobSpec{Class: api.ClassShort}},
		{"urgent flag", postbud, 40, 60 * time.Millisecond, api.JobSpec{Class: api.ClassUrgent, Accelerators: 1, Adjacency: api.AdjacencyWorker}},
	}
}

// spec returns the n-th job of the workload.
func (w workload) job(n int) api.JobSpec {
	s := w.spec
	s.Name = fmt.Sprintf("%s %d", w.name, n)
	s.DeclaredSeconds = w.run.Seconds()
	s.Payload = fmt.Appendf(nil, `{"run":%q,"echo":%q}`, w.run, s.Name)
	return s
}

// echoes reports whether a result is the answer to the job of that name.
func echoes(result json.RawMessage, name string) bool {
	var one struct {
		Echo string `json:"echo"`
	}
	var many []struct {
		Echo string `json:"echo"`
	}
	if json.Unmarshal(result, &one) == nil {
		return one.Echo == name
	}
	if json.Unmarshal(result, &many) != nil || len(many) == 0 {
		return false
	}
	for _, m := range many {
		if m.Echo != name {
			return false
		}
	}
	return true
}

func token(workspace string) string { return workspace + "-demo-token" }

// document is the demo's configuration.
func document() *policy.Document {
	doc := policy.Default()
	guarantees := map[string]policy.Guarantee{
		postbud: {Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "local/zone-1"},
		lautoka: {Cells: 1, Accelerators: 32, Adjacency: api.AdjacencyRack, FailureDomain: "local/zone-2"},
	}
	for name, g := range guarantees {
		doc.Workspaces[name] = policy.Workspace{
			TokenHashes: []string{policy.HashToken(token(name))},
			Guarantees:  []policy.Guarantee{g},
		}
	}
	return doc
}
