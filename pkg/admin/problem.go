package admin

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Kind      errkind.Kind `json:"kind"`
	Detail    string       `json:"detail"`
	RequestID string       `json:"requestId"`
	Ran       errkind.Ran  `json:"ran"`
	Retryable bool         `json:"retryable"`
	// Changed and Fresh belong to plan_outdated.
	Changed    []plan.Revision `json:"changed,omitempty"`
	Fresh      *plan.Plan      `json:"fresh,omitempty"`
	FreshError string          `json:"freshError,omitempty"`
}

func (a *API) fail(c *gin.Context, id string, err error) {
	e := errkind.As(err)
	row := errkind.Lookup(e.Kind)
	if row.Kind == errkind.Internal {
		a.opts.Log.Error(err, "administration request failed", "request", id, "path", c.FullPath())
	}
	p := Problem{
		Type: "urn:carawayusher:error:" + string(row.Kind), Title: row.Help, Status: row.Status, Kind: row.Kind,
		Detail: e.Message, RequestID: id, Ran: row.Ran, Retryable: row.Retryable,
	}
	var outdated *plan.OutdatedError
	if errors.As(err, &outdated) {
		p.Changed, p.FreshError = outdated.Changed, outdated.FreshError
		if outdated.Fresh != nil {
			fresh := outdated.Fresh.Redacted()
			p.Fresh = &fresh
		}
	}
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(max(1, int(e.RetryAfter.Seconds()))))
	}
	if row.Status == http.StatusUnauthorized {
		c.Header("WWW-Authenticate", "Bearer")
	}
	c.Abort()
	c.Header("Content-Type", "application/problem+json")
	c.JSON(row.Status, p)
}
