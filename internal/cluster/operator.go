package cluster

import (
	"context"
	"net/http"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

// Operator calls the administration API of one VM.
type Operator struct{ client *client.Client }

// Operator returns an administrator who uses the VM.
func (c *Cluster) Operator(vm *VM) (*Operator, error) {
	cl, err := c.Client(operator, vm)
	return &Operator{client: cl}, err
}

// Plan makes a plan for the intent.
func (o *Operator) Plan(ctx context.Context, intent plan.Intent) (plan.Plan, error) {
	var made plan.Plan
	err := o.client.Do(ctx, client.Request{Method: http.MethodPost, Path: admin.Prefix + "/plans", Body: intent}, &made)
	return made, err
}

// Confirm carries a plan out and returns what became of it.
func (o *Operator) Confirm(ctx context.Context, p plan.Plan) (plan.Record, error) {
	var rec plan.Record
	err := o.client.Do(ctx, client.Request{
		Method: http.MethodPost, Path: admin.Prefix + "/plans/" + p.ID + "/confirm", Body: admin.ConfirmRequest{Hash: p.Hash},
	}, &rec)
	return rec, err
}

// ConfigStatus returns which VMs have which revision in force.
func (o *Operator) ConfigStatus(ctx context.Context) (admin.ConfigStatus, error) {
	var status admin.ConfigStatus
	err := o.client.Do(ctx, client.Request{Method: http.MethodGet, Path: admin.Prefix + "/config/status", Idempotent: true}, &status)
	return status, err
}

// ShardOwners returns the VM that owns each shard, as the members report it.
func (o *Operator) ShardOwners(ctx context.Context) (map[ownership.Shard]string, error) {
	var members admin.Page[membership.Member]
	err := o.client.Do(ctx, client.Request{Method: http.MethodGet, Path: admin.Prefix + "/members", Idempotent: true}, &members)
	out, epochs := map[ownership.Shard]string{}, map[string]int64{}
	for _, m := range members.Items {
		for shard, epoch := range m.Shards {
			if epoch > epochs[shard] {
				epochs[shard], out[ownership.Shard(shard)] = epoch, m.ID
			}
		}
	}
	return out, err
}

// PlanWeight makes a plan for the weight of a workspace.
func (o *Operator) PlanWeight(ctx context.Context, workspace string, weight float64) (plan.Plan, error) {
	return o.Plan(ctx, plan.Intent{Kind: plan.KindPriority, Spec: &plan.Priority{Workspace: workspace, Weight: &weight}})
}

// AwaitRevision waits until each of the VMs itself has the revision in force.
func (c *Cluster) AwaitRevision(ctx context.Context, revision int64, vms ...*VM) error {
	for _, vm := range vms {
		o, err := c.Operator(vm)
		if err != nil {
			return err
		}
		if err := poll(ctx, func() bool {
			s, err := o.ConfigStatus(ctx)
			return err == nil && s.VMs[vm.ID] >= revision
		}); err != nil {
			return err
		}
	}
	return nil
}
