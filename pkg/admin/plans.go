package admin

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

func (a *API) makePlan(r *request) (any, error) {
	data, err := r.body()
	if err != nil {
		return nil, err
	}
	intent, err := plan.ParseIntent(data)
	if err != nil {
		return nil, err
	}
	made, err := a.opts.Planner.Make(r.Request.Context(), r.actor, intent)
	if err != nil {
		return nil, err
	}
	return made.Redacted(), nil
}

// listPlans answers without the effects, which GET /plans/{id} shows.
func (a *API) listPlans(r *request) (any, error) {
	records, err := a.opts.Planner.List(r.Request.Context())
	if err != nil {
		return nil, err
	}
	for i := range records {
		records[i].Plan = records[i].Plan.Redacted()
		records[i].Plan.Effects = nil
	}
	slices.SortFunc(records, func(x, y plan.Record) int { return strings.Compare(planKey(x), planKey(y)) })
	return paged(r, records, planKey)
}

// planKey orders plans by the time at which they were made.
func planKey(rec plan.Record) string {
	return rec.Plan.MadeAt.UTC().Format("20060102T150405.000000000") + "-" + rec.Plan.ID
}

func (a *API) getPlan(r *request) (any, error) {
	rec, err := a.opts.Planner.Get(r.Request.Context(), r.Param("id"))
	rec.Plan = rec.Plan.Redacted()
	return rec, err
}

// ConfirmRequest is the optional body of POST /plans/{id}/confirm. Hash is that
// of the plan that the operator saw.
type ConfirmRequest struct {
	Hash string `json:"hash,omitempty"`
}

func (a *API) confirmPlan(r *request) (any, error) {
	data, err := r.body()
	if err != nil {
		return nil, err
	}
	var req ConfirmRequest
	if len(data) > 0 {
		if err := json.Unmarshal(data, &req); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "the body is malformed; send the hash of the plan or nothing")
		}
	}
	rec, err := a.opts.Planner.Confirm(r.Request.Context(), r.actor, r.Param("id"), req.Hash)
	rec.Plan = rec.Plan.Redacted()
	return rec, err
}

func (a *API) proposals(r *request) (any, error) {
	list, err := a.opts.Proposals.Proposals(r.Request.Context())
	if err != nil {
		return nil, err
	}
	slices.SortFunc(list, func(x, y gate.Proposal) int { return strings.Compare(x.ID, y.ID) })
	return paged(r, list, func(p gate.Proposal) string { return p.ID })
}
