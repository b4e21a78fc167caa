package cluster

import (
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Workspaces of the two deployments.
const (
	Postbud        = "postbud"
	PostbudArchive = "postbud-archive"
	Lautoka        = "lautoka"
	LautokaShop    = "lautoka-shop"
)

// ClassOrder is a short class of its own, so that the workers' logs tell the
// starts of orders from those of other short work.
const ClassOrder = "order"

// operator is the name of the administrator in the configuration document.
const operator = "alice"

// Token returns the token of a workspace.
func Token(workspace string) string { return tokenOf(workspace) }

func tokenOf(name string) string { return name + "-cluster-token" }

// Policy returns a configuration document with the workspaces of both
// deployments and guarantees in the first two failure domains.
func Policy(domains []string) *policy.Document {
	doc := policy.Default()
	doc.Classes[ClassOrder] = policy.Class{Rank: 5, Short: true}
	for _, name := range []string{Postbud, PostbudArchive, Lautoka, LautokaShop} {
		doc.Workspaces[name] = policy.Workspace{
			TokenHashes: []string{policy.HashToken(tokenOf(name))}, Quota: policy.Quota{Queued: 20000},
		}
	}
	guarantee(doc, Postbud, policy.Guarantee{Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: domains[0]})
	guarantee(doc, Lautoka, policy.Guarantee{Cells: 1, Accelerators: 16, Adjacency: api.AdjacencyRack, FailureDomain: domains[1%len(domains)]})
	doc.Operators[operator] = policy.Operator{Role: policy.RoleAdmin, TokenHash: policy.HashToken(tokenOf(operator))}
	return doc
}

func guarantee(doc *policy.Document, workspace string, g policy.Guarantee) {
	ws := doc.Workspaces[workspace]
	ws.Guarantees = append(ws.Guarantees, g)
	doc.Workspaces[workspace] = ws
}

func writePolicy(path string, doc *policy.Document) error {
	raw, err := yaml.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Client returns a caller of the workspace that uses the VMs in the given
// order; without VMs it uses all that run.
func (c *Cluster) Client(workspace string, vms ...*VM) (*client.Client, error) {
	var servers []string
	for _, vm := range vms {
		servers = append(servers, vm.URL)
	}
	if len(vms) == 0 {
		servers = c.URLs()
	}
	return client.New(client.Options{Servers: servers, Token: tokenOf(workspace), HTTP: callers})
}

// callers is shared by all clients. Its idle connections are bounded, and its
// answers have no limit of time but that of the call's context.
var callers = newHTTP()
