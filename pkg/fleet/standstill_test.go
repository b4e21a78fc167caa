package fleet_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Times of a play of the large scheduling site.
const (
	siteLoadTime     = 34 * time.Second
	siteRecoveryTime = 34 * time.Second
	// siteFinishTime is the time after the load from which on no job may stand still.
	siteFinishTime = 14 * time.Second
	// observationInterval is the time between two looks for jobs that stand still.
	observationInterval = 100 * time.Millisecond
	siteVMs             = 3
	siteTenants         = 24
	sitePerRack         = 20
)

// siteSize scales the site.
type siteSize struct {
	workers  int
	rate     float64 // of the arrivals, relative to the full site
	maxWidth int     // of a step
	atStart  int     // large jobs at the start
	// callCost is the processor time that half a call to a worker takes on a VM.
	callCost time.Duration
}

var (
	fullSite  = siteSize{workers: 1100, rate: 1, maxWidth: 470, atStart: 30}
	smallSite = siteSize{workers: 100, rate: 0.1, maxWidth: 40, atStart: 3}
)

var siteCapacity = workload.Resources{MilliCPU: 128_000, MemoryMiB: 524_288, Accelerators: 8}

// siteClass is a class of jobs of the site.
type siteClass struct {
	name                string
	priority            int
	perSecond           float64
	width, widthSpread  float64
	maxWidth            int
	cpu, memory         int64
	accelerators        []int64
	seconds, spread     float64
	maxSteps            int
	gang                bool
	sameRack, saves     float64 // shares
	label, cancel       float64
	poison, errors      float64
	repeated            float64
	apart               float64
	slack, estimateBias float64
	target              time.Duration
}

var siteClasses = []siteClass{
	{
		name: "ocr-batch", priority: 1, perSecond: 1.33, width: 26, widthSpread: 0.8, maxWidth: 160, cpu: 52_000, memory: 270_000, accelerators: []int64{1, 2, 4, 8, 8},
		seconds: 9.4, spread: 0.3, maxSteps: 1, gang: true, sameRack: 0.6, saves: 0.45, label: 0.3, cancel: 0.05, poison: 0.01, errors: 0.005, repeated: 0.1, slack: 3, estimateBias: 0.5, target: time.Second,
	},
	{
		name: "urgent-flag", priority: 0, perSecond: 11.8, width: 7.6, widthSpread: 0.8, maxWidth: 46, cpu: 15_000, memory: 44_000, accelerators: []int64{1, 2, 4, 8, 8},
		seconds: 2.1, spread: 0.5, maxSteps: 1, gang: true, sameRack: 0.8, errors: 0.02, slack: 1.5, estimateBias: 0.9, target: 250 * time.Millisecond,
	},
	{
		name: "archive-index", priority: 2, perSecond: 1.3, width: 78, widthSpread: 0.8, maxWidth: 470, cpu: 11_000, memory: 46_000, accelerators: []int64{1},
		seconds: 8.1, spread: 0.3, maxSteps: 3, saves: 0.45, label: 0.12, cancel: 0.15, poison: 0.03, errors: 0.02, repeated: 0.1, apart: 0.12, slack: 3, estimateBias: 0.2, target: 3 * time.Second,
	},
}

// site is a play of the large scheduling site on a virtual clock.
type site struct {
	*testbed
	size     siteSize
	r        *rand.Rand // of the play itself; others use their own
	links    []*vmLink
	calls    *callFaults
	poison   map[string]bool
	retries  sync.Map // outcome seeds by job: class
	detector *fleettest.StandstillDetector
	jobs     []*workload.Job
	notes    []string
}

