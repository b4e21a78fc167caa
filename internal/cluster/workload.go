package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Kind is one kind of work of a deployment.
type Kind struct {
	Name      string
	Workspace string
	// Share is the part of this kind in a mix, relative to the others.
	Share int
	Run   time.Duration
	Spec  api.JobSpec
}

// Mix returns the work of both deployments. Run times are short, so that a
// bounded load ends soon.
func Mix() []Kind {
	return []Kind{
		{"urgent flag", Postbud, 20, 30 * time.Millisecond, api.JobSpec{Class: api.ClassUrgent, Accelerators: 1, Adjacency: api.AdjacencyWorker}},
		{"full letter", Postbud, 12, 400 * time.Millisecond, api.JobSpec{Class: api.ClassLong, Accelerators: 2, Adjacency: api.AdjacencyWorker, Checkpointable: true}},
		{"archive index", PostbudArchive, 15, 300 * time.Millisecond, api.JobSpec{Class: api.ClassArchive, AtMostOnce: true, Accelerators: 1, Adjacency: api.AdjacencyWorker}},
		{"quote check", Lautoka, 25, 20 * time.Millisecond, api.JobSpec{Class: api.ClassShort}},
		{"stave-curve fit", Lautoka, 3, 800 * time.Millisecond, api.JobSpec{Class: api.ClassLong, Accelerators: 16, Adjacency: api.AdjacencyRack, Checkpointable: true}},
		{"cut list", Lautoka, 10, 200 * time.Millisecond, api.JobSpec{Class: api.ClassLong}},
		{"order", LautokaShop, 15, 20 * time.Millisecond, api.JobSpec{Class: ClassOrder, AtMostOnce: true}},
	}
}

// KindOf returns the kind of that name.
func KindOf(name string) Kind {
	for _, k := range Mix() {
		if k.Name == name {
			return k
		}
	}
	panic("no kind of work " + name)
}

// Job returns the n-th job of the kind. Its result repeats its name, so that
// the answer of another job is noticed.
func (k Kind) Job(n int) api.JobSpec {
	s := k.Spec
	s.Name = fmt.Sprintf("%s %d", k.Name, n)
	s.DeclaredSeconds = k.Run.Seconds()
	s.Payload = fmt.Appendf(nil, `{"run":%q,"echo":%q}`, k.Run, s.Name)
	if k.Spec.Accelerators >= 16 {
		s.Deadline = time.Now().Add(time.Hour)
	}
	return s
}

// Draw returns n kinds in the proportions of the mix, by the seed.
func Draw(kinds []Kind, n int, seed uint64) []Kind {
	var bag []Kind
	for _, k := range kinds {
		for range k.Share {
			bag = append(bag, k)
		}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]Kind, n)
	for i := range out {
		out[i] = bag[random.IntN(len(bag))]
	}
	return out
}

// Echoes reports whether a result, of a single task or of a whole gang, is that
// of the job.
func Echoes(result json.RawMessage, name string) bool {
	type answer struct {
		Echo string `json:"echo"`
	}
	var one answer
	if json.Unmarshal(result, &one) == nil {
		return one.Echo == name
	}
	var many []answer
	if json.Unmarshal(result, &many) != nil || len(many) == 0 {
		return false
	}
	for _, a := range many {
		if a.Echo != name {
			return false
		}
	}
	return true
}
