package storebudget

import "context"

// Priority orders store calls when the VM's budget is short.
type Priority int

// Priorities, the most important first.
const (
	PriorityClaim Priority = iota
	PriorityJobAccept
	PriorityJobEnd
	PriorityOwnership
	PrioritySnapshot
)

type priorityKey struct{}

// WithPriority sets the priority of the store calls that are made with the
// context. Without it a call has PriorityOwnership.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityOwnership
}
