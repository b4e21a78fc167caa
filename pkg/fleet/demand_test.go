package fleet

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// arrivals records an urgent demand of 16 accelerators every 500 ms and returns the time
// of the last one.
func arrivals(u *urgentDemand, from time.Duration, n int) time.Duration {
	at := from
	for i := range n {
		at = from + time.Duration(i)*500*time.Millisecond
		u.record(at, workload.Resources{Accelerators: 16})
	}
	return at
}

// Guards against headroom that ignores the arrivals, outlasts them, takes most of a small
// service, or is missing while nothing is known.
func TestHeadroomFollowsArrivals(t *testing.T) {
	capacity := workload.Resources{Accelerators: 1000}
	check := func(what string, got, low, high int64) {
		t.Helper()
		if got < low || got > high {
			t.Errorf("%s: %d accelerators, want %d to %d", what, got, low, high)
		}
	}
	var u urgentDemand
	check("nothing known", u.headroom(0, capacity).Accelerators, 250, 250)
	end := arrivals(&u, 0, 240)
	// Two arrivals a second: 32 on average, with a standard deviation of 22.6.
	check("steady arrivals", u.headroom(end, capacity).Accelerators, 74, 80)
	check("small service", u.headroom(end, workload.Resources{Accelerators: 100}).Accelerators, 30, 30)
	check("long after the last arrival", u.headroom(end+2*time.Minute, capacity).Accelerators, 0, 1)
}

// Guards against an owner that knows less of the arrivals after a takeover, as it reads
// the jobs in no order of time.
func TestHeadroomAfterTakeover(t *testing.T) {
	capacity := workload.Resources{Accelerators: 1000}
	var inOrder urgentDemand
	end := arrivals(&inOrder, 0, 100)
	reversed := urgentDemand{since: end, at: end}
	for i := range 100 {
		reversed.record(end-time.Duration(i)*500*time.Millisecond, workload.Resources{Accelerators: 16})
	}
	now := end + time.Second
	a, b := inOrder.headroom(now, capacity).Accelerators, reversed.headroom(now, capacity).Accelerators
	if a != b {
		t.Errorf("%d accelerators in order of arrival, %d in reverse", a, b)
	}
}
