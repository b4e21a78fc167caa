package memory

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Faults are the switches of a worker.
type Faults struct {
	// FailAll lets every task fail as soon as it starts.
	FailAll bool `json:"failAll,omitempty"`
	// StragglerShare is the share (0..1) of tasks that take StragglerFactor times
	// their run time. Seed and the identity of a task decide whether it is one.
	StragglerShare  float64 `json:"straggleShare,omitempty"`
	StragglerFactor float64 `json:"straggleFactor,omitempty"`
	Seed            uint64  `json:"seed,omitempty"`
	// Pause keeps the worker from answering; calls wait until it ends. Tasks go
	// on and leases run out meanwhile.
	Pause bool `json:"pause,omitempty"`
	// RefuseConnections answers every call with kind unavailable; nothing is done.
	RefuseConnections bool `json:"refuseConnections,omitempty"`
	// LoseStartAnswers lets this many starts, in Start or Reserve, take effect and
	// answer unavailable.
	LoseStartAnswers int `json:"loseStarts,omitempty"`
}

// Faults returns the switches as they stand; LoseStartAnswers counts down.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces all switches. Stragglers are chosen when they start.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	w.wake()
}

// slowdown returns the factor by which a task runs longer.
func (f Faults) slowdown(id api.TaskID) float64 {
	if f.StragglerShare <= 0 || f.StragglerFactor <= 1 {
		return 1
	}
	d := xxhash.NewWithSeed(f.Seed)
	_, _ = d.WriteString(string(id))
	if float64(d.Sum64())/math.MaxUint64 < f.StragglerShare {
		return f.StragglerFactor
	}
	return 1
}
