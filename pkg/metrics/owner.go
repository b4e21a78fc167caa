package metrics

import "time"

// ServiceLabel is a service with a second label.
type ServiceLabel struct{ Service, Value string }

// OwnerGauges is the state of the fleet as its owner sees it; the zero value is that of
// a VM that is not the owner.
type OwnerGauges struct {
	JobsStanding   map[ServiceLabel]int // by service and reason
	JobsSuspect    map[string]int       // by service
	Workers        map[ServiceLabel]int // by service and state
	WorkersBySpeed map[ServiceLabel]int // by service and class of speed
	UsedShare      map[string]float64   // by service
	OpenWrites     int
	OldestUnstored time.Duration
	QueuedOrders   int
	WaitingStarts  int // that wait for other starts
	WaitingProbes  int // of workers that do not answer

	JobsOffloaded  int   // jobs that do not fit into the memory
	JobMemory      int64 // bytes that all jobs take, with those
	JobMemoryLimit int64 // bytes up to which jobs are loaded on this VM

	EvacuatedDomains int // failure domains on whose workers no task may start
}

// OwnerGauges replaces the gauges of the owner.
func (s *Set) OwnerGauges(g OwnerGauges) {
	if s == nil {
		return
	}
	s.jobsStanding.Reset()
	for l, n := range g.JobsStanding {
		s.jobsStanding.WithLabelValues(l.Service, l.Value).Set(float64(n))
	}
	s.jobsSuspect.Reset()
	for service, n := range g.JobsSuspect {
		s.jobsSuspect.WithLabelValues(service).Set(float64(n))
	}
	s.workers.Reset()
	for l, n := range g.Workers {
		s.workers.WithLabelValues(l.Service, l.Value).Set(float64(n))
	}
	s.workersBySpeed.Reset()
	for l, n := range g.WorkersBySpeed {
		s.workersBySpeed.WithLabelValues(l.Service, l.Value).Set(float64(n))
	}
	s.usedShare.Reset()
	for service, share := range g.UsedShare {
		s.usedShare.WithLabelValues(service).Set(share)
	}
	s.evacuated.Set(float64(g.EvacuatedDomains))
	s.jobsOffloaded.Set(float64(g.JobsOffloaded))
	s.jobMemory.Set(float64(g.JobMemory))
	s.jobMemoryLimit.Set(float64(g.JobMemoryLimit))
	s.openWrites.Set(float64(g.OpenWrites))
	s.oldestUnstored.Set(g.OldestUnstored.Seconds())
	s.queuedOrders.Set(float64(g.QueuedOrders))
	s.callsWaiting.WithLabelValues("start").Set(float64(g.WaitingStarts))
	s.callsWaiting.WithLabelValues("probe").Set(float64(g.WaitingProbes))
}

// Cycle observes the duration of a placement cycle and the time since the one before.
func (s *Set) Cycle(took, gap time.Duration) {
	if s != nil {
		s.cycleDuration.WithLabelValues().Observe(took.Seconds())
		s.cycleGap.WithLabelValues().Observe(gap.Seconds())
	}
}

// TakeoverPhase observes the time from the loss of the former owner to the end of a
// phase of the takeover.
func (s *Set) TakeoverPhase(phase string, since time.Duration) {
	if s != nil {
		s.takeover.WithLabelValues(phase).Observe(since.Seconds())
	}
}

// JobKnown observes the age of a job when the owner learns of it.
func (s *Set) JobKnown(source string, age time.Duration) {
	if s != nil {
		s.jobKnownAge.WithLabelValues(source).Observe(age.Seconds())
	}
}
