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
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a host of the platform that runs a worker.
type Machine struct {
	ID       string
	Pool     string // service to whose pool it belongs
	State    MachineState
	Labels   []string
	Capacity workload.Resources
	Worker   string // ID of its current worker; empty if unknown
}

// MachineOpVerdict is the platform's answer to a call that changes a machine.
type MachineOpVerdict string

// Answers to a call that changes a machine.
const (
	MachineOpDone      MachineOpVerdict = "done" // or was done before
	MachineOpFenced    MachineOpVerdict = "fence"
	MachineOpBusy      MachineOpVerdict = "busy"    // the machine is not up, or is about to leave
	MachineOpNotInWave MachineOpVerdict = "wave"    // the machine is not part of the wave
	MachineOpRefused   MachineOpVerdict = "refused" // no such machine, or the pool takes other machines
	MachineOpNotDone   MachineOpVerdict = "later"   // nothing was done
	MachineOpUnknown   MachineOpVerdict = "unknown" // no answer; the call may still be carried out
)

// MachineClient calls the platform's API for machines.
type MachineClient interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, token int64) (MachineOpVerdict, error)
	StartMaintenance(ctx context.Context, machine string, wave, token int64) (MachineOpVerdict, error)
}

// Wave is an operator's order to perform maintenance on machines.
type Wave struct {
	Number    int64
	Machines  []string
	TimeLimit time.Duration
	MaxDown   int // machines of the wave that may be down at a time
}

// WaveStore reads the operator's maintenance waves and writes their state.
type WaveStore interface {
	// Waves returns all waves and whether each is marked as completed.
	Waves(ctx context.Context) (waves []Wave, completed map[int64]bool, err error)
	// SetCompleted marks a wave as completed or not completed.
	SetCompleted(ctx context.Context, wave int64, completed bool) error
}
