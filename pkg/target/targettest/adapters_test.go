// Package targettest runs the same contract tests against every implementation of
// target.Target.
package targettest

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/internal/testnet"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/httpapi"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Values shared by the cases.
const (
	ownerEpoch = 10
	leaseTTL   = 15 * time.Second
	firstTask  = api.TaskID("j1-a/1/0")
	otherTask  = api.TaskID("j1-b/1/0")
)

// worker is an implementation under test, and the in-memory worker behind it,
// which has the injected faults and the start log.
type worker struct {
	target.Target
	backend *memory.Worker
}

// adapters maps the name of each implementation to a function that connects it to
// a new in-memory worker.
var adapters = map[string]func(t *testing.T, backend *memory.Worker) target.Target{
	"memory": func(_ *testing.T, backend *memory.Worker) target.Target {
		var d memory.Dialer
		d.Add("worker:1", backend)
		return d.Dial("worker:1")
	},
	"http": func(t *testing.T, backend *memory.Worker) target.Target {
		l := testnet.Serve(t, httpapi.NewHandler(backend))
		d := httpapi.NewDialer(httpapi.DialerOptions{DialContext: l.DialContext})
		t.Cleanup(d.Close)
		return d.Dial("worker:1")
	},
}

// contractCase is one case that every implementation must pass.
type contractCase struct {
	name   string // the failure that the case guards against
	config memory.Config
	run    func(t *testing.T, w worker)
}

func runContract(t *testing.T, cases []contractCase) {
	for name, adapter := range adapters {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c.config.ID = "w"
					backend := memory.NewWorker(c.config)
					t.Cleanup(backend.Close)
					c.run(t, worker{adapter(t, backend), backend})
				})
			})
		}
	}
}

// reserve reserves a slot and accelerators with the shared epoch and TTL.
func (w worker) reserve(t *testing.T, task api.TaskID, accelerators ...int) error {
	_, err := w.Reserve(t.Context(), target.ReserveRequest{Task: task, Epoch: ownerEpoch, TTL: leaseTTL, Accelerators: accelerators})
	return err
}

// start starts a reserved task with a payload and the shared epoch.
func (w worker) start(t *testing.T, task api.TaskID, payload string) error {
	return w.Start(t.Context(), target.StartRequest{
		Task: task, Epoch: ownerEpoch, Incarnation: w.backend.Incarnation(), Payload: json.RawMessage(payload),
	})
}

// mustRun reserves and starts a task, and fails the test if either call fails.
func (w worker) mustRun(t *testing.T, task api.TaskID, payload string) {
	t.Helper()
	wantKind(t, w.reserve(t, task), "")
	wantKind(t, w.start(t, task, payload), "")
}

// status returns the status of a task from a full Sync that renews no leases. It
// first waits until the timers that are due have taken effect.
func (w worker) status(t *testing.T, task api.TaskID) target.TaskStatus {
	t.Helper()
	synctest.Wait()
	for _, s := range w.sync(t, 0, 0).Tasks {
		if s.Task == task {
			return s
		}
	}
	t.Fatalf("task %s is not reported", task)
	return target.TaskStatus{}
}

func (w worker) sync(t *testing.T, since int64, wait time.Duration) target.SyncResponse {
	t.Helper()
	resp, err := w.Sync(t.Context(), target.SyncRequest{
		Epoch: ownerEpoch, SinceSeq: since, MaxWait: wait, Incarnation: w.backend.Incarnation(),
	})
	wantKind(t, err, "")
	return resp
}

// wantStarts checks that exactly these tasks were started, once each and in this
// order.
func (w worker) wantStarts(t *testing.T, tasks ...api.TaskID) {
	t.Helper()
	log := w.backend.Starts()
	wantEqual(t, "number of starts", len(log.Starts), len(tasks))
	for i, task := range tasks {
		wantEqual(t, "started task", log.Starts[i].Task, task)
	}
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if got := errkind.Of(err); got != kind {
		t.Fatalf("error kind %q, want %q (%v)", got, kind, err)
	}
}

func wantEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
