package gateway

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/shortage"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// storedCheckTimeout bounds the check whether a job that would be refused is stored already. If
// the store does not tell, the job is admitted.
const storedCheckTimeout = 300 * time.Millisecond

// checkAdmission refuses a job, before it is stored, that cannot complete while it is of value to
// its caller. A job that is stored stays accepted.
func (g *Gateway) checkAdmission(ctx context.Context, j *workload.Job) error {
	if g.opts.Load == nil {
		return nil
	}
	a, ok := shortage.NewApplicant(j)
	if !ok {
		return nil
	}
	load := g.opts.Load(j.Class.Service)
	retryAfter, refused := load.Refuse(a)
	if !refused {
		return nil
	}
	if g.mayBeStored(ctx, j) {
		return nil
	}
	g.opts.Metrics.Event("job_refused")
	g.opts.Log.Info("job refused: it cannot complete in time", "job", j.ID, "queue", j.Queue, "workspace", j.Workspace, "service", j.Class.Service,
		"priority", a.Priority, "predictedWaitMS", load.Wait(a).Milliseconds(), "objectiveMS", a.Objective.Milliseconds(), "retryAfterS", retryAfter.Seconds())
	return errkind.New(errkind.Unavailable, "the service is overloaded: the job would wait for %d s and could not complete in time", int(load.Wait(a).Seconds())).WithRetryAfter(retryAfter)
}

// Reservation is the memory that is reserved for a job while it is being stored.
type Reservation struct {
	Use       fleet.MemoryUse // what the jobs take, with those that are being stored
	Fits      bool            // otherwise nothing is reserved
	Confirmed bool            // whether the figure is the current one of the owner
	Release   func()          // nil if nothing is reserved
}

// reserveMemory reserves memory for a job until release is called. It refuses a job, before it is
// stored, that does not fit into the memory of an owner. A job that is stored stays accepted.
func (g *Gateway) reserveMemory(ctx context.Context, j *workload.Job) (release func(), err error) {
	if g.opts.ReserveMemory == nil {
		return func() {}, nil
	}
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	r := g.opts.ReserveMemory(ownerCtx, j)
	cancel()
	if r.Fits {
		return r.Release, nil
	}
	if g.mayBeStored(ctx, j) {
		return func() {}, nil
	}
	retryAfter := memoryRetryAfter
	if !r.Confirmed {
		retryAfter = RetryAfter
	}
	g.opts.Metrics.Event("job_refused_memory")
	g.opts.Log.Info("job refused: it does not fit into the memory", "job", j.ID, "queue", j.Queue, "workspace", j.Workspace,
		"bytes", fleet.JobMemory(j), "usedBytes", r.Use.UsedBytes, "limitBytes", r.Use.LimitBytes, "confirmed", r.Confirmed)
	return nil, errkind.New(errkind.Unavailable, "the scheduler has no memory for another job of %d bytes", fleet.JobMemory(j)).WithRetryAfter(retryAfter)
}

// mayBeStored reports whether a job that would be refused is stored already, or may be.
func (g *Gateway) mayBeStored(ctx context.Context, j *workload.Job) bool {
	ctx, cancel := context.WithTimeout(ctx, storedCheckTimeout)
	defer cancel()
	entries, err := lister(g.visitOnce).all(ctx, fleet.JobKey(j.ID))
	if err != nil {
		return true
	}
	stored, _, err := g.findJob(entries, j.ID)
	return err != nil || stored != nil
}
