package admin

import (
	"context"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// WorkerLister returns the workers of all failure domains.
type WorkerLister interface {
	Workers(ctx context.Context) ([]api.WorkerStatus, error)
}

func (a *API) config(r *request) (any, error) { return r.doc.Redacted(), nil }

// ConfigStatus says where the newest revision is in force.
type ConfigStatus struct {
	Revision int64 `json:"revision"` // the highest that any VM reports
	InForce  int   `json:"inForce"`  // VMs that have it
	Of       int   `json:"of"`
	// VMs maps each VM to the revision in force there.
	VMs map[string]int64 `json:"vms"`
}

func (a *API) configStatus(r *request) (any, error) {
	status := ConfigStatus{Revision: r.doc.Revision, VMs: map[string]int64{}}
	self := a.opts.View.Self().ID
	for _, m := range a.opts.View.Members() {
		rev := m.ConfigRevision
		if m.ID == self {
			rev = r.doc.Revision
		}
		status.VMs[m.ID] = rev
		status.Revision = max(status.Revision, rev)
	}
	for _, rev := range status.VMs {
		if rev == status.Revision {
			status.InForce++
		}
	}
	status.Of = len(status.VMs)
	return status, nil
}

func (a *API) jobs(r *request) (any, error) {
	limit, err := r.limit()
	if err != nil {
		return nil, err
	}
	jobs, err := a.opts.Jobs.List(r.Request.Context(), partition.ListRequest{
		Workspace: r.Query("workspace"), Class: r.Query("class"), State: api.State(r.Query("state")),
		After: api.JobID(r.Query("after")), Limit: limit,
	})
	if err != nil {
		return nil, err
	}
	page := Page[api.JobStatus]{Items: make([]api.JobStatus, 0, len(jobs))}
	for _, j := range jobs {
		j.Spec.Payload, j.Result = nil, nil // content belongs to the workspace
		page.Items = append(page.Items, j)
	}
	if len(jobs) > 0 { // a page may be shorter than asked for; an empty one is the last
		page.Next = string(jobs[len(jobs)-1].ID)
	}
	return page, nil
}

// Why explains the state of a job.
type Why struct {
	Job           api.JobID `json:"job"`
	State         api.State `json:"state"`
	Workspace     string    `json:"workspace"`
	FailureDomain string    `json:"failureDomain,omitempty"`
	Reason        string    `json:"reason"`
}

func (a *API) why(r *request) (any, error) {
	ctx := r.Request.Context()
	job, err := a.opts.Jobs.Get(ctx, "", api.JobID(r.Param("id")))
	if err != nil {
		return nil, err
	}
	why := Why{Job: job.ID, State: job.State, Workspace: job.Spec.Workspace, FailureDomain: job.FailureDomain, Reason: job.Reason}
	if job.State == api.StateQueued && job.FailureDomain != "" {
		// The partition's last reason stands in when the domain cannot be asked.
		if text, err := a.opts.Explain.Explain(ctx, job.FailureDomain, job.ID); err == nil && text != "" {
			why.Reason = text
		}
	}
	if why.Reason == "" {
		why.Reason = "no reason is recorded for the state " + string(job.State)
	}
	return why, nil
}

func (a *API) workers(r *request) (any, error) {
	list, err := a.opts.Workers.Workers(r.Request.Context())
	if err != nil {
		return nil, err
	}
	slices.SortFunc(list, func(x, y api.WorkerStatus) int { return strings.Compare(x.ID, y.ID) })
	return paged(r, list, func(w api.WorkerStatus) string { return w.ID })
}

func (a *API) domains(r *request) (any, error) {
	list := slices.Clone(a.opts.View.Summaries())
	slices.SortFunc(list, func(x, y sched.Summary) int { return strings.Compare(x.Domain, y.Domain) })
	return paged(r, list, func(s sched.Summary) string { return s.Domain })
}

func (a *API) members(r *request) (any, error) {
	list := slices.Clone(a.opts.View.Members())
	for i := range list {
		list[i].Domains = nil // GET /domains shows the summaries
	}
	slices.SortFunc(list, func(x, y membership.Member) int { return strings.Compare(x.ID, y.ID) })
	return paged(r, list, func(m membership.Member) string { return m.ID })
}
