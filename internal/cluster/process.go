package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one program of the cluster.
type Process struct {
	name   string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // of Wait; valid once exited is closed
}

// starter runs functions on one operating system thread that never ends. The
// kernel sends the parent-death signal when the thread that started a process
// ends, so all processes must be started on a thread that lives as long as this
// program.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for fn := range work {
			fn()
		}
	}()
	return work
})

// launch starts a program with its output in the log file, which it empties. The kernel
// kills it when this program ends, however that happens.
func launch(name, log, binary string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start of %s", name)
	}
	p := &Process{name: name, log: log, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Name returns the name of the process in the cluster.
func (p *Process) Name() string { return p.name }

// Log returns the path of the log file.
func (p *Process) Log() string { return p.log }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, as a failed VM would, and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze stops the process from running until Thaw, as a paused VM would.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process continue.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// signal ignores the error of a process that has ended already.
func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Wait returns how the process ended, or the error of ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s has not ended", p.name)
	}
}

// logPoll is the interval at which a log is read for a line.
const logPoll = 20 * time.Millisecond

// parser reads the fields of a log line, or returns nil for any other line.
type parser func(line []byte) map[string]string

// listening reads the line that a stand-in prints once it serves.
func listening(line []byte) map[string]string {
	fields := strings.Fields(string(line))
	if len(fields) == 0 || fields[0] != "listening" {
		return nil
	}
	out := map[string]string{}
	for _, f := range fields[1:] {
		if name, value, ok := strings.Cut(f, "="); ok {
			out[name] = value
		}
	}
	return out
}

// started reads the line that a daemon logs once it serves.
func started(line []byte) map[string]string {
	var l struct{ Msg, Address, PeerAddress string }
	if json.Unmarshal(line, &l) != nil || l.Msg != "started" || l.Address == "" {
		return nil
	}
	return map[string]string{"address": l.Address, "peerAddress": l.PeerAddress}
}

// awaitLines waits until the log holds n lines that the parser accepts.
func (p *Process) awaitLines(ctx context.Context, parse parser, n int) ([]map[string]string, error) {
	for {
		raw, err := os.ReadFile(p.log)
		if err != nil {
			return nil, err
		}
		var found []map[string]string
		for line := range bytes.Lines(raw) {
			if !bytes.HasSuffix(line, []byte("\n")) {
				continue // still being written
			}
			if fields := parse(line); fields != nil {
				found = append(found, fields)
			}
		}
		if len(found) >= n {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "%s is not ready", p.name)
		case <-p.exited:
			return nil, errors.Errorf("%s ended before it was ready: %v: %s", p.name, p.err, tail(raw))
		case <-time.After(logPoll):
		}
	}
}

// tailBytes bounds what of a log is quoted in an error.
const tailBytes = 2000

func tail(raw []byte) []byte { return raw[max(0, len(raw)-tailBytes):] }
