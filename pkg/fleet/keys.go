package fleet

import "strings"

// Keys in the platform's store. The VM that accepts a job writes its record once,
// the VM that receives a cancel request writes the cancel key, and only the owner
// writes progress.
const (
	JobPrefix      = "j/"
	ProgressPrefix = "p/"
	OwnerKey       = "owner"
	cancelSuffix   = "/cancel"
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// CancelKey is the key whose presence requests the cancellation of a job.
func CancelKey(id string) string { return JobPrefix + id + cancelSuffix }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return ProgressPrefix + id }

// parseJobKey returns the job ID of a key below JobPrefix, and whether it is a
// cancel key.
func parseJobKey(key string) (id string, cancel bool) {
	rest := strings.TrimPrefix(key, JobPrefix)
	if id, ok := strings.CutSuffix(rest, cancelSuffix); ok {
		return id, true
	}
	return rest, false
}
