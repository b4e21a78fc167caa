package cluster

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of processor time in /proc; Linux fixes it at 100 a
// second for programs.
const clockTick = time.Second / 100

// Usage is what a VM has used since its start.
type Usage struct {
	At       time.Time
	CPU      time.Duration
	Resident int64 // bytes, at this moment
	// IO counts all bytes that the process read and wrote: peers, store, targets,
	// callers and log.
	IO int64
	// Peer counts the bytes of the links to other VMs.
	Peer int64
}

// Usage measures a VM from /proc and from its metrics.
func (vm *VM) Usage(ctx context.Context) (Usage, error) {
	u := Usage{At: time.Now()}
	var err error
	if u.CPU, err = cpuTime(vm.PID()); err != nil {
		return u, err
	}
	if u.Resident, err = ResidentBytes(vm.PID()); err != nil {
		return u, err
	}
	io, err := procFields(vm.PID(), "io")
	if err != nil {
		return u, err
	}
	u.IO = io["rchar"] + io["wchar"]
	u.Peer, err = vm.metric(ctx, "carawayusher_peer_bytes_total")
	return u, err
}

// ResidentBytes returns the resident memory of a process.
func ResidentBytes(pid int) (int64, error) {
	status, err := procFields(pid, "status")
	return status["VmRSS"] * 1024, err
}

// cpuTime reads user and system time, fields 14 and 15 of /proc/<pid>/stat. The
// name in field 2 may hold spaces, so that fields are counted after it.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// procFields reads the numbers of a file in /proc with lines "name: number".
func procFields(pid int, name string) (map[string]int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		return nil, err
	}
	out := map[string]int64{}
	for line := range strings.Lines(string(raw)) {
		key, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); len(fields) > 0 {
			if n, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
				out[key] = n
			}
		}
	}
	return out, nil
}

// metric sums a counter of the VM over its labels.
func (vm *VM) metric(ctx context.Context, name string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.URL+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := callers.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var sum float64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, name); ok && (rest[0] == '{' || rest[0] == ' ') {
			value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
			if err != nil {
				return 0, err
			}
			sum += value
		}
	}
	return int64(sum), lines.Err()
}