func newSite(t *testing.T, seed uint64, size siteSize) *site {
	s := &site{
		testbed: &testbed{t: t, started: time.Now(), store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1, History: 40_000})},
		size:    size, r: rand.New(rand.NewPCG(seed, 3)), poison: map[string]bool{},
		calls: &callFaults{random: rand.New(rand.NewPCG(seed, 4)), cutAnswers: map[string]bool{}},
	}
	s.store.UpdateFaults(func(f *memory.Faults) { f.Delay = 4 * time.Millisecond })
	s.workers = fleettest.New(s.store, size.workers, sitePerRack, siteCapacity)
	s.catalog = s.siteCatalog()
	var cloud *fleettest.Cloud
	if s.r.IntN(2) == 0 {
		cloud = fleettest.NewCloud(s.workers, 2*time.Second)
	}
	s.adjustOptions = func(o *fleet.Options) {
		link := &vmLink{Transactor: s.store, started: s.started, callCost: size.callCost}
		s.links = append(s.links, link)
		o.Store, o.LastStoreAnswer = link, link.lastAnswerTime
		o.Workers = &callClient{WorkerClient: s.workers, link: link, faults: s.calls}
		if cloud != nil {
			o.Machines, o.Waves = cloud, cloud
		}
		o.Log = s.siteLogger()
		o.MaxWorkerLease = 10 * time.Second
		self := len(s.links) - 1
		o.ReleaseOwnerKey = func(ctx context.Context, token int64) error {
			err := error(errkind.New(errkind.Unavailable, "no other VM"))
			for i, v := range s.allVMs() {
				if i == self || s.links[i].frozen() {
					continue
				}
				if err = v.elector.ReleaseOwnerKey(ctx, token); err == nil || errkind.Is(err, errkind.Conflict) {
					return err
				}
			}
			return err
		}
	}
	s.detector = s.workers.NewStandstillDetector(fleettest.StandstillThreshold)
	s.workers.SetOutcome(s.outcome)
	for range siteVMs {
		s.startVM()
	}
	s.sleep(3 * time.Second)
	return s
}

func (s *site) siteLogger() logr.Logger {
	return funcr.New(func(_, args string) {
		s.logLock.Lock()
		defer s.logLock.Unlock()
		s.logLines = append(s.logLines, fmt.Sprintf("%8.3f %s", time.Since(s.started).Seconds(), args))
	}, funcr.Options{})
}

func (s *site) siteCatalog() *catalog.Catalog {
	c := &catalog.Catalog{}
	for _, class := range siteClasses {
		c.Queues = append(c.Queues, catalog.Queue{Name: class.name, Class: class.class()})
	}
	guaranteed := int64(0.62 * float64(int64(s.size.workers)*siteCapacity.Accelerators) / siteTenants)
	for n := range siteTenants {
		c.Workspaces = append(c.Workspaces, catalog.Workspace{Name: fmt.Sprintf("t%d", n), Guaranteed: workload.Resources{Accelerators: guaranteed}})
	}
	c.Index()
	return c
}

func (c *siteClass) class() workload.Class {
	return workload.Class{Priority: c.priority, MaxAttempts: 4, SlackFactor: c.slack, TargetRuntime: c.target, Service: "service"}
}

// logNormal returns a random value with a mean and a spread of its logarithm.
func logNormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// outcome returns the outcome of a run: tasks of a poisoned job fail.
func (s *site) outcome(task workload.TaskID, run int64) fleettest.Outcome {
	n, err := strconv.ParseUint(task.Job, 16, 64)
	if err != nil {
		return fleettest.Outcome{Duration: time.Second}
	}
	v, ok := s.retries.Load(n)
	if !ok {
		return fleettest.Outcome{Duration: time.Second}
	}
	c := v.(*siteClass)
	r := rand.New(rand.NewPCG(n<<20+uint64(task.Occurrence)<<12+uint64(task.Step)<<10, uint64(task.Index)))
	index := task.Index
	if c.gang {
		r = rand.New(rand.NewPCG(n<<20+uint64(task.Occurrence)<<12, 1))
	}
	seconds := logNormal(r, c.seconds, c.spread)
	if r.Float64() < 0.03 {
		seconds *= 7
	}
	fails := rand.New(rand.NewPCG(n<<20+uint64(task.Occurrence)<<12+uint64(task.Index), uint64(run))).Float64() < c.errors/max(1, float64(c.width)/8)
	if s.poison[task.Job] && (index == 0 || n%2 == 0) {
		fails, seconds = true, 0.3*seconds
	}
	return fleettest.Outcome{Duration: time.Duration(min(seconds, 99) * float64(time.Second)), Fails: fails}
}

