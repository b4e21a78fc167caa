package fleet

import (
	"strconv"
	"time"

	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/placement"
	"github.com/carawayusher/carawayusher/pkg/workerspeed"
)

// Uneven workers: the owner estimates the speed of each worker from its runs, and places work
// by it where the speeds of a service differ materially. Package workerspeed estimates, package
// placement decides.
const (
	// speedInterval is the time between two computations of the classes of speed.
	speedInterval = 500 * time.Millisecond
	// Progress over less than either value is too small for a sample, as it is reported in
	// percent and known with a delay.
	minSamplePercent = 10
	minSampleTime    = 300 * time.Millisecond
	// fullSamplePercent is the progress from which a run counts as much as one that has
	// ended: the rate of its progress is known well by then.
	fullSamplePercent = 30
	// maxReplyTime is the time of a poll from which its reply may be late, as on a processor
	// that stands still. What such a reply reports is no sample.
	maxReplyTime = renewMaxWait + renewTimeoutMargin
)

// runSpeed is what has been observed of the speed of a run.
type runSpeed struct {
	resumed     bool // it began with a checkpoint, so its whole run time is not known
	seen        bool // fromPercent and fromAt are set
	fromPercent int  // progress that was reported first, of a run whose start is not known
	fromAt      time.Duration
	share       float64 // of the run that samples cover
}

// speedState is the state of the estimates.
type speedState struct {
	estimator *workerspeed.Estimator
	updatedAt time.Duration
	lines     lineBudget
}

func newSpeedState() speedState { return speedState{estimator: workerspeed.New()} }

// isSpeedSample reports whether the time of a run tells the speed of its worker. The members of
// a gang wait for each other, and long-running tasks and fillers have no run time of their own.
func (r *run) isSpeedSample() bool {
	spec := r.group.spec()
	return !r.speed.resumed && !spec.Gang && !spec.LongRunning && !spec.Filler
}

// observeProgress takes a sample of the speed of a run that reports more progress than before
// to a poll; the lock is held.
func (o *Owner) observeProgress(r *run, now time.Duration) {
	if r.phase == phaseRunning && r.progressPercent < completePercent && !r.worker.lateReply {
		o.observeRun(r, r.progressPercent, now)
	}
}

// observeEnd takes a sample of the speed of a run that has succeeded; the lock is held.
func (o *Owner) observeEnd(r *run, now time.Duration) {
	if r.phase != phaseRunning || r.worker.lateReply {
		return
	}
	if r.group.spec().Gang {
		o.observeGang(r, now)
		return
	}
	o.observeRun(r, completePercent, now)
}

// observeRun takes a sample of a run that has done a percentage of its work. If its start is
// not known, its progress counts from the first report.
func (o *Owner) observeRun(r *run, percent int, now time.Duration) {
	if !o.usesSpeeds() || !r.isSpeedSample() || r.startedAt == 0 {
		return
	}
	s := &r.speed
	if !s.seen {
		s.seen = true
		s.fromPercent, s.fromAt = 0, r.startedAt
		if r.adopted || r.startUnanswered {
			s.fromPercent, s.fromAt = percent, now
		}
	}
	done, took := percent-s.fromPercent, now-s.fromAt
	if done < minSamplePercent || took < minSampleTime {
		return
	}
	share := max(0, min(1, float64(done)/fullSamplePercent)-s.share)
	s.share += share
	o.observe(r.worker, r, time.Duration(float64(took)*completePercent/float64(done)), share)
}

// observeGang takes a sample of the end of a gang, which is as fast as its slowest member. It
// tells the speed of that member if it is known to be slow, so that a worker which is no longer
// slow is found. All members end together, so a gang is one sample.
func (o *Owner) observeGang(r *run, now time.Duration) {
	took := r.runTime(now)
	if !o.usesSpeeds() || r.speed.resumed || took < minSampleTime || r.group.gangSpeed == 0 || r.group.gangSpeed >= workerspeed.SlowBelow || r.group.speedSampleRun == r.number {
		return
	}
	number := r.number
	for _, t := range r.group.tasks() {
		if w := o.workers[t.Assigned.Worker]; t.Run == number && w != nil && w.Incarnation == t.Assigned.Incarnation && w.speed == r.group.gangSpeed {
			r.group.speedSampleRun = number
			o.observe(w, r, took, 1)
			return
		}
	}
}

