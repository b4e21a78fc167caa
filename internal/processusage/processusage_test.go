package processusage

import (
	"os"
	"runtime"
	"testing"
	"time"
)

// Guards against usage that does not follow the process, as when a name of a runtime
// metric changes.
func TestReadFollowsTheProcess(t *testing.T) {
	r := NewReader()
	before := r.Read()
	var files []*os.File
	for range 20 {
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	memory := make([]byte, 64<<20)
	for i := range memory {
		memory[i] = 1
	}
	runtime.GC()
	startedAt := time.Now()
	for time.Since(startedAt) < 50*time.Millisecond { //nolint:revive // uses processor time
	}
	after := r.Read()
	for _, f := range files {
		f.Close()
	}
	runtime.KeepAlive(memory)
	if got := after.OpenFiles - before.OpenFiles; got < 20 {
		t.Errorf("%d more open files, want at least 20", got)
	}
	if after.OpenFileLimit < after.OpenFiles {
		t.Errorf("limit of %d open files with %d open", after.OpenFileLimit, after.OpenFiles)
	}
	if after.HeapBytes-before.HeapBytes < 60<<20 || after.MemoryBytes < after.HeapBytes {
		t.Errorf("heap grew from %d to %d bytes, in all %d", before.HeapBytes, after.HeapBytes, after.MemoryBytes)
	}
	if after.GCCycles <= before.GCCycles || after.Goroutines == 0 || after.CPUTime <= before.CPUTime {
		t.Errorf("before %+v, after %+v", before, after)
	}
}
