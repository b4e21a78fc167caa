package domain

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// unlistedWorker returns a placeholder for a worker that is not in the platform's VM list.
func unlistedWorker(id string) *worker {
	return &worker{id: id, conn: downTarget{id}, failing: true}
}

// downTarget is the target of an unlisted worker; every call returns unavailable.
type downTarget struct{ id string }

func (t downTarget) err() error {
	return errkind.New(errkind.Unavailable, "worker %s is not in the platform's list", t.id)
}

// Reserve returns an unavailable error.
func (t downTarget) Reserve(context.Context, target.ReserveRequest) (target.Reservation, error) {
	return target.Reservation{}, t.err()
}

// Start returns an unavailable error.
func (t downTarget) Start(context.Context, target.StartRequest) error { return t.err() }

// Sync returns an unavailable error.
func (t downTarget) Sync(context.Context, target.SyncRequest) (target.SyncResponse, error) {
	return target.SyncResponse{}, t.err()
}

// Fence returns an unavailable error.
func (t downTarget) Fence(context.Context, api.TaskID, int64) (target.TaskStatus, error) {
	return target.TaskStatus{}, t.err()
}

// Release returns an unavailable error.
func (t downTarget) Release(context.Context, api.TaskID, int64) error { return t.err() }

// Checkpoint returns an unavailable error.
func (t downTarget) Checkpoint(context.Context, api.TaskID, int64) error { return t.err() }

// Throttle returns an unavailable error.
func (t downTarget) Throttle(context.Context, api.TaskID, int64, float64) error { return t.err() }

// Stop returns an unavailable error.
func (t downTarget) Stop(context.Context, api.TaskID, int64) error { return t.err() }
