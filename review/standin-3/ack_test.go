//go:build review

package standin3

import (
	"sync"
	"time"
)

// playAck cuts one of six workers off from the store for 5 s. It loses power behind the cut and
// starts again under its id half a second later.
func playAck(s *scenario) {
	s.serve()
	s.configure(1)
	s.addWorkers(6)
	s.startVMs(3, "")
	time.Sleep(leadTime)

	// A long task, so that one worker is in use, and short ones beside it.
	long := s.submit("stave", "work=50000", step{"count": 1, "cpu": 8000, "mem_mb": 1024, "gpu": 1, "estimate_ms": 50000})
	s.until(5*time.Second, "the long task runs", func() bool { return s.placeOf(long) != nil })
	w := s.placeOf(long)
	for range 4 {
		id := s.submit("quote", "work=300", step{"count": 3, "cpu": 2000, "mem_mb": 256, "gpu": 1, "estimate_ms": 300})
		s.until(10*time.Second, "a short job completes", func() bool { return s.state("quote", id) == "completed" })
	}
	time.Sleep(idleTimeout + 2*time.Second) // a calm time: only the long task runs

	if s.trouble {
		// Right after a poll has arrived, so that the script always plays the same.
		var once sync.Once
		arrived := make(chan struct{})
		w.mu.Lock()
		w.holdArrived = func() { once.Do(func() { close(arrived) }) }
		w.mu.Unlock()
		<-arrived
		w.setCut(true)
		time.AfterFunc(5*time.Second, func() { w.setCut(false) })
		time.Sleep(100 * time.Millisecond)
		w.powerOff()
		time.Sleep(500 * time.Millisecond)
		w.powerOn()
		time.Sleep(100 * time.Millisecond)
	}
	var jobs []string
	for range 3 {
		jobs = append(jobs, s.submit("quote", "work=700", step{"count": 1, "cpu": 2000, "mem_mb": 256, "gpu": 1, "estimate_ms": 700}))
	}
	for _, id := range jobs {
		s.awaits(30*time.Second, func() bool { return s.state("quote", id) == "completed" })
		s.record("job %s is shown as %s", id, s.state("quote", id))
	}
	time.Sleep(8 * time.Second)
	s.checkTwice()
}

// placeOf returns the worker on which the first task of a job has started.
func (s *scenario) placeOf(id string) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.starts[id+".0.0.0"] {
		for _, w := range s.workers {
			if w.id == f.worker {
				return w
			}
		}
	}
	return nil
}
