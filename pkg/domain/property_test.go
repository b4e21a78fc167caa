package domain

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// disabledProtection disables a protection to show that the property test detects its
// absence: "epoch" is the epoch check of the workers, "claim" the journaled claim.
var disabledProtection = flag.String("switch-off", "", "protection to switch off: epoch or claim")

const propertyWorkers = 3

// stateMachine drives one failure domain through random operations and faults.
type stateMachine struct {
	w      *world
	owner  *Domain
	offers []Offer // the newest attempt of each job
	jobs   int
}

func newMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{w: newWorld(t, 0)}
	for i := range propertyWorkers {
		m.w.addWorker(fmt.Sprintf("w%d", i), memory.Config{IgnoreEpochs: *disabledProtection == "epoch"})
	}
	m.w.part.ignoreClaims = *disabledProtection == "claim"
	m.owner = m.w.start()
	return m
}

var propertySpecs = []api.JobSpec{
	{},
	{Checkpointable: true},
	{AtMostOnce: true},
	{Accelerators: 3, Adjacency: api.AdjacencyWorker},
	{Accelerators: 16, Adjacency: api.AdjacencyRack},
	{Accelerators: 16, Adjacency: api.AdjacencyRack, AtMostOnce: true},
	{Accelerators: 12, Adjacency: api.AdjacencyRack, Checkpointable: true},
}

// pick draws an element by its index, which is shorter in rapid's output than the element.
func pick[T any](t *rapid.T, list []T, label string) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(t, label)]
}

// Submit offers a new job.
func (m *stateMachine) Submit(t *rapid.T) {
	spec := pick(t, propertySpecs, "spec")
	spec.Payload = runPayload(rapid.SampledFrom([]string{"1ms", "2s", "30s"}).Draw(t, "run"))
	o := offerOf(spec)
	m.jobs++
	o.Job = api.JobID(fmt.Sprintf("j0-%d", m.jobs))
	m.offers = append(m.offers, o)
	m.offer(o)
}

// offer offers an attempt as a partition does, with its claim if there is one.
func (m *stateMachine) offer(o Offer) {
	if c := m.w.part.claimOf(o.Job); c.Attempt == o.Attempt {
		o.ClaimedAllocations, o.ClaimedAt = c.Allocations, time.Now()
	}
	_ = m.owner.Offer(context.Background(), o) // Retry repeats rejected offers
}

// Retry offers attempts without an outcome again, and jobs that may run again with
// the next attempt number.
func (m *stateMachine) Retry(*rapid.T) {
	for i := range m.offers {
		o := &m.offers[i]
		switch m.w.part.finalOutcome(o.Job, o.Attempt) {
		case api.OutcomeNotRun:
			o.Attempt++
		case api.OutcomeLost, api.OutcomePreempted, api.OutcomeStopped:
			if o.Spec.AtMostOnce {
				continue
			}
			o.Attempt++
		case "":
		default:
			continue
		}
		m.offer(*o)
	}
}

// Withdraw cancels an attempt.
func (m *stateMachine) Withdraw(t *rapid.T) {
	if len(m.offers) > 0 {
		o := pick(t, m.offers, "offer")
		_ = m.owner.Withdraw(context.Background(), o.Job, o.Attempt, "withdrawn") // it may have ended
	}
}

// Preempt evicts an attempt.
func (m *stateMachine) Preempt(t *rapid.T) {
	if len(m.offers) > 0 {
		o := pick(t, m.offers, "offer")
		if !o.Spec.AtMostOnce {
			m.owner.execute(sched.Action{Type: sched.ActionPreempt, Job: o.Job, Attempt: o.Attempt, StopBy: time.Now().Add(time.Second)})
		}
	}
}

// Hedge starts a second copy of a job that needs only a slot.
func (m *stateMachine) Hedge(t *rapid.T) {
	if len(m.offers) > 0 {
		o := pick(t, m.offers, "offer")
		if o.Spec.Accelerators == 0 {
			worker := pick(t, m.w.workers, "worker").ID()
			m.owner.execute(sched.Action{Type: sched.ActionHedge, Job: o.Job, Attempt: o.Attempt, Placements: []sched.Placement{{Worker: worker}}})
		}
	}
}

// Takeover starts a successor. The former owner either dies or keeps running.
func (m *stateMachine) Takeover(t *rapid.T) {
	if len(m.w.domains) > 8 {
		return
	}
	if rapid.Bool().Draw(t, "dead") {
		kill(m.owner)
	}
	m.owner = m.w.start()
	m.w.part.setEpoch(int64(len(m.w.domains)))
	m.Retry(t)
}

