// Package processusage reads what this process uses of its descriptors, memory and
// processor.
package processusage

import (
	"math"
	"os"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"
)

// Usage is what a process uses of its resources, and its limits; 0 is unknown.
type Usage struct {
	OpenFiles, OpenFileLimit int64
	HeapBytes                int64
	MemoryBytes, MemoryLimit int64 // of the Go runtime
	Goroutines               int64
	CPUTime                  time.Duration // since the start of the process
	GCCycles                 int64         // since the start of the process
	MaxGCPause               time.Duration // since the previous reading
	MaxSchedulingDelay       time.Duration // since the previous reading
}

// descriptorDir lists the open descriptors of this process.
const descriptorDir = "/proc/self/fd"

// Names of the runtime's metrics, in the order of Reader.samples.
var sampleNames = []string{
	"/memory/classes/heap/objects:bytes", "/gc/gomemlimit:bytes", "/sched/goroutines:goroutines", "/gc/cycles/total:gc-cycles",
	"/sched/pauses/total/gc:seconds", "/sched/latencies:seconds", "/memory/classes/total:bytes", "/memory/classes/heap/released:bytes",
}

// Reader reads the usage of this process.
type Reader struct {
	mu      sync.Mutex
	samples []metrics.Sample
	pauses  []uint64 // counts of the previous reading, by bucket
	delays  []uint64
}

// NewReader returns a Reader.
func NewReader() *Reader {
	r := &Reader{samples: make([]metrics.Sample, len(sampleNames))}
	for i, name := range sampleNames {
		r.samples[i].Name = name
	}
	return r
}

// Read returns the current usage. What cannot be read is 0.
func (r *Reader) Read() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	metrics.Read(r.samples)
	u := Usage{
		HeapBytes: r.integer(0), MemoryBytes: r.integer(6) - r.integer(7), MemoryLimit: r.integer(1), Goroutines: r.integer(2), GCCycles: r.integer(3),
		MaxGCPause: maxSince(r.samples[4], &r.pauses), MaxSchedulingDelay: maxSince(r.samples[5], &r.delays),
	}
	if u.MemoryLimit == math.MaxInt64 {
		u.MemoryLimit = 0
	}
	if names, err := descriptors(); err == nil {
		u.OpenFiles = int64(len(names))
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		u.OpenFileLimit = int64(min(limit.Cur, math.MaxInt64))
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		u.CPUTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return u
}

func descriptors() ([]string, error) {
	dir, err := os.Open(descriptorDir)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	return dir.Readdirnames(-1)
}

func (r *Reader) integer(i int) int64 {
	if r.samples[i].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(min(r.samples[i].Value.Uint64(), math.MaxInt64))
}

// maxSince returns the lower bound of the highest bucket of a histogram that has grown
// since the previous counts, and replaces these.
func maxSince(s metrics.Sample, previous *[]uint64) time.Duration {
	if s.Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.Value.Float64Histogram()
	highest := time.Duration(0)
	for i, n := range h.Counts {
		if (i < len(*previous) && n == (*previous)[i]) || n == 0 || math.IsInf(h.Buckets[i], 0) {
			continue
		}
		highest = time.Duration(h.Buckets[i] * float64(time.Second))
	}
	*previous = append((*previous)[:0], h.Counts...)
	return highest
}
