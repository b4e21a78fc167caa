package admin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Bounds of requests and pages.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 1 << 20
	// DefaultLimit and MaxLimit bound the entries of a page.
	DefaultLimit = 100
	MaxLimit     = 1000
)

// RequestIDHeader carries the request ID in requests and answers.
const RequestIDHeader = "X-Request-Id"

// request is one authenticated request.
type request struct {
	*gin.Context
	doc   *policy.Document
	actor plan.Actor
}

// serve wraps a handler with the request ID, authentication, the role check,
// the parameter check and the encoding of the answer.
func (a *API) serve(rt route) gin.HandlerFunc {
	return func(c *gin.Context) {
		id := requestID(c.GetHeader(RequestIDHeader))
		c.Header(RequestIDHeader, id)
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, MaxBodyBytes)
		r := &request{Context: c}
		body, err := a.answer(rt, r)
		if err != nil {
			a.fail(c, id, err)
			return
		}
		c.JSON(rt.status, body)
	}
}

func (a *API) answer(rt route, r *request) (any, error) {
	if err := a.authenticate(r); err != nil {
		return nil, err
	}
	if !r.actor.Role.Includes(rt.role) {
		return nil, errkind.New(errkind.Forbidden, "this request needs the role %s; %q has the role %s", rt.role, r.actor.Name, r.actor.Role)
	}
	for name := range r.Request.URL.Query() {
		if !slices.Contains(rt.query, name) {
			return nil, errkind.New(errkind.InvalidRequest, "the parameter %q is unknown; use %s", name, strings.Join(rt.query, ", "))
		}
	}
	return rt.handle(r)
}

func (a *API) authenticate(r *request) error {
	r.doc = a.opts.Source.Current()
	if r.doc == nil {
		return errkind.New(errkind.Unavailable, "this VM has no configuration yet; ask another VM").WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the request has no bearer token; send the token of an operator")
	}
	name, role, ok := r.doc.Operator(strings.TrimSpace(token))
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the bearer token belongs to no operator")
	}
	r.actor = plan.Actor{Name: name, Role: role}
	return nil
}

// requestID returns the caller's ID if it is short and printable, else a new one.
func requestID(given string) string {
	valid := len(given) > 0 && len(given) <= 64
	for _, b := range []byte(given) {
		valid = valid && b > ' ' && b < 0x7f
	}
	if valid {
		return given
	}
	return uuid.NewString()
}

// body reads the request's body; one beyond MaxBodyBytes is too_large.
func (r *request) body() ([]byte, error) {
	data, err := io.ReadAll(r.Request.Body)
	if errkind.Is(err, errkind.Unavailable) {
		return nil, err // a limit of clients has ended the body
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TooLarge, "the body cannot be read or exceeds %d bytes", MaxBodyBytes)
	}
	return data, nil
}

// limit returns the parameter of the same name.
func (r *request) limit() (int, error) {
	text := r.Query("limit")
	if text == "" {
		return DefaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > MaxLimit {
		return 0, errkind.New(errkind.InvalidRequest, "the limit %q is not a number from 1 to %d", text, MaxLimit)
	}
	return n, nil
}

// since parses a time, or a duration that counts back from now.
func (r *request) since() (time.Time, error) {
	text := r.Query("since")
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return time.Now().Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errkind.New(errkind.InvalidRequest, "since %q is neither a time such as 2026-01-02T15:04:05Z nor a duration such as 2h", text)
	}
	return t, nil
}

// Page is the body of a list. Next is the value of the parameter `after` for
// the following page, empty on the last one.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
}

// paged cuts the page out of items, which key orders ascending.
func paged[T any](r *request, items []T, key func(T) string) (any, error) {
	limit, err := r.limit()
	if err != nil {
		return nil, err
	}
	if after := r.Query("after"); after != "" {
		i := slices.IndexFunc(items, func(item T) bool { return key(item) > after })
		if i < 0 {
			i = len(items)
		}
		items = items[i:]
	}
	page := Page[T]{Items: items}
	if len(items) > limit {
		page.Items = items[:limit]
		page.Next = key(items[limit-1])
	}
	if page.Items == nil {
		page.Items = []T{}
	}
	return page, nil
}
