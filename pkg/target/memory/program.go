package memory

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Limits and defaults of simulated tasks.
const (
	defaultRunTime = 10 * time.Millisecond
	maxFillerBytes = 1 << 20
)

// payload is the JSON payload of a simulated task; each field is optional.
type payload struct {
	Run  string          `json:"run"`  // run time, such as "250ms"
	Fail bool            `json:"fail"` // whether the task ends as failed
	Echo json.RawMessage `json:"echo"` // returned in the result
	Size int             `json:"size"` // bytes of filler in the result
}

// program is a decoded payload; err is not nil if the payload is invalid.
type program struct {
	runTime time.Duration
	fail    bool
	echo    json.RawMessage
	size    int
	err     error
}

func parseProgram(raw json.RawMessage) program {
	var p payload
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &p); err != nil {
			return program{err: fmt.Errorf("the payload cannot be read: %w", err)}
		}
	}
	prog := program{runTime: defaultRunTime, fail: p.Fail, echo: p.Echo, size: p.Size}
	if p.Run != "" {
		run, err := time.ParseDuration(p.Run)
		if err != nil || run < 0 {
			return program{err: fmt.Errorf("run %q is not a duration of zero or more", p.Run)}
		}
		prog.runTime = run
	}
	if p.Size < 0 || p.Size > maxFillerBytes {
		return program{err: fmt.Errorf("size %d is not within 0..%d", p.Size, maxFillerBytes)}
	}
	return prog
}

// result is the JSON result of a simulated task that succeeded.
type result struct {
	Task        api.TaskID      `json:"task"`
	Worker      string          `json:"worker"`
	Echo        json.RawMessage `json:"echo,omitempty"`
	ResumedFrom string          `json:"resumedFrom,omitempty"`
	Filler      string          `json:"filler,omitempty"`
}

func (w *Worker) result(t *task) json.RawMessage {
	raw, err := json.Marshal(result{
		Task: t.Task, Worker: w.config.ID, Echo: t.program.echo, ResumedFrom: t.resumedFrom,
		Filler: strings.Repeat("x", t.program.size),
	})
	if err != nil {
		return nil // unreachable: the echo was decoded from valid JSON
	}
	return raw
}

// checkpointName returns a name that encodes the completed run time, so that any
// worker can resume the task.
func checkpointName(id api.TaskID, done time.Duration) string {
	return fmt.Sprintf("%s@%d", id, done.Nanoseconds())
}

// checkpointProgress returns the completed run time that the name encodes.
func checkpointProgress(name string) (time.Duration, error) {
	if name == "" {
		return 0, nil
	}
	done, err := strconv.ParseInt(name[strings.LastIndex(name, "@")+1:], 10, 64)
	if err != nil || done < 0 {
		return 0, fmt.Errorf("checkpoint %q does not exist", name)
	}
	return time.Duration(done), nil
}
