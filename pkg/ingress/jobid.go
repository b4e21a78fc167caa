package ingress

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func newJobID(partition int) api.JobID {
	return api.JobID("j" + strconv.Itoa(partition) + "-" + uuid.NewString())
}

// partitionOf returns the partition encoded in a job ID, and whether the ID is
// valid.
func partitionOf(id api.JobID) (int, bool) {
	head, tail, ok := strings.Cut(string(id), "-")
	digits, prefixed := strings.CutPrefix(head, "j")
	n, err := strconv.Atoi(digits)
	if !ok || !prefixed || err != nil || n < 0 || strconv.Itoa(n) != digits {
		return 0, false
	}
	u, err := uuid.Parse(tail)
	return n, err == nil && u.String() == tail
}

// partitionOfKey maps an idempotency key to a partition; the mapping is stable.
// The zero byte distinguishes "a"+"bc" from "ab"+"c"; neither part can contain
// one.
func partitionOfKey(workspace, key string, partitions int) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % uint64(partitions))
}

// choosePartition returns the partition of the idempotency key. Without a key
// it returns a random partition that this VM owns, which saves a hop, or any
// partition if this VM owns none.
func (in *Ingress) choosePartition(workspace, key string) int {
	if key != "" {
		return partitionOfKey(workspace, key, in.Partitions)
	}
	var own []int
	for _, o := range in.Owners.Owners() {
		if n, ok := o.Shard.Partition(); ok && o.Self && n >= 0 && n < in.Partitions {
			own = append(own, n)
		}
	}
	if len(own) > 0 {
		return own[in.randIntN(len(own))]
	}
	return in.randIntN(in.Partitions)
}

// validateID rejects an ID without a valid partition before any request to an
// owner.
func (in *Ingress) validateID(c *gin.Context) {
	id := api.JobID(c.Param("id"))
	n, ok := partitionOf(id)
	if !ok || n >= in.Partitions {
		in.fail(c, errkind.New(errkind.NotFound, "no job has this ID"))
		return
	}
	call := callOf(c)
	call.job, call.partition = id, n
	c.Next()
}
