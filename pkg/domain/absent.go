package domain

import (
	"context"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// unlistedWorker stands for a worker that the platform's list does not show.
func unlistedWorker(id string) *worker {
	return &worker{id: id, conn: absent{id}, failing: true}
}

// absent is the target of an unlisted worker.
type absent struct{ id string }

func (t absent) err() error {
	return errkind.New(errkind.Unavailable, "worker %s is not in the platform's list", t.id)
}

// Reserve answers unavailable.
func (t absent) Reserve(context.Context, target.ReserveRequest) (target.Reservation, error) {
	return target.Reservation{}, t.err()
}

// Start answers unavailable.
func (t absent) Start(context.Context, target.StartRequest) error { return t.err() }

// Sync answers unavailable.
func (t absent) Sync(context.Context, target.SyncRequest) (target.SyncResponse, error) {
	return target.SyncResponse{}, t.err()
}

// Fence answers unavailable.
func (t absent) Fence(context.Context, api.TaskID, int64) (target.TaskStatus, error) {
	return target.TaskStatus{}, t.err()
}

// Release answers unavailable.
func (t absent) Release(context.Context, api.TaskID, int64) error { return t.err() }

// Checkpoint answers unavailable.
func (t absent) Checkpoint(context.Context, api.TaskID, int64) error { return t.err() }

// Throttle answers unavailable.
func (t absent) Throttle(context.Context, api.TaskID, int64, float64) error { return t.err() }

// Stop answers unavailable.
func (t absent) Stop(context.Context, api.TaskID, int64) error { return t.err() }
