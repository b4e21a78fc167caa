// Package errkind defines the closed list of error kinds, the errors that carry
// them, and a table that gives for each kind the HTTP status, the exit code,
// whether a retry may succeed and whether the request was executed. Packages that
// return errors to callers or peers use it; it writes no responses itself.
package errkind

import (
	"context"
	stderrors "errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is an error kind of the closed list.
type Kind string

// The closed list of error kinds.
const (
	InvalidRequest      Kind = "invalid_request"
	InvalidConfig       Kind = "invalid_config"
	Unauthenticated     Kind = "unauthenticated"
	Forbidden           Kind = "forbidden"
	NotFound            Kind = "not_found"
	TooLarge            Kind = "too_large"
	Conflict            Kind = "conflict"
	Impossible          Kind = "impossible"
	DeadlinePassed      Kind = "deadline_passed"
	QuotaExceeded       Kind = "quota_exceeded"
	Overloaded          Kind = "overloaded"
	Unavailable         Kind = "unavailable"
	StoreUnavailable    Kind = "store_unavailable"
	StaleEpoch          Kind = "stale_epoch"
	CapacityExceeded    Kind = "capacity_exceeded"
	TargetLeaving       Kind = "target_leaving"
	TaskFailed          Kind = "task_failed"
	Cancelled           Kind = "cancelled"
	OutcomeUnknown      Kind = "outcome_unknown"
	Timeout             Kind = "timeout"
	PlanOutdated        Kind = "plan_outdated"
	PlanExpired         Kind = "plan_expired"
	PlanTampered        Kind = "plan_tampered"
	GuaranteeUnmeetable Kind = "guarantee_unmeetable"
	Internal            Kind = "internal"
)

// Ran tells whether a failed request was executed, as far as that is known.
type Ran string

// Values of Ran.
const (
	NotRun  Ran = "no"
	HasRun  Ran = "yes"
	Unknown Ran = "unknown"
)

// Answer is the table row for one kind: how an error of it is reported.
type Answer struct {
	Kind      Kind
	Status    int  // HTTP status code
	Exit      int  // exit code of carawayctl
	Retryable bool // whether repeating the same request later may succeed
	Ran       Ran  // whether the request was executed
	Help      string
}

// table lists every kind once. Exit codes must not change, since scripts depend on
// them.
var table = []Answer{
	{InvalidRequest, http.StatusBadRequest, 2, false, NotRun, "Correct the field that the message names."},
	{InvalidConfig, http.StatusUnprocessableEntity, 2, false, NotRun, "Correct the configuration entry that the message names."},
	{Unauthenticated, http.StatusUnauthorized, 3, false, NotRun, "Send a valid bearer token."},
	{Forbidden, http.StatusForbidden, 4, false, NotRun, "Use a token with the role or workspace that the message names."},
	{NotFound, http.StatusNotFound, 5, false, NotRun, "Check the identifier; results are kept for the configured retention only."},
	{TooLarge, http.StatusRequestEntityTooLarge, 6, false, NotRun, "Send a smaller body."},
	{Conflict, http.StatusConflict, 7, false, NotRun, "Use a new Idempotency-Key for a different request."},
	{Impossible, http.StatusUnprocessableEntity, 8, false, NotRun, "Ask for a shape that the fleet can hold."},
	{DeadlinePassed, http.StatusUnprocessableEntity, 9, false, NotRun, "Submit with a later deadline."},
	{QuotaExceeded, http.StatusTooManyRequests, 10, true, NotRun, "Wait for running work to end or ask an operator for more quota."},
	{Overloaded, http.StatusServiceUnavailable, 11, true, NotRun, "Repeat after the time in Retry-After."},
	{Unavailable, http.StatusServiceUnavailable, 12, true, NotRun, "Repeat after the time in Retry-After; another VM may answer."},
	{StoreUnavailable, http.StatusServiceUnavailable, 13, true, NotRun, "The platform's store cannot be reached; repeat later."},
	{StaleEpoch, http.StatusServiceUnavailable, 14, true, NotRun, "Ownership has moved; repeat at once."},
	{CapacityExceeded, http.StatusServiceUnavailable, 15, true, NotRun, "The target has no room for the task; another target is tried."},
	{TargetLeaving, http.StatusServiceUnavailable, 16, true, NotRun, "The target takes no new work; another target is tried."},
	{TaskFailed, http.StatusBadGateway, 17, false, HasRun, "The task ran and failed; see the result."},
	{Cancelled, http.StatusConflict, 18, false, Unknown, "The job was cancelled."},
	{OutcomeUnknown, http.StatusBadGateway, 19, false, Unknown, "The worker was lost; check outside the system before repeating."},
	{Timeout, http.StatusGatewayTimeout, 20, true, Unknown, "The job goes on; ask for its result."},
	{PlanOutdated, http.StatusConflict, 21, false, NotRun, "Another change came first; look at the fresh plan and confirm that."},
	{PlanExpired, http.StatusGone, 22, false, NotRun, "Make a new plan."},
	{PlanTampered, http.StatusUnprocessableEntity, 23, false, NotRun, "Confirm a plan exactly as it was made."},
	{GuaranteeUnmeetable, http.StatusUnprocessableEntity, 24, false, NotRun, "Lower the guarantee or add workers."},
	{Internal, http.StatusInternalServerError, 1, false, Unknown, "See the logs under the request ID."},
}

var byKind = func() map[Kind]Answer {
	m := make(map[Kind]Answer, len(table))
	for _, a := range table {
		m[a.Kind] = a
	}
	return m
}()

// Table returns a copy of the table, in the order of the list of kinds.
func Table() []Answer { return append([]Answer(nil), table...) }

// Lookup returns the row of kind, or that of Internal if the kind is not listed.
func Lookup(kind Kind) Answer {
	if a, ok := byKind[kind]; ok {
		return a
	}
	return byKind[Internal]
}

// Error is an error with a kind of the closed list.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration // zero if there is no hint
	cause      error
}

// Error returns the kind, the message and the cause, if any.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithRetryAfter returns a copy of e with a hint when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind with a cause, to which it adds a stack
// trace.
func Wrap(cause error, kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), cause: errors.WithStack(cause)}
}

// As returns err as an *Error. Of errors without a kind, an exceeded deadline or
// the cancellation of a context becomes Timeout or Cancelled, and any other error
// becomes Internal.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	switch {
	case stderrors.Is(err, context.DeadlineExceeded):
		return &Error{Kind: Timeout, Message: "no answer in time", cause: err}
	case stderrors.Is(err, context.Canceled):
		return &Error{Kind: Cancelled, Message: "the call was cancelled", cause: err}
	}
	return &Error{Kind: Internal, Message: "unexpected error", cause: err}
}

// Of returns the kind of err as As determines it, or the empty kind for nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	return As(err).Kind
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool { return err != nil && Of(err) == kind }

// Retryable reports whether repeating the request that failed with err may succeed.
func Retryable(err error) bool { return err != nil && Lookup(Of(err)).Retryable }
