package ingress

import "github.com/carawayusher/carawayusher/pkg/api"

// matches reports whether a status belongs to this call: it is in the call's
// workspace and describes the requested job or an earlier job with the same
// idempotency key.
func (call *call) matches(status api.JobStatus) bool {
	if status.Spec.Workspace != call.workspace {
		return false
	}
	return status.ID == call.job || call.isEarlierJob(status)
}

// isEarlierJob reports whether status can describe the job that an earlier
// request with the same idempotency key created: partition, class and name are
// equal.
func (call *call) isEarlierJob(status api.JobStatus) bool {
	if call.submit.IdempotencyKey == "" {
		return false
	}
	partition, ok := partitionOf(status.ID)
	spec := call.submit.Spec
	return ok && partition == call.partition && status.Spec.Class == spec.Class && status.Spec.Name == spec.Name
}

// isOtherWorkspace reports whether the caller requested a job of another
// workspace. The response must be the same as for a job that does not exist.
func (call *call) isOtherWorkspace(status api.JobStatus) bool {
	return call.submit.ID == "" && status.ID == call.job && status.Spec.Workspace != call.workspace
}
