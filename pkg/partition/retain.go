package partition

import (
	"slices"
	"time"
)

// DefaultRetainedBytes is the default memory limit for the ended jobs of one
// partition.
const DefaultRetainedBytes = 16 << 20

// jobOverheadBytes is added for each ended job to the size of its payload and result.
const jobOverheadBytes = 1 << 10

// endedJobs holds the ended jobs. They are separate from the active jobs so that the
// sweep does not visit them. Each queue is ordered by the end of the jobs.
type endedJobs struct {
	volatile, durable []*job
	trimmed           []*job // at-most-once jobs whose payload and result were dropped
	bytes             int64  // of volatile and durable
}

func (j *job) retainedSize() int64 {
	return jobOverheadBytes + int64(len(j.status.Result)+len(j.status.Spec.Payload))
}

// retain moves an ended job whose end needs no further write from the active jobs
// to the ended ones. The caller must hold p.mu.
func (p *Partition) retain(j *job) {
	if p.active[j.status.ID] != j {
		return
	}
	delete(p.active, j.status.ID)
	if j.durable {
		p.ended.durable = append(p.ended.durable, j)
	} else {
		p.ended.volatile = append(p.ended.volatile, j)
	}
	p.ended.bytes += j.retainedSize()
	for p.ended.bytes > p.opts.RetainedBytes && p.dropOldest() {
		continue
	}
}

// retainRecovered retains the jobs whose end was read from the journal.
func (p *Partition) retainRecovered() {
	var ended []*job
	for _, j := range p.jobs {
		if j.finalStatus != nil {
			j.endDurable = true
			ended = append(ended, j)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return a.status.EndedAt.Compare(b.status.EndedAt) })
	for _, j := range ended {
		p.retain(j)
	}
}

// dropExpired removes the ended jobs whose retention has expired.
func (p *Partition) dropExpired(now time.Time) {
	p.ended.volatile = p.dropBefore(p.ended.volatile, now.Add(-volatileRetention))
	p.ended.durable = p.dropBefore(p.ended.durable, now.Add(-p.opts.Retention))
	bytes := p.ended.bytes
	p.ended.trimmed = p.dropBefore(p.ended.trimmed, now.Add(-p.opts.Retention))
	p.ended.bytes = bytes
}

func (p *Partition) dropBefore(queue []*job, limit time.Time) []*job {
	for len(queue) > 0 && queue[0].status.EndedAt.Before(limit) {
		p.ended.bytes -= queue[0].retainedSize()
		p.remove(queue[0])
		queue[0] = nil // the underlying array would keep the job reachable
		queue = queue[1:]
	}
	return queue
}

// dropOldest frees memory by removing the job that ended first, and reports whether
// there was one. An at-most-once job only loses its payload and result: its
// idempotency key must still prevent a repeated request from running it again.
func (p *Partition) dropOldest() bool {
	queue := &p.ended.volatile
	if v, d := p.ended.volatile, p.ended.durable; len(v) == 0 || len(d) > 0 && d[0].status.EndedAt.Before(v[0].status.EndedAt) {
		queue = &p.ended.durable
	}
	if len(*queue) == 0 {
		return false
	}
	j := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	p.ended.bytes -= j.retainedSize()
	p.opts.Metrics.resultsShed.Inc()
	if !j.status.Spec.AtMostOnce {
		p.remove(j)
		return true
	}
	j.trim()
	p.ended.trimmed = append(p.ended.trimmed, j)
	return true
}

// trim drops the payload and the result of an ended job.
func (j *job) trim() {
	j.status.Result, j.status.Spec.Payload = nil, nil
	j.status.Reason = "the result is no longer kept"
	if j.finalStatus != nil {
		final := j.status
		j.finalStatus = &final
	}
}
