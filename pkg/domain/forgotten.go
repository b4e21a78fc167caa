package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// endedRetention is longer than a partition waits for the answer to an offer. An
// offer that is retried after a lost answer may arrive after the attempt ended.
const endedRetention = 5 * time.Second

// endedAttempts records the attempts whose outcome was accepted recently.
type endedAttempts struct {
	attempts  map[api.JobID]int
	byEndTime []endedAttempt
}

type endedAttempt struct {
	job     api.JobID
	attempt int
	endedAt time.Time
}

func (f *endedAttempts) add(job api.JobID, attempt int, now time.Time) {
	if f.attempts == nil {
		f.attempts = map[api.JobID]int{}
	}
	f.attempts[job] = attempt
	f.byEndTime = append(f.byEndTime, endedAttempt{job, attempt, now})
}

// contains reports whether the attempt or a later one of the job has ended.
func (f *endedAttempts) contains(job api.JobID, attempt int) bool {
	last, ok := f.attempts[job]
	return ok && attempt <= last
}

func (f *endedAttempts) prune(now time.Time) {
	for len(f.byEndTime) > 0 && now.Sub(f.byEndTime[0].endedAt) > endedRetention {
		if old := f.byEndTime[0]; f.attempts[old.job] == old.attempt {
			delete(f.attempts, old.job)
		}
		f.byEndTime = f.byEndTime[1:]
	}
}
