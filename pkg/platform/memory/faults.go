package memory

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Faults are the switches of the store. Durations are in nanoseconds in JSON.
type Faults struct {
	// Outage refuses every call with store_unavailable and ends waiting watches.
	Outage bool `json:"outage,omitempty"`
	// Delay is added to each call, half before and half after its effect.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseNext lets this many writes take effect and answer store_unavailable.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseShare does the same to a share (0..1) of the writes, chosen by Seed.
	LoseShare float64 `json:"loseShare,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// LosePrefix restricts lost answers to Put and Delete of keys with it; when
	// empty, lease calls lose answers as well.
	LosePrefix string `json:"losePrefix,omitempty"`
	// PauseLeases stops the clock of all leases: none lapses.
	PauseLeases bool `json:"pauseLeases,omitempty"`
	// VMListLag lets the VM list show the state of this long ago.
	VMListLag time.Duration `json:"vmListLag,omitempty"`
	// VMListOutage refuses ListVMs with kind unavailable.
	VMListOutage bool `json:"vmListOutage,omitempty"`
}

// Faults returns the switches as they stand; LoseNext counts down.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all switches.
func (s *Store) SetFaults(f Faults) {
	s.UpdateFaults(func(p *Faults) { *p = f })
}

// UpdateFaults changes some switches in one step.
func (s *Store) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.faults
	change(&s.faults)
	if s.faults.Seed != old.Seed || s.faults.LoseShare != old.LoseShare || s.random == nil {
		s.random = rand.New(rand.NewPCG(s.faults.Seed, 0))
	}
	if s.faults.PauseLeases != old.PauseLeases {
		s.pauseLeases(s.faults.PauseLeases)
	}
	if s.faults.Outage != old.Outage {
		s.wake()
	}
}

// loseAnswer decides whether the answer to a write that took effect is lost.
func (s *Store) loseAnswer(key string) bool {
	if !strings.HasPrefix(key, s.faults.LosePrefix) {
		return false
	}
	lost := false
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		lost = true
	} else if s.faults.LoseShare > 0 {
		lost = s.random.Float64() < s.faults.LoseShare
	}
	if lost {
		s.counts.LostAnswers++
	}
	return lost
}
