package fleet

import "strings"

// Keys in the platform's store. The VM that accepts a job writes its record, the VM that
// receives a cancel request writes the cancel key, or the tombstone if the job is not stored,
// and only the owner writes progress, and the record of a job that ends. The owner does not read
// tombstones, so their number does not delay a takeover.
const (
	JobPrefix       = "j/"
	ProgressPrefix  = "p/"
	OwnerKey        = "owner"
	cancelSuffix    = "/cancel"
	tombstonePrefix = "t/"
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// CancelKey is the key whose presence requests the cancellation of a job.
func CancelKey(id string) string { return JobPrefix + id + cancelSuffix }

// TombstoneKey is the key whose presence keeps a job from being stored, as it was cancelled
// before.
func TombstoneKey(id string) string { return tombstonePrefix + id }

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
