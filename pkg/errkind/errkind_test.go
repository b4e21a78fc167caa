package errkind

import (
	"context"
	"fmt"
	"testing"
)

// Guards against a kind that is listed twice, shares its exit code with another
// kind or has no help text. Only code 2, for faulty input, may be shared.
func TestTableIsComplete(t *testing.T) {
	exits := map[int]Kind{}
	for _, a := range Table() {
		if other, ok := exits[a.Exit]; ok && a.Exit != 2 {
			t.Errorf("%s and %s share exit code %d", a.Kind, other, a.Exit)
		}
		exits[a.Exit] = a.Kind
		if a.Status < 400 || a.Help == "" {
			t.Errorf("%s: incomplete row %+v", a.Kind, a)
		}
	}
	if len(byKind) != len(table) {
		t.Errorf("%d kinds in %d rows", len(byKind), len(table))
	}
}

// Guards against a timeout or a cancellation that callers see as an internal
// error.
func TestEndOfContextHasKind(t *testing.T) {
	if got := Of(fmt.Errorf("call: %w", context.DeadlineExceeded)); got != Timeout {
		t.Errorf("deadline: kind = %s", got)
	}
	if got := Of(context.Canceled); got != Cancelled {
		t.Errorf("cancel: kind = %s", got)
	}
}

// Guards against an error that loses its kind when another error wraps it.
func TestKindSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("while placing: %w", New(Overloaded, "queue full"))
	if Of(err) != Overloaded || !Retryable(err) {
		t.Errorf("kind = %s, retryable = %v", Of(err), Retryable(err))
	}
	if got := Of(fmt.Errorf("plain")); got != Internal {
		t.Errorf("plain error: kind = %s", got)
	}
}
