// Package admin is the administration API under /admin/v1: plans, the
// configuration in force, proposals, jobs of every workspace, workers, failure
// domains, members and the time line. Its OpenAPI document is openapi.yaml.
package admin

import (
	"context"
	_ "embed" // the OpenAPI document
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Prefix is the path of all routes.
const Prefix = "/admin/v1"

//go:embed openapi.yaml
var openAPI []byte

// OpenAPI returns the OpenAPI document in YAML.
func OpenAPI() []byte { return append([]byte(nil), openAPI...) }

// Explainer says why a queued job waits; domain.Service fits.
type Explainer interface {
	Explain(ctx context.Context, domain string, job api.JobID) (string, error)
}

// EventSource returns the time line of all VMs; timeline.Collector fits.
type EventSource interface {
	// Collect returns the merged events and the VMs that did not answer.
	Collect(ctx context.Context, req timeline.SinceRequest) (timeline.Merged, []string)
	// Changed returns a channel that is closed when this VM has a new event.
	Changed() <-chan struct{}
}

// Options holds what the API needs. All fields but Samples, Log and MaxWait
// are required.
type Options struct {
	Source    configsync.Source
	Planner   *plan.Planner
	Proposals plan.ProposalLister
	Jobs      partition.Service
	Explain   Explainer
	Workers   WorkerLister
	View      membership.View
	Events    EventSource
	// Samples is the source of GET /metrics-summary; nil answers an empty list.
	Samples *Sampler
	Log     logr.Logger
	// MaxWait bounds a long poll; 0 means 30 s.
	MaxWait time.Duration
}

// API serves the administration routes.
type API struct {
	opts Options
}

// New returns an API.
func New(opts Options) *API {
	if opts.MaxWait <= 0 {
		opts.MaxWait = 30 * time.Second
	}
	return &API{opts: opts}
}

// handler answers one request of an operator with a value for the JSON body.
type handler func(r *request) (any, error)

// route is one row of the table from which the routes are registered and
// which the contract test holds against the OpenAPI document.
type route struct {
	method string
	path   string // gin form, below Prefix
	role   policy.Role
	status int
	query  []string
	handle handler
}

func (a *API) routes() []route {
	page := []string{"limit", "after"}
	return []route{
		// Planner checks the role that the kind of intent needs.
		{http.MethodPost, "/plans", policy.RoleOperator, http.StatusCreated, nil, a.makePlan},
		{http.MethodGet, "/plans", policy.RoleViewer, http.StatusOK, page, a.listPlans},
		{http.MethodGet, "/plans/:id", policy.RoleViewer, http.StatusOK, nil, a.getPlan},
		{http.MethodPost, "/plans/:id/confirm", policy.RoleOperator, http.StatusOK, nil, a.confirmPlan},
		{http.MethodGet, "/config", policy.RoleViewer, http.StatusOK, nil, a.config},
		{http.MethodGet, "/config/status", policy.RoleViewer, http.StatusOK, nil, a.configStatus},
		{http.MethodGet, "/proposals", policy.RoleViewer, http.StatusOK, page, a.proposals},
		{http.MethodGet, "/jobs", policy.RoleViewer, http.StatusOK, append([]string{"workspace", "class", "state"}, page...), a.jobs},
		{http.MethodGet, "/jobs/:id/why", policy.RoleViewer, http.StatusOK, nil, a.why},
		{http.MethodGet, "/workers", policy.RoleViewer, http.StatusOK, page, a.workers},
		{http.MethodGet, "/domains", policy.RoleViewer, http.StatusOK, page, a.domains},
		{http.MethodGet, "/members", policy.RoleViewer, http.StatusOK, page, a.members},
		{http.MethodGet, "/events", policy.RoleViewer, http.StatusOK, eventParameters, a.events},
		{http.MethodGet, "/metrics-summary", policy.RoleViewer, http.StatusOK, []string{"since"}, a.metricsSummary},
	}
}

// Register adds the routes to r under Prefix.
func (a *API) Register(r gin.IRouter) {
	group := r.Group(Prefix)
	group.GET("/openapi.yaml", func(c *gin.Context) { c.Data(http.StatusOK, "application/yaml", openAPI) })
	for _, rt := range a.routes() {
		group.Handle(rt.method, rt.path, a.serve(rt))
	}
}