// submitSite submits a random job of a class, larger by a factor.
func (s *site) submitSite(c *siteClass, factor float64) {
	r := s.r
	s.nextJob++
	j := &workload.Job{
		ID: fmt.Sprintf("%016x", s.nextJob), Queue: c.name, Workspace: fmt.Sprintf("t%d", r.IntN(siteTenants)), Payload: "p", AcceptedUnixMS: time.Now().UnixMilli(), Class: c.class(),
	}
	label := ""
	if r.Float64() < c.label {
		label = "a"
	}
	same, saves, apart := r.Float64() < c.sameRack, r.Float64() < c.saves, r.Float64() < c.apart
	for n := range 1 + r.IntN(c.maxSteps) {
		width := min(c.maxWidth, s.size.maxWidth, max(1, int(math.Round(factor*logNormal(r, c.width, c.widthSpread)))))
		step := workload.Step{
			Tasks: width, Gang: c.gang, SameRack: same && c.gang, RequiredLabel: label, Checkpointing: saves,
			Request:  workload.Resources{MilliCPU: c.cpu, MemoryMiB: c.memory, Accelerators: c.accelerators[r.IntN(len(c.accelerators))]},
			Estimate: time.Duration(c.seconds * math.Exp(c.estimateBias*r.NormFloat64()) * float64(time.Second)),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		if apart {
			step.MaxPerWorker = 1
		}
		j.Steps = append(j.Steps, step)
	}
	if r.Float64() < c.repeated {
		j.Schedule = workload.Schedule{Count: 4, FirstUnixMS: time.Now().UnixMilli() + 2000, Interval: 3 * time.Second}
	}
	s.poison[j.ID] = r.Float64() < c.poison
	s.retries.Store(uint64(s.nextJob), c)
	cancelAfter := time.Duration(0)
	if r.Float64() < c.cancel {
		cancelAfter = time.Duration(100+r.IntN(10_000)) * time.Millisecond
	}
	notify := r.IntN(5) > 0
	s.jobs = append(s.jobs, j)
	s.workers.AddJob(j)
	value, err := workload.EncodeJob(j)
	if err != nil {
		s.t.Fatal(err)
	}
	go func() {
		s.createKey(fleet.JobKey(j.ID), value)
		s.workers.Accepted(j.ID)
		if owner := s.currentOwner(); notify && owner != nil {
			owner.NotifySubmitted(j)
		}
		if cancelAfter > 0 {
			time.Sleep(cancelAfter)
			s.workers.Cancelled(j.ID)
			s.createKey(fleet.CancelKey(j.ID), nil)
			if owner := s.currentOwner(); notify && owner != nil {
				owner.NotifyCancelRequested(j.ID)
			}
		}
	}()
}

// currentOwner returns the owner of the fleet, or nil.
func (s *site) currentOwner() *fleet.Owner {
	for _, v := range s.allVMs() {
		if _, owner := v.elector.Owner(); owner != nil {
			return owner
		}
	}
	return nil
}

// vmLink is the connection of one VM to the store. While the VM is frozen, its calls to the
// store and to workers neither start nor return.
type vmLink struct {
	platform.Transactor
	started     time.Time
	frozenUntil atomic.Int64 // since started
	cutUntil    atomic.Int64
	deafUntil   atomic.Int64 // the jobs watch delivers nothing
	lastAnswer  atomic.Int64

	callCost time.Duration // processor time of the VM for each half of a call to a worker
	cpuLock  sync.Mutex
	cpuFree  time.Time // until when the processor is taken
	calls    int       // halves of calls so far
}

// useCPU waits for the processor of the VM and uses it for the cost of half a call.
func (l *vmLink) useCPU() {
	l.cpuLock.Lock()
	l.calls++
	if l.callCost == 0 {
		l.cpuLock.Unlock()
		return
	}
	now := time.Now()
	if l.cpuFree.Before(now) {
		l.cpuFree = now
	}
	l.cpuFree = l.cpuFree.Add(l.callCost)
	wait := l.cpuFree.Sub(now)
	l.cpuLock.Unlock()
	time.Sleep(wait)
}

func (l *vmLink) now() time.Duration { return time.Since(l.started) }

func (l *vmLink) lastAnswerTime() time.Duration { return time.Duration(l.lastAnswer.Load()) }

func (l *vmLink) frozen() bool { return l.now() < time.Duration(l.frozenUntil.Load()) }

// thaw waits until the VM is not frozen.
func (l *vmLink) thaw() {
	for l.frozen() {
		time.Sleep(time.Duration(l.frozenUntil.Load()) - l.now())
	}
}

func callLink[T any](ctx context.Context, l *vmLink, call func() (T, error)) (T, error) {
	var none T
	l.thaw()
	if l.now() < time.Duration(l.cutUntil.Load()) {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "store unreachable")
	}
	result, err := call()
	l.thaw()
	if l.now() < time.Duration(l.cutUntil.Load()) {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "store unreachable")
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		l.lastAnswer.Store(int64(l.now()))
	}
	return result, err
}

