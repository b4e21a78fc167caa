package fleetdemo

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// Guards against jobs lost when the owner is killed, the store is down or workers
// are unreachable, and against a demo that injects none of these faults.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		if err := Run(t.Context(), &out, logr.Discard()); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // lets the emulator's timers expire
		for _, want := range []string{"killed vm-", "the store is back", "they answer again", "lost=0 broken_promises=0"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q is missing in:\n%s", want, out.String())
			}
		}
	})
}

// Guards against a report that passes although a job was lost or a guarantee was
// violated.
func TestReportFindsLostJobs(t *testing.T) {
	var out bytes.Buffer
	if err := report(&out, []jobResult{{kind: "urgent flag", state: "running"}}, nil); err == nil {
		t.Error("a job that has not ended passes")
	}
	if err := report(&out, nil, []string{"two runs"}); err == nil {
		t.Error("a broken promise passes")
	}
}
