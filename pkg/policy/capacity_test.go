package policy

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// BenchmarkCapacityDocument reports the size of a document with 460 workspaces,
// each with one token, quotas and one guarantee.
func BenchmarkCapacityDocument(b *testing.B) {
	doc := Default()
	for i := range 460 {
		doc.Workspaces[fmt.Sprintf("team-%03d", i)] = Workspace{
			TokenHashes: []string{HashToken(fmt.Sprint(i))},
			Quota:       Quota{Accelerators: 100, Slots: 200, Queued: 1000, RequestsPerSecond: 50},
			Guarantees:  []Guarantee{{Cells: 2, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "region-1/zone-1"}},
		}
	}
	for b.Loop() {
		value, err := json.Marshal(doc)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(value)), "B/document")
	}
}