func (l *vmLink) Get(ctx context.Context, key string) (platform.Entry, error) {
	return callLink(ctx, l, func() (platform.Entry, error) { return l.Transactor.Get(ctx, key) })
}

func (l *vmLink) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	return callLink(ctx, l, func() (platform.ListResult, error) { return l.Transactor.List(ctx, prefix, after, limit) })
}

func (l *vmLink) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	return callLink(ctx, l, func() (platform.TxnResult, error) { return l.Transactor.Commit(ctx, txn) })
}

func (l *vmLink) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	return callLink(ctx, l, func() (platform.PollResult, error) {
		if prefix == fleet.JobPrefix && l.now() < time.Duration(l.deafUntil.Load()) {
			time.Sleep(wait)
			return platform.PollResult{Revision: after}, nil
		}
		return l.Transactor.Poll(ctx, prefix, after, wait)
	})
}

func (l *vmLink) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callLink(ctx, l, func() (platform.LeaseID, error) { return l.Transactor.GrantLease(ctx, ttl) })
}

func (l *vmLink) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := callLink(ctx, l, func() (struct{}, error) { return struct{}{}, l.Transactor.Revoke(ctx, id) })
	return err
}

func (l *vmLink) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := callLink(ctx, l, func() (struct{}, error) { return struct{}{}, l.Transactor.KeepAlive(ctx, id) })
	return err
}

// callFaults are the faults of the calls of all VMs to workers.
type callFaults struct {
	mu         sync.Mutex
	random     *rand.Rand
	busyUntil  time.Time       // calls take up to a second more
	cutAnswers map[string]bool // addresses whose answers are lost
}

// delay returns a random delay before and after a call, and whether its answer is lost.
func (c *callFaults) delay(address string) (before, after time.Duration, lost, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := func(n int) time.Duration { return time.Duration(c.random.IntN(n)) * time.Millisecond }
	before, after = ms(15), ms(15)
	if c.random.IntN(100) == 0 {
		before += ms(400)
	}
	if c.random.IntN(500) == 0 {
		after += ms(1200)
	}
	if time.Now().Before(c.busyUntil) {
		before, after = before+ms(500), after+ms(700)
	}
	return before, after, c.cutAnswers[address], c.random.IntN(2) == 0
}

// callClient makes the calls of one VM.
type callClient struct {
	fleet.WorkerClient
	link   *vmLink
	faults *callFaults
}

var errLate = fmt.Errorf("the answer was late")

// callWorker makes a call and returns false if the answer is lost or late.
func callWorker(ctx context.Context, c *callClient, address string, call func()) bool {
	before, after, lost, sent := c.faults.delay(address)
	c.link.thaw()
	c.link.useCPU()
	time.Sleep(before)
	c.link.thaw()
	if ctx.Err() != nil && !sent {
		return false
	}
	call()
	time.Sleep(after)
	c.link.thaw()
	c.link.useCPU()
	if lost {
		<-ctx.Done()
	}
	return ctx.Err() == nil
}

func (c *callClient) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (reply fleet.RenewLeaseReply, verdict fleet.Verdict, err error) {
	if !callWorker(ctx, c, address, func() { reply, verdict, err = c.WorkerClient.RenewLease(ctx, address, instance, r) }) {
		return fleet.RenewLeaseReply{}, fleet.Unanswered, errLate
	}
	return reply, verdict, err
}

