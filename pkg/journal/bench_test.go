package journal

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// BenchmarkAppend reports appends per second, written bytes per append and store
// writes per append for concurrent callers, with and without store latency.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
			b.Run(fmt.Sprintf("callers=%d/delay=%v", callers, delay), func(b *testing.B) {
				benchmarkAppend(b, callers, delay)
			})
		}
	}
}

func benchmarkAppend(b *testing.B, callers int, delay time.Duration) {
	store := newStore()
	log, _, err := Open(background, Options{Store: store, Epoch: 1, Snapshot: func() [][]byte { return nil }})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = log.Close(background) }()
	store.SetFaults(memory.Faults{Delay: delay})
	store.ResetCounts()
	record := make([]byte, 300)
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				if err := log.Append(background, PriorityJobAccept, record); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	counts := store.Counts()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(counts.BytesWritten)/float64(b.N), "bytes/append")
	b.ReportMetric(float64(counts.Calls[memory.OpPut])/float64(b.N), "writes/append")
}
