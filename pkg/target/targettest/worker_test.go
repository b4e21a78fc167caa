package targettest

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

func TestReservations(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a worker accepts more than its capacity", config: memory.Config{Slots: 2, Accelerators: 4}, run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask, 0, 1), "")
			for _, taken := range [][]int{{1}, {2, 0}, {4}, {-1}} {
				wantKind(t, w.reserve(t, otherTask, taken...), errkind.CapacityExceeded)
			}
			wantKind(t, w.reserve(t, otherTask, 2, 2), errkind.InvalidRequest)
			wantKind(t, w.reserve(t, otherTask, 2, 3), "")
			wantKind(t, w.reserve(t, "j1-c/1/0"), errkind.CapacityExceeded) // no free slot
			wantKind(t, w.Release(t.Context(), firstTask, ownerEpoch), "")
			wantKind(t, w.reserve(t, "j1-c/1/0", 1), "")
		}},
		{name: "a repeated reservation takes a second slot", run: func(t *testing.T, w worker) {
			for range 3 {
				wantKind(t, w.reserve(t, firstTask, 0, 1), "")
				time.Sleep(leaseTTL - time.Second) // the repeated call renews the lease
			}
			wantKind(t, w.reserve(t, firstTask, 2), errkind.Conflict)
			wantEqual(t, "live tasks", w.backend.LiveTasks(), 1)
		}},
		{name: "a repeated start runs the task twice", run: func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"run":"1s"}`)
			wantKind(t, w.start(t, firstTask, `{"run":"1s"}`), "")
			time.Sleep(2 * time.Second)
			wantKind(t, w.start(t, firstTask, `{"run":"1s"}`), "")
			wantKind(t, w.reserve(t, firstTask), errkind.Conflict)
			w.wantStarts(t, firstTask)
		}},
		{name: "a start whose response was lost runs again or is not reported", run: func(t *testing.T, w worker) {
			w.backend.SetFaults(memory.Faults{LoseStartAnswers: 1})
			wantKind(t, w.reserve(t, firstTask), "")
			seq := w.sync(t, 0, 0).Seq
			wantKind(t, w.start(t, firstTask, ""), errkind.Unavailable)
			resp := w.sync(t, seq, leaseTTL)
			wantEqual(t, "changed tasks", len(resp.Tasks), 1)
			wantEqual(t, "started", resp.Tasks[0].Started, true)
			wantKind(t, w.start(t, firstTask, ""), "")
			w.wantStarts(t, firstTask)
		}},
		{name: "reserve with start is not idempotent", run: func(t *testing.T, w worker) {
			w.backend.SetFaults(memory.Faults{LoseStartAnswers: 1})
			req := target.ReserveRequest{Task: firstTask, Epoch: ownerEpoch, TTL: leaseTTL, Start: &target.StartRequest{}}
			_, err := w.Reserve(t.Context(), req)
			wantKind(t, err, errkind.Unavailable)
			for range 2 { // while it runs and after it ended
				_, err = w.Reserve(t.Context(), req)
				wantKind(t, err, "")
				time.Sleep(time.Second)
			}
			w.wantStarts(t, firstTask)
		}},
		{name: "a leaving worker accepts new tasks or drops reserved ones", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask), "")
			seq := w.sync(t, 0, 0).Seq
			time.AfterFunc(time.Second, func() { w.backend.SetLeaving(true) })
			start := time.Now()
			wantEqual(t, "leaving", w.sync(t, seq, 5*time.Second).Leaving, true)
			wantEqual(t, "time until the long poll ended", time.Since(start), time.Second)
			wantKind(t, w.reserve(t, otherTask), errkind.TargetLeaving)
			wantKind(t, w.start(t, firstTask, ""), "")
		}},
		{name: "an ended task whose identity is retained can be reserved again", config: memory.Config{MaxEndedTasks: 2}, run: func(t *testing.T, w worker) {
			for i := range 3 {
				w.mustRun(t, api.TaskID(fmt.Sprintf("j1-%d/1/0", i)), "")
				time.Sleep(time.Second)
			}
			wantKind(t, w.reserve(t, "j1-1/1/0"), errkind.Conflict)
			wantEqual(t, "ended tasks kept", len(w.sync(t, 0, 0).Tasks), 2)
		}},
	})
}

func TestTasks(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a result or failure is altered", run: func(t *testing.T, w worker) {
			for i, c := range []struct {
				payload string
				state   target.TaskState
				output  string // part of the result or of the error
			}{
				{`{"echo":{"n":[1,null]}}`, target.TaskSucceeded, `{"task":"j1-0/1/0","worker":"w","echo":{"n":[1,null]}}`},
				{`{"size":3}`, target.TaskSucceeded, `"filler":"xxx"`},
				{`{"fail":true}`, target.TaskFailed, "payload says"},
				{`{"run":"soon"}`, target.TaskFailed, "soon"},
				{`{"size":-1}`, target.TaskFailed, "size"},
				{`[]`, target.TaskFailed, "cannot be read"},
			} {
				id := api.TaskID(fmt.Sprintf("j1-%d/1/0", i))
				w.mustRun(t, id, c.payload)
				time.Sleep(time.Second)
				s := w.status(t, id)
				wantEqual(t, c.payload, s.State, c.state)
				if !strings.Contains(string(s.Result)+s.Error, c.output) {
					t.Fatalf("%s: result %s, error %q", c.payload, s.Result, s.Error)
				}
			}
		}},
		{name: "results are kept without limit, or identities are dropped with them", run: func(t *testing.T, w worker) {
			for i := range 9 { // results of 1 MiB each against a budget of 8 MiB
				w.mustRun(t, api.TaskID(fmt.Sprintf("j1-%d/1/0", i)), `{"size":1048576}`)
				time.Sleep(time.Second)
			}
			oldest, newest := w.status(t, "j1-0/1/0"), w.status(t, "j1-8/1/0")
			wantEqual(t, "oldest state", oldest.State, target.TaskSucceeded)
			wantEqual(t, "oldest result dropped", len(oldest.Result) == 0 && oldest.Error != "", true)
			wantEqual(t, "newest result kept", len(newest.Result) > 1<<20, true)
		}},
		{name: "a checkpoint records too little or too much progress", run: func(t *testing.T, w worker) {
			ctx := t.Context()
			wantKind(t, w.Checkpoint(ctx, firstTask, ownerEpoch), errkind.NotFound)
			w.mustRun(t, firstTask, `{"run":"10s"}`)
			time.Sleep(4 * time.Second)
			wantKind(t, w.Checkpoint(ctx, firstTask, ownerEpoch), "")
			wantEqual(t, "checkpoint before its delay", w.status(t, firstTask).Checkpoint, "")
			time.Sleep(memory.DefaultCheckpointDelay)
			name := w.status(t, firstTask).Checkpoint
			wantKind(t, w.Stop(ctx, firstTask, ownerEpoch), "")
			wantKind(t, w.Stop(ctx, firstTask, ownerEpoch), "")
			wantKind(t, w.Checkpoint(ctx, firstTask, ownerEpoch), errkind.Conflict)
			wantKind(t, w.reserve(t, otherTask), "")
			wantKind(t, w.Start(ctx, target.StartRequest{
				Task: otherTask, Epoch: ownerEpoch, Incarnation: w.backend.Incarnation(),
				Payload: json.RawMessage(`{"run":"10s"}`), Checkpoint: name,
			}), "")
			time.Sleep(6*time.Second - time.Millisecond)
			wantEqual(t, "state before the rest is done", w.status(t, otherTask).State, target.TaskRunning)
			time.Sleep(time.Millisecond)
			s := w.status(t, otherTask)
			wantEqual(t, "state", s.State, target.TaskSucceeded)
			wantEqual(t, "resumed", strings.Contains(string(s.Result), `"resumedFrom":"`+name+`"`), true)
		}},
		{name: "a throttled task runs at full speed", run: func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"run":"2s"}`)
			time.Sleep(time.Second)
			wantKind(t, w.Throttle(t.Context(), firstTask, ownerEpoch, 0.25), "")
			wantKind(t, w.Throttle(t.Context(), firstTask, ownerEpoch, 0), errkind.InvalidRequest)
			time.Sleep(4*time.Second - time.Millisecond)
			s := w.status(t, firstTask)
			wantEqual(t, "throttled and running", s.Throttled && s.State == target.TaskRunning, true)
			time.Sleep(time.Millisecond)
			wantEqual(t, "state", w.status(t, firstTask).State, target.TaskSucceeded)
		}},
		{name: "an expired lease leaves the task running", run: func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"run":"1h"}`)
			resp := w.sync(t, w.sync(t, 0, 0).Seq, leaseTTL+time.Second)
			wantEqual(t, "changed tasks", len(resp.Tasks), 1)
			wantEqual(t, "state", resp.Tasks[0].State, target.TaskLeaseExpired)
			wantEqual(t, "live tasks", w.backend.LiveTasks(), 0)
		}},
		{name: "a long poll on an idle worker returns at once or reports old changes", run: func(t *testing.T, w worker) {
			seq := w.sync(t, 0, 0).Seq
			start := time.Now()
			wantEqual(t, "idle changes", len(w.sync(t, seq, 5*time.Second).Tasks), 0)
			wantEqual(t, "waited", time.Since(start), 5*time.Second)
			w.mustRun(t, firstTask, "")
			seq = w.sync(t, seq, 0).Seq
			wantKind(t, w.reserve(t, otherTask), "")
			resp := w.sync(t, seq, 0)
			wantEqual(t, "changed tasks", len(resp.Tasks), 1)
			wantEqual(t, "changed task", resp.Tasks[0].Task, otherTask)
		}},
		{name: "usage does not lag", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask, 0, 1), "")
			wantKind(t, w.start(t, firstTask, `{"run":"9s"}`), "")
			time.Sleep(memory.DefaultUsageLag - time.Millisecond)
			wantEqual(t, "slots before the lag", w.sync(t, 0, 0).Usage.SlotsUsed, 0)
			time.Sleep(time.Millisecond)
			u := w.sync(t, 0, 0).Usage
			wantEqual(t, "slots", u.SlotsUsed, 1)
			wantEqual(t, "busy share", u.BusyShare, 0.25)
		}},
	})
}

func TestWorkerFaults(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a worker with FailAll runs tasks before they fail", run: func(t *testing.T, w worker) {
			w.backend.SetFaults(memory.Faults{FailAll: true})
			w.mustRun(t, firstTask, `{"run":"1h"}`)
			s := w.status(t, firstTask)
			wantEqual(t, "failed after a start", s.State == target.TaskFailed && s.Started, true)
		}},
		{name: "stragglers differ between runs with one seed", config: memory.Config{Slots: 100}, run: func(t *testing.T, w worker) {
			w.backend.SetFaults(memory.Faults{StragglerShare: 0.2, StragglerFactor: 5, Seed: 1})
			for i := range 100 {
				w.mustRun(t, api.TaskID(fmt.Sprintf("j1-%d/1/0", i)), `{"run":"1s"}`)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			wantEqual(t, "stragglers of 100 with seed 1", w.backend.LiveTasks(), 17)
			time.Sleep(4 * time.Second)
			synctest.Wait()
			wantEqual(t, "running after the factor", w.backend.LiveTasks(), 0)
		}},
		{name: "a paused worker executes calls before it resumes", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask), "")
			w.backend.SetFaults(memory.Faults{Pause: true})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := w.Fence(ctx, firstTask, ownerEpoch)
			wantKind(t, err, errkind.Unavailable)
			time.AfterFunc(time.Second, func() { w.backend.SetFaults(memory.Faults{}) })
			start := time.Now()
			wantKind(t, w.start(t, firstTask, ""), "")
			wantEqual(t, "time until the call returned", time.Since(start), time.Second)
		}},
		{name: "a worker that refuses connections executes calls", run: func(t *testing.T, w worker) {
			w.backend.SetFaults(memory.Faults{RefuseConnections: true})
			wantKind(t, w.reserve(t, firstTask), errkind.Unavailable)
			wantEqual(t, "live tasks", w.backend.LiveTasks(), 0)
		}},
	})
}
