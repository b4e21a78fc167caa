package storebudget

import "context"

// Priority orders the store calls that wait for the VM's budget.
type Priority int

// Priorities, from the highest to the lowest.
const (
	PriorityClaim Priority = iota
	PriorityJobAccept
	PriorityJobEnd
	PriorityOwnership
	PrioritySnapshot
)

type priorityKey struct{}

// WithPriority returns a context that gives store calls the priority p. A call
// without a priority has PriorityOwnership.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityOwnership
}
