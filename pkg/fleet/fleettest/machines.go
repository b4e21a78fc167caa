package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
)

// Cloud emulates the platform that runs the machines: each worker of the fleet runs on
// a machine of its own. It implements fleet.MachineClient, fleet.WaveStore and
// fleet.AdviceClient.
type Cloud struct {
	fleet               *Fleet
	maintenanceDuration time.Duration

	mu                 sync.Mutex
	machines           map[string]*fleet.Machine
	workers            map[string]*Worker // by machine
	waves              []fleet.Wave
	completed          map[int64]bool
	maintenanceStarted map[string]bool
	tokens             map[string]int64
	// LoseAnswers is the number of next maintenance calls that are carried out but not
	// answered.
	LoseAnswers int
	// NewWorkerIDs makes the worker of a machine return from maintenance under another ID.
	NewWorkerIDs bool
	// AllowedWorkers are the workers for which Advise issues tickets; nil allows none.
	AllowedWorkers []string
	TicketTTL      time.Duration
	AdviseCalls    int
}

// NewCloud returns a cloud for the workers of a fleet.
func NewCloud(f *Fleet, maintenanceDuration time.Duration) *Cloud {
	c := &Cloud{
		fleet: f, maintenanceDuration: maintenanceDuration, machines: map[string]*fleet.Machine{}, workers: map[string]*Worker{}, completed: map[int64]bool{},
		maintenanceStarted: map[string]bool{}, tokens: map[string]int64{}, TicketTTL: 5 * time.Second,
	}
	for _, w := range f.workers {
		w.entry.Machine = "m-" + w.entry.ID
		c.workers[w.entry.Machine] = w
		c.machines[w.entry.Machine] = &fleet.Machine{
			ID: w.entry.Machine, Pool: w.entry.Service, State: fleet.MachineUp, Capacity: w.entry.Capacity, Worker: w.entry.ID,
		}
		f.publish(w)
	}
	return c
}

// AddWave adds a maintenance wave, or changes the one with its number.
func (c *Cloud) AddWave(w fleet.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waves = slices.DeleteFunc(c.waves, func(other fleet.Wave) bool { return other.Number == w.Number })
	c.waves = append(c.waves, w)
}

// Completed reports whether a wave is marked as completed.
func (c *Cloud) Completed(wave int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed[wave]
}

// MaintenanceStarted reports whether the maintenance of a machine for a wave has begun.
func (c *Cloud) MaintenanceStarted(wave int64, machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maintenanceStarted[maintenanceKey(wave, machine)]
}

func maintenanceKey(wave int64, machine string) string { return fmt.Sprintf("%d/%s", wave, machine) }

// Machines implements fleet.MachineClient.
func (c *Cloud) Machines(context.Context) ([]fleet.Machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	var all []fleet.Machine
	for id, w := range c.workers {
		m := *c.machines[id]
		m.Worker = w.entry.ID
		if w.dead && m.State == fleet.MachineUp {
			m.State, m.Worker = fleet.MachineDown, ""
		}
		if !w.removed {
			all = append(all, m)
		}
	}
	return all, nil
}

// StartMaintenance implements fleet.MachineClient.
func (c *Cloud) StartMaintenance(ctx context.Context, machine string, wave, token int64) (fleet.MachineOpVerdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[machine]
	if m == nil {
		return fleet.MachineOpRefused, nil
	}
	if token < c.tokens[machine] {
		return fleet.MachineOpFenced, nil
	}
	c.tokens[machine] = token
	key := maintenanceKey(wave, machine)
	if !c.maintenanceStarted[key] {
		if m.State != fleet.MachineUp {
			return fleet.MachineOpBusy, nil
		}
		c.beginMaintenance(key, wave, m)
	}
	if c.LoseAnswers > 0 {
		c.LoseAnswers--
		return fleet.MachineOpUnknown, errNoAnswer
	}
	return fleet.MachineOpDone, ctx.Err()
}

// beginMaintenance takes a machine down for maintenance and checks the limit of its wave.
func (c *Cloud) beginMaintenance(key string, wave int64, m *fleet.Machine) {
	c.maintenanceStarted[key] = true
	for _, w := range c.waves {
		if w.Number != wave {
			continue
		}
		down := 0
		for _, id := range w.Machines {
			if c.machines[id].State == fleet.MachineMaintenance {
				down++
			}
		}
		if down >= w.MaxDown {
			c.fleet.recordViolation("maintenance of %s began while %d machines of its wave were down", m.ID, down)
		}
	}
	m.State = fleet.MachineMaintenance
	c.fleet.crash(m.Worker)
	time.AfterFunc(c.maintenanceDuration, func() {
		if c.NewWorkerIDs {
			c.fleet.rejoin(m.Worker)
		} else {
			c.fleet.restartCrashed(m.Worker)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		m.State = fleet.MachineUp
	})
}

// Move implements fleet.MachineClient.
func (c *Cloud) Move(_ context.Context, machine, pool string, token int64) (fleet.MachineOpVerdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[machine]
	switch {
	case m == nil:
		return fleet.MachineOpRefused, nil
	case token < c.tokens[machine]:
		return fleet.MachineOpFenced, nil
	case m.State != fleet.MachineUp:
		return fleet.MachineOpBusy, nil
	}
	c.tokens[machine] = token
	m.Pool = pool
	return fleet.MachineOpDone, nil
}

// Waves implements fleet.WaveStore.
func (c *Cloud) Waves(context.Context) ([]fleet.Wave, map[int64]bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	completed := map[int64]bool{}
	for n, done := range c.completed {
		completed[n] = done
	}
	return slices.Clone(c.waves), completed, nil
}

// SetCompleted implements fleet.WaveStore. It checks that maintenance has begun on all
// machines of a completed wave.
func (c *Cloud) SetCompleted(_ context.Context, wave int64, completed bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed[wave] = completed
	for _, w := range c.waves {
		for _, id := range w.Machines {
			if completed && w.Number == wave && !c.maintenanceStarted[fmt.Sprintf("%d/%s", wave, id)] {
				c.fleet.recordViolation("wave %d was marked as completed without maintenance of %s", wave, id)
			}
		}
	}
	return nil
}

// Advise implements fleet.AdviceClient.
func (c *Cloud) Advise(_ context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	time.Sleep(time.Duration(len(workers)) * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.AdviseCalls++
	tickets := map[string]string{}
	for _, id := range workers {
		if slices.Contains(c.AllowedWorkers, id) {
			tickets[id] = step + "@" + id
			c.fleet.addTicket(step, id, time.Now().Add(c.TicketTTL))
		}
	}
	return tickets, c.TicketTTL, nil
}
