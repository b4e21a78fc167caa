package ingress

import "github.com/carawayusher/carawayusher/pkg/api"

// owns reports whether a status answers this call: the job that was asked for,
// or the earlier job of the same idempotency key, in the same workspace.
func (call *call) owns(status api.JobStatus) bool {
	if status.Spec.Workspace != call.workspace {
		return false
	}
	return status.ID == call.job || call.isEarlierJob(status)
}

// isEarlierJob reports whether status is that of the job that an earlier
// request with the same idempotency key created.
func (call *call) isEarlierJob(status api.JobStatus) bool {
	if call.submit.IdempotencyKey == "" {
		return false
	}
	partition, ok := partitionOf(status.ID)
	spec := call.submit.Spec
	return ok && partition == call.partition && status.Spec.Class == spec.Class && status.Spec.Name == spec.Name
}

// isForeign reports whether the caller asked for a job of another workspace,
// which must look like a job that does not exist.
func (call *call) isForeign(status api.JobStatus) bool {
	return call.submit.ID == "" && status.ID == call.job && status.Spec.Workspace != call.workspace
}