func (c *callClient) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (reply fleet.OrderReply, err error) {
	if !callWorker(ctx, c, address, func() { reply, err = c.WorkerClient.Start(ctx, address, instance, o) }) {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errLate
	}
	return reply, err
}

func (c *callClient) Stop(ctx context.Context, address, instance string, task workload.TaskID, run, token int64) (reply fleet.OrderReply, err error) {
	if !callWorker(ctx, c, address, func() { reply, err = c.WorkerClient.Stop(ctx, address, instance, task, run, token) }) {
		return fleet.OrderReply{Verdict: fleet.Unanswered}, errLate
	}
	return reply, err
}

// note records an event of the play.
func (s *site) note(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf("%8.3f %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...)))
}

// someWorkers returns a random share of the workers.
func (s *site) someWorkers(share float64) []int {
	all := s.r.Perm(s.size.workers)
	return all[:max(1, int(share*float64(len(all))))]
}

func (s *site) workerFault(share float64, length time.Duration, change func(f *fleettest.Faults, on bool)) {
	for _, i := range s.someWorkers(share) {
		s.workers.UpdateFaults(i, func(f *fleettest.Faults) { change(f, true) })
		s.scheduleFaultEnd(length, func() { s.workers.UpdateFaults(i, func(f *fleettest.Faults) { change(f, false) }) })
	}
}

func (s *site) storeFault(length time.Duration, change func(f *memory.Faults, on bool)) {
	s.store.UpdateFaults(func(f *memory.Faults) { change(f, true) })
	s.scheduleFaultEnd(length, func() { s.store.UpdateFaults(func(f *memory.Faults) { change(f, false) }) })
}

// ownerLink returns the link of the VM that owns the fleet, or nil.
func (s *site) ownerLink() *vmLink {
	if i := s.ownerIndex(); i >= 0 {
		return s.links[i]
	}
	return nil
}

// trouble begins one of the disruptions of the site.
func (s *site) trouble() {
	r := s.r
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*r.Float64()) * float64(time.Second))
	}
	length := seconds(3, 7)
	until := int64(time.Since(s.started) + length)
	kind := r.IntN(20)
	s.note("trouble %d for %v", kind, length)
	switch kind {
	case 0:
		s.replaceOwner()
	case 1: // owners die in series
		for n := range 3 {
			time.AfterFunc(time.Duration(n)*seconds(1, 2), s.freezeOwner(seconds(2, 5)))
		}
	case 2:
		s.freezeOwner(seconds(1, 5))()
	case 3:
		for _, i := range s.someWorkers(0.14) { // gone for good
			s.workers.Crash(i, time.Hour)
			time.AfterFunc(seconds(0, 5), func() { s.workers.Leave(i) })
		}
	case 4:
		for _, i := range s.someWorkers(0.14) {
			s.workers.Crash(i, seconds(0, 4))
		}
	case 5:
		for _, i := range s.someWorkers(0.07) {
			s.workers.Drain(i, 2*time.Second)
			time.AfterFunc(seconds(2, 3), func() { s.workers.Leave(i) })
		}
	case 6:
		for _, i := range s.someWorkers(0.1) {
			for n := range 4 {
				time.AfterFunc(time.Duration(n)*1400*time.Millisecond, func() { s.workers.Crash(i, 700*time.Millisecond) })
			}
		}
	case 7:
		s.workerFault(0.17, length, func(f *fleettest.Faults, on bool) { f.Slowdown = map[bool]float64{true: 6.5, false: 0}[on] })
	case 8:
		s.workerFault(0.085, length, func(f *fleettest.Faults, on bool) { f.FailAll = on })
	case 9:
		s.workerFault(0.45, length, func(f *fleettest.Faults, on bool) { f.LoseAnswers = map[bool]int{true: 2, false: 0}[on] })
	case 10:
		s.workerFault(0.2, length, func(f *fleettest.Faults, on bool) {
			f.LateOrders, f.LateBy = map[bool]int{true: 2, false: 0}[on], 3*time.Second
		})
	case 11:
		s.workerFault(0.17, length, func(f *fleettest.Faults, on bool) { f.Unreachable = on })
	case 12:
		s.cutAnswers(s.someWorkers(0.17), length)
	case 13:
		paused := r.IntN(2) == 0
		s.storeFault(length, func(f *memory.Faults, on bool) { f.Outage, f.PauseLeases = on, on && paused })
	case 14:
		s.storeFault(length, func(f *memory.Faults, on bool) {
			f.Delay = map[bool]time.Duration{true: 240 * time.Millisecond, false: 4 * time.Millisecond}[on]
		})
	case 15:
		s.storeFault(length, func(f *memory.Faults, on bool) { f.LoseShare = map[bool]float64{true: 0.35, false: 0}[on] })
	case 16:
		for _, l := range s.links {
			l.deafUntil.Store(until)
		}
	case 17:
		if l := s.ownerLink(); l != nil {
			l.cutUntil.Store(until)
		}
	case 18:
		s.calls.mu.Lock()
		s.calls.busyUntil = time.Now().Add(length)
		s.calls.mu.Unlock()
	case 19:
		for _, i := range s.someWorkers(0.05) {
			s.workers.Restart(i)
		}
	}
}

