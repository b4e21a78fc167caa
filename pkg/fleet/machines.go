package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// MachineState is the state of a machine in the platform's list.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is what a worker lives on.
type Machine struct {
	ID       string
	Pool     string // the service whose pool it is in
	State    MachineState
	Labels   []string
	Capacity workload.Resources
	Worker   string // ID of its present worker
}

// DutyVerdict is the platform's answer to a call that changes a machine.
type DutyVerdict string

// Answers to a call that changes a machine.
const (
	DutyDone       DutyVerdict = "done" // also if it had been done before
	DutyFenced     DutyVerdict = "fence"
	DutyBusy       DutyVerdict = "busy"    // not up, or leaving
	DutyWrongWave  DutyVerdict = "wave"    // the machine is not part of the wave
	DutyImpossible DutyVerdict = "refused" // no such machine, or a pool of other machines
	DutyLater      DutyVerdict = "later"   // nothing was done
	DutyUnknown    DutyVerdict = "unknown" // it may still be carried out
)

// MachinePort calls the platform that runs the machines.
type MachinePort interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, token int64) (DutyVerdict, error)
	Upkeep(ctx context.Context, machine string, wave, token int64) (DutyVerdict, error)
}

// Wave is an operator's order to take machines through their upkeep.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration
	MaxDown  int // machines of the wave that may be down at a time
}

// WaveBoard reads the operator's waves and writes their state.
type WaveBoard interface {
	// Waves returns all waves and whether each is marked as completed.
	Waves(ctx context.Context) (waves []Wave, completed map[int64]bool, err error)
	// Mark writes the state of a wave.
	Mark(ctx context.Context, wave int64, completed bool) error
}
