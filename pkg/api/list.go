package api

// JobList is one page of a workspace's jobs, ordered by ID, without payloads
// and results.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Next is the parameter "after" of the next page; empty on the last page.
	Next JobID `json:"next,omitempty"`
}

// WorkerList is the list of workers, ordered by ID.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
}