func (s *site) cutAnswers(workers []int, length time.Duration) {
	set := func(cut bool) {
		s.calls.mu.Lock()
		defer s.calls.mu.Unlock()
		for _, i := range workers {
			s.calls.cutAnswers[fmt.Sprintf("w%02d:1", i)] = cut
		}
	}
	set(true)
	s.scheduleFaultEnd(length, func() { set(false) })
}

// freezeOwner returns a function that freezes the VM that owns the fleet.
func (s *site) freezeOwner(d time.Duration) func() {
	return func() {
		for i, v := range s.allVMs() {
			if _, owner := v.elector.Owner(); owner != nil {
				s.links[i].frozenUntil.Store(int64(time.Since(s.started) + d))
			}
		}
	}
}

func (s *site) clearSiteFaults() {
	for _, t := range s.faultTimers {
		t.Stop()
	}
	s.store.SetFaults(memory.Faults{Delay: 4 * time.Millisecond})
	for i := range s.size.workers {
		s.workers.UpdateFaults(i, func(f *fleettest.Faults) { *f = fleettest.Faults{ClockRate: f.ClockRate} })
	}
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	s.calls.busyUntil, s.calls.cutAnswers = time.Time{}, map[string]bool{}
	for _, l := range s.links {
		l.deafUntil.Store(0)
		l.cutUntil.Store(0)
		l.frozenUntil.Store(0)
	}
}

// play runs the load with the given number of troubles, then waits until the site is idle.
func (s *site) play(troubles int, closing bool) {
	r := s.r
	for range s.size.atStart {
		s.submitSite(&siteClasses[2*r.IntN(2)], 2.5)
	}
	begin := time.Now()
	troubleAt := make([]time.Duration, troubles)
	for n := range troubleAt {
		troubleAt[n] = time.Duration(r.Float64() * float64(siteLoadTime-2*time.Second))
	}
	burst, burstClass := time.Duration(r.Float64()*float64(siteLoadTime)), r.IntN(3)
	next := make([]time.Duration, len(siteClasses))
	described := map[string]bool{}
	for elapsed := time.Duration(0); elapsed < siteLoadTime+siteRecoveryTime; elapsed = time.Since(begin) {
		if elapsed < siteLoadTime {
			for n := range siteClasses {
				for ; next[n] <= elapsed; next[n] += time.Duration(r.ExpFloat64() / s.rate(n, elapsed, burst, burstClass) * float64(time.Second)) {
					s.submitSite(&siteClasses[n], 1)
				}
			}
			for n, at := range troubleAt {
				if at >= 0 && at <= elapsed {
					troubleAt[n] = -1
					s.trouble()
				}
			}
		} else if elapsed < siteLoadTime+100*time.Millisecond {
			s.note("load ends")
			s.clearSiteFaults()
			if closing {
				s.restartVMs(time.Duration(500+r.IntN(3000)) * time.Millisecond)
			}
		}
		s.sleep(100 * time.Millisecond)
		s.detector.Observe()
		for _, found := range s.detector.Standstills() {
			if found.Open && !described[found.Job] {
				described[found.Job] = true
				text := "no owner"
				if owner := s.currentOwner(); owner != nil {
					text = owner.Describe(found.Job)
				}
				s.note("%s: %s", found.Job, text)
			}
		}
	}
}

