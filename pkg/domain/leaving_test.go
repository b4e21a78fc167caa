package domain

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// leavingBound is the longest time for which a leaving worker may still get new work
// (guarantee G6).
const leavingBound = 3 * time.Second

var leavingSignals = map[string]func(w *world){
	"VM list": func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.vms[0].State = platform.VMLeaving
	},
	"dropped from the VM list": func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.vms = w.vms[1:]
	},
	"the target's answer": func(w *world) { w.workers[0].SetLeaving(true) },
	"another member": func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leaving["w0"] = true
	},
	"refused connection": func(w *world) { w.workers[0].SetFaults(memory.Faults{RefuseConnections: true}) },
}

// A leaving worker must get no new work after the bound, whichever signal comes first.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	for name, sign := range leavingSignals {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 2, func(t *testing.T, w *world, d *Domain) {
				sign(w)
				time.Sleep(leavingBound)
				had := len(w.workers[0].Starts().Starts)
				for i := range 12 {
					o := offerOf(api.JobSpec{Payload: runPayload("1s")})
					o.Job = api.JobID(rune('a'+i)) + "-1"
					mustOffer(t, d, o)
				}
				time.Sleep(10 * time.Second)
				if n := len(w.workers[0].Starts().Starts); n != had {
					t.Errorf("the leaving worker got %d new tasks", n-had)
				}
				if n := len(w.workers[1].Starts().Starts); n != 12 {
					t.Errorf("the other worker got %d tasks, want 12", n)
				}
				if name == "the target's answer" && w.reportedLeaving() == 0 {
					t.Error("the other members were not informed")
				}
			})
		})
	}
}

// Tasks of a leaving worker must move with their checkpoint if the gate allows it; those
// that cannot make a checkpoint must finish in place.
func TestLeavingWorkerTasks(t *testing.T) {
	for name, c := range map[string]struct {
		spec api.JobSpec
		held bool
		want api.Outcome
	}{
		"checkpointable moves":     {api.JobSpec{Checkpointable: true, Payload: runPayload("8s")}, false, api.OutcomePreempted},
		"held by the gate":         {api.JobSpec{Checkpointable: true, Payload: runPayload("8s")}, true, api.OutcomeSucceeded},
		"others finish":            {api.JobSpec{Payload: runPayload("8s")}, false, api.OutcomeSucceeded},
		"at most once never moves": {api.JobSpec{Checkpointable: true, AtMostOnce: true, Payload: runPayload("8s")}, false, api.OutcomeSucceeded},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
				w.gate.setClosed(c.held)
				mustOffer(t, d, offerOf(c.spec))
				time.Sleep(2 * time.Second)
				w.workers[0].SetLeaving(true)
				time.Sleep(10 * time.Second)
				r := w.part.outcome(testJob)
				if r.Outcome != c.want || (c.want == api.OutcomePreempted) != (r.Checkpoint != "") {
					t.Errorf("outcome %q with checkpoint %q, want %q", r.Outcome, r.Checkpoint, c.want)
				}
				proposals, _ := w.gate.recorded()
				if c.held && (len(proposals) == 0 || proposals[0].Kind != gate.Move) {
					t.Errorf("proposals %v, want a move", proposals)
				}
			})
		})
	}
}

// A preemption that the gate rejects, as its rate limit after a resume does, must be
// executed once the gate allows it: the scheduler decides it only once.
func TestPreemptionWaitsForGate(t *testing.T) {
	for name, c := range map[string]struct {
		spec api.JobSpec
		want string // the victim's checkpoint: "", or "some"
	}{
		"checkpoint in time": {api.JobSpec{Accelerators: 8, Checkpointable: true, Payload: runPayload("600s")}, "some"},
		"not checkpointable": {api.JobSpec{Accelerators: 8, Payload: runPayload("600s")}, ""},
		"checkpoint is late": {api.JobSpec{Accelerators: 8, Checkpointable: true, Payload: runPayload("600s")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 0)
				defer w.stop()
				delay := 100 * time.Millisecond
				if name == "checkpoint is late" {
					delay = time.Hour
				}
				w.addWorker("w0", memory.Config{CheckpointDelay: delay})
				d := w.start()
				d.SetPolicy(&policy.Document{Workspaces: map[string]policy.Workspace{"owner": {Guarantees: []policy.Guarantee{
					{Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: testName},
				}}}})
				time.Sleep(time.Second)
				mustOffer(t, d, offerOf(c.spec))
				time.Sleep(time.Second)
				w.gate.setClosed(true)
				owner := offerOf(api.JobSpec{Accelerators: 8, Payload: runPayload("1s")})
				owner.Job, owner.Spec.Workspace = "j0-2", "owner"
				mustOffer(t, d, owner)
				time.Sleep(3 * time.Second)
				if r := w.part.outcome(testJob); r.Outcome != "" {
					t.Fatalf("outcome %q although the gate rejected the preemption", r.Outcome)
				}
				w.gate.setClosed(false)
				time.Sleep(8 * time.Second)
				r := w.part.outcome(testJob)
				if r.Outcome != api.OutcomePreempted || (r.Checkpoint != "") != (c.want != "") {
					t.Errorf("outcome %q with checkpoint %q", r.Outcome, r.Checkpoint)
				}
				if r := w.part.outcome("j0-2"); r.Outcome != api.OutcomeSucceeded {
					t.Errorf("the owner's job: outcome %q (%s), want succeeded", r.Outcome, r.Reason)
				}
				if _, allowed := w.gate.recorded(); !slices.Contains(allowed, gate.Reclaim) {
					t.Errorf("allowed %v, want a reclaim among them", allowed)
				}
			})
		})
	}
}

// A preemption under an automation hold must be executed once an operator confirms the
// proposal as the gate lists it.
func TestConfirmProposal(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world, d *Domain) {
		w.gate.setClosed(true)
		mustOffer(t, d, offerOf(api.JobSpec{Checkpointable: true, Payload: runPayload("600s")}))
		time.Sleep(time.Second)
		w.workers[0].SetLeaving(true)
		time.Sleep(time.Second)
		proposals, _ := w.gate.recorded()
		p := proposals[0]
		p.ID = "as rewritten by the gate"
		if err := d.Confirm(p); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if r := w.part.outcome(testJob); r.Outcome != api.OutcomePreempted {
			t.Errorf("outcome %q, want preempted", r.Outcome)
		}
		if err := d.Confirm(p); err == nil {
			t.Error("a proposal was confirmed twice")
		}
	})
}