// observe adds a sample. The time of a task away from its data, or of a gang on several racks,
// counts as if it were not.
func (o *Owner) observe(w *worker, r *run, took time.Duration, share float64) {
	g, spec := r.group, r.group.spec()
	if g.multiRack || (spec.AffinityRack != "" && spec.AffinityRack != w.Rack) {
		took = time.Duration(float64(took) / max(1, o.opts.RemoteSlowdown))
	}
	if g.runTimes == nil {
		g.runTimes = &workerspeed.Group{}
	}
	times := g.runTimes
	if spec.Gang {
		times = nil
	}
	o.speeds.estimator.Observe(o.opts.Clock(), workerspeed.Sample{
		Service: w.Service, Queue: g.job.Queue, Worker: w.ID, Incarnation: w.Incarnation, Kind: w.kind(), Group: times, Task: r.index,
		RunTime: took, Expected: o.expectedRunTime(g), Share: share,
	})
}

// usesSpeeds reports whether the speeds of workers are estimated and used.
func (o *Owner) usesSpeeds() bool { return o.opts.WorkerSpeeds && o.ruleEnabled(RuleWorkerSpeed) }

// kind returns the kind of a worker, which is the first label of its entry.
func (w *worker) kind() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[0]
}

// updateSpeeds computes the classes of speed of all workers; the lock is held.
func (o *Owner) updateSpeeds(now time.Duration) {
	if !o.usesSpeeds() || now-o.speeds.updatedAt < speedInterval {
		return
	}
	o.speeds.updatedAt = now
	for _, c := range o.speeds.estimator.Update(now) {
		o.reportSpeedChange(c, now)
	}
	for _, w := range o.sortedWorkers() {
		w.speed = o.speeds.estimator.Speed(w.Service, w.ID, w.Incarnation, w.kind())
	}
}

// reportSpeedChange reports a worker that has become slow, or that is slow no longer.
func (o *Owner) reportSpeedChange(c workerspeed.Change, now time.Duration) {
	w := o.workers[c.Worker]
	if w == nil {
		return
	}
	message, event := "worker is of normal speed again", "worker_normal_speed"
	switch {
	case c.Now < 1:
		message, event = "worker is slow", "worker_slow"
	case c.Now > 1:
		message, event = "worker is fast", "worker_fast"
	}
	o.opts.Metrics.Event(event)
	if o.speeds.lines.allow(now) {
		o.opts.Log.Info(message, "worker", w.ID, "service", w.Service, "kind", w.kind(), "rack", w.Rack, "estimate", c.Estimate, "class", c.Now, "before", c.Before,
			"applied", o.speeds.estimator.Uneven(w.Service))
	}
}

// workersBySpeed counts the workers with a known speed by service and class; the lock is held.
func (o *Owner) workersBySpeed() map[metrics.ServiceLabel]int {
	n := map[metrics.ServiceLabel]int{}
	for _, w := range o.workers {
		if w.listed && w.speed > 0 {
			n[metrics.ServiceLabel{Service: w.Service, Value: strconv.FormatFloat(w.speed, 'g', -1, 64)}]++
		}
	}
	return n
}

// speedOf returns the speed of the worker of a run, or of the slowest worker of its gang; 1 if
// it is unknown.
func (r *run) speedOf() float64 {
	speed := r.worker.speed
	if r.group.spec().Gang {
		speed = r.group.gangSpeed
	}
	if speed <= 0 {
		return 1
	}
	return speed
}

// expectedRunTimeOn returns the expected run time of a run on its worker.
func (o *Owner) expectedRunTimeOn(r *run) time.Duration {
	expected := o.expectedRunTime(r.group)
	if speed := r.speedOf(); speed != 1 {
		return time.Duration(float64(expected) / speed)
	}
	return expected
}

// slowestSpeed returns the speed of the slowest of the planned workers; 0 if all are unknown.
func (p *servicePlanner) slowestSpeed(chosen []int) float64 {
	slowest, known := 1.0, false
	for n, i := range chosen {
		s := p.workers[i].speed
		if known = known || s > 0; s == 0 {
			s = 1
		}
		if n == 0 || s < slowest {
			slowest = s
		}
	}
	if !known {
		return 0
	}
	return slowest
}

// speedPreference returns which speeds a group prefers: urgent groups that are of value take fast
// workers first.
func (o *Owner) speedPreference(c pendingGroup) placement.SpeedPreference {
	if o.usesSpeeds() && c.priority == 0 && c.lateness < 2 && !c.group.spec().LongRunning {
		return placement.FastFirst
	}
	return placement.AnySpeed
}

// normalRunTime returns the time that a run would have taken on a worker of normal speed.
func (r *run) normalRunTime(took time.Duration) time.Duration {
	if speed := r.speedOf(); speed != 1 {
		return time.Duration(float64(took) * speed)
	}
	return took
}
