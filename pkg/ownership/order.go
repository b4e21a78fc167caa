package ownership

import "github.com/carawayusher/carawayusher/pkg/membership"

// PreferenceOrder lists the IDs of the members that may serve a shard, the preferred one
// first. Every VM that sees the same members gets the same order.
func PreferenceOrder(s Shard, members []membership.Member) []string { return preference(s, members) }
