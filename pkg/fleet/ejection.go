package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Workers on which runs of several jobs fail are ejected: they get no new runs for a
// time, unless a job that has been standing fits nowhere else.
const (
	// workerFailureWindow is how long a failed run counts against its worker.
	workerFailureWindow = 12 * time.Second
	// maxFailedJobsPerWorker is the number of different jobs with a failed run on a worker,
	// without a success between them, at which the worker is ejected. A worker that has
	// been ejected before and has had no success since is ejected after one.
	maxFailedJobsPerWorker = 2
	// baseEjectionTime is the length of the first ejection; each further one without a
	// success between them doubles it, up to maxEjectionTime.
	baseEjectionTime = 6 * time.Second
	maxEjectionTime  = 24 * time.Second
	maxDoublings     = 2
	// maxEjectedShare bounds the ejected workers, as a share of the workers of a service.
	maxEjectedShare = 1.0 / 3

	// A group is suspect once it has failed on minSuspectRacks racks and on at least
	// minSuspectShare of the workers that ran it. A single rack may fail as a whole.
	minSuspectRacks = 2
	minSuspectShare = 0.5
)

// recordWorkerFailure records a failed run of a group, and counts it against the worker
// unless the group is suspect; the lock is held.
func (o *Owner) recordWorkerFailure(w *worker, g *taskGroup) {
	now := o.opts.Clock()
	if g.failureRacks == nil {
		g.failureRacks = map[string]string{}
	}
	g.failureRacks[w.ID] = w.Rack
	if !g.suspect && g.failsEverywhere() {
		o.suspectGroup(g)
	}
	if g.suspect {
		return
	}
	maps.DeleteFunc(w.failedAt, func(_ string, at time.Duration) bool { return now-at > workerFailureWindow })
	w.failedAt[g.job.ID] = now
	if len(w.failedAt) >= w.ejectionThreshold(now) {
		o.eject(w, now)
	}
}

// recordWorkerSuccess forgets the failures on a worker; the lock is held. An ejection in
// force continues, as the run may be older than the worker's trouble.
func (o *Owner) recordWorkerSuccess(w *worker) {
	clear(w.failedAt)
	if o.opts.Clock() >= w.ejectedUntil {
		w.ejections = 0
	}
}

// resetEjection forgets the failures of a worker that has started anew.
func (w *worker) resetEjection() {
	clear(w.failedAt)
	w.ejections, w.ejectedUntil, w.ejected = 0, 0, false
}

// ejectionThreshold returns the number of failed jobs at which the worker is ejected.
func (w *worker) ejectionThreshold(now time.Duration) int {
	if w.ejections > 0 && now >= w.ejectedUntil && now-w.ejectedUntil <= maxEjectionTime {
		return 1
	}
	return maxFailedJobsPerWorker
}

// eject ejects a worker, or extends its ejection; the lock is held.
func (o *Owner) eject(w *worker, now time.Duration) {
	if now-w.ejectedUntil > maxEjectionTime {
		w.ejections = 0
	}
	begins := now >= w.ejectedUntil
	if begins {
		w.ejections++
		o.opts.Metrics.Event("worker_ejected")
	}
	length := min(maxEjectionTime, baseEjectionTime<<min(w.ejections-1, maxDoublings))
	w.ejectedUntil = max(w.ejectedUntil, now+length)
	if begins {
		o.opts.Log.Info("runs of several jobs failed on the worker; it is ejected for now", "worker", w.ID, "jobs", len(w.failedAt),
			"ejections", w.ejections, "forMS", length.Milliseconds())
	}
}

// failsEverywhere reports whether the group rather than its workers is the likely cause
// of its failures.
func (g *taskGroup) failsEverywhere() bool {
	racks := map[string]bool{}
	for _, rack := range g.failureRacks {
		racks[rack] = true
	}
	if len(racks) < minSuspectRacks {
		return false
	}
	sound := map[string]bool{}
	for i, t := range g.tasks() {
		// The other members of a gang end with the one that fails.
		ran := g.spec().Gang || t.Phase == workload.Done || (g.runs[i] != nil && g.runs[i].phase == phaseRunning)
		if _, failed := g.failureRacks[t.Assigned.Worker]; ran && !failed {
			sound[t.Assigned.Worker] = true
		}
	}
	ran := len(g.failureRacks) + len(sound)
	return float64(len(g.failureRacks)) >= minSuspectShare*float64(ran)
}

// suspect reports whether a group of the job is suspect.
func (j *job) suspect() bool {
	for g := range j.groups() {
		if g.suspect {
			return true
		}
	}
	return false
}

// suspectGroup withdraws the failures of a group from the workers on which it failed,
// and ends the ejections that rest on them; the lock is held.
func (o *Owner) suspectGroup(g *taskGroup) {
	g.suspect = true
	now, restored := o.opts.Clock(), 0
	for id := range g.failureRacks {
		w := o.workers[id]
		if w == nil {
			continue
		}
		if _, counted := w.failedAt[g.job.ID]; !counted {
			continue
		}
		delete(w.failedAt, g.job.ID)
		if now < w.ejectedUntil && len(w.failedAt) < maxFailedJobsPerWorker {
			w.ejections, w.ejectedUntil = w.ejections-1, now
			restored++
		}
	}
	o.opts.Metrics.Event("job_suspect")
	o.opts.Log.Info("tasks of the job fail on most workers that run them; the failures no longer count against workers", "job", g.job.ID,
		"step", g.step, "failedOn", len(g.failureRacks), "restored", restored)
}

// ejectWorst ejects the workers whose ejection is in force, those with the most failed
// jobs first, up to maxEjectedShare of each service; the lock is held.
func (o *Owner) ejectWorst(now time.Duration) {
	listed, candidates := map[string]int{}, map[string][]*worker{}
	for _, w := range o.sortedWorkers() {
		w.ejected = false
		if o.evacuated(w) {
			continue // it gets no tasks, and the share is one of the others
		}
		if w.listed {
			listed[w.Service]++
		}
		if now < w.ejectedUntil {
			candidates[w.Service] = append(candidates[w.Service], w)
		}
	}
	for service, workers := range candidates {
		slices.SortStableFunc(workers, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.ejections, a.ejections), cmp.Compare(len(b.failedAt), len(a.failedAt)), cmp.Compare(b.ejectedUntil, a.ejectedUntil))
		})
		for _, w := range workers[:min(len(workers), maxEjected(listed[service]))] {
			w.ejected = true
		}
	}
}

// maxEjected returns how many of a service's workers may be ejected at a time.
func maxEjected(workers int) int {
	return max(0, min(workers-1, max(1, int(maxEjectedShare*float64(workers)))))
}
