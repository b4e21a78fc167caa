package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against an emulator that misses a start after the last allowed attempt of a
// task, and against one that counts failures whose ends expired with the lease before
// the owner acknowledged them.
func TestStartsBeyondAttempts(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration // before the end is acknowledged; the lease lasts 3 s
		late  bool          // the end is acknowledged after the second start
		want  int
	}{
		"acknowledged before the second start": {pause: time.Second, want: 1},
		"acknowledged after the second start":  {pause: time.Second, late: true, want: 1},
		"lease expired in between":             {pause: 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(memory.Options{})
				f := New(store, 1, 1, workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8})
				job := &workload.Job{ID: "0123456789abcdef", Steps: []workload.Step{{Tasks: 1}}, Class: workload.Class{MaxAttempts: 1}}
				f.AddJob(job)
				f.SetOutcome(func(workload.TaskID, int64) Outcome { return Outcome{Duration: 100 * time.Millisecond, Fails: true} })
				processStart := time.Now()
				start := func(run int64) {
					o := fleet.StartOrder{Task: workload.TaskID{Job: job.ID}, Run: run, DeadlineMS: time.Since(processStart).Milliseconds() + 3000, Token: 1}
					if reply, err := f.Start(t.Context(), workerAddress(0), "", o); err != nil || reply.Verdict != fleet.Accepted {
						t.Fatalf("start of run %d: %v, %v", run, reply.Verdict, err)
					}
				}
				ack := func() {
					if _, _, err := f.RenewLease(t.Context(), workerAddress(0), "", fleet.RenewLeaseRequest{Token: 1, AckedThrough: 1}); err != nil {
						t.Fatal(err)
					}
				}
				start(1)
				time.Sleep(tc.pause)
				if !tc.late {
					ack()
				}
				start(2)
				if tc.late {
					ack()
				}
				if v := f.Violations(); len(v) != tc.want {
					t.Errorf("violations %v, want %d", v, tc.want)
				}
				time.Sleep(time.Minute) // timers of the emulator
			})
		})
	}
}
