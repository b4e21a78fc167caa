package fleet

import "strings"

// Keys in the platform's store. Jobs are written once by the VM that accepts
// them, the cancel mark by the VM that takes the cancel, progress by the owner.
const (
	JobPrefix      = "j/"
	ProgressPrefix = "p/"
	OwnerKey       = "owner"
	cancelSuffix   = "/cancel"
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// CancelKey is the key of a job's cancel mark.
func CancelKey(id string) string { return JobPrefix + id + cancelSuffix }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return ProgressPrefix + id }

// parseJobKey splits a key below JobPrefix.
func parseJobKey(key string) (id string, cancel bool) {
	rest := strings.TrimPrefix(key, JobPrefix)
	if id, ok := strings.CutSuffix(rest, cancelSuffix); ok {
		return id, true
	}
	return rest, false
}
