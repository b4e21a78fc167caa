package memory

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Faults are the faults that can be injected into a worker.
type Faults struct {
	// FailAll makes every task fail right after its start.
	FailAll bool `json:"failAll,omitempty"`
	// StragglerShare is the share (0..1) of tasks that take StragglerFactor times
	// their run time. Stragglers are chosen by a hash of Seed and the task ID.
	StragglerShare  float64 `json:"straggleShare,omitempty"`
	StragglerFactor float64 `json:"straggleFactor,omitempty"`
	Seed            uint64  `json:"seed,omitempty"`
	// Pause makes calls block until it is cleared. Meanwhile tasks continue to run
	// and leases expire.
	Pause bool `json:"pause,omitempty"`
	// RefuseConnections makes every call fail with kind unavailable and without
	// effect.
	RefuseConnections bool `json:"refuseConnections,omitempty"`
	// LoseStartAnswers is the number of further starts, by Start or Reserve, that
	// take effect but fail with kind unavailable.
	LoseStartAnswers int `json:"loseStarts,omitempty"`
}

// Faults returns the current faults; each lost answer decrements
// LoseStartAnswers.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces all faults. Straggler settings apply to tasks that start
// later.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	w.notifyWaiters()
}

// slowdown returns the factor by which the task runs longer, 1 if it is no
// straggler.
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
