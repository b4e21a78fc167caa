//go:build race

package fleet_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. The Go runtime uses a single race context
// for all timers of a synctest bubble, so timers that fire on two processors at once
// crash the race detector.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
