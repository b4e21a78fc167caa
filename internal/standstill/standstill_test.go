package standstill

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a standstill that nobody notices before the first request after it is
// handled, and against reporting a process that merely had nothing to do.
func TestStandstillIsKnownToTheFirstWhoAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		var suspended atomic.Int64 // nanoseconds
		var reported []time.Duration
		d := New(func() time.Duration { return time.Since(started) + time.Duration(suspended.Load()) }, func(d time.Duration) { reported = append(reported, d) })
		go d.Run(t.Context())
		time.Sleep(10 * time.Second)
		if at := d.ResumedAt(); at != 0 || len(reported) > 0 {
			t.Errorf("a process that ran stood still until %v, reported %v", at, reported)
		}
		const standstill = 800 * time.Millisecond
		suspended.Store(int64(standstill))
		if at, want := d.ResumedAt(), time.Since(started)+standstill; at != want {
			t.Errorf("resumed at %v, want %v", at, want)
		}
		if len(reported) != 1 || reported[0] < standstill {
			t.Errorf("reported %v, want one standstill of at least %v", reported, standstill)
		}
	})
}
