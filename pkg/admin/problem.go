package admin

import (
	"errors"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

// OutdatedProblem is the body of a refusal of kind plan_outdated.
type OutdatedProblem struct {
	problem.Problem
	// Changed are the revisions since the plan's base that the VM has seen.
	Changed []plan.Revision `json:"changed,omitempty"`
	// Fresh is a plan for the same intent on the present revision.
	Fresh *plan.Plan `json:"fresh,omitempty"`
	// FreshError says why the intent is no longer possible.
	FreshError string `json:"freshError,omitempty"`
}

func (a *API) fail(c *gin.Context, id string, err error) {
	p := problem.FromError(err, id)
	if p.Kind == errkind.Internal {
		a.opts.Log.Error(err, "administration request failed", "requestId", id, "path", c.FullPath())
	}
	var outdated *plan.OutdatedError
	if errors.As(err, &outdated) {
		a.failOutdated(c, p, outdated)
		return
	}
	problem.Write(c.Writer, p)
	c.Abort()
}

func (a *API) failOutdated(c *gin.Context, p problem.Problem, outdated *plan.OutdatedError) {
	body := OutdatedProblem{Problem: p, Changed: outdated.Changed, FreshError: outdated.FreshError}
	if outdated.Fresh != nil {
		fresh := outdated.Fresh.Redacted()
		body.Fresh = &fresh
	}
	c.Header("Content-Type", problem.ContentType)
	c.AbortWithStatusJSON(p.Status, body)
}
