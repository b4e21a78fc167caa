package ingress

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// IdempotencyKeyHeader is the header with the idempotency key: repeating a
// submission with the same key creates no second job.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// validate decodes and validates a submission.
func (in *Ingress) validate(c *gin.Context) {
	if err := in.validateSubmission(c); err != nil {
		in.refuse(c, err)
		return
	}
	c.Next()
}

func (in *Ingress) validateSubmission(c *gin.Context) error {
	call := callOf(c)
	body, err := readBody(c.Writer, c.Request, in.Limits.MaxBody)
	if err != nil {
		return err
	}
	spec, err := decodeSpec(body)
	if err != nil {
		return err
	}
	if err := checkSpec(spec); err != nil {
		return err
	}
	if err := in.checkAgainstConfig(call, &spec); err != nil {
		return err
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return err
	}
	if spec.AtMostOnce && key == "" {
		return invalid("an at-most-once job needs the header %s", IdempotencyKeyHeader)
	}
	return in.fillSubmission(c, spec, key)
}

// checkAgainstConfig validates the workspace, the class, the accelerator quota
// and the capacity of the fleet, and sets defaults for the workspace and the
// adjacency.
func (in *Ingress) checkAgainstConfig(call *call, spec *api.JobSpec) error {
	if spec.Workspace != "" && spec.Workspace != call.workspace {
		return errkind.New(errkind.Forbidden, "the token belongs to another workspace than %q", spec.Workspace)
	}
	spec.Workspace = call.workspace
	if _, ok := call.config.Classes[spec.Class]; !ok {
		names := slices.Sorted(maps.Keys(call.config.Classes))
		return invalid("class: %q is unknown; the classes are %s", spec.Class, strings.Join(names, ", "))
	}
	if spec.Accelerators > 0 && spec.Adjacency == "" {
		spec.Adjacency = api.AdjacencyDomain
	}
	quota := call.config.Workspaces[call.workspace].Quota
	if quota.Accelerators > 0 && spec.Accelerators > quota.Accelerators {
		return errkind.New(errkind.Impossible, "accelerators: %d exceed the workspace's quota of %d", spec.Accelerators, quota.Accelerators)
	}
	return checkCapacity(*spec, in.Members.Summaries())
}

// fillSubmission fills in the submit request for the partition's owner.
func (in *Ingress) fillSubmission(c *gin.Context, spec api.JobSpec, key string) error {
	call := callOf(c)
	wait, requested, err := parseWait(c.Request, in.Limits.MaxWait)
	if err != nil {
		return err
	}
	short := call.config.Classes[spec.Class].Short
	if short && !requested {
		wait = in.Limits.MaxWait
	}
	hash, err := specHash(spec)
	if err != nil {
		return err
	}
	call.wait = wait
	call.submit.Spec, call.submit.SpecHash = spec, hash
	call.submit.IdempotencyKey, call.submit.RequestID = key, call.requestID
	// A caller that does not wait gets only a 202, so the job must survive the
	// loss of its owner.
	call.submit.Durable = !short || spec.AtMostOnce || wait == 0
	return nil
}

// specHash returns a hash of the specification that does not depend on white
// space in the payload.
func specHash(spec api.JobSpec) (string, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return "", invalid("the specification cannot be encoded: %s", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func idempotencyKey(c *gin.Context) (string, error) {
	values := c.Request.Header.Values(IdempotencyKeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalid("the header %s is sent twice", IdempotencyKeyHeader)
	}
	printable := !strings.ContainsFunc(values[0], func(r rune) bool { return r < '!' || r > '~' })
	if values[0] == "" || len(values[0]) > maxKeyBytes || !printable {
		return "", invalid("%s: 1 to %d visible ASCII characters", IdempotencyKeyHeader, maxKeyBytes)
	}
	return values[0], nil
}
