package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a gauge that keeps its last value after its cause is gone or after this
// VM is no longer the owner.
func TestOwnerGaugesAreReplaced(t *testing.T) {
	s := New(func() int64 { return 0 })
	body := func() string {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text, err := io.ReadAll(w.Result().Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	gauges := OwnerGauges{
		JobsStanding: map[ServiceLabel]int{{"scan", "headroom"}: 3}, Workers: map[ServiceLabel]int{{"scan", "draining"}: 2},
		UsedShare: map[string]float64{"scan": 0.25}, OpenWrites: 4, OldestUnstored: 1500 * time.Millisecond, QueuedOrders: 7, WaitingStarts: 8, WaitingProbes: 9,
		JobsOffloaded: 5, JobMemory: 6000, JobMemoryLimit: 7000,
	}
	s.OwnerGauges(gauges)
	for _, want := range []string{
		`carawayusher_jobs_standing{reason="headroom",service="scan"} 3`, `carawayusher_workers{service="scan",state="draining"} 2`,
		`carawayusher_service_used_share{service="scan"} 0.25`, "carawayusher_open_writes 4", "carawayusher_oldest_unstored_change_seconds 1.5",
		"carawayusher_queued_orders 7", `carawayusher_worker_calls_waiting{kind="start"} 8`, `carawayusher_worker_calls_waiting{kind="probe"} 9`, "process_open_fds ",
		"carawayusher_jobs_offloaded 5", "carawayusher_job_memory_bytes 6000", "carawayusher_job_memory_limit_bytes 7000",
	} {
		if got := body(); !strings.Contains(got, want) {
			t.Errorf("no %s in\n%s", want, got)
		}
	}
	gauges.JobsStanding = map[ServiceLabel]int{{"scan", "label"}: 1}
	s.OwnerGauges(gauges)
	if got := body(); strings.Contains(got, "headroom") || !strings.Contains(got, `reason="label"`) {
		t.Errorf("after a change of the reason:\n%s", got)
	}
	s.OwnerGauges(OwnerGauges{})
	if got := body(); strings.Contains(got, `service="scan"`) || !strings.Contains(got, "carawayusher_open_writes 0") {
		t.Errorf("after the loss of ownership:\n%s", got)
	}
}
