package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayusher/carawayusher/pkg/membership"
)

// desiredOwners returns the VM that should own each shard. It uses rendezvous
// hashing over the members that can own shards and gives each member at most an
// equal share (rounded up) of the partitions and of the failure domains. VMs
// inside a failure domain are preferred for its shard.
func desiredOwners(shards []Shard, members []membership.Member) map[Shard]string {
	members = slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return !canOwn(m) })
	out := make(map[Shard]string, len(shards))
	if len(members) == 0 {
		return out
	}
	var partitions, domains []Shard
	for _, s := range slices.Sorted(slices.Values(shards)) {
		if _, ok := s.Domain(); ok {
			domains = append(domains, s)
		} else {
			partitions = append(partitions, s)
		}
	}
	assign(out, partitions, members)
	assign(out, domains, members)
	return out
}

// canOwn reports whether the member may become the owner of a shard.
func canOwn(m membership.Member) bool {
	return m.State == membership.Alive && m.Ready && !m.NoLease
}

// assign gives each shard to its most preferred member below the load limit.
func assign(out map[Shard]string, shards []Shard, members []membership.Member) {
	limit := (len(shards) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	for _, s := range shards {
		for _, id := range rankMembers(s, members) {
			if load[id] < limit {
				load[id]++
				out[s] = id
				break
			}
		}
	}
}

// rankMembers returns the members' IDs by preference for a shard: members inside
// the failure domain first, then by rendezvous score.
func rankMembers(s Shard, members []membership.Member) []string {
	type ranked struct {
		id    string
		local bool
		score uint64
	}
	domain, isDomain := s.Domain()
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{m.ID, isDomain && m.FailureDomain == domain, rendezvousScore(s, m.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(list))
	for i, r := range list {
		ids[i] = r.id
	}
	return ids
}

func rendezvousScore(s Shard, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(s))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