// WorkerFault restarts a worker or sets its injected faults.
func (m *stateMachine) WorkerFault(t *rapid.T) {
	worker := pick(t, m.w.workers, "worker")
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		worker.Restart()
	case 1:
		worker.SetFaults(memory.Faults{Pause: true})
	case 2:
		worker.SetFaults(memory.Faults{RefuseConnections: true})
	case 3:
		worker.SetFaults(memory.Faults{LoseStartAnswers: rapid.IntRange(1, 8).Draw(t, "starts")})
	default:
		worker.SetFaults(memory.Faults{})
	}
}

// CallFault drops calls of one method, or the answers to them.
func (m *stateMachine) CallFault(t *rapid.T) {
	method := rapid.SampledFrom([]string{"reserve", "start", "sync", "fence", "release"}).Draw(t, "method")
	fault := firstCalls("", method, rapid.IntRange(1, 30).Draw(t, "times"), lostAnswer)
	if rapid.Bool().Draw(t, "answer") {
		m.w.inject(nil, fault)
	} else {
		m.w.inject(fault, nil)
	}
}

// PartitionFault drops reports or claims, or the answers to them.
func (m *stateMachine) PartitionFault(t *rapid.T) {
	var left atomic.Int32
	left.Store(int32(rapid.IntRange(1, 5).Draw(t, "times")))
	fault := func() error {
		if left.Add(-1) < 0 {
			return nil
		}
		return errkind.New(errkind.Timeout, "the answer was lost")
	}
	p := m.w.part
	p.mu.Lock()
	defer p.mu.Unlock()
	switch rapid.IntRange(0, 3).Draw(t, "call") {
	case 0:
		p.report = fault
	case 1:
		p.reportAfter = fault
	case 2:
		p.claim = fault
	default:
		p.claimAfter = fault
	}
}

// Wait advances the bubble's clock.
func (m *stateMachine) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 50, 1000, 6000, 20000}).Draw(t, "ms")) * time.Millisecond)
}

// Check verifies the invariants that hold after every step.
func (m *stateMachine) Check(t *rapid.T) {
	seen := map[api.TaskID]bool{}
	placements := map[api.JobID]string{}
	for _, s := range m.w.starts("") {
		if seen[s.Task] {
			t.Fatalf("task %s started twice", s.Task)
		}
		seen[s.Task] = true
		key := placementKey(s.Task)
		if was, ok := placements[s.Job]; ok && was != key && m.atMostOnce(s.Job) {
			t.Fatalf("at-most-once job started as %s and as %s", was, key)
		}
		placements[s.Job] = key
		var attempt int
		_, _ = fmt.Sscanf(string(s.Task[len(s.Job):]), "/%d/", &attempt)
		// A restarted worker has no record of a task that it ran for a former owner, and
		// a job that may run more than once has no claim that would show it.
		recordLost := !m.atMostOnce(s.Job) && m.incarnation(s.Worker) != s.Incarnation
		if m.w.part.finalOutcome(s.Job, attempt) == api.OutcomeNotRun && !recordLost {
			t.Fatalf("task %s started, and its attempt was reported as not run", s.Task)
		}
	}
	for _, worker := range m.w.workers {
		m.checkCapacity(t, worker)
	}
}

func (m *stateMachine) incarnation(worker string) int64 {
	i := slices.IndexFunc(m.w.workers, func(w *memory.Worker) bool { return w.ID() == worker })
	return m.w.workers[i].Incarnation()
}

func (m *stateMachine) atMostOnce(job api.JobID) bool {
	return slices.ContainsFunc(m.offers, func(o Offer) bool { return o.Job == job && o.Spec.AtMostOnce })
}

// live returns the live tasks of a worker, none if the worker does not answer.
func live(worker *memory.Worker) []target.TaskStatus {
	if f := worker.Faults(); f.Pause || f.RefuseConnections {
		return nil
	}
	resp, _ := worker.Sync(context.Background(), target.SyncRequest{RenewOnly: true})
	return slices.DeleteFunc(resp.Tasks, func(st target.TaskStatus) bool { return st.State.Ended() })
}

func (m *stateMachine) checkCapacity(t *rapid.T, worker *memory.Worker) {
	taken := map[int]api.TaskID{}
	tasks := live(worker)
	for _, st := range tasks {
		for _, a := range st.Accelerators {
			if other, ok := taken[a]; ok {
				t.Fatalf("accelerator %d of %s is held by %s and %s", a, worker.ID(), other, st.Task)
			}
			taken[a] = st.Task
		}
	}
	if len(tasks) > target.DefaultSlots {
		t.Fatalf("%d tasks on %s", len(tasks), worker.ID())
	}
}

