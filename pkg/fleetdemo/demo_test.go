package fleetdemo

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// Guards against a demo that loses jobs over a killed owner, a store outage and
// silent workers, or that brings about none of them.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		if err := Run(t.Context(), &out, logr.Discard()); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // timers of the emulator
		for _, want := range []string{"killed vm-", "the store is back", "they answer again", "lost=0 broken_promises=0"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q is missing in:\n%s", want, out.String())
			}
		}
	})
}

// Guards against a verdict that passes when a job is lost.
func TestReportFindsLostJobs(t *testing.T) {
	var out bytes.Buffer
	if err := report(&out, []result{{kind: "urgent flag", state: "running"}}, nil); err == nil {
		t.Error("a job that has not ended passes")
	}
	if err := report(&out, nil, []string{"two runs"}); err == nil {
		t.Error("a broken promise passes")
	}
}
