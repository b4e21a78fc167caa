package api

// JobList is one page of the jobs of a workspace, ordered by ID. The jobs come
// without payloads and results.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Next is the value of the parameter "after" that requests the next page; empty
	// on the last page.
	Next JobID `json:"next,omitempty"`
}

// WorkerList is the list of workers, ordered by ID.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
}