// runToCompletion clears all faults and expects that every job ends, that no gang runs
// partially, and that no live task is left at the workers.
func (m *stateMachine) runToCompletion(t *rapid.T) {
	m.w.inject(nil, nil)
	for _, worker := range m.w.workers {
		worker.SetFaults(memory.Faults{})
	}
	p := m.w.part
	p.mu.Lock()
	p.report, p.reportAfter, p.claim, p.claimAfter = nil, nil, nil, nil
	p.mu.Unlock()
	for range 60 {
		m.Retry(t)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		m.Check(t)
		m.checkGangsComplete(t)
		if m.openAttempts() == 0 && m.w.live() == 0 {
			m.owner.mu.Lock()
			defer m.owner.mu.Unlock()
			if len(m.owner.attempts)+len(m.owner.byTask) > 0 {
				t.Fatalf("%d attempts and %d tasks are still kept", len(m.owner.attempts), len(m.owner.byTask))
			}
			return
		}
	}
	t.Fatalf("%d jobs are not finished and %d tasks are live%s", m.openAttempts(), m.w.live(), m.dump())
}

// dump describes the state of the owner and the workers for failure messages.
func (m *stateMachine) dump() string {
	d := m.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	out := ""
	for id, a := range d.attempts {
		out += fmt.Sprintf("\nattempt %s/%d %s placing=%v withdrawn=%q preempted=%v ended=%v orphan=%v resolving=%v pending=%v",
			id, a.offer.Attempt, a.state, a.placing, a.withdrawReason, a.preemption != nil, a.ended, a.orphan, a.resolving, a.pendingEnd)
		for _, c := range a.copies {
			for _, t := range c.tasks {
				out += fmt.Sprintf("\n  task %s at %s %s lost=%v stopping=%v", t.id, t.worker.id, t.status.State, t.lost, t.stopping)
			}
		}
	}
	for _, worker := range m.w.workers {
		for _, st := range live(worker) {
			out += fmt.Sprintf("\nworker %s: %s %s", worker.ID(), st.Task, st.State)
		}
	}
	return out
}

func (m *stateMachine) openAttempts() int {
	n := 0
	for _, o := range m.offers {
		switch m.w.part.finalOutcome(o.Job, o.Attempt) {
		case "":
			n++
		case api.OutcomeNotRun:
			n++
		case api.OutcomeLost, api.OutcomePreempted, api.OutcomeStopped:
			if !o.Spec.AtMostOnce {
				n++
			}
		}
	}
	return n
}

// checkGangsComplete expects that a placement with a running task is complete.
func (m *stateMachine) checkGangsComplete(t *rapid.T) {
	running, complete := map[string]bool{}, map[string]int{}
	for _, worker := range m.w.workers {
		resp, _ := worker.Sync(context.Background(), target.SyncRequest{RenewOnly: true})
		for _, st := range resp.Tasks {
			key := placementKey(st.Task)
			if st.State == target.TaskRunning {
				running[key] = true
			}
			if st.State == target.TaskRunning || st.State == target.TaskSucceeded {
				complete[key] += len(st.Accelerators)
			}
		}
	}
	for key := range running {
		job := api.TaskID(key).Job()
		i := slices.IndexFunc(m.offers, func(o Offer) bool { return o.Job == job })
		if want := m.offers[i].Spec.Accelerators; complete[key] != want {
			t.Fatalf("%s runs on %d accelerators of %d%s", key, complete[key], want, m.dump())
		}
	}
}

func (p *fakePartition) finalOutcome(job api.JobID, attempt int) api.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all := p.outcomes[attemptKey(job, attempt)]; len(all) > 0 {
		return all[0].Outcome
	}
	return ""
}

func (p *fakePartition) setEpoch(epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch = epoch
}

// bubbleTB hides testing.T.Deadline, which must not be called in a synctest bubble.
type bubbleTB struct{ rapid.TB }

// Verifies the guarantees of the domain's owner under random sequences of faults: no
// task ID starts twice, an at-most-once job starts at most one placement, an attempt
// that is reported as not run did not run, accelerators and slots are never
// overcommitted, no gang keeps running partially, and every job ends.
func TestDomainProperties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			m := newMachine(t)
			defer m.w.stop()
			t.Repeat(map[string]func(*rapid.T){
				"": m.Check, "submit": m.Submit, "submit2": m.Submit, "retry": m.Retry, "withdraw": m.Withdraw, "preempt": m.Preempt, "hedge": m.Hedge,
				"takeover": m.Takeover, "worker fault": m.WorkerFault, "call fault": m.CallFault,
				"partition fault": m.PartitionFault, "wait": m.Wait, "wait2": m.Wait,
			})
			m.runToCompletion(t)
		})
	})
}
