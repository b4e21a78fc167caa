package memory

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// StartRecord records the start of a task. Repeated calls that did not start the
// task again are not recorded.
type StartRecord struct {
	Task        api.TaskID `json:"task"`
	Job         api.JobID  `json:"job"`
	Worker      string     `json:"worker"`
	Class       string     `json:"class,omitempty"`
	Incarnation int64      `json:"incarnation"`
	Epoch       int64      `json:"epoch"`
	StartedAt   time.Time  `json:"startedAt"`
}

// StartLog holds the newest task starts, oldest first.
type StartLog struct {
	Starts []StartRecord `json:"starts"`
	// Dropped is the number of older records that were dropped.
	Dropped int64 `json:"dropped,omitempty"`
}

type startLog struct {
	limit int
	log   StartLog
}

func (l *startLog) add(r StartRecord) {
	l.log.Starts = append(l.log.Starts, r)
	if drop := len(l.log.Starts) - l.limit; drop > 0 {
		l.log.Starts = l.log.Starts[drop:]
		l.log.Dropped += int64(drop)
	}
}

// Starts returns the log of task starts, which Restart does not clear.
func (w *Worker) Starts() StartLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	return StartLog{Starts: slices.Clone(w.starts.log.Starts), Dropped: w.starts.log.Dropped}
}

// memoryPerTaskMiB is the memory that the worker reports for each live task.
const memoryPerTaskMiB = 256

// usageLog delays usage reports by a lag: it keeps the measurements that are
// younger than the lag, and the newest older one, which it reports.
type usageLog struct {
	lag         time.Duration
	samples     []target.Usage
	connections int
}

func (l *usageLog) add(u target.Usage) {
	u.Connections = l.connections
	l.samples = append(l.samples, u)
	l.prune()
}

func (l *usageLog) prune() {
	cutoff := time.Now().Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].MeasuredAt.After(cutoff) {
		l.samples = l.samples[1:]
	}
}

// report returns the newest measurement that is older than the lag, or the zero
// value if there is none.
func (l *usageLog) report() target.Usage {
	l.prune()
	cutoff := time.Now().Add(-l.lag)
	if len(l.samples) == 0 || l.samples[0].MeasuredAt.After(cutoff) {
		return target.Usage{}
	}
	u := l.samples[0]
	u.MeasuredAt = cutoff // usage did not change between the measurement and the cutoff
	return u
}

func (w *Worker) recordUsage() {
	busy := 0
	for _, id := range w.acceleratorTasks {
		if t := w.tasks[id]; t != nil && t.State == target.TaskRunning {
			busy++
		}
	}
	u := target.Usage{MeasuredAt: time.Now(), SlotsUsed: len(w.liveTasks), MemoryMiB: len(w.liveTasks) * memoryPerTaskMiB}
	if len(w.acceleratorTasks) > 0 {
		u.BusyShare = float64(busy) / float64(len(w.acceleratorTasks))
	}
	w.usage.add(u)
}

// SetConnections sets the number of open connections that the usage reports.
func (w *Worker) SetConnections(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage.connections = n
	w.recordUsage()
}
