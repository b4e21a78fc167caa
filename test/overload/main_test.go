// Package overload_test starts the real programs on loopback and sends them sets of
// connections from clients outside the limits: bodies and headers that stop short of their
// end, idle connections and pipelined requests. Each test guards against the end of the
// process by lack of memory or descriptors. The tests run one at a time, and they check no
// times and no share of served requests.
package overload_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/internal/cluster"
)

// Limits of the programs under test.
const (
	// memoryMB is the memory of the machine. A fresh process has a peak of about 30 MB.
	memoryMB = 72
	// maxFiles is the limit of open descriptors.
	maxFiles = 600
	// maxOpenFiles is the bound of the test: the rest is for connections that the process opens.
	maxOpenFiles = maxFiles * 3 / 4
)

// binaries are the programs under test, as scripts that lower their limit of descriptors.
var binaries struct {
	cluster.Binaries
	node string
}

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	flag.Parse()
	if testing.Short() {
		fmt.Println("skipped with -short: tests with real processes")
		return 0
	}
	dir, err := os.MkdirTemp("", "overload-test-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover in the temporary directory does no harm
	if err := build(dir); err != nil {
		fmt.Println(err)
		return 1
	}
	return m.Run()
}

func build(dir string) error {
	var err error
	if binaries.Binaries, err = cluster.Build(context.Background(), dir); err != nil {
		return err
	}
	node := filepath.Join(dir, "carawayusher-node")
	if out, err := exec.Command("go", "build", "-o", node, "../../cmd/carawayusher-node").CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if binaries.node, err = limited(node); err != nil {
		return err
	}
	binaries.Daemon, err = limited(binaries.Daemon)
	return err
}

// limited writes a script that starts a program on one core with the limits of the tests.
// The program replaces the shell, so the process ID stays.
func limited(binary string) (string, error) {
	path := binary + ".sh"
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexport GOMAXPROCS=1 GOMEMLIMIT=%dMiB\nexec %s \"$@\"\n", maxFiles, memoryMB*7/10, binary)
	return path, os.WriteFile(path, []byte(script), 0o700)
}

// program is a running process under test.
type program struct {
	pid                   int
	running               func() bool
	callers, ready, peers string // addresses of the listeners; ready is empty if there is none
	submitHead            string // request line and headers of a submission, without those of the body
	listHead              string // the same of a call without a body
	submit                func(ctx context.Context) error
	log                   string
}

// usage is the memory and the descriptors of a process.
type usage struct {
	peakMB  float64 // of the process itself
	queueMB float64 // bytes that the kernel holds for its connections
	files   int
}

func (p *program) usage(t *testing.T) usage {
	t.Helper()
	var u usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				t.Fatal(err)
			}
			u.peakMB = float64(kb) / 1024
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	u.files = len(files)
	u.queueMB = float64(p.queued(t)) / (1 << 20)
	return u
}

// queued returns the bytes in the kernel's queues of the connections to the listeners.
func (p *program) queued(t *testing.T) int64 {
	t.Helper()
	ports := map[string]bool{}
	for _, address := range []string{p.callers, p.ready, p.peers} {
		if address != "" {
			port, err := strconv.Atoi(address[strings.LastIndex(address, ":")+1:])
			if err != nil {
				t.Fatal(err)
			}
			ports[fmt.Sprintf("%04X", port)] = true
		}
	}
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const listening = "0A"
	var sum int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// Columns: number, local address, remote address, state, queues to send and received.
		f := strings.Fields(lines.Text())
		if len(f) < 5 || f[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		if !ports[port] {
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		for _, text := range []string{tx, rx} {
			if n, err := strconv.ParseInt(text, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}

// heldSamples is the number of samples while a set of connections is held.
const heldSamples = 20

// sample returns the largest usage until done is closed and the connections were held for a while.
func (p *program) sample(t *testing.T, done <-chan struct{}) usage {
	t.Helper()
	var most usage
	for held := 0; held < heldSamples; time.Sleep(50 * time.Millisecond) {
		u := p.usage(t)
		most = usage{max(most.peakMB, u.peakMB), max(most.queueMB, u.queueMB), max(most.files, u.files)}
		select {
		case <-done:
			held++
		default:
		}
	}
	return most
}

// submitTimeout bounds the ordinary request with its repetitions.
const submitTimeout = 30 * time.Second

// check checks that the process stays within the bounds while a set of connections is sent
// and held, and that an ordinary request is answered meanwhile.
func (p *program) check(t *testing.T, f *flood) {
	t.Helper()
	before := p.usage(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run()
	}()
	most := p.sample(t, done)
	ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
	defer cancel()
	err := p.submit(ctx)
	for err != nil && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		err = p.submit(ctx)
	}
	if err != nil {
		t.Errorf("an ordinary request is not answered: %v", err)
	}
	after := p.usage(t)
	f.close()
	most.peakMB = max(most.peakMB, after.peakMB)
	if !p.running() {
		t.Error("the process has ended")
	}
	t.Logf("peak %.1f MB and %.1f MB in the kernel, %d descriptors; before %.1f MB, %d descriptors", most.peakMB, most.queueMB, most.files, before.peakMB, before.files)
	if most.peakMB+most.queueMB > memoryMB {
		t.Errorf("peak of %.1f MB with the kernel's queues; the machine has %d MB", most.peakMB+most.queueMB, memoryMB)
	}
	if most.files > maxOpenFiles {
		t.Errorf("%d open descriptors; the bound is %d", most.files, maxOpenFiles)
	}
	if t.Failed() {
		p.printLog(t)
	}
}

func (p *program) printLog(t *testing.T) {
	const tail = 3000
	if data, err := os.ReadFile(p.log); err == nil {
		t.Logf("end of the log:\n%s", data[max(0, len(data)-tail):])
	}
}
