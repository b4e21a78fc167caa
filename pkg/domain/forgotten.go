package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// forgottenFor is longer than a partition waits for the answer to an offer. An
// offer that is repeated for a lost answer may arrive after the attempt ended.
const forgottenFor = 5 * time.Second

// forgotten remembers the attempts whose outcome was taken a short time ago.
type forgotten struct {
	attempts map[api.JobID]int
	order    []forgottenAttempt
}

type forgottenAttempt struct {
	job     api.JobID
	attempt int
	at      time.Time
}

func (f *forgotten) add(job api.JobID, attempt int, now time.Time) {
	if f.attempts == nil {
		f.attempts = map[api.JobID]int{}
	}
	f.attempts[job] = attempt
	f.order = append(f.order, forgottenAttempt{job, attempt, now})
}

// covers reports whether the attempt or a later one of the job has ended.
func (f *forgotten) covers(job api.JobID, attempt int) bool {
	last, ok := f.attempts[job]
	return ok && attempt <= last
}

func (f *forgotten) prune(now time.Time) {
	for len(f.order) > 0 && now.Sub(f.order[0].at) > forgottenFor {
		if old := f.order[0]; f.attempts[old.job] == old.attempt {
			delete(f.attempts, old.job)
		}
		f.order = f.order[1:]
	}
}