// restartVMs kills all VMs and starts others after a time.
func (s *site) restartVMs(down time.Duration) {
	s.note("all VMs are killed for %v", down)
	for i := range s.vms {
		s.killVM(i)
	}
	time.AfterFunc(down, func() {
		for range siteVMs {
			s.startVM()
		}
	})
}

// rate returns the arrivals per second of a class.
func (s *site) rate(class int, at, burst time.Duration, burstClass int) float64 {
	perSecond := s.size.rate * siteClasses[class].perSecond * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15))
	if class == burstClass && at >= burst && at < burst+4*time.Second {
		perSecond *= 2.6
	}
	return perSecond
}

func (s *site) close() {
	for i := range s.vms {
		s.killVM(i)
	}
	time.Sleep(2 * time.Hour) // lets the emulator's timers expire
}

// TestSearchStandstills plays the site at random and prints the jobs that stand still.
// STANDSTILL_SEEDS is the number of seeds, STANDSTILL_FIRST the first, STANDSTILL_SIZE
// "full" or "small", STANDSTILL_TROUBLES the number of disruptions of a play.
func TestSearchStandstills(t *testing.T) {
	number := func(key string, preset int) int {
		if n, err := strconv.Atoi(os.Getenv(key)); err == nil {
			return n
		}
		return preset
	}
	seeds := number("STANDSTILL_SEEDS", 0)
	if seeds == 0 {
		t.Skip("a search by hand: STANDSTILL_SEEDS is not set")
	}
	size := smallSite
	if os.Getenv("STANDSTILL_SIZE") == "full" {
		size = fullSite
	}
	size.callCost = time.Duration(number("STANDSTILL_CALL_COST_US", 0)) * time.Microsecond
	if n := number("STANDSTILL_RATE_PERCENT", 0); n > 0 {
		size.rate = float64(n) / 100
	}
	first, troubles := number("STANDSTILL_FIRST", 1), number("STANDSTILL_TROUBLES", 0)
	for n := range seeds {
		seed := uint64(first + n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, seed, size)
				began := time.Now()
				s.play(troubles, troubles > 0 && seed%2 == 0)
				late, inLoad := 0, 0
				for _, found := range s.detector.Standstills() {
					from, to := found.From.Sub(began).Seconds(), found.To.Sub(began).Seconds()
					mark := "in load"
					if to >= siteLoadTime.Seconds()+fleettest.StandstillThreshold.Seconds() {
						mark = "after load"
					}
					if to >= (siteLoadTime + siteFinishTime + fleettest.StandstillThreshold).Seconds() {
						mark = "LATE"
						late++
					} else {
						inLoad++
					}
					t.Logf("%s: %.1f to %.1f s, bound to a rack %v: %v", mark, from, to, found.RackBound(), found)
				}
				unfinished := 0
				for _, j := range s.jobs {
					if owner := s.currentOwner(); owner != nil {
						if st, _ := owner.State(j.ID, j.QueueRef()); !st.Final() {
							unfinished++
						}
					}
				}
				t.Logf("seed %d: %d jobs, %d unfinished, %d standstills late, %d before, %d violations", seed, len(s.jobs), unfinished, late, inLoad, len(s.workers.Violations()))
				for _, v := range s.workers.Violations() {
					t.Log("violation: ", v)
				}
				for _, line := range s.notes {
					t.Log(line)
				}
				if path := os.Getenv("STANDSTILL_LOG"); path != "" {
					s.writeLog(fmt.Sprintf("%s.%d", path, seed))
				}
				s.close()
			})
		})
	}
}

// observe watches for jobs that stand still for a time.
func (b *testbed) observe(d *fleettest.StandstillDetector, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		b.sleep(observationInterval)
		d.Observe()
	}
}

func (s *site) writeLog(path string) {
	s.logLock.Lock()
	defer s.logLock.Unlock()
	file, err := os.Create(path)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, line := range s.logLines {
		fmt.Fprintln(file, line)
	}
	if err := file.Close(); err != nil {
		s.t.Error(err)
	}
}
