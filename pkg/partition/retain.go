package partition

import (
	"slices"
	"time"
)

// DefaultRetainedBytes bounds what one partition keeps of ended jobs.
const DefaultRetainedBytes = 16 << 20

// jobOverhead is counted for each ended job besides its payload and result.
const jobOverhead = 1 << 10

// retained holds the ended jobs, apart from the active ones so that they cost a
// sweep nothing. Each queue is in the order of the ends.
type retained struct {
	volatile, durable []*job
	shed              []*job // at-most-once jobs without payload and result
	bytes             int64  // of volatile and durable
}

func (j *job) size() int64 {
	return jobOverhead + int64(len(j.status.Result)+len(j.status.Spec.Payload))
}

// retain moves an ended job, whose end needs no write any more, out of the
// active ones; the caller holds the lock.
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
	p.ended.bytes += j.size()
	for p.ended.bytes > p.opts.RetainedBytes && p.shedOldest() {
		continue
	}
}

// retainRecovered does it for the ends that the journal holds.
func (p *Partition) retainRecovered() {
	var ended []*job
	for _, j := range p.jobs {
		if j.end != nil {
			j.endDurable = true
			ended = append(ended, j)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return a.status.EndedAt.Compare(b.status.EndedAt) })
	for _, j := range ended {
		p.retain(j)
	}
}

// dropExpired forgets the ended jobs whose retention is over.
func (p *Partition) dropExpired(now time.Time) {
	p.ended.volatile = p.dropBefore(p.ended.volatile, now.Add(-volatileRetention))
	p.ended.durable = p.dropBefore(p.ended.durable, now.Add(-p.opts.Retention))
	bytes := p.ended.bytes
	p.ended.shed = p.dropBefore(p.ended.shed, now.Add(-p.opts.Retention))
	p.ended.bytes = bytes
}

func (p *Partition) dropBefore(queue []*job, limit time.Time) []*job {
	for len(queue) > 0 && queue[0].status.EndedAt.Before(limit) {
		p.ended.bytes -= queue[0].size()
		p.remove(queue[0])
		queue[0] = nil // the array outlives the slice
		queue = queue[1:]
	}
	return queue
}

// shedOldest frees memory: it forgets the job that ended first. Of an
// at-most-once job only payload and result go, because its idempotency key must
// keep a repeated request from running it again.
func (p *Partition) shedOldest() bool {
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
	p.ended.bytes -= j.size()
	if !j.status.Spec.AtMostOnce {
		p.remove(j)
		return true
	}
	j.shed()
	p.ended.shed = append(p.ended.shed, j)
	return true
}

// shed drops the large parts of an ended job.
func (j *job) shed() {
	j.status.Result, j.status.Spec.Payload = nil, nil
	j.status.Reason = "the result is no longer kept"
	if j.end != nil {
		final := j.status
		j.end = &final
	}
}
