package ownership

import "github.com/carawayusher/carawayusher/pkg/membership"

// PreferenceOrder returns the IDs of the members in their order of preference
// as owner of the shard, most preferred first. The order depends only on the
// shard and the members, so all VMs with the same view compute the same one.
func PreferenceOrder(s Shard, members []membership.Member) []string { return rankMembers(s, members) }
