package memory

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Faults are the faults that the store injects. In JSON, durations are in nanoseconds.
type Faults struct {
	// Outage fails every call and all waiting watches with store_unavailable.
	Outage bool `json:"outage,omitempty"`
	// Delay is added to each call, half before and half after its effect.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseNext is the number of next writes that take effect but return
	// store_unavailable.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseShare does the same to a fraction (0..1) of the writes, selected by Seed.
	LoseShare float64 `json:"loseShare,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// LosePrefix restricts lost answers to writes of keys with this prefix; if it is
	// empty, lease calls lose answers as well.
	LosePrefix string `json:"losePrefix,omitempty"`
	// PauseLeases stops the clock of all leases, so that none expires.
	PauseLeases bool `json:"pauseLeases,omitempty"`
	// VMListLag delays changes of the VM list by this time.
	VMListLag time.Duration `json:"vmListLag,omitempty"`
	// VMListOutage fails ListVMs with kind unavailable.
	VMListOutage bool `json:"vmListOutage,omitempty"`
}

// Faults returns the current faults; LoseNext counts down.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(f Faults) {
	s.UpdateFaults(func(p *Faults) { *p = f })
}

// UpdateFaults changes faults atomically.
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
		s.notifyWatches()
	}
}

// shouldLoseAnswer decides whether the answer to a write that took effect is lost, and
// counts it.
func (s *Store) shouldLoseAnswer(key string) bool {
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
